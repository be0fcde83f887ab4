//! Starts tasks again on the workers that may still execute an earlier start of them.
//!
//! A start without an answer can be executed seconds later, and by the next incarnation of its worker, which knows no token and
//! no run. Until that incarnation has answered, nothing can prevent this. So while such a worker is up, the task is
//! started on no other one: if the worker restarts, the run of the task is over there, and at most the late start is executed.
//!
//! The task is started elsewhere if the worker can't execute it: it has departed or is about to, its leases have
//! expired, it fails what it starts, it answers no start, or it has no capacity. Then the task would not be executed at
//! all. These tasks are placed before others, so that no other one takes their capacity.

use std::time::Instant;

use crate::id::{TaskId, WorkerId, WorkerRef};
use crate::job::{Job, OpenStart};
use crate::pool::free_capacity::{FreeCapacity, may_run};
use crate::pool::order::is_placeable;
use crate::pool::place::{is_allowed, start};
use crate::pool::{Pool, START_ATTEMPTS};
use crate::worker::{Contact, RunKey, Worker};

/// Once so many copies of a task's starts on a worker were given up, the task is started elsewhere. A start has up to
/// [`START_ATTEMPTS`].
const GIVEN_UP_MAX: u32 = 2 * START_ATTEMPTS;

/// Where a task may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Binding {
    /// Anywhere.
    None,
    /// On this worker, if it has the capacity.
    To(WorkerRef),
    /// Nowhere at present: it may soon be known whether the worker of an earlier start can execute it.
    Pending,
}

/// Runs the pass.
pub(super) fn run(pool: &mut Pool, free_capacity: &mut FreeCapacity, now: Instant) {
    let jobs = &pool.jobs;
    pool.bound.retain(|id| {
        let job = jobs.get(&id.step.job);
        job.is_some_and(|job| is_waiting(job, *id) || !job.is_step_open(id.step))
    });
    for id in pool.bound.clone() {
        let Binding::To(worker_ref) = pool.binding(id, now) else {
            continue;
        };
        let job = pool.jobs.get(&id.step.job);
        let Some((job, (spec, state))) = job.and_then(|job| Some((job, job.step(id.step)?))) else {
            continue;
        };
        let is_idle = state.tasks[id.index as usize].is_idle();
        if !is_idle || spec.is_gang() || !is_placeable(job, now) || !job.is_step_open(id.step) {
            continue;
        }
        let spec = spec.clone();
        let reserved = spec.reserved();
        let is_suspect = pool.suspects.contains(&id) && !pool.may_start_suspect(id);
        if is_suspect || !is_allowed(pool, id.step.job, reserved) {
            continue;
        }
        let is_able = pool.workers.get(&worker_ref).is_some_and(|worker| {
            free_capacity.has(worker_ref, reserved)
                && may_run(pool, worker_ref, worker, id.step, &spec, now)
        });
        if is_able {
            free_capacity.reserve(worker_ref, reserved);
            start(pool, id, &spec, worker_ref, None, now);
        }
    }
}

/// Whether a task with open starts is not done.
fn is_waiting(job: &Job, id: TaskId) -> bool {
    let step = job.step(id.step);
    let task = step.and_then(|(_, state)| state.tasks.get(id.index as usize));
    job.outcome.is_none() && task.is_some_and(|task| !task.is_done && !task.open_starts.is_empty())
}

impl Pool {
    /// Where a task may be started, by its earlier starts.
    pub(super) fn binding(&self, id: TaskId, now: Instant) -> Binding {
        let step = self
            .jobs
            .get(&id.step.job)
            .and_then(|job| job.step(id.step));
        let task = step.and_then(|(_, state)| state.tasks.get(id.index as usize));
        let start = task.and_then(|task| task.open_starts.last());
        let Some(OpenStart { worker, .. }) = start.filter(|start| start.given_up < GIVEN_UP_MAX)
        else {
            return Binding::None;
        };
        let worker_ref = self.by_id.get(worker).copied();
        let Some((worker_ref, worker)) =
            worker_ref.and_then(|worker_ref| Some((worker_ref, self.workers.get(&worker_ref)?)))
        else {
            return Binding::None;
        };
        match worker.contact {
            Contact::Responding if is_sound(worker) => {
                let is_paused = worker.paused_until.is_some_and(|until| now < until);
                let is_reserved =
                    self.held_for_suspects.contains(&worker_ref) || worker.is_isolating(now);
                if is_paused || is_reserved {
                    Binding::Pending
                } else {
                    Binding::To(worker_ref)
                }
            }
            Contact::Unresponsive | Contact::None if !worker.has_departed => {
                let expire_at = worker.leases_expire_at();
                if expire_at.is_some_and(|at| now < at) {
                    Binding::Pending
                } else {
                    Binding::None
                }
            }
            Contact::Responding | Contact::Unresponsive | Contact::None => Binding::None,
        }
    }

    /// Whether the open starts of a task decide where it may be started. A later incarnation refuses the permit of a start, and
    /// copies of a speculative task may run beside each other.
    pub(super) fn is_bound_by_starts(&self, id: TaskId) -> bool {
        let step = self
            .jobs
            .get(&id.step.job)
            .and_then(|job| job.step(id.step));
        step.is_some_and(|(step, _)| !step.is_speculative()) && !self.needs_permits(id.step.job)
    }

    /// Whether a start of the task on the worker may have no answer.
    #[must_use]
    pub fn is_start_open(&self, id: TaskId, worker: &WorkerId) -> bool {
        let step = self
            .jobs
            .get(&id.step.job)
            .and_then(|job| job.step(id.step));
        let task = step.and_then(|(_, state)| state.tasks.get(id.index as usize));
        task.is_some_and(|task| task.open_starts.iter().any(|start| start.worker == *worker))
    }

    /// Takes over the starts of which an earlier scheduler may have had no answer.
    pub(super) fn inherit_open_starts(&mut self) {
        let starts = self.jobs.values().flat_map(Job::inherited_starts);
        let starts: Vec<TaskId> = starts.collect();
        self.bound.extend(starts);
    }

    /// Whether a worker may still execute a start of a task that waits.
    pub(super) fn has_open_starts(&self, worker: &WorkerId) -> bool {
        self.bound
            .iter()
            .any(|task| self.is_start_open(*task, worker))
    }

    /// Forgets an open start of an earlier scheduler whose run was reported.
    pub(super) fn settle_bound(&mut self, worker_ref: WorkerRef, key: RunKey) {
        if self.bound.contains(&key.0) {
            self.settle_start(worker_ref, key);
        }
    }

    /// Forgets an open start that was answered or whose run was reported.
    pub(super) fn settle_start(&mut self, worker_ref: WorkerRef, key: RunKey) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let id = worker.info.id.clone();
        self.update_task(key.0, |task| {
            task.settle_start(&id, key.1);
            Some(())
        });
    }
}

/// Whether a worker that responds may get starts, at the latest after a short pause.
fn is_sound(worker: &Worker) -> bool {
    worker.is_listed
        && worker.is_described()
        && !worker.has_departed
        && !worker.is_evacuating()
        && !worker.is_cordoned()
        && !worker.info.is_draining
        && worker.streaks.failed == 0
        && worker.streaks.stalls == 0
}
