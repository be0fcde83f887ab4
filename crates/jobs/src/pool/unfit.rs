//! Reports jobs with a step that no worker of the pool could run, however long it waits.
//!
//! Such a job stays open: a worker that fits may be added. Its submitter and the operators learn the reason from the logs.

use std::time::{Duration, Instant};

use crate::job::Job;
use crate::pool::{Event, Pool};
use crate::resources::Resources;
use crate::worker::Worker;

/// A job is looked at once it has waited this long; workers come and go within a second or two.
const WAITED: Duration = Duration::from_secs(3);

/// Jobs are looked through this often at most.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let looked_at = pool.unfit_looked_at;
    if looked_at.is_some_and(|at| now.saturating_duration_since(at) < LOOK_EVERY) {
        return;
    }
    pool.unfit_looked_at = Some(now);
    let workers: Vec<&Worker> = pool
        .workers
        .values()
        .filter(|it| it.is_listed && !it.is_gone)
        .collect();
    if workers.is_empty() {
        return;
    }
    let most = workers
        .iter()
        .fold(Resources::ZERO, |most, it| most.max(it.info.capacity));
    let mut unfit = Vec::new();
    for id in &pool.queue_order {
        let Some(job) = pool.jobs.get(id) else {
            continue;
        };
        let waited = now.saturating_duration_since(job.seen_at);
        if job.is_unfit_noted || waited < WAITED {
            continue;
        }
        if let Some((step, demand)) = unfit_step(job, &workers) {
            unfit.push((*id, step, demand));
        }
    }
    for (id, step, demand) in unfit {
        if let Some(job) = pool.jobs.get_mut(&id) {
            job.is_unfit_noted = true;
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
    let occurrence = job.occurrences.values().next()?;
    let steps = (0..).zip(&job.record.spec.steps).zip(&occurrence.steps);
    steps
        .filter(|(_, state)| state.idle > 0)
        .map(|(step, _)| step)
        .find(|(_, step)| !workers.iter().any(|worker| worker.could_run(step)))
        .map(|(at, step)| (at, step.reserved()))
}
