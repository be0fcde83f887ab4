//! Starts tasks that may have crashed their workers, each alone on a worker.
//!
//! Load pattern: one task of a job crashes each worker that starts it, and dozens of harmless tasks are lost with each
//! worker. The next crash should cost only an empty worker and name the task that caused it.
//!
//! A suspect task is started on an empty worker at once. If there is none, a worker that becomes empty soon is held for
//! it: a part of the pool at most, and only one that could run this task, which its team may start. A held worker gets
//! no other starts. Once the run of a suspect task has been executing for a while, others join it. A task that has
//! waited long holds no worker and is placed like any other, on the worker with the most free capacity: on a pool that
//! keeps losing workers, or is full of long tasks, harmless suspects would not end. A task that has lost several runs
//! is started alone, if any held worker could run it: the next loss decides about its job.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::id::{TaskId, WorkerRef};
use crate::job::{Copies, LOST_ISOLATED};
use crate::pool::Pool;
use crate::pool::bound::Binding;
use crate::pool::order::is_placeable;
use crate::pool::place::{is_allowed, start};
use crate::spec::Step;
use crate::suspect::CrashLimit;
use crate::worker::Worker;

/// One worker of so many may be used for suspect tasks if not as many are empty, but always one.
const WORKERS_PER_HELD: usize = 4;

/// A suspect task that has waited this long is not isolated any more.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.held_for_suspects.clear();
    pool.not_isolated.clear();
    let waiting = waiting(pool, now);
    if waiting.is_empty() {
        return;
    }
    let mut candidates = candidates(pool, now);
    let is_empty = |pool: &Pool, worker: &WorkerRef| pool.workers[worker].runs.is_empty();
    let empty = candidates.iter().filter(|worker| is_empty(pool, worker));
    let used_max = (candidates.len() / WORKERS_PER_HELD)
        .max(empty.count())
        .max(1);
    let mut held: Vec<WorkerRef> = Vec::new();
    let mut started = 0;
    for (since, task) in waiting {
        let job = pool.jobs.get(&task.step.job);
        let Some((spec, state)) = job.and_then(|job| job.step(task.step)) else {
            continue;
        };
        let spec = spec.clone();
        let lost = state.tasks[task.index as usize].unreported.len();
        if !is_allowed(pool, task.step.job, spec.reserved()) {
            continue;
        }
        let could_run = |worker: &WorkerRef| could_run(pool, *worker, task, &spec, now);
        let free = candidates
            .iter()
            .position(|worker| is_empty(pool, worker) && could_run(worker));
        let has_waited = now.saturating_duration_since(since) >= WAIT_MAX;
        if let Some(at) = free {
            let worker = candidates.remove(at);
            start(pool, task, &spec, worker, None, now);
            started += 1;
            continue;
        }
        let needs_worker = !has_waited || lost >= LOST_ISOLATED;
        let to_hold = candidates.iter().position(could_run);
        if let Some(at) = to_hold.filter(|_| needs_worker && started + held.len() < used_max) {
            held.push(candidates.remove(at));
        } else if has_waited && (lost < LOST_ISOLATED || !held.iter().any(could_run)) {
            pool.not_isolated.insert(task);
        }
    }
    pool.held_for_suspects.extend(held);
}

/// Whether a worker could run a task once it is empty, as far as is known now.
fn could_run(pool: &Pool, worker_ref: WorkerRef, task: TaskId, spec: &Step, now: Instant) -> bool {
    let may_start_there = match pool.binding(task, now) {
        Binding::None => true,
        Binding::To(bound) => bound == worker_ref,
        Binding::Pending => false,
    };
    let worker = pool.workers.get(&worker_ref);
    let is_able = worker.is_some_and(|worker| worker.could_run(spec));
    may_start_there && is_able && pool.is_permitted(task.step, worker_ref, now)
}

/// The idle tasks that should be started alone, each with the time since which it waits, those that have waited longest
/// first.
fn waiting(pool: &mut Pool, now: Instant) -> Vec<(Instant, TaskId)> {
    let unreported_max = CrashLimit::unreported_max();
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
    let judged: BTreeSet<TaskId> = pool
        .suspects
        .iter()
        .filter(|id| !pool.awaits_verdict(**id))
        .copied()
        .collect();
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
            let can_start =
                task.is_idle() && task.unreported.len() < unreported_max && judged.contains(id);
            if is_gang || !can_start || !task.needs_isolation() {
                task.isolation_awaited_since = None;
                return;
            }
            let since = *task.isolation_awaited_since.get_or_insert(now);
            waiting.push((since, *id));
        });
    }
    waiting.sort_unstable();
    waiting
}

/// The workers on which suspect tasks may be started alone, those first that are empty or become so soonest.
fn candidates(pool: &Pool, now: Instant) -> Vec<WorkerRef> {
    let is_vacant_soon = |worker: &Worker| !worker.runs.values().any(|run| run.is_service);
    let mut workers: Vec<(usize, Reverse<WorkerRef>)> = pool
        .workers
        .iter()
        .filter(|(_, worker)| worker.takes_work(now) && worker.clock.is_some())
        .filter(|(_, worker)| is_vacant_soon(worker) && !worker.is_isolating(now))
        .map(|(worker_ref, worker)| (worker.runs.len(), Reverse(*worker_ref)))
        .collect();
    workers.sort_unstable();
    let workers = workers.into_iter();
    workers.map(|(_, Reverse(worker))| worker).collect()
}

impl Pool {
    /// Whether a suspect task may be placed like any other: it waits neither for a worker of its own nor for the fate of
    /// one that was lost, and if each of its unreported runs has crashed its worker, a further one does not exceed the
    /// limit.
    pub(super) fn may_start_suspect(&self, id: TaskId) -> bool {
        let job = self.jobs.get(&id.step.job);
        let state = job
            .and_then(|job| job.step(id.step))
            .map(|(_, state)| state);
        let task = state.and_then(|state| state.tasks.get(id.index as usize));
        task.is_none_or(|task| {
            let is_waiting = task.isolation_awaited_since.is_some();
            let has_runs_left = task.unreported.len() < CrashLimit::unreported_max();
            (!is_waiting || self.not_isolated.contains(&id)) && has_runs_left
        }) && !self.awaits_verdict(id)
    }
}
