//! What each team is entitled to: weighted max-min over the dominant resource.
//!
//! A team's usage is the largest of its parts of all processors, memory and accelerators, in this data centre and the
//! others. What is in use is divided by filling up: a team that wants less than its weight gives (it has nothing
//! waiting, or is at its upper limit) keeps what it uses, and the rest is divided among the others by weight. So unused
//! shares are lent, and come back when their team has work.
//!
//! A team's excess over its entitlement is summed up over time and fades. The next free place goes to the team with
//! the least usage plus excess for its weight, which brings the time average, not only the present, to the share.

use std::time::{Duration, Instant};

use goldcrest_types::entity::TeamId;

use crate::state::{State, Team, dominant};

/// The most that an excess may be, in times of the entitlement over the half-life.
const EXCESS_MAX: f64 = 0.25;

/// The longest step over which usage is taken as constant.
const STEP_MAX: Duration = Duration::from_secs(5);

/// The part of its entitlement below which a team counts as well below it.
const WELL_BELOW: f64 = 0.8;

/// What [`divide`] keeps from round to round.
#[derive(Debug, Default)]
pub struct ShareScratch {
    last: Option<Instant>,
    level: f64,
    order: Vec<(f64, TeamId)>,
}

impl ShareScratch {
    /// The usage for each unit of weight to which the hungry teams are entitled.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }
}

/// Whether the team would use more if it were given more.
fn is_hungry(state: &State, team: &Team, now: Instant) -> bool {
    let has_waiting = team.lanes.iter().any(|lane| state.lanes[*lane].waiting > 0);
    has_waiting && team.running < team.usable(now)
}

/// Brings the usage, entitlement and excess of each team up to `now`.
pub fn divide(state: &mut State, scratch: &mut ShareScratch, now: Instant) {
    let step = scratch
        .last
        .map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
        .min(STEP_MAX);
    scratch.last = Some(now);
    let whole = state.whole();
    for (_, team) in state.teams.iter_mut() {
        team.dominant = dominant(&(team.charge + team.elsewhere), &whole);
    }
    let level = fill(state, scratch, now);
    scratch.level = level;
    let half_life = state.cfg.share_half_life;
    for id in state.teams.ids() {
        let hungry = is_hungry(state, &state.teams[id], now);
        let team = &mut state.teams[id];
        let fair = level * team.weight();
        team.entitled = if hungry {
            fair
        } else {
            team.dominant.min(fair)
        };
        note_excess(team, hungry, step, half_life);
        note_under(team, hungry, now);
    }
}

/// The usage for each unit of weight up to which all hungry teams can be filled.
fn fill(state: &State, scratch: &mut ShareScratch, now: Instant) -> f64 {
    scratch.order.clear();
    let mut rest = 0.0;
    let mut weight = 0.0;
    for (id, team) in state.teams.iter() {
        rest += team.dominant;
        weight += team.weight();
        if !is_hungry(state, team, now) {
            scratch.order.push((team.dominant / team.weight(), id));
        }
    }
    scratch.order.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (per_weight, id) in &scratch.order {
        let team = &state.teams[*id];
        if weight <= 0.0 || *per_weight >= rest / weight {
            break;
        }
        rest -= team.dominant;
        weight -= team.weight();
    }
    if weight > 0.0 { rest / weight } else { 0.0 }
}

fn note_excess(team: &mut Team, hungry: bool, step: Duration, half_life: Duration) {
    let fade = 0.5_f64.powf(step.as_secs_f64() / half_life.as_secs_f64());
    let most = team.entitled * half_life.as_secs_f64() * EXCESS_MAX;
    team.excess_s *= fade;
    if hungry || team.dominant > team.entitled {
        team.excess_s += (team.dominant - team.entitled) * step.as_secs_f64();
    }
    team.excess_s = team.excess_s.clamp(-most, most);
}

fn note_under(team: &mut Team, hungry: bool, now: Instant) {
    let is_under = hungry && team.dominant < WELL_BELOW * team.entitled;
    if !is_under {
        team.under_since = None;
    } else if team.under_since.is_none() {
        team.under_since = Some(now);
    }
}

/// The team's turn: the least goes first.
#[must_use]
pub fn turn(team: &Team, used: f64, horizon: Duration) -> f64 {
    (used + team.excess_s / horizon.as_secs_f64()) / team.weight()
}
