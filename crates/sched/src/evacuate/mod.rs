//! Workers that drain: tasks that would hold one up for long save their state and go on elsewhere.
//!
//! A drain waits for what ends soon. A task gives way if it is expected to run longer than a move of it is worth by the
//! catalogue's weights, or if the drain has waited for as long. One that can't save its state is waited for; whoever drains
//! the worker gives up in the end. The drain is stored, so a later scheduler decides the same.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};

use crate::decision::{CommandKind, Decisions};
use crate::estimate::run_time;
use crate::preempt::{may_give_way, tell};
use crate::reason::Reason;
use crate::state::State;

/// Tells the tasks on draining workers to give way that are worth a move.
pub fn run(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        let Some(since) = state.workers[vm].draining_since else {
            continue;
        };
        for id in state.workers[vm].tasks.clone() {
            if may_give_way(state, id) && is_worth(state, id, since, now) {
                let reason = Reason::Drained { worker: vm };
                tell(state, id, CommandKind::Checkpoint, reason, now, out);
            }
        }
    }
}

/// Whether waiting for a task weighs more than moving it.
fn is_worth(state: &State, id: TaskId, since: Instant, now: Instant) -> bool {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return false;
    };
    let lane = &state.lanes[task.lane];
    let class = &state.classes[lane.class.index()];
    let expected = run_time(task.declared_run, &lane.observed, class);
    let left = expected.saturating_sub(now.saturating_duration_since(run.since));
    let waited = now.saturating_duration_since(since);
    left.max(waited) > state.cfg.move_worth
}
