//! Which task starts next.
//!
//! Urgent tasks come first, over all teams; then all others. Among teams the one with the least [`share::turn`] goes
//! first, and only while it is below its upper limit here; in a pool that is nearly full, only while it is not above
//! its share (`lend`). Inside a team, lanes whose first task is past its latest
//! start come first, by due time; else the lane that uses least for the weight of its class, so that batch work
//! always advances beside interactive work. Inside a lane, tasks go by due time, and every task has one, so none
//! waits for ever. A task that finds no room lets a few after it be tried, and is then held a worker for
//! ([`crate::hold`]).

mod lend;

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{SecondaryMap, TaskId, TeamId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::{Decisions, Start};
use crate::estimate::{larger, run_time};
use crate::hold::{HoldScratch, hold_room};
use crate::place::{PlaceScratch, could_ever_fit, has_room, place};
use crate::reason::Reason;
use crate::share;
use crate::state::{Entry, LaneId, Phase, Progress, Run, State, dominant};
use lend::Lending;

/// How much more interactive than batch work of one team runs when both wait.
const INTERACTIVE_WEIGHT: f64 = 4.0;

/// How far a team's usage with the room that is kept for it may pass its entitlement, to make up for the past.
const HELD_MAX: f64 = 1.3;

/// How far the same may pass it for a task that has waited long.
const HELD_OLD_MAX: f64 = 1.1;

/// A team's place in the order.
#[derive(Debug)]
struct Turn {
    turn: f64,
    team: TeamId,
}

impl PartialEq for Turn {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Turn {}

impl PartialOrd for Turn {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Turn {
    /// The least turn is the greatest, since a heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .turn
            .total_cmp(&self.turn)
            .then_with(|| other.team.cmp(&self.team))
    }
}

/// What a round goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Round {
    Urgent,
    Others,
}

impl Round {
    const fn takes(self, class: Class) -> bool {
        matches!(
            (self, class),
            (Self::Urgent, Class::Urgent) | (Self::Others, Class::Interactive | Class::Batch)
        )
    }
}

/// What [`start_waiting`] keeps from round to round.
#[derive(Debug, Default)]
pub struct OrderScratch {
    turns: BinaryHeap<Turn>,
    stash: Vec<(LaneId, Entry)>,
    tried: SecondaryMap<LaneId, u32>,
    /// For how many tasks of a lane room is kept.
    held: SecondaryMap<LaneId, u32>,
    /// The usage for each unit of weight to which a hungry team is entitled.
    level: f64,
    holds: HoldScratch,
    lending: Lending,
    /// What each team uses, with what this round has started.
    used: SecondaryMap<TeamId, Resources>,
    /// The tasks that found no room, most urgent first.
    pub unplaced: Vec<TaskId>,
}

/// Starts waiting tasks until none finds room.
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
    for round in [Round::Urgent, Round::Others] {
        go_round(state, scratch, places, round, now, out);
    }
    for (lane, entry) in scratch.stash.drain(..) {
        state.lanes[lane].push(entry);
    }
}

/// Counts the room that is kept for a team's tasks as used.
fn count_held(state: &State, scratch: &mut OrderScratch) {
    for (_, worker) in state.workers.iter() {
        if let Some(hold) = worker.hold {
            let lane = state.tasks[hold.task].lane;
            scratch.used[state.lanes[lane].team] += hold.need;
            scratch.held[lane] += 1;
        }
    }
}

fn go_round(
    state: &mut State,
    scratch: &mut OrderScratch,
    places: &mut PlaceScratch,
    round: Round,
    now: Instant,
    out: &mut Decisions,
) {
    let whole = state.whole();
    if round == Round::Others {
        note_wants(state, scratch, &whole, now);
    }
    scratch.turns.clear();
    for id in state.teams.ids() {
        queue_up(state, scratch, id, &whole);
    }
    while let Some(Turn { team, .. }) = scratch.turns.pop() {
        if out.starts.len() >= state.cfg.starts_max {
            return;
        }
        if state.teams[team].running >= state.teams[team].usable(now) {
            continue;
        }
        let Some(lane) = next_lane(state, scratch, team, round, now) else {
            continue;
        };
        try_first(state, scratch, places, lane, now, out);
        queue_up(state, scratch, team, &whole);
    }
}

/// Notes in which pools teams below their share wait for room.
fn note_wants(state: &State, scratch: &mut OrderScratch, whole: &Resources, now: Instant) {
    scratch.lending.begin(state);
    for (id, team) in state.teams.iter() {
        if team.running >= team.usable(now) || turn_of(state, scratch, id, whole) >= scratch.level {
            continue;
        }
        for id in &team.lanes {
            let lane = &state.lanes[*id];
            if lane.waiting > 0 && !is_throttled(state, *id) {
                scratch.lending.want(lane.pool);
            }
        }
    }
}

fn turn_of(state: &State, scratch: &OrderScratch, id: TeamId, whole: &Resources) -> f64 {
    let used = dominant(&scratch.used[id], whole);
    share::turn(&state.teams[id], used, state.cfg.share_horizon)
}

fn queue_up(state: &State, scratch: &mut OrderScratch, id: TeamId, whole: &Resources) {
    let team = &state.teams[id];
    if !team.is_known
        || team
            .lanes
            .iter()
            .all(|lane| state.lanes[*lane].waiting == 0)
    {
        return;
    }
    let turn = turn_of(state, scratch, id, whole);
    scratch.turns.push(Turn { turn, team: id });
}

/// The lane of `team` whose first task is next.
fn next_lane(
    state: &mut State,
    scratch: &OrderScratch,
    team: TeamId,
    round: Round,
    now: Instant,
) -> Option<LaneId> {
    let whole = state.whole();
    let is_lent = round == Round::Others && turn_of(state, scratch, team, &whole) > scratch.level;
    let mut best: Option<(Rank, LaneId)> = None;
    for index in 0..state.teams[team].lanes.len() {
        let id = state.teams[team].lanes[index];
        let lane = &state.lanes[id];
        let is_done = scratch.tried[id] >= state.cfg.lookahead_tasks;
        if lane.waiting == 0 || !round.takes(lane.class) || is_done || is_throttled(state, id) {
            continue;
        }
        if is_lent && scratch.lending.is_closed(lane.pool) {
            note_above(state, id);
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

/// Notes why the first task of a lane whose team is above its share waits.
fn note_above(state: &mut State, id: LaneId) {
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
    state.tasks[task].reason = if has_room(state, task, &estimate) {
        Reason::AboveShare
    } else {
        Reason::NoRoom { estimate }
    };
}

/// Whether a lane that fails everywhere has enough tasks running.
#[must_use]
pub fn is_throttled(state: &State, id: LaneId) -> bool {
    let lane = &state.lanes[id];
    lane.failed_on.len() >= state.cfg.lane_failed_workers
        && lane.running >= state.cfg.suspect_lane_running
}

/// A lane's place among those of its team.
#[derive(Debug)]
enum Rank {
    Late(Instant),
    Using(f64),
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Late(a), Self::Late(b)) => a < b,
            (Self::Late(_), Self::Using(_)) => true,
            (Self::Using(_), Self::Late(_)) => false,
            (Self::Using(a), Self::Using(b)) => a < b,
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
    Rank::Using(dominant(&lane.charge, whole) / weight)
}

/// Takes the first task of a lane and starts it, parks it, or puts it aside for this round.
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
        // Its room comes on the worker where it is kept; the next one is tried.
        scratch.stash.push((lane, entry));
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
    put_aside(state, scratch, entry, lane, need);
    let team = state.lanes[lane].team;
    // Others give way to an urgent task, which is sooner.
    let is_urgent = state.lanes[lane].class == Class::Urgent;
    let may_hold = is_below_share(state, scratch, team) || is_due_room(state, scratch, id, now);
    if !is_urgent && may_hold && hold_room(state, &mut scratch.holds, id, need, now) {
        scratch.used[team] += need;
        scratch.held[lane] += 1;
    }
}

/// Whether a task has waited so long that room is kept for it although its team has its share: one of a lane at a time.
fn is_due_room(state: &State, scratch: &OrderScratch, id: TaskId, now: Instant) -> bool {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let waited = now.saturating_duration_since(task.submitted);
    let used = dominant(&scratch.used[lane.team], &state.whole());
    let team = &state.teams[lane.team];
    waited >= state.cfg.hold_after(lane.class)
        && scratch.held[task.lane] == 0
        && used < HELD_OLD_MAX * scratch.level * team.weight()
}

/// Whether a team's usage, with its excess, is below what it is entitled to.
fn is_below_share(state: &State, scratch: &OrderScratch, id: TeamId) -> bool {
    let team = &state.teams[id];
    let whole = state.whole();
    let used = dominant(&scratch.used[id], &whole);
    turn_of(state, scratch, id, &whole) < scratch.level
        && used < HELD_MAX * scratch.level * team.weight()
}

fn put_aside(
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
            Reason::NoRoom { estimate: need }
        } else {
            Reason::NoWorker
        };
    }
    scratch.unplaced.push(entry.task);
    scratch.stash.push((lane, entry));
    scratch.tried[lane] += 1;
}

/// What a waiting task is packed by: its estimate, or what it declares if only that fits an empty worker. None if
/// nothing fits while the pool has workers.
#[must_use]
pub fn need(state: &State, id: TaskId) -> Option<Resources> {
    let estimate = state.estimate(id, state.cfg.size_quantile_permille);
    let lane = &state.lanes[state.tasks[id].lane];
    if state.workers.in_pool(lane.pool).vms.is_empty() || could_ever_fit(state, id, &estimate) {
        return Some(estimate);
    }
    let declared = state.tasks[id].declared;
    could_ever_fit(state, id, &declared).then_some(declared)
}

/// Books a task on a worker and decides its start. Returns what its team is charged.
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
    state.book(id, run);
    charge
}
