//! Room that is kept on a worker for one task.
//!
//! Smaller tasks take every gap, so a larger one would wait for ever, and a team whose tasks are large would stay below its
//! share. So room is kept for a task that found none, if its team is below its share, or for one old task of a lane
//! if its team is not far above its share: on one worker, what becomes free goes to this task until
//! it fits. The worker is the one, of some that are looked at, that is expected to have room soonest. Room is kept on a part of a pool's workers at most, for one task on each. It counts as used by the
//! team, so a team is kept no more than its share.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use crate::decision::Decisions;
use crate::estimate::run_time;
use crate::order::start;
use crate::reason::Reason;
use crate::state::{Availability, Hold, Standing, State, TaskState};

/// Starts tasks whose held worker has room, and ends holds that are of no more use.
pub fn serve(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if let Some(hold) = state.workers[vm].hold {
            serve_one(state, vm, hold, now, out);
        }
    }
}

fn serve_one(state: &mut State, vm: VmId, hold: Hold, now: Instant, out: &mut Decisions) {
    let id = hold.task;
    let is_waiting = matches!(state.tasks[id].state, TaskState::Waiting)
        && state.tasks[id].reason == held_reason(state, vm, &hold);
    let worker = &state.workers[vm];
    // A worker that is closed for a moment keeps its hold, so that what has become free there is not lost.
    let is_usable = worker.availability == Availability::Open
        && !matches!(worker.standing, Standing::Ejected { .. });
    if !is_waiting || !is_usable || hold.until <= now {
        if is_waiting {
            state.tasks[id].reason = Reason::Behind;
        }
        state.workers.unhold(vm);
        return;
    }
    let takes_tasks = state.workers.takes_tasks(vm, state.cfg.contact_max, now);
    let team = &state.teams[state.lanes[state.tasks[id].lane].team];
    let is_below_limit = team.running < team.usable(now);
    let has_room = state.workers[vm].free_for_held().fits(&hold.need);
    if takes_tasks && is_below_limit && has_room {
        state.workers.unhold(vm);
        let reason = Reason::PlacedOnHold { worker: vm };
        start(state, id, vm, hold.need, reason, now, out);
    }
}

/// The reason that a task carries while `vm` is held for it.
fn held_reason(state: &State, vm: VmId, hold: &Hold) -> Reason {
    match state.tasks[hold.task].reason {
        Reason::Preempting { worker, tasks } if worker == vm && hold.is_preempting => {
            Reason::Preempting { worker, tasks }
        }
        _ => Reason::Held { worker: vm },
    }
}

/// Whether room may be kept on one more worker of the task's pool.
#[must_use]
pub fn may_hold(state: &State, id: TaskId) -> bool {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    index.held < (index.vms.len() * state.cfg.held_percent_max / 100).max(1)
}

/// What [`hold_room`] keeps from call to call.
#[derive(Debug, Default)]
pub struct HoldScratch {
    /// Where the search for a worker goes on.
    cursor: usize,
}

/// Keeps room for a task on the worker, of some that are looked at, that has room soonest. Returns false if there is none.
pub fn hold_room(
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
        let after = room_after(state, vm, need, now);
        if best.is_none_or(|(least, _)| after < least) {
            best = Some((after, vm));
        }
    }
    best.map(|(_, vm)| vm)
}

/// After which time `vm` is expected to have room for `need`, if it gets no other task.
fn room_after(state: &State, vm: VmId, need: &Resources, now: Instant) -> Duration {
    let worker = &state.workers[vm];
    let mut ends: SmallVec<[(Duration, Resources); 32]> = SmallVec::new();
    for id in &worker.tasks {
        if let Some(run) = state.tasks[*id].run() {
            ends.push((rest(state, *id, run.since, now), run.reserved));
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

/// How long a running task is still expected to run.
fn rest(state: &State, id: TaskId, since: Instant, now: Instant) -> Duration {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let class = &state.classes[lane.class.index()];
    let expected = run_time(task.declared_run, &lane.observed, class);
    let passed = now.saturating_duration_since(since);
    // A task that outran its estimate is expected to go on for as long again.
    match expected.checked_sub(passed) {
        Some(rest) if !rest.is_zero() => rest,
        _ => passed,
    }
}
