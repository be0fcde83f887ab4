//! Overload of workers: actions against usage above the capacity.
//!
//! The actions become stronger while the overload lasts: throttle, then checkpoint, then stop. Each applies to one of
//! the tasks for which it is possible: tasks that use more than they declare come first, then those with the least cost
//! of preemption. Memory cannot be throttled, so an overload of memory starts with a checkpoint. A task that may not
//! run again is never stopped for an overload.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::{CommandKind, Decisions};
use crate::preempt::{cost, issue_command};
use crate::reason::Reason;
use crate::state::{Phase, State};

/// Checks each worker that has reported since the last round.
pub fn reduce_overload(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if state.workers[vm].has_new_report {
            state.workers[vm].has_new_report = false;
            reduce_overload_on(state, vm, now, out);
        }
    }
}

fn reduce_overload_on(state: &mut State, vm: VmId, now: Instant, out: &mut Decisions) {
    let used = used(state, vm);
    let worker = &state.workers[vm];
    if worker.capacity.fits(&used) {
        state.workers[vm].overload = None;
        return;
    }
    let memory_over = used.memory_bytes > worker.capacity.memory_bytes;
    let (since, actions) = worker.overload.unwrap_or((now, 0));
    let passed = now.saturating_duration_since(since);
    if actions > 0 && passed < state.cfg.overload_step * actions {
        return;
    }
    let step = if memory_over { actions + 1 } else { actions };
    if let Some((kind, id)) = select_action(state, vm, step, now) {
        let reason = Reason::Overload { worker: vm, used };
        issue_command(state, id, kind, reason, now, out);
    }
    state.workers[vm].overload = Some((since, actions + 1));
}

/// Returns the sum of the last reported usage of the tasks on `vm`.
#[must_use]
pub fn used(state: &State, vm: VmId) -> Resources {
    let tasks = state.workers[vm].tasks.iter();
    let runs = tasks.filter_map(|id| state.tasks[*id].run());
    runs.fold(Resources::ZERO, |sum, run| sum + run.used)
}

/// Returns the action of strength `step`, or the next stronger one that is possible, with its task.
fn select_action(
    state: &State,
    vm: VmId,
    step: u32,
    now: Instant,
) -> Option<(CommandKind, TaskId)> {
    let kinds = [
        CommandKind::Throttle,
        CommandKind::Checkpoint,
        CommandKind::Stop,
    ];
    let first = usize::try_from(step)
        .unwrap_or(kinds.len())
        .min(kinds.len() - 1);
    kinds[first..]
        .iter()
        .find_map(|kind| Some((*kind, cheapest(state, vm, *kind, now)?)))
}

/// Returns whether a task uses no more than it declares.
fn is_within_declared(state: &State, id: TaskId) -> bool {
    let task = &state.tasks[id];
    task.run().is_none_or(|run| task.declared.fits(&run.used))
}

/// Returns the task to which an action of this kind is applied, if it is possible for any.
fn cheapest(state: &State, vm: VmId, kind: CommandKind, now: Instant) -> Option<TaskId> {
    let applies = |id: &TaskId| {
        let task = &state.tasks[*id];
        let Some(run) = task.run() else {
            return false;
        };
        matches!(run.phase, Phase::Confirmed)
            && match kind {
                CommandKind::Throttle => !run.is_throttled,
                CommandKind::Checkpoint => task.checkpointable,
                CommandKind::Stop => task.idempotent,
                CommandKind::Renew => false,
            }
    };
    let tasks = state.workers[vm].tasks.iter().copied().filter(applies);
    tasks.min_by(|a, b| {
        let exceeding_first = is_within_declared(state, *a).cmp(&is_within_declared(state, *b));
        exceeding_first.then(cost(state, *a, now).total_cmp(&cost(state, *b, now)))
    })
}
