//! Empties workers that drain or whose VM is due for maintenance.
//!
//! Short tasks are left to end by themselves for a while; tasks that save checkpoints are stopped once they have run past
//! that, and services one by one: a step's availability budget bounds how many of its tasks are away at once.

use std::time::{Duration, Instant};

use crate::id::{StepId, WorkerRef};
use crate::pool::rooms::Rooms;
use crate::pool::{Pool, StopReason};
use crate::worker::{Contact, Origin, Phase, Run, RunKey, Worker};

/// How long tasks may go on by themselves before they are stopped, if they save checkpoints.
const FINISH_CHECKPOINTED: Duration = Duration::from_millis(1_500);

/// How long other tasks may go on by themselves before they are stopped.
const FINISH_OTHERS: Duration = Duration::from_secs(6);

/// Added to the time that a stop may take, for its way to the worker.
const STOP_SLACK: Duration = Duration::from_millis(300);

/// An older report is no proof that a run is still at work.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let mut stops: Vec<(WorkerRef, RunKey)> = Vec::new();
    for (worker, it) in &pool.workers {
        if !it.is_evacuating() && !it.info.is_draining {
            continue;
        }
        let since = it.evacuating_since.or(it.draining_since).unwrap_or(now);
        let waited = now.saturating_duration_since(since);
        for (key, run) in &it.runs {
            if run.phase == Phase::Confirmed && is_due(pool, *key, run, waited) {
                stops.push((*worker, *key));
            }
        }
    }
    for (worker, key) in stops {
        let is_draining = pool
            .workers
            .get(&worker)
            .is_some_and(|it| it.info.is_draining);
        if is_draining || may_interrupt(pool, key, now) {
            pool.stop(worker, key, StopReason::Evacuation, now);
        }
    }
}

fn is_due(pool: &Pool, key: RunKey, run: &Run, waited: Duration) -> bool {
    if run.is_service {
        return true;
    }
    let is_checkpointing = pool
        .jobs
        .get(&key.0.step.job)
        .and_then(|job| job.step(key.0.step))
        .is_some_and(|(step, _)| step.is_checkpointing());
    if is_checkpointing {
        waited >= FINISH_CHECKPOINTED
    } else {
        waited >= FINISH_OTHERS
    }
}

/// Whether the availability budget of the run's step allows to stop it now, and another worker can take it.
fn may_interrupt(pool: &Pool, key: RunKey, now: Instant) -> bool {
    let Some((step, state)) = pool
        .jobs
        .get(&key.0.step.job)
        .and_then(|job| job.step(key.0.step))
    else {
        return true;
    };
    if !step.is_service() {
        return true;
    }
    let has_elsewhere = Rooms::new(pool, now)
        .choose(pool, key.0.step, step)
        .is_some();
    if !has_elsewhere {
        return false;
    }
    let at_work = at_work(pool, key.0.step, now);
    let away = u32::try_from(state.tasks.len())
        .unwrap_or(u32::MAX)
        .saturating_sub(at_work);
    away < step.unavailable_max.max(1)
}

/// How many tasks of a service are fully at work.
fn at_work(pool: &Pool, step: StepId, now: Instant) -> u32 {
    let count = pool
        .workers
        .values()
        .flat_map(|it| it.runs.iter().map(move |run| (it, run)))
        .filter(|(it, ((task, _), run))| task.step == step && is_at_work(pool, it, run, now))
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A run that is being stopped by an earlier scheduler's order is listed as before until it has ended, and a worker that
/// has crashed goes on being believed in until its leases have lapsed: only a recent report counts.
fn is_at_work(pool: &Pool, worker: &Worker, run: &Run, now: Instant) -> bool {
    let Some(answered_at) = worker.answered_at else {
        return false;
    };
    let is_recent = now.saturating_duration_since(answered_at) < REPORT_AGE_MAX;
    let is_sure = run.origin != Origin::Adopted
        || answered_at >= run.started_at + pool.bounds.stop_grace + STOP_SLACK;
    let is_full = run.phase == Phase::Confirmed && run.percent >= 100;
    is_full && is_sure && is_recent && worker.contact == Contact::Answers && !worker.is_gone
}
