//! Entitlements of teams: weighted max-min fairness over the dominant resource.
//!
//! The usage of a team is its largest fraction of all processors, memory and accelerators, in this data centre and the
//! others. Usage is divided by progressive filling: a team that would use less than its weight gives (it has nothing
//! waiting, or is at its upper limit) keeps what it uses, and the rest is divided among the other teams by weight.
//! Unused shares are thus lent, and return when their team has work.
//!
//! The excess of a team over its entitlement is integrated over time and decays. The next free capacity goes to the
//! team with the least usage plus excess for its weight, so that the usage matches the share on average over time, not
//! only at present.

use std::time::{Duration, Instant};

use goldcrest_types::entity::TeamId;

use crate::state::{State, Team, dominant};

/// The bound of the excess in either direction, as a part of the entitlement times the half-life.
const EXCESS_MAX: f64 = 0.25;

/// The longest time between rounds over which usage is taken as constant.
const STEP_MAX: Duration = Duration::from_secs(5);

/// The usage relative to the entitlement below which a backlogged team is well below its share.
const STARVED_RATIO: f64 = 0.8;

/// The memory that [`update_entitlements`] keeps from round to round.
#[derive(Debug, Default)]
pub struct ShareScratch {
    last: Option<Instant>,
    level: f64,
    order: Vec<(f64, TeamId)>,
}

impl ShareScratch {
    /// Returns the usage per unit of weight to which backlogged teams are entitled, as of the last round.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }
}

/// Returns whether a team has waiting tasks and is below its upper limit, so that it would use more.
fn is_backlogged(state: &State, team: &Team, now: Instant) -> bool {
    let has_waiting = team.lanes.iter().any(|lane| state.lanes[*lane].waiting > 0);
    has_waiting && team.running < team.usable(now)
}

/// Updates the usage, entitlement and excess of each team to `now`.
pub fn update_entitlements(state: &mut State, scratch: &mut ShareScratch, now: Instant) {
    let step = scratch
        .last
        .map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
        .min(STEP_MAX);
    scratch.last = Some(now);
    let whole = state.total_capacity();
    for (_, team) in state.teams.iter_mut() {
        team.dominant = dominant(&(team.charge + team.elsewhere), &whole);
    }
    let level = fill(state, scratch, now);
    scratch.level = level;
    let half_life = state.cfg.share_half_life;
    for id in state.teams.ids() {
        let is_backlogged = is_backlogged(state, &state.teams[id], now);
        let team = &mut state.teams[id];
        let fair_share = level * team.weight();
        team.entitled = if is_backlogged {
            fair_share
        } else {
            team.dominant.min(fair_share)
        };
        update_excess(team, is_backlogged, step, half_life);
        update_starved_since(team, is_backlogged, now);
    }
}

/// Returns the usage per unit of weight up to which all backlogged teams can be filled.
fn fill(state: &State, scratch: &mut ShareScratch, now: Instant) -> f64 {
    scratch.order.clear();
    let mut remaining = 0.0;
    let mut weight = 0.0;
    for (id, team) in state.teams.iter() {
        remaining += team.dominant;
        weight += team.weight();
        if !is_backlogged(state, team, now) {
            scratch.order.push((team.dominant / team.weight(), id));
        }
    }
    scratch.order.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (per_weight, id) in &scratch.order {
        let team = &state.teams[*id];
        if weight <= 0.0 || *per_weight >= remaining / weight {
            break;
        }
        remaining -= team.dominant;
        weight -= team.weight();
    }
    if weight > 0.0 {
        remaining / weight
    } else {
        0.0
    }
}

fn update_excess(team: &mut Team, is_backlogged: bool, step: Duration, half_life: Duration) {
    let fade = 0.5_f64.powf(step.as_secs_f64() / half_life.as_secs_f64());
    let excess_max = team.entitled * half_life.as_secs_f64() * EXCESS_MAX;
    team.excess_s *= fade;
    if is_backlogged || team.dominant > team.entitled {
        team.excess_s += (team.dominant - team.entitled) * step.as_secs_f64();
    }
    team.excess_s = team.excess_s.clamp(-excess_max, excess_max);
}

fn update_starved_since(team: &mut Team, is_backlogged: bool, now: Instant) {
    let is_under = is_backlogged && team.dominant < STARVED_RATIO * team.entitled;
    if !is_under {
        team.starved_since = None;
    } else if team.starved_since.is_none() {
        team.starved_since = Some(now);
    }
}

/// Returns usage plus excess per unit of weight. The team with the least value starts its next task first.
#[must_use]
pub fn normalized_usage(team: &Team, used: f64, horizon: Duration) -> f64 {
    (used + team.excess_s / horizon.as_secs_f64()) / team.weight()
}
