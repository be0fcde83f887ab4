//! How far each team is from its share in each minute, and how far it had to be.

use goldcrest_types::units::{Bytes, Resources};

use crate::sim::{CAPACITY, Usage};
use crate::{LIMITED_TEAMS, TEAMS, weight};

/// How many teams `--by-team` prints.
const PRINTED: usize = 25;

/// One team in one minute.
#[derive(Debug, Clone, Copy)]
pub struct TeamMinute {
    pub team: usize,
    pub minute: usize,
    /// Its part of all that was used, relative to its share: 1 is its share.
    pub used: f64,
    /// The same of the work that no order of service could have left out.
    pub carried: f64,
    pub is_memory: bool,
}

impl TeamMinute {
    /// The distance from the share.
    pub fn off(&self) -> f64 {
        (self.used - 1.0).abs()
    }

    /// The least distance that any order of service could have reached in this minute, from where it began.
    pub fn bound(&self) -> f64 {
        (self.carried - 1.0).max(0.0)
    }
}

/// All teams without a low limit in one minute of `ticks` worker ticks.
pub fn of_minute(usage: &Usage, minute: usize, ticks: usize) -> Vec<TeamMinute> {
    let ticks = f64::from(u32::try_from(ticks).unwrap_or(u32::MAX));
    let part = |used: &Resources| dominant(used) / ticks;
    let teams = LIMITED_TEAMS..TEAMS;
    let sum: f64 = teams.clone().map(|team| part(&usage.used[team])).sum();
    let weights: f64 = teams.clone().map(|team| f64::from(weight(team))).sum();
    let of_team = |team: usize| {
        let share = sum * f64::from(weight(team)) / weights;
        TeamMinute {
            team,
            minute,
            used: part(&usage.used[team]) / share,
            carried: part(&usage.carried[team]) / share,
            is_memory: memory(&usage.used[team]) > cpu(&usage.used[team]),
        }
    };
    teams.map(of_team).collect()
}

fn dominant(used: &Resources) -> f64 {
    cpu(used).max(memory(used))
}

fn cpu(used: &Resources) -> f64 {
    f64::from(used.cpu_millis.get()) / f64::from(CAPACITY.cpu_millis.get())
}

fn memory(used: &Resources) -> f64 {
    let mib = |bytes: Bytes| f64::from(u32::try_from(bytes.get() >> 20).unwrap_or(u32::MAX));
    mib(used.memory_bytes) / mib(CAPACITY.memory_bytes)
}

/// A measure of all minutes, least first.
pub fn sorted(minutes: &[TeamMinute], measure: impl Fn(&TeamMinute) -> f64) -> Vec<f64> {
    let mut all: Vec<f64> = minutes.iter().map(measure).collect();
    all.sort_by(f64::total_cmp);
    all
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len().max(1)).unwrap_or(u32::MAX))
}

/// Prints the minutes that are farthest off.
pub fn print(minutes: &[TeamMinute]) {
    let mut order: Vec<&TeamMinute> = minutes.iter().collect();
    order.sort_by(|a, b| b.off().total_cmp(&a.off()));
    println!("\n| team | weight | minute | used of share | carried of share | dominant |");
    println!("|{}", " --- |".repeat(6));
    for one in order.iter().take(PRINTED) {
        let dominant = if one.is_memory {
            "memory"
        } else {
            "processors"
        };
        println!(
            "| {} | {} | {} | {:.3} | {:.3} | {dominant} |",
            one.team,
            weight(one.team),
            one.minute,
            one.used,
            one.carried,
        );
    }
}
