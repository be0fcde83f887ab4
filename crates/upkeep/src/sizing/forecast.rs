//! The cheapest sizes over a short forecast.
//!
//! A line through the recent demand gives level and trend; what is left of each sample gives how far the demand
//! strays from the line, and how soon it comes back. From these follow the costs of each size over the next hour, as
//! means over the strays seen. The cheapest way through that hour decides the first step of it; the next plan decides
//! anew.

use std::collections::VecDeque;
use std::time::Duration;

use super::{PoolState, Reason, View, Want};

/// How far back the line goes.
const SPAN: Duration = Duration::from_mins(90);

/// How many move times the sizes are planned ahead.
const AHEAD_MOVES: usize = 30;

/// How many strays stand for all that were seen.
const STRAYS: usize = 16;

/// How many VMs more or less than now are weighed.
const REACH_VMS: u32 = 8;

/// Samples with which the line has a slope.
const SAMPLES_MIN: usize = 20;

/// What is known of the recent demand of one pool, in VMs and seconds.
#[derive(Debug, Clone, Default)]
pub(super) struct Model {
    /// Seconds since the first sample, and the demand, oldest first.
    samples: VecDeque<(f64, f64)>,
    clock_s: f64,
    strays: Vec<f64>,
    level: f64,
    slope_per_s: f64,
    /// How far the last sample is from the line.
    stray: f64,
    /// The part of a stray that is left after a second.
    memory_per_s: f64,
    costs: Vec<f64>,
    next: Vec<f64>,
}

/// The cheapest size as of the forecast, if it is not the present one.
pub(super) fn want(state: &mut PoolState, view: &View) -> Option<Want> {
    let model = &mut state.forecast;
    model.push(view);
    model.fit();
    let cheapest = model.cheapest(view);
    let reason = if cheapest > view.supply {
        Reason::UnmetOutweighsMove {
            cheapest_vms: cheapest,
        }
    } else {
        Reason::IdleOutweighsMove {
            cheapest_vms: cheapest,
        }
    };
    let vms = cheapest;
    (cheapest != view.supply).then_some(Want { vms, reason })
}

/// The costs of the weights, per VM.
#[derive(Debug, Clone, Copy)]
struct Costs {
    idle_s: f64,
    unmet_s: f64,
    grow: f64,
    shrink: f64,
    move_s: f64,
}

impl Costs {
    fn new(view: &View) -> Self {
        let weights = &view.cat.weights;
        let idle_s = f64::from(weights.buffer_vm_hour) / 3_600.0;
        let one_move = f64::from(weights.one_move);
        let move_s = view.move_time.as_secs_f64().max(1.0);
        Self {
            idle_s,
            unmet_s: f64::from(weights.unmet_vm_hour) / 3_600.0,
            grow: one_move + idle_s * move_s,
            shrink: one_move,
            move_s,
        }
    }

    fn switch(&self, from: u32, to: u32) -> f64 {
        f64::from(to.saturating_sub(from)) * self.grow
            + f64::from(from.saturating_sub(to)) * self.shrink
    }
}

impl Model {
    fn push(&mut self, view: &View) {
        self.clock_s += view.step.as_secs_f64();
        let millis = u32::try_from(view.demand_millis).unwrap_or(u32::MAX);
        self.samples
            .push_back((self.clock_s, f64::from(millis) / 1_000.0));
        let oldest = self.clock_s - SPAN.as_secs_f64();
        while self.samples.front().is_some_and(|(at, _)| *at < oldest) {
            self.samples.pop_front();
        }
    }

    /// Least squares, and what they leave.
    fn fit(&mut self) {
        let count = count_f64(self.samples.len());
        let mean_at = self.samples.iter().map(|(at, _)| at).sum::<f64>() / count;
        let mean = self.samples.iter().map(|(_, vms)| vms).sum::<f64>() / count;
        let (mut square, mut product) = (0.0, 0.0);
        for (at, vms) in &self.samples {
            square += (at - mean_at).powi(2);
            product += (at - mean_at) * (vms - mean);
        }
        let has_slope = self.samples.len() >= SAMPLES_MIN && square > 0.0;
        self.slope_per_s = if has_slope { product / square } else { 0.0 };
        self.level = mean + self.slope_per_s * (self.clock_s - mean_at);
        self.note_strays(mean_at, mean);
    }

    fn note_strays(&mut self, mean_at: f64, mean: f64) {
        let slope = self.slope_per_s;
        let stray = |(at, vms): &(f64, f64)| vms - mean - slope * (at - mean_at);
        let mut all: Vec<f64> = self.samples.iter().map(stray).collect();
        self.stray = all.last().copied().unwrap_or_default();
        let square: f64 = all.iter().map(|one| one * one).sum();
        let product: f64 = all.windows(2).map(|pair| pair[0] * pair[1]).sum();
        let passed = self.clock_s - self.samples.front().map_or(0.0, |(at, _)| *at);
        let step_s = passed / count_f64(all.len().saturating_sub(1));
        let memory = if square > 0.0 { product / square } else { 0.0 };
        self.memory_per_s = if step_s > 0.0 {
            memory.clamp(0.0, 0.999).powf(1.0 / step_s)
        } else {
            0.0
        };
        all.sort_unstable_by(f64::total_cmp);
        self.strays.clear();
        for nth in 0..STRAYS {
            let rank = (2 * nth + 1) * all.len() / (2 * STRAYS);
            self.strays.push(all[rank.min(all.len() - 1)]);
        }
    }

    /// What `vms` VMs cost a second, `after_s` from now.
    fn loss_per_s(&self, vms: u32, after_s: f64, costs: &Costs) -> f64 {
        let left = self.memory_per_s.powf(after_s);
        let spread = (1.0 - left * left).sqrt();
        let middle = self.level + self.slope_per_s * after_s + left * self.stray;
        let mut sum = 0.0;
        for stray in &self.strays {
            let idle = f64::from(vms) - (middle + spread * stray).max(0.0);
            sum += if idle >= 0.0 {
                idle * costs.idle_s
            } else {
                -idle * costs.unmet_s
            };
        }
        sum / count_f64(STRAYS)
    }

    /// The size to go to now.
    fn cheapest(&mut self, view: &View) -> u32 {
        let costs = Costs::new(view);
        let first = view.supply.saturating_sub(REACH_VMS);
        let last = (view.supply + REACH_VMS).min(view.max_vms).max(first);
        self.cost_ahead(first, last, &costs);
        let now = |vms: u32| {
            // VMs that are ordered now serve only after the time of a move.
            let early = self.loss_per_s(vms.min(view.supply), costs.move_s / 2.0, &costs);
            let ahead = self.costs[(vms - first) as usize];
            early * costs.move_s + costs.switch(view.supply, vms) + ahead
        };
        let mut best = (view.supply, f64::INFINITY);
        if (first..=last).contains(&view.supply) {
            best.1 = now(view.supply);
        }
        for vms in first..=last {
            let cost = now(vms);
            if cost < best.1 {
                best = (vms, cost);
            }
        }
        best.0
    }

    /// The least cost from the end of the first step on, from each size.
    fn cost_ahead(&mut self, first: u32, last: u32, costs: &Costs) {
        let mut next = std::mem::take(&mut self.next);
        let mut ahead = std::mem::take(&mut self.costs);
        ahead.clear();
        ahead.resize((last - first + 1) as usize, 0.0);
        for step in (1..=AHEAD_MOVES).rev() {
            relax(&mut ahead, costs);
            next.clone_from(&ahead);
            let after_s = (count_f64(step) + 0.5) * costs.move_s;
            for (vms, cost) in (first..).zip(&mut next) {
                *cost += self.loss_per_s(vms, after_s, costs) * costs.move_s;
            }
            std::mem::swap(&mut next, &mut ahead);
        }
        self.next = next;
        self.costs = ahead;
    }
}

/// Lets each size be left for its neighbours.
fn relax(ahead: &mut [f64], costs: &Costs) {
    for vms in (1..ahead.len()).rev() {
        ahead[vms - 1] = ahead[vms - 1].min(ahead[vms] + costs.grow);
    }
    for vms in 1..ahead.len() {
        ahead[vms] = ahead[vms].min(ahead[vms - 1] + costs.shrink);
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}
