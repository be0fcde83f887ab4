//! Workers that fail all they start, told apart from jobs that fail everywhere.
//!
//! A failure is blamed on its worker, except if the lane has failed on several workers since its last success: then it
//! is the lane's own, and only a few of its tasks run at one time. A worker with several failures in a row, each of
//! another task, is ejected: it gets no task for a time that doubles, then one at a time until one ends well. Only a part
//! of a pool is ejected at one time. The tries that it spoilt don't count against their tasks.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};

use crate::state::{LaneId, Standing, State};

/// Notes that a task ended well on `vm`.
pub fn note_success(state: &mut State, vm: VmId, lane: LaneId) {
    state.lanes[lane].failed_on.clear();
    let worker = &mut state.workers[vm];
    worker.blamed.clear();
    if matches!(worker.standing, Standing::Probation { .. }) {
        state.workers.set_standing(vm, Standing::Good);
    }
}

/// Notes that a task failed on `vm`, and ejects the worker if it has failed too often in a row.
pub fn note_failure(state: &mut State, vm: VmId, lane: LaneId, task: TaskId, now: Instant) {
    let failed_on = &mut state.lanes[lane].failed_on;
    if !failed_on.contains(&vm) && failed_on.len() < state.cfg.lane_failed_workers {
        failed_on.push(vm);
    }
    if failed_on.len() >= state.cfg.lane_failed_workers {
        clear_blame(state, lane);
        return;
    }
    let worker = &mut state.workers[vm];
    if !worker.blamed.contains(&task) {
        worker.blamed.push(task);
    }
    let failures = u32::try_from(worker.blamed.len()).unwrap_or(u32::MAX);
    match worker.standing {
        Standing::Probation { times } => eject(state, vm, times + 1, now),
        Standing::Good if failures >= state.cfg.suspect_failures => eject(state, vm, 1, now),
        Standing::Good | Standing::Ejected { .. } => {}
    }
}

/// Takes back what was blamed on workers for tasks of a lane that fails everywhere.
fn clear_blame(state: &mut State, lane: LaneId) {
    let workers = state.lanes[lane].failed_on.clone();
    for vm in workers {
        let mut blamed = std::mem::take(&mut state.workers[vm].blamed);
        blamed.retain(|task| state.tasks[*task].lane != lane);
        state.workers[vm].blamed = blamed;
    }
}

fn eject(state: &mut State, vm: VmId, times: u32, now: Instant) {
    let index = state.workers.in_pool(state.workers[vm].pool);
    let most = (index.vms.len() * state.cfg.ejected_percent_max / 100).max(1);
    if index.ejected >= most {
        state
            .workers
            .set_standing(vm, Standing::Probation { times });
        return;
    }
    let pause = state
        .cfg
        .eject
        .saturating_mul(1 << (times - 1).min(16))
        .min(state.cfg.eject_max);
    let until = now + pause;
    state
        .workers
        .set_standing(vm, Standing::Ejected { until, times });
    let blamed = std::mem::take(&mut state.workers[vm].blamed);
    for id in blamed {
        let task = &mut state.tasks[id];
        if task.avoid.contains(&vm) {
            task.failures = task.failures.saturating_sub(1);
        }
    }
}

/// Puts workers whose ejection has passed on probation.
pub fn readmit(state: &mut State, now: Instant) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if let Standing::Ejected { until, times } = state.workers[vm].standing
            && until <= now
        {
            state
                .workers
                .set_standing(vm, Standing::Probation { times });
        }
    }
}
