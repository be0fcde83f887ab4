//! Reports jobs with a step that no worker of the pool could run, or that exceeds the upper limit of the job's team, however long
//! it waits.
//!
//! Such a job stays open, because a worker that fits may be added and the limit may be raised. The logs show the reason to its
//! submitter and to the operators.

use std::time::{Duration, Instant};

use crate::job::Job;
use crate::pool::{Event, Pool};
use crate::resources::Resources;
use crate::spec::Step;
use crate::worker::Worker;

/// A job is checked once it has waited this long. Workers join and leave within a second or two.
const WAIT_MIN: Duration = Duration::from_secs(3);

/// The least time between two checks of all jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let checked_at = pool.unfit_checked_at;
    if checked_at.is_some_and(|at| now.saturating_duration_since(at) < CHECK_INTERVAL) {
        return;
    }
    pool.unfit_checked_at = Some(now);
    let workers: Vec<&Worker> = pool
        .workers
        .values()
        .filter(|worker| worker.is_listed && worker.is_described() && !worker.has_departed)
        .collect();
    if workers.is_empty() {
        return;
    }
    let most = workers.iter().fold(Resources::ZERO, |most, worker| {
        most.max(worker.info.capacity)
    });
    let mut unfit = Vec::new();
    let mut above = Vec::new();
    for id in &pool.queue_order {
        let Some(job) = pool.jobs.get(id) else {
            continue;
        };
        let waited = now.saturating_duration_since(job.first_seen_at);
        if job.is_unfit_reported || waited < WAIT_MIN {
            continue;
        }
        if let Some((step, demand)) = unfit_step(job, &workers) {
            unfit.push((*id, step, demand));
        } else if let Some((step, demand)) = step_above_limit(pool, job) {
            above.push((*id, step, demand));
        }
    }
    for (id, step, demand) in above {
        let Some(job) = pool.jobs.get_mut(&id) else {
            continue;
        };
        job.is_unfit_reported = true;
        let team = job.record.team.clone();
        let limit = team.and_then(|team| pool.cap(&team)).unwrap_or_default();
        pool.events.push(Event::AboveLimit {
            job: id,
            step,
            demand,
            limit,
        });
    }
    for (id, step, demand) in unfit {
        if let Some(job) = pool.jobs.get_mut(&id) {
            job.is_unfit_reported = true;
        }
        pool.events.push(Event::Unfit {
            job: id,
            step,
            demand,
            most,
        });
    }
}

/// The first step with idle tasks that fits no worker.
fn unfit_step(job: &Job, workers: &[&Worker]) -> Option<(u32, Resources)> {
    idle_steps(job)
        .find(|(_, step)| !workers.iter().any(|worker| worker.could_run(step)))
        .map(|(at, step)| (at, step.reserved()))
}

/// The first step with idle tasks that exceeds the upper limit of the job's team.
fn step_above_limit(pool: &Pool, job: &Job) -> Option<(u32, Resources)> {
    idle_steps(job)
        .find(|(_, step)| !pool.is_within_cap(job, step))
        .map(|(at, step)| (at, step.reserved_at_once()))
}

/// The steps of the first open occurrence that have idle tasks.
fn idle_steps(job: &Job) -> impl Iterator<Item = (u32, &Step)> {
    let occurrence = job.occurrences.values().next().into_iter();
    let states = occurrence.flat_map(|occurrence| &occurrence.steps);
    let steps = (0..).zip(&job.record.spec.steps).zip(states);
    steps
        .filter(|(_, state)| state.idle > 0)
        .map(|(step, _)| step)
}
