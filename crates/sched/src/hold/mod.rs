//! Room that is kept on a worker for one task.
//!
//! Smaller tasks take every gap, so a larger one would wait for ever, and a team whose tasks are large would stay below its
//! share. So room is kept for a task that found none, if its team is below its share or the task has waited long: on
//! one worker, what becomes free goes to this task until it fits. The worker is the one, of some that are looked at, that
//! lacks least. Room is kept on a part of a pool's workers at most, for one task on each. It counts as used by the
//! team, so a team is kept no more than its share.

use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::Decisions;
use crate::order::{need, start};
use crate::reason::Reason;
use crate::state::{Hold, State, TaskState, dominant};

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
    let takes_tasks = state.workers.takes_tasks(vm, state.cfg.contact_max, now);
    if !is_waiting || !takes_tasks || hold.until <= now {
        if is_waiting {
            state.tasks[id].reason = Reason::Behind;
        }
        state.workers.unhold(vm);
        return;
    }
    let Some(need) = need(state, id) else {
        return;
    };
    let team = &state.teams[state.lanes[state.tasks[id].lane].team];
    let is_below_limit = team.running < team.usable(now);
    if is_below_limit && state.workers[vm].free_for_held().fits(&need) {
        state.workers.unhold(vm);
        start(
            state,
            id,
            vm,
            need,
            Reason::PlacedOnHold { worker: vm },
            now,
            out,
        );
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

/// Keeps room for tasks that waited too long.
pub fn hold_for_old(
    state: &mut State,
    scratch: &mut HoldScratch,
    unplaced: &[TaskId],
    now: Instant,
) {
    for id in unplaced {
        let task = &state.tasks[*id];
        let class = state.lanes[task.lane].class;
        let waited = now.saturating_duration_since(task.submitted);
        if class == Class::Urgent || waited < state.cfg.hold_after(class) {
            continue;
        }
        if let Some(need) = need(state, *id) {
            hold_room(state, scratch, *id, need, now);
        }
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

/// Keeps room for a task on the worker, of some that are looked at, that lacks least. Returns false if there is none.
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
    let Some(vm) = nearest(state, scratch, id, &need) else {
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

fn nearest(state: &State, scratch: &mut HoldScratch, id: TaskId, need: &Resources) -> Option<VmId> {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    let avoid = &state.tasks[id].avoid;
    let may_avoid = avoid.len() < index.vms.len();
    let mut best: Option<(f64, VmId)> = None;
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
        let lacks = dominant(&(*need - worker.free()), &worker.capacity);
        if best.is_none_or(|(least, _)| lacks < least) {
            best = Some((lacks, vm));
        }
    }
    best.map(|(_, vm)| vm)
}
