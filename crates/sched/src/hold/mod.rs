//! Workers that are kept free for one task.
//!
//! A task that waited long without room would wait for ever if smaller ones took every gap. So a worker is held for
//! it: it gets no other task until this one fits. The worker is the one that is expected to have room soonest. Only a
//! small part of a pool is held at one time; the oldest waiting tasks come first.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::Decisions;
use crate::estimate::run_time;
use crate::order::{need, start};
use crate::reason::Reason;
use crate::state::{Hold, State, TaskState};

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
    if is_below_limit && state.workers[vm].free().fits(&need) {
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

/// Holds workers for tasks that waited too long without room.
pub fn hold_for_old(state: &mut State, unplaced: &[TaskId], now: Instant) {
    for id in unplaced {
        let task = &state.tasks[*id];
        let class = state.lanes[task.lane].class;
        let waited = now.saturating_duration_since(task.submitted);
        let is_held = matches!(task.reason, Reason::Held { .. } | Reason::Preempting { .. });
        if class == Class::Urgent || is_held || waited < state.cfg.hold_after(class) {
            continue;
        }
        if let Some((vm, need)) = soonest(state, *id, now) {
            let until = now + state.cfg.hold_max;
            let hold = Hold {
                task: *id,
                until,
                is_preempting: false,
            };
            state.workers.hold(vm, hold);
            state.tasks[*id].reason = Reason::Held { worker: vm };
            debug_assert!(state.workers[vm].capacity.fits(&need));
        }
    }
}

/// Whether one more worker of the task's pool may be held.
#[must_use]
pub fn may_hold(state: &State, id: TaskId) -> bool {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    index.held < (index.vms.len() * state.cfg.held_percent_max / 100).max(1)
}

/// The worker that is expected to have room for a task soonest.
fn soonest(state: &State, id: TaskId, now: Instant) -> Option<(VmId, Resources)> {
    if !may_hold(state, id) {
        return None;
    }
    let need = need(state, id)?;
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    let avoid = &state.tasks[id].avoid;
    let may_avoid = avoid.len() < index.vms.len();
    let usable = |vm: &VmId| {
        let worker = &state.workers[*vm];
        worker.hold.is_none()
            && worker.capacity.fits(&need)
            && state.workers.takes_tasks(*vm, state.cfg.contact_max, now)
            && !(may_avoid && avoid.contains(vm))
    };
    let candidates = index.vms.iter().copied().filter(usable);
    let best = candidates.min_by_key(|vm| room_after(state, *vm, &need, now))?;
    Some((best, need))
}

/// After which time `vm` is expected to have room for `need`, if it gets no other task.
fn room_after(state: &State, vm: VmId, need: &Resources, now: Instant) -> Duration {
    let worker = &state.workers[vm];
    let mut ends: Vec<(Duration, Resources)> = Vec::with_capacity(worker.tasks.len());
    for id in &worker.tasks {
        if let Some(run) = state.tasks[*id].run() {
            ends.push((rest(state, *id, run.since, now), run.reserved));
        }
    }
    ends.sort_unstable_by_key(|(after, _)| *after);
    let mut reserved = worker.reserved;
    for (after, freed) in ends {
        if (worker.capacity - reserved).fits(need) {
            return Duration::ZERO;
        }
        reserved -= freed;
        if (worker.capacity - reserved).fits(need) {
            return after;
        }
    }
    Duration::ZERO
}

/// How long a running task is still expected to run.
#[must_use]
pub fn rest(state: &State, id: TaskId, since: Instant, now: Instant) -> Duration {
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
