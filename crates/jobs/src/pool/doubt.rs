//! Finds runs that are not expected to end well: stalled ones, and those on unresponsive workers.
//!
//! Load pattern: on some workers tasks stall for seconds while the worker answers, and workers vanish without notice. A
//! task that may run in copies gets a second run elsewhere at once. Any other stalled task is stopped first, so that it
//! can be started again; one on an unresponsive worker has to wait until its lease has expired.
//!
//! A worker on which a run has stalled gets no starts for a while.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::id::{TaskId, WorkerRef};
use crate::job::{Copies, Job};
use crate::pool::{Pool, StopReason};
use crate::worker::{Contact, Origin, Phase, Run, RunKey, Worker};

/// A run that makes no progress for this long has stalled, if its task is short. Two reports arrive in this time.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A long task reports its progress in whole percents. It has stalled after this share of its expected run time, in
/// percent.
const STALL_TIMEOUT_PERCENT: u32 = 4;

/// Added to the stall timeout of a run that resumes from a checkpoint: the time that the platform documents for it,
/// with some slack.
const RESUME_ALLOWANCE: Duration = Duration::from_secs(1);

/// A run that has reported this progress, in percent, is left to finish.
const NEARLY_DONE_PERCENT: u32 = 98;

/// How long a worker gets no starts after a run has stalled on it. Doubles with each further stall in a row.
const STALL_PAUSE: Duration = Duration::from_secs(1);

/// The most doublings of [`STALL_PAUSE`].
const PAUSE_DOUBLINGS_MAX: u32 = 3;

/// Why a run is suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Suspicion {
    Stalled,
    WorkerUnresponsive,
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let mut suspicions: Vec<(WorkerRef, RunKey, Suspicion)> = Vec::new();
    for (worker_ref, worker) in &pool.workers {
        for (key, run) in worker
            .runs
            .iter()
            .filter(|(_, run)| may_be_suspect(worker, run))
        {
            let job = pool.jobs.get(&key.0.step.job);
            let suspicion = job.and_then(|job| suspicion(job, worker, *key, run));
            suspicions.extend(suspicion.map(|suspicion| (*worker_ref, *key, suspicion)));
        }
    }
    let suspects: BTreeSet<TaskId> = suspicions.iter().map(|(_, key, _)| key.0).collect();
    let before = std::mem::take(&mut pool.copies_allowed);
    for task in before.difference(&suspects) {
        set_copies(pool, *task, Copies::Denied);
    }
    let mut stalled: Vec<WorkerRef> = Vec::new();
    for (worker_ref, key, suspicion) in suspicions {
        if suspicion == Suspicion::Stalled {
            stalled.push(worker_ref);
        }
        let step = pool
            .jobs
            .get(&key.0.step.job)
            .and_then(|job| job.step(key.0.step));
        if step.is_some_and(|(step, _)| step.is_speculative()) {
            let worker = pool.workers.get(&worker_ref);
            let run = worker.and_then(|worker| Some((worker, worker.runs.get(&key)?)));
            let copies = match run {
                Some((worker, run)) if worker.is_established(run, now) => Copies::Allowed,
                Some(_) | None => Copies::Isolated,
            };
            set_copies(pool, key.0, copies);
            pool.copies_allowed.insert(key.0);
        } else if suspicion == Suspicion::Stalled {
            pool.stop(worker_ref, key, StopReason::StandsStill, now);
        }
    }
    stalled.dedup();
    for worker_ref in stalled {
        pause_worker(pool, worker_ref, now);
    }
}

/// Whether the run's job has to be looked up. Most runs make progress and cost no more than this check.
fn may_be_suspect(worker: &Worker, run: &Run) -> bool {
    worker.contact == Contact::Unresponsive
        || worker
            .answered_at
            .is_some_and(|at| at.saturating_duration_since(run.progressed_at) >= STALL_TIMEOUT)
}

/// Sets whether a task may be given a copy. Only a task with exactly one run may. If that run had just started when its
/// worker fell silent, the task may have crashed the worker: the copy is isolated, and a task that has lost a run before
/// gets none.
fn set_copies(pool: &mut Pool, task: TaskId, copies: Copies) {
    let job = pool.jobs.get_mut(&task.step.job);
    let Some((_, state)) = job.and_then(|job| job.step_mut(task.step)) else {
        return;
    };
    let is_isolated = state.update(task.index, |task| {
        let may_start = match copies {
            Copies::Denied => false,
            Copies::Isolated => task.unreported.is_empty(),
            Copies::Allowed => true,
        };
        task.copies = if may_start && task.live == 1 {
            copies
        } else {
            Copies::Denied
        };
        task.copies == Copies::Isolated
    });
    if is_isolated == Some(true) {
        pool.suspects.insert(task);
    }
}

fn suspicion(job: &Job, worker: &Worker, key: RunKey, run: &Run) -> Option<Suspicion> {
    let (step, state) = job.step(key.0.step)?;
    let task = state.tasks.get(key.0.index as usize)?;
    if run.phase == Phase::Stopping || task.is_done || step.is_service() || step.is_gang() {
        return None;
    }
    if worker.contact == Contact::Unresponsive {
        return Some(Suspicion::WorkerUnresponsive);
    }
    let expected = job.step_times.get(key.0.step.step as usize)?;
    let timeout = STALL_TIMEOUT.max(*expected * STALL_TIMEOUT_PERCENT / 100);
    let timeout = match run.origin {
        Origin::Resumed => timeout + RESUME_ALLOWANCE,
        Origin::Started | Origin::Adopted | Origin::CarriedOver => timeout,
    };
    let reported_at = worker.answered_at?;
    let is_stalled = run.phase == Phase::Confirmed
        && run.percent < NEARLY_DONE_PERCENT
        && !run.is_best_effort
        && reported_at.saturating_duration_since(run.progressed_at) >= timeout;
    is_stalled.then_some(Suspicion::Stalled)
}

fn pause_worker(pool: &mut Pool, worker_ref: WorkerRef, now: Instant) {
    let others = pool.workers.iter().filter(|(at, _)| **at != worker_ref);
    let is_only_one = !others.into_iter().any(|(_, worker)| worker.takes_work(now));
    let Some(worker) = pool.workers.get_mut(&worker_ref) else {
        return;
    };
    if is_only_one || worker.paused_until.is_some_and(|until| now < until) {
        return;
    }
    let doublings = worker.streaks.stalls.min(PAUSE_DOUBLINGS_MAX);
    worker.streaks.stalls += 1;
    worker.paused_until = Some(now + STALL_PAUSE * 2_u32.pow(doublings));
    pool.push_worker_event(worker_ref, "avoided: tasks stand still");
}
