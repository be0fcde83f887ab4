//! The order in which waiting tasks start.
//!
//! A heap holds the teams that have waiting tasks, ordered by [`share::normalized_usage`]; each lane is a heap of its
//! tasks by due time. Urgent tasks of all teams come first, then all other tasks. The next task is of the team with the
//! least normalized usage, and only while the team is below its upper limit here; in a pool that is nearly full, only
//! while the team is not above its share (`lend`). Within a team, a lane whose first task is past its latest start
//! comes first, by due time; else the lane with the least usage for the weight of its class, so that batch work always
//! advances beside interactive work. Within a lane, tasks start by due time. Every task has a due time, so none
//! starves.
//!
//! A task that fits no worker lets a few tasks behind it be tried, and then a worker is held for it ([`crate::hold`]).

mod lend;

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{SecondaryMap, TaskId, TeamId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::{Decisions, Start};
use crate::estimate::{larger, run_time};
use crate::hold::{HoldScratch, hold_worker};
use crate::place::{PlaceScratch, fits_empty_worker, has_free_capacity, place};
use crate::reason::Reason;
use crate::share;
use crate::state::{Entry, LaneId, Phase, Progress, Run, State, dominant};
use lend::Lending;

/// The weight of interactive work against batch work of the same team, when both wait.
const INTERACTIVE_WEIGHT: f64 = 4.0;

/// The usage up to which workers are held for a team, relative to its fair share and with held capacity counted as
/// used. Above 1, since a team that was below its share in the past catches up.
const HOLD_SHARE_RATIO_MAX: f64 = 1.3;

/// The same bound when the worker is held for a task that has waited past `hold_after`.
const HOLD_OLD_SHARE_RATIO_MAX: f64 = 1.1;

/// A team with waiting tasks and its normalized usage.
#[derive(Debug)]
struct QueuedTeam {
    usage: f64,
    team: TeamId,
}

impl PartialEq for QueuedTeam {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedTeam {}

impl PartialOrd for QueuedTeam {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedTeam {
    /// Orders the least usage last, since [`BinaryHeap`] pops the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .usage
            .total_cmp(&self.usage)
            .then_with(|| other.team.cmp(&self.team))
    }
}

/// The classes that are started together: urgent tasks first, then all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClassGroup {
    Urgent,
    Others,
}

impl ClassGroup {
    const fn takes(self, class: Class) -> bool {
        matches!(
            (self, class),
            (Self::Urgent, Class::Urgent) | (Self::Others, Class::Interactive | Class::Batch)
        )
    }
}

/// The memory that [`start_waiting`] reuses from round to round.
#[derive(Debug, Default)]
pub struct OrderScratch {
    queued_teams: BinaryHeap<QueuedTeam>,
    deferred: Vec<(LaneId, Entry)>,
    tried: SecondaryMap<LaneId, u32>,
    /// The number of tasks of a lane for which a worker is held.
    held: SecondaryMap<LaneId, u32>,
    /// The usage per unit of weight to which each backlogged team is entitled.
    level: f64,
    holds: HoldScratch,
    lending: Lending,
    /// The usage of each team, with what this round has started and holds.
    used: SecondaryMap<TeamId, Resources>,
    /// The tasks that fitted no worker, in the order in which they were tried: urgent ones first.
    pub unplaced: Vec<TaskId>,
}

/// Starts waiting tasks until no further one fits a worker, or until the round has reached `starts_max`.
pub fn start_waiting(
    state: &mut State,
    scratch: &mut OrderScratch,
    places: &mut PlaceScratch,
    level: f64,
    now: Instant,
    out: &mut Decisions,
) {
    scratch.level = level;
    scratch.unplaced.clear();
    scratch.tried.clear();
    scratch.held.clear();
    for (id, team) in state.teams.iter() {
        scratch.used[id] = team.charge + team.elsewhere;
    }
    count_held(state, scratch);
    for group in [ClassGroup::Urgent, ClassGroup::Others] {
        start_group(state, scratch, places, group, now, out);
    }
    for (lane, entry) in scratch.deferred.drain(..) {
        state.lanes[lane].push(entry);
    }
}

/// Counts the capacity that is held for tasks of a team as used by the team.
fn count_held(state: &State, scratch: &mut OrderScratch) {
    for (_, worker) in state.workers.iter() {
        if let Some(hold) = worker.hold {
            let lane = state.tasks[hold.task].lane;
            scratch.used[state.lanes[lane].team] += hold.need;
            scratch.held[lane] += 1;
        }
    }
}

fn start_group(
    state: &mut State,
    scratch: &mut OrderScratch,
    places: &mut PlaceScratch,
    group: ClassGroup,
    now: Instant,
    out: &mut Decisions,
) {
    let whole = state.total_capacity();
    if group == ClassGroup::Others {
        mark_starved_pools(state, scratch, &whole, now);
    }
    scratch.queued_teams.clear();
    for id in state.teams.ids() {
        push_team(state, scratch, id, &whole);
    }
    while let Some(QueuedTeam { team, .. }) = scratch.queued_teams.pop() {
        if out.starts.len() >= state.cfg.starts_max {
            return;
        }
        if state.teams[team].running >= state.teams[team].usable(now) {
            continue;
        }
        let Some(lane) = next_lane(state, scratch, team, group, now) else {
            continue;
        };
        try_first(state, scratch, places, lane, now, out);
        push_team(state, scratch, team, &whole);
    }
}

/// Marks the pools for which teams below their share have tasks waiting.
fn mark_starved_pools(state: &State, scratch: &mut OrderScratch, whole: &Resources, now: Instant) {
    scratch.lending.begin(state);
    for (id, team) in state.teams.iter() {
        if team.running >= team.usable(now) || usage_of(state, scratch, id, whole) >= scratch.level
        {
            continue;
        }
        for id in &team.lanes {
            let lane = &state.lanes[*id];
            if lane.waiting > 0 && !is_throttled(state, *id) {
                scratch.lending.mark_starved(lane.pool);
            }
        }
    }
}

fn usage_of(state: &State, scratch: &OrderScratch, id: TeamId, whole: &Resources) -> f64 {
    let used = dominant(&scratch.used[id], whole);
    share::normalized_usage(&state.teams[id], used, state.cfg.share_horizon)
}

fn push_team(state: &State, scratch: &mut OrderScratch, id: TeamId, whole: &Resources) {
    let team = &state.teams[id];
    if !team.is_known
        || team
            .lanes
            .iter()
            .all(|lane| state.lanes[*lane].waiting == 0)
    {
        return;
    }
    let usage = usage_of(state, scratch, id, whole);
    scratch.queued_teams.push(QueuedTeam { usage, team: id });
}

/// Returns the lane of `team` whose first task starts next, or none if no lane may start a task.
fn next_lane(
    state: &mut State,
    scratch: &OrderScratch,
    team: TeamId,
    group: ClassGroup,
    now: Instant,
) -> Option<LaneId> {
    let whole = state.total_capacity();
    let is_above_share =
        group == ClassGroup::Others && usage_of(state, scratch, team, &whole) > scratch.level;
    let mut best: Option<(Rank, LaneId)> = None;
    for index in 0..state.teams[team].lanes.len() {
        let id = state.teams[team].lanes[index];
        let lane = &state.lanes[id];
        let has_used_lookahead = scratch.tried[id] >= state.cfg.lookahead_tasks;
        if lane.waiting == 0
            || !group.takes(lane.class)
            || has_used_lookahead
            || is_throttled(state, id)
        {
            continue;
        }
        if is_above_share && scratch.lending.is_closed(lane.pool) {
            mark_above_share(state, id);
            continue;
        }
        let Some(entry) = state.lanes[id].peek(&state.tasks) else {
            continue;
        };
        let rank = rank(state, id, &entry, &whole, now);
        if best.as_ref().is_none_or(|(least, _)| rank.is_before(least)) {
            best = Some((rank, id));
        }
    }
    best.map(|(_, id)| id)
}

/// Sets the reason of the first waiting task of a lane whose team is above its share.
fn mark_above_share(state: &mut State, id: LaneId) {
    let Some(Entry { task, .. }) = state.lanes[id].peek(&state.tasks) else {
        return;
    };
    let reason = &state.tasks[task].reason;
    if matches!(reason, Reason::Held { .. } | Reason::Preempting { .. }) {
        return;
    }
    let Some(estimate) = need(state, task) else {
        return;
    };
    state.tasks[task].reason = if has_free_capacity(state, task, &estimate) {
        Reason::AboveShare
    } else {
        Reason::NoFreeCapacity { estimate }
    };
}

/// Returns whether a lane that fails on several workers already runs as many tasks as it may.
#[must_use]
pub fn is_throttled(state: &State, id: LaneId) -> bool {
    let lane = &state.lanes[id];
    lane.failed_on.len() >= state.cfg.lane_failed_workers
        && lane.running >= state.cfg.suspect_lane_running
}

/// The rank of a lane among the lanes of its team: late lanes by due time, then the others by weighted usage.
#[derive(Debug)]
enum Rank {
    Late(Instant),
    Usage(f64),
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Late(a), Self::Late(b)) => a < b,
            (Self::Late(_), Self::Usage(_)) => true,
            (Self::Usage(_), Self::Late(_)) => false,
            (Self::Usage(a), Self::Usage(b)) => a < b,
        }
    }
}

fn rank(state: &State, id: LaneId, entry: &Entry, whole: &Resources, now: Instant) -> Rank {
    let lane = &state.lanes[id];
    let declared = state.tasks[entry.task].declared_run;
    let run = run_time(declared, &lane.observed, &state.classes[lane.class.index()]);
    if now + run >= entry.due {
        return Rank::Late(entry.due);
    }
    let weight = match lane.class {
        Class::Urgent | Class::Interactive => INTERACTIVE_WEIGHT,
        Class::Batch => 1.0,
    };
    Rank::Usage(dominant(&lane.charge, whole) / weight)
}

/// Pops the first task of a lane and starts, parks or defers it.
fn try_first(
    state: &mut State,
    scratch: &mut OrderScratch,
    places: &mut PlaceScratch,
    lane: LaneId,
    now: Instant,
    out: &mut Decisions,
) {
    let Some(entry) = state.lanes[lane].pop(&state.tasks) else {
        return;
    };
    let id = entry.task;
    if matches!(
        state.tasks[id].reason,
        Reason::Held { .. } | Reason::Preempting { .. }
    ) {
        // The task starts on the worker that is held for it; the next task is tried.
        scratch.deferred.push((lane, entry));
        return;
    }
    let Some(need) = need(state, id) else {
        let declared = state.tasks[id].declared;
        state.park(id, Reason::NeverFits { declared });
        return;
    };
    if let Some(vm) = place(state, places, id, &need) {
        let reason = Reason::Placed {
            worker: vm,
            estimate: need,
        };
        let charge = start(state, id, vm, need, reason, now, out);
        scratch.used[state.lanes[lane].team] += charge;
        scratch.lending.add(state.lanes[lane].pool, &need);
        return;
    }
    defer(state, scratch, entry, lane, need);
    let team = state.lanes[lane].team;
    // Preemption frees capacity for an urgent task sooner than a hold does.
    let is_urgent = state.lanes[lane].class == Class::Urgent;
    let may_hold =
        is_below_share(state, scratch, team) || may_hold_for_old(state, scratch, id, now);
    if !is_urgent && may_hold && hold_worker(state, &mut scratch.holds, id, need, now) {
        scratch.used[team] += need;
        scratch.held[lane] += 1;
    }
}

/// Returns whether a task has waited so long that a worker is held for it although its team has its share. At most one
/// task of a lane is held for at a time.
fn may_hold_for_old(state: &State, scratch: &OrderScratch, id: TaskId, now: Instant) -> bool {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let waited = now.saturating_duration_since(task.submitted);
    let used = dominant(&scratch.used[lane.team], &state.total_capacity());
    let team = &state.teams[lane.team];
    waited >= state.cfg.hold_after(lane.class)
        && scratch.held[task.lane] == 0
        && used < HOLD_OLD_SHARE_RATIO_MAX * scratch.level * team.weight()
}

/// Returns whether the normalized usage of a team is below the fair level, and its usage below the bound for holds.
fn is_below_share(state: &State, scratch: &OrderScratch, id: TeamId) -> bool {
    let team = &state.teams[id];
    let whole = state.total_capacity();
    let used = dominant(&scratch.used[id], &whole);
    usage_of(state, scratch, id, &whole) < scratch.level
        && used < HOLD_SHARE_RATIO_MAX * scratch.level * team.weight()
}

/// Keeps a task that fitted no worker out of its lane for the rest of the round.
fn defer(
    state: &mut State,
    scratch: &mut OrderScratch,
    entry: Entry,
    lane: LaneId,
    need: Resources,
) {
    let has_workers = state.workers.in_pool(state.lanes[lane].pool).open > 0;
    let task = &mut state.tasks[entry.task];
    if !matches!(task.reason, Reason::Held { .. } | Reason::Preempting { .. }) {
        task.reason = if has_workers {
            Reason::NoFreeCapacity { estimate: need }
        } else {
            Reason::NoWorker
        };
    }
    scratch.unplaced.push(entry.task);
    scratch.deferred.push((lane, entry));
    scratch.tried[lane] += 1;
}

/// Returns what a waiting task reserves: its estimate, or its declared size if only that fits an empty worker. Returns
/// none if neither fits any worker of the pool while the pool has workers.
#[must_use]
pub fn need(state: &State, id: TaskId) -> Option<Resources> {
    let estimate = state.estimate(id, state.cfg.size_quantile_permille);
    let lane = &state.lanes[state.tasks[id].lane];
    if state.workers.in_pool(lane.pool).vms.is_empty() || fits_empty_worker(state, id, &estimate) {
        return Some(estimate);
    }
    let declared = state.tasks[id].declared;
    fits_empty_worker(state, id, &declared).then_some(declared)
}

/// Assigns a task to a worker and adds its start to `out`. Returns what the team of the task is charged.
pub fn start(
    state: &mut State,
    id: TaskId,
    vm: VmId,
    reserved: Resources,
    reason: Reason,
    now: Instant,
    out: &mut Decisions,
) -> Resources {
    let charge = state.estimate(id, 500);
    let task = &mut state.tasks[id];
    task.reason = reason.clone();
    let attempt = task.attempt + 1;
    out.starts.push(Start {
        task: id,
        key: task.key,
        worker: vm,
        attempt,
        resources: larger(&reserved, &task.declared),
        resume: task.progress == Progress::Checkpointed,
        reason,
    });
    let run = Run {
        worker: vm,
        attempt,
        since: now,
        phase: Phase::Starting,
        settled_at: now + state.cfg.call_max,
        counted_until: now + state.cfg.lease_bound(),
        renew_at: now + state.cfg.renew_after,
        reserved,
        charge,
        used: Resources::ZERO,
        peak: Resources::ZERO,
        reports: 0,
        is_learned: false,
        is_throttled: false,
        stop: None,
    };
    state.assign(id, run);
    charge
}
