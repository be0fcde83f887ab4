//! Health: distinguishes workers on which every task fails from lanes that fail on every worker.
//!
//! A failure is blamed on its worker, unless the lane has failed on several workers since its last success. Then the
//! failure is attributed to the lane, and only a few of its tasks run at a time. A worker with several failures in a
//! row, each of another task, is ejected: it gets no task for a time that doubles with each ejection, then one task at
//! a time until one succeeds. Only a part of a pool is ejected at a time. Failures that led to an ejection are not
//! counted against their tasks.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};

use crate::state::{Health, LaneId, State};

/// Records the success of a task on `vm`, which clears its blame and ends its probation.
pub fn record_success(state: &mut State, vm: VmId, lane: LaneId) {
    state.lanes[lane].failed_on.clear();
    let worker = &mut state.workers[vm];
    worker.blamed.clear();
    if matches!(worker.health, Health::Probation { .. }) {
        state.workers.set_health(vm, Health::Good);
    }
}

/// Records the failure of a task on `vm`, and ejects the worker after too many failures in a row.
pub fn record_failure(state: &mut State, vm: VmId, lane: LaneId, task: TaskId, now: Instant) {
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
    match worker.health {
        Health::Probation { times } => eject(state, vm, times + 1, now),
        Health::Good if failures >= state.cfg.suspect_failures => eject(state, vm, 1, now),
        Health::Good | Health::Ejected { .. } => {}
    }
}

/// Removes the blame for tasks of a lane from the workers on which the lane failed.
fn clear_blame(state: &mut State, lane: LaneId) {
    let workers = state.lanes[lane].failed_on.clone();
    for vm in workers {
        let mut blamed = std::mem::take(&mut state.workers[vm].blamed);
        blamed.retain(|task| state.tasks[*task].lane != lane);
        state.workers[vm].blamed = blamed;
    }
}

/// Ejects a worker for the time of its ejection number `times`, or puts it on probation if too many workers of its pool
/// are ejected already.
fn eject(state: &mut State, vm: VmId, times: u32, now: Instant) {
    let index = state.workers.in_pool(state.workers[vm].pool);
    let ejected_max = (index.vms.len() * state.cfg.ejected_percent_max / 100).max(1);
    if index.ejected >= ejected_max {
        state.workers.set_health(vm, Health::Probation { times });
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
        .set_health(vm, Health::Ejected { until, times });
    let blamed = std::mem::take(&mut state.workers[vm].blamed);
    for id in blamed {
        let task = &mut state.tasks[id];
        if task.avoid.contains(&vm) {
            task.failures = task.failures.saturating_sub(1);
        }
    }
}

/// Puts the workers whose ejection has ended on probation.
pub fn readmit(state: &mut State, now: Instant) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        if let Health::Ejected { until, times } = state.workers[vm].health
            && until <= now
        {
            state.workers.set_health(vm, Health::Probation { times });
        }
    }
}
