//! Starts tasks that may have crashed their workers, each alone on a worker.
//!
//! Load pattern: one task of a job crashes each worker that starts it, and dozens of harmless tasks are lost with each
//! worker. The next crash should cost only an empty worker and name the task that caused it.
//!
//! Workers are held for as many suspect tasks as wait, but for at most a part of the pool: empty ones first, then those
//! that become empty soonest. A held worker gets no other starts. Once the run of a suspect task has been executing for
//! a while, others join it. A task that has waited long is placed like any other, on the worker with the most free
//! capacity: on a pool that is full of long tasks, harmless suspects would miss their objective.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::id::{TaskId, WorkerRef};
use crate::job::Copies;
use crate::pool::Pool;
use crate::pool::free_capacity::may_run;
use crate::pool::order::is_placeable;
use crate::worker::Worker;

/// At most one worker of so many is held for suspect tasks, but always one.
const WORKERS_PER_HELD: usize = 4;

/// A suspect task that has waited this long is not isolated any more.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.held_for_suspects.clear();
    let waiting = waiting(pool, now);
    if waiting.is_empty() {
        return;
    }
    let mut held = hold(pool, waiting.len(), now);
    for task in waiting {
        let Some((spec, _)) = pool
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.step(task.step))
        else {
            continue;
        };
        let spec = spec.clone();
        if !super::place::is_allowed(pool, task.step.job, spec.reserved()) {
            continue;
        }
        let fits = held.iter().position(|worker_ref| {
            pool.workers.get(worker_ref).is_some_and(|worker| {
                worker.runs.is_empty()
                    && spec.reserved().fits(&worker.free())
                    && may_run(pool, *worker_ref, worker, task.step, &spec, now)
            })
        });
        if let Some(at) = fits {
            let worker = held.remove(at);
            super::place::start(pool, task, &spec, worker, None, now);
        }
    }
    pool.held_for_suspects.extend(held);
}

/// The idle tasks that should be started alone, those that have waited longest first.
fn waiting(pool: &mut Pool, now: Instant) -> Vec<TaskId> {
    let unreported_max = pool.bounds.crash_limit.unreported_max();
    let mut waiting = Vec::new();
    let jobs = &pool.jobs;
    pool.suspects.retain(|id| {
        let job = jobs.get(&id.step.job);
        let state = job
            .and_then(|job| job.step(id.step))
            .map(|(_, state)| state);
        let task = state.and_then(|state| state.tasks.get(id.index as usize));
        task.is_some_and(|task| !task.unreported.is_empty() || task.copies == Copies::Isolated)
    });
    for id in &pool.suspects {
        let Some(job) = pool.jobs.get_mut(&id.step.job) else {
            continue;
        };
        if !is_placeable(job, now) || !job.is_step_open(id.step) {
            continue;
        }
        let Some((spec, state)) = job.step_mut(id.step) else {
            continue;
        };
        let is_gang = spec.is_gang();
        state.update(id.index, |task| {
            let can_start = task.is_idle() && task.unreported.len() < unreported_max;
            if is_gang || !can_start || !task.needs_isolation() {
                task.isolation_awaited_since = None;
                return;
            }
            let since = *task.isolation_awaited_since.get_or_insert(now);
            if now.saturating_duration_since(since) < WAIT_MAX {
                waiting.push((since, *id));
            }
        });
    }
    waiting.sort_unstable();
    waiting.into_iter().map(|(_, id)| id).collect()
}

/// Chooses the workers to hold.
fn hold(pool: &Pool, wanted: usize, now: Instant) -> Vec<WorkerRef> {
    let is_vacant_soon = |worker: &Worker| !worker.runs.values().any(|run| run.is_service);
    let mut workers: Vec<(usize, Reverse<WorkerRef>)> = pool
        .workers
        .iter()
        .filter(|(_, worker)| worker.takes_work(now) && worker.clock.is_some())
        .filter(|(_, worker)| is_vacant_soon(worker) && !worker.is_isolating(now))
        .map(|(worker_ref, worker)| (worker.runs.len(), Reverse(*worker_ref)))
        .collect();
    let held_max = (workers.len() / WORKERS_PER_HELD).max(1);
    workers.sort_unstable();
    let held = workers.into_iter().take(wanted.min(held_max));
    held.map(|(_, Reverse(worker))| worker).collect()
}

impl Pool {
    /// Whether a suspect task may be placed like any other: it does not wait for a worker of its own, and if each of its
    /// unreported runs has crashed its worker, a further one does not exceed the limit.
    pub(super) fn may_start_suspect(&self, id: TaskId, now: Instant) -> bool {
        let job = self.jobs.get(&id.step.job);
        let state = job
            .and_then(|job| job.step(id.step))
            .map(|(_, state)| state);
        let task = state.and_then(|state| state.tasks.get(id.index as usize));
        task.is_none_or(|task| {
            let since = task.isolation_awaited_since;
            let has_waited =
                since.is_none_or(|since| now.saturating_duration_since(since) >= WAIT_MAX);
            has_waited && task.unreported.len() < self.bounds.crash_limit.unreported_max()
        })
    }
}
