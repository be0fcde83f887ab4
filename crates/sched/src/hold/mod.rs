//! Holds: the free capacity of a worker is kept for one task.
//!
//! Smaller tasks fill every gap, so without holds a large task would wait for ever, and a team with large tasks would
//! stay below its share. A worker is held for a task that fitted none, if its team is below its share, or for one old
//! task of a lane, if its team is not far above its share. Capacity that becomes free on the worker goes to this task
//! until it fits. Of the workers examined, the one that is expected to fit the task soonest is held.
//!
//! Invariants: a worker has at most one hold; only a part of the workers of a pool is held. Held capacity counts as
//! used by the team, so a team is held no more than its share.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use crate::decision::Decisions;
use crate::estimate::run_time;
use crate::order::start;
use crate::reason::Reason;
use crate::state::{Availability, Health, Hold, State, TaskState};

/// Starts the tasks that fit the worker held for them, and releases holds that have expired or are of no use.
pub fn update_holds(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if let Some(hold) = state.workers[vm].hold {
            update_hold(state, vm, hold, now, out);
        }
    }
}

fn update_hold(state: &mut State, vm: VmId, hold: Hold, now: Instant, out: &mut Decisions) {
    let id = hold.task;
    let is_waiting = matches!(state.tasks[id].state, TaskState::Waiting)
        && state.tasks[id].reason == held_reason(state, vm, &hold);
    let worker = &state.workers[vm];
    // A worker that is closed temporarily keeps its hold, so that capacity that became free on it is not lost to the
    // task.
    let is_usable = worker.availability == Availability::Open
        && !matches!(worker.health, Health::Ejected { .. });
    if !is_waiting || !is_usable || hold.until <= now {
        if is_waiting {
            state.tasks[id].reason = Reason::Behind;
        }
        state.workers.release_hold(vm);
        return;
    }
    let takes_tasks = state.workers.takes_tasks(vm, state.cfg.contact_max, now);
    let team = &state.teams[state.lanes[state.tasks[id].lane].team];
    let is_below_limit = team.running < team.usable(now);
    let has_free_capacity = state.workers[vm].free_for_held().fits(&hold.need);
    if takes_tasks && is_below_limit && has_free_capacity {
        state.workers.release_hold(vm);
        let reason = Reason::PlacedOnHold { worker: vm };
        start(state, id, vm, hold.need, reason, now, out);
    }
}

/// Returns the reason that a task carries while `vm` is held for it.
fn held_reason(state: &State, vm: VmId, hold: &Hold) -> Reason {
    match state.tasks[hold.task].reason {
        Reason::Preempting { worker, tasks } if worker == vm && hold.is_preempting => {
            Reason::Preempting { worker, tasks }
        }
        _ => Reason::Held { worker: vm },
    }
}

/// Returns whether one more worker of the pool of a task may be held.
#[must_use]
pub fn may_hold(state: &State, id: TaskId) -> bool {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    index.held < (index.vms.len() * state.cfg.held_percent_max / 100).max(1)
}

/// The search state that [`hold_worker`] keeps from call to call.
#[derive(Debug, Default)]
pub struct HoldScratch {
    /// The position in the index of a pool at which the search for a worker continues.
    cursor: usize,
}

/// Holds the worker, of those examined, that is expected to fit the task soonest. Returns false if none was held.
pub fn hold_worker(
    state: &mut State,
    scratch: &mut HoldScratch,
    id: TaskId,
    need: Resources,
    now: Instant,
) -> bool {
    let reason = &state.tasks[id].reason;
    let is_held = matches!(reason, Reason::Held { .. } | Reason::Preempting { .. });
    if is_held || !may_hold(state, id) {
        return false;
    }
    let Some(vm) = soonest(state, scratch, id, &need, now) else {
        return false;
    };
    let hold = Hold {
        task: id,
        need,
        until: now + state.cfg.hold_max,
        is_preempting: false,
    };
    state.workers.hold(vm, hold);
    state.tasks[id].reason = Reason::Held { worker: vm };
    true
}

fn soonest(
    state: &State,
    scratch: &mut HoldScratch,
    id: TaskId,
    need: &Resources,
    now: Instant,
) -> Option<VmId> {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    let avoid = &state.tasks[id].avoid;
    let may_avoid = avoid.len() < index.vms.len();
    let mut best: Option<(Duration, VmId)> = None;
    for _ in 0..state.cfg.hold_search.min(index.vms.len()) {
        scratch.cursor = (scratch.cursor + 1) % index.vms.len();
        let vm = index.vms[scratch.cursor];
        let worker = &state.workers[vm];
        let is_usable = worker.hold.is_none()
            && worker.is_open()
            && worker.capacity.fits(need)
            && !(may_avoid && avoid.contains(&vm));
        if !is_usable {
            continue;
        }
        let after = free_after(state, vm, need, now);
        if best.is_none_or(|(least, _)| after < least) {
            best = Some((after, vm));
        }
    }
    best.map(|(_, vm)| vm)
}

/// Returns the time after which `vm` is expected to fit `need`, if it gets no other task.
fn free_after(state: &State, vm: VmId, need: &Resources, now: Instant) -> Duration {
    let worker = &state.workers[vm];
    let mut ends: SmallVec<[(Duration, Resources); 32]> = SmallVec::new();
    for id in &worker.tasks {
        if let Some(run) = state.tasks[*id].run() {
            ends.push((remaining(state, *id, run.since, now), run.reserved));
        }
    }
    ends.sort_unstable_by_key(|(after, _)| *after);
    let mut reserved = worker.reserved;
    let mut last = Duration::ZERO;
    for (after, freed) in ends {
        if (worker.capacity - reserved).fits(need) {
            break;
        }
        reserved -= freed;
        last = after;
    }
    last
}

/// Returns the expected remaining run time of a running task.
fn remaining(state: &State, id: TaskId, since: Instant, now: Instant) -> Duration {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let class = &state.classes[lane.class.index()];
    let expected = run_time(task.declared_run, &lane.observed, class);
    let passed = now.saturating_duration_since(since);
    // A task that has exceeded its estimate is expected to run for as long again as it has run.
    match expected.checked_sub(passed) {
        Some(remaining) if !remaining.is_zero() => remaining,
        _ => passed,
    }
}
