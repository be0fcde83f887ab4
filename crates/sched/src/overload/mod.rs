//! A worker whose tasks measure above its capacity.
//!
//! The measures grow stronger while the overload lasts: throttle, then checkpoint, then stop; each takes, of the
//! tasks that it can be applied to, those that use more than they declare first, and the lowest value first. Memory can't be throttled, so an overload of memory starts with a
//! checkpoint. A task that may not be run again is never stopped for this.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::decision::{CommandKind, Decisions};
use crate::preempt::{tell, value};
use crate::reason::Reason;
use crate::state::{Phase, State};

/// Looks at each worker that has reported since the last round.
pub fn relieve(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if state.workers[vm].has_news {
            state.workers[vm].has_news = false;
            relieve_one(state, vm, now, out);
        }
    }
}

fn relieve_one(state: &mut State, vm: VmId, now: Instant, out: &mut Decisions) {
    let used = used(state, vm);
    let worker = &state.workers[vm];
    if worker.capacity.fits(&used) {
        state.workers[vm].overload = None;
        return;
    }
    let memory_over = used.memory_bytes > worker.capacity.memory_bytes;
    let (since, taken) = worker.overload.unwrap_or((now, 0));
    let passed = now.saturating_duration_since(since);
    if taken > 0 && passed < state.cfg.overload_step * taken {
        return;
    }
    let step = if memory_over { taken + 1 } else { taken };
    if let Some((kind, id)) = measure(state, vm, step, now) {
        let reason = Reason::Overload { worker: vm, used };
        tell(state, id, kind, reason, now, out);
    }
    state.workers[vm].overload = Some((since, taken + 1));
}

/// What the tasks on `vm` used at its last report.
#[must_use]
pub fn used(state: &State, vm: VmId) -> Resources {
    let tasks = state.workers[vm].tasks.iter();
    let runs = tasks.filter_map(|id| state.tasks[*id].run());
    runs.fold(Resources::ZERO, |sum, run| sum + run.used)
}

/// The measure of strength `step`, or the next stronger one that can be applied, and its task.
fn measure(state: &State, vm: VmId, step: u32, now: Instant) -> Option<(CommandKind, TaskId)> {
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
        .find_map(|kind| Some((*kind, least(state, vm, *kind, now)?)))
}

/// Whether a task uses no more than it declares.
fn is_within_declared(state: &State, id: TaskId) -> bool {
    let task = &state.tasks[id];
    task.run().is_none_or(|run| task.declared.fits(&run.used))
}

fn least(state: &State, vm: VmId, kind: CommandKind, now: Instant) -> Option<TaskId> {
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
        let offenders_first = is_within_declared(state, *a).cmp(&is_within_declared(state, *b));
        offenders_first.then(value(state, *a, now).total_cmp(&value(state, *b, now)))
    })
}
