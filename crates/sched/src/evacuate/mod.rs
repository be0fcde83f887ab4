//! Evacuation of draining workers: tasks that would delay a drain for long save their state and resume on another
//! worker.
//!
//! A drain waits for tasks that end soon. A task is preempted if its expected remaining run, or the time for which the
//! drain has waited, exceeds the cost of a move by the weights of the catalogue. A task that cannot save its state is
//! waited for; the operation that drains the worker has its own limit. The drain is stored, so a later scheduler makes
//! the same decision.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};

use crate::decision::{CommandKind, Decisions};
use crate::estimate::run_time;
use crate::preempt::{is_preemptible, issue_command};
use crate::reason::Reason;
use crate::state::State;

/// Preempts the tasks on draining workers for which waiting costs more than moving them.
pub fn run(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        let Some(since) = state.workers[vm].draining_since else {
            continue;
        };
        for id in state.workers[vm].tasks.clone() {
            if is_preemptible(state, id) && exceeds_move_cost(state, id, since, now) {
                let reason = Reason::Drained { worker: vm };
                issue_command(state, id, CommandKind::Checkpoint, reason, now, out);
            }
        }
    }
}

/// Returns whether waiting for a task costs more than moving it.
fn exceeds_move_cost(state: &State, id: TaskId, since: Instant, now: Instant) -> bool {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return false;
    };
    let lane = &state.lanes[task.lane];
    let class = &state.classes[lane.class.index()];
    let expected = run_time(task.declared_run, &lane.observed, class);
    let left = expected.saturating_sub(now.saturating_duration_since(run.since));
    let waited = now.saturating_duration_since(since);
    left.max(waited) > state.cfg.move_cost
}
