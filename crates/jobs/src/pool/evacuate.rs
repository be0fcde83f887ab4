//! Evacuates workers that are draining or whose VM is to be emptied.
//!
//! Tasks may finish by themselves for a grace period, which is shorter for those that save checkpoints, before they are
//! stopped. Services have no grace period, but a step's availability budget bounds how many of its tasks are
//! unavailable at once, unless the worker is draining.

use std::time::{Duration, Instant};

use crate::id::{StepId, WorkerRef};
use crate::pool::free_capacity::FreeCapacity;
use crate::pool::{Pool, StopReason};
use crate::worker::{Contact, Origin, Phase, Run, RunKey, Worker};

/// How long a task that saves checkpoints may go on before it is stopped.
const CHECKPOINTED_GRACE: Duration = Duration::from_millis(1_500);

/// How long any other task may go on before it is stopped, except those of services.
const OTHERS_GRACE: Duration = Duration::from_secs(6);

/// Added to the time that a stop may take, for its delivery to the worker.
const STOP_SLACK: Duration = Duration::from_millis(300);

/// An older report does not prove that a run is still executing.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let mut stops: Vec<(WorkerRef, RunKey)> = Vec::new();
    for (worker_ref, worker) in &pool.workers {
        if !worker.is_evacuating() && !worker.info.is_draining {
            continue;
        }
        let since = worker
            .evacuating_since
            .or(worker.draining_since)
            .unwrap_or(now);
        let waited = now.saturating_duration_since(since);
        for (key, run) in &worker.runs {
            if run.phase == Phase::Confirmed && is_due(pool, *key, run, waited) {
                stops.push((*worker_ref, *key));
            }
        }
    }
    for (worker_ref, key) in stops {
        let is_draining = pool
            .workers
            .get(&worker_ref)
            .is_some_and(|worker| worker.info.is_draining);
        if is_draining || may_interrupt(pool, key, now) {
            pool.stop(worker_ref, key, StopReason::Evacuation, now);
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
        waited >= CHECKPOINTED_GRACE
    } else {
        waited >= OTHERS_GRACE
    }
}

/// Whether the availability budget of the run's step allows stopping it now, and another worker can run its task.
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
    let has_alternative = FreeCapacity::new(pool, now)
        .choose(pool, key.0.step, step, false)
        .is_some();
    if !has_alternative {
        return false;
    }
    let serving = serving(pool, key.0.step, now);
    let unavailable = u32::try_from(state.tasks.len())
        .unwrap_or(u32::MAX)
        .saturating_sub(serving);
    unavailable < step.unavailable_max.max(1)
}

/// Counts the tasks of a service that are fully available.
fn serving(pool: &Pool, step: StepId, now: Instant) -> u32 {
    let count = pool
        .workers
        .values()
        .flat_map(|worker| worker.runs.iter().map(move |run| (worker, run)))
        .filter(|(worker, ((task, _), run))| {
            task.step == step && is_serving(pool, worker, run, now)
        })
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Whether the run is certainly fully available. A run that an earlier scheduler has stopped is listed as before until
/// it has ended, and a crashed worker keeps its runs until its leases have expired, so only a recent report counts.
fn is_serving(pool: &Pool, worker: &Worker, run: &Run, now: Instant) -> bool {
    let Some(answered_at) = worker.answered_at else {
        return false;
    };
    let is_recent = now.saturating_duration_since(answered_at) < REPORT_AGE_MAX;
    let is_conclusive = run.origin != Origin::Adopted
        || answered_at >= run.started_at + pool.bounds.stop_grace + STOP_SLACK;
    let is_full = run.phase == Phase::Confirmed && run.percent >= 100;
    is_full
        && is_conclusive
        && is_recent
        && worker.contact == Contact::Responding
        && !worker.has_departed
}
