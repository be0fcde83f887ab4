//! Finds runs that are not expected to end well: those that stand still, and those on workers that have fallen silent.
//!
//! Load pattern: on some workers tasks stand still for seconds while the worker answers, and workers vanish without a word. A
//! task that may run in copies gets a second run elsewhere at once. Another one that stands still is stopped first, so that
//! it can be started again; one on a silent worker has to wait until its lease has lapsed.
//!
//! A worker on which a run stands still gets no starts for a while.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::id::{TaskId, WorkerRef};
use crate::job::Job;
use crate::pool::{Pool, StopReason};
use crate::worker::{Contact, Origin, Phase, Run, RunKey, Worker};

/// A run of a short task that has made no progress for this long stands still. Reports come twice in this time.
const STILL: Duration = Duration::from_millis(800);

/// A long task's progress is seen in whole percents: it stands still after this share of its expected time, in percent.
const STILL_PERCENT: u32 = 4;

/// Added for a run that resumes from a checkpoint. From the platform's pages, with some slack.
const RESUMING: Duration = Duration::from_secs(1);

/// A task that is nearly done is waited for.
const NEARLY_DONE_PERCENT: u32 = 98;

/// How long a worker gets no starts after a run was found standing still there; doubles with each further one in a row.
const AVOIDED: Duration = Duration::from_secs(1);

/// The most doublings of that time.
const AVOIDED_DOUBLINGS_MAX: u32 = 3;

/// What is wrong with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    StandsStill,
    WorkerSilent,
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let mut doubts: Vec<(WorkerRef, RunKey, Doubt)> = Vec::new();
    for (worker, it) in &pool.workers {
        for (key, run) in it.runs.iter().filter(|(_, run)| may_be_doubtful(it, run)) {
            let job = pool.jobs.get(&key.0.step.job);
            let doubt = job.and_then(|job| doubt(job, it, *key, run));
            doubts.extend(doubt.map(|doubt| (*worker, *key, doubt)));
        }
    }
    let doubtful: BTreeSet<TaskId> = doubts.iter().map(|(_, key, _)| key.0).collect();
    let before = std::mem::take(&mut pool.copies_wanted);
    for task in before.difference(&doubtful) {
        want_copy(pool, *task, false);
    }
    let mut still: Vec<WorkerRef> = Vec::new();
    for (worker, key, doubt) in doubts {
        if doubt == Doubt::StandsStill {
            still.push(worker);
        }
        let step = pool
            .jobs
            .get(&key.0.step.job)
            .and_then(|job| job.step(key.0.step));
        if step.is_some_and(|(step, _)| step.is_speculative()) {
            want_copy(pool, key.0, true);
            pool.copies_wanted.insert(key.0);
        } else if doubt == Doubt::StandsStill {
            pool.stop(worker, key, StopReason::StandsStill, now);
        }
    }
    still.dedup();
    for worker in still {
        avoid(pool, worker, now);
    }
}

/// Whether a look at the run's job is due. Most runs make progress, and cost no more than this.
fn may_be_doubtful(worker: &Worker, run: &Run) -> bool {
    worker.contact == Contact::Silent
        || worker
            .answered_at
            .is_some_and(|at| at.saturating_duration_since(run.progressed_at) >= STILL)
}

/// A task with one run may be given a copy, or not any more.
fn want_copy(pool: &mut Pool, task: TaskId, is_wanted: bool) {
    let job = pool.jobs.get_mut(&task.step.job);
    if let Some((_, state)) = job.and_then(|job| job.step_mut(task.step)) {
        state.update(task.index, |task| {
            task.is_copy_wanted = is_wanted && task.live == 1;
        });
    }
}

fn doubt(job: &Job, worker: &Worker, key: RunKey, run: &Run) -> Option<Doubt> {
    let (step, state) = job.step(key.0.step)?;
    let task = state.tasks.get(key.0.index as usize)?;
    if run.phase == Phase::Stopping || task.is_done || step.is_service() || step.is_gang() {
        return None;
    }
    if worker.contact == Contact::Silent {
        return Some(Doubt::WorkerSilent);
    }
    let expected = job.step_times.get(key.0.step.step as usize)?;
    let patience = STILL.max(*expected * STILL_PERCENT / 100);
    let patience = match run.origin {
        Origin::Resumed => patience + RESUMING,
        Origin::Started | Origin::Adopted => patience,
    };
    let seen_at = worker.answered_at?;
    let is_still = run.phase == Phase::Confirmed
        && run.percent < NEARLY_DONE_PERCENT
        && !run.is_best_effort
        && seen_at.saturating_duration_since(run.progressed_at) >= patience;
    is_still.then_some(Doubt::StandsStill)
}

fn avoid(pool: &mut Pool, worker: WorkerRef, now: Instant) {
    let others = pool.workers.iter().filter(|(at, _)| **at != worker);
    let is_only_one = !others.into_iter().any(|(_, it)| it.takes_work(now));
    let Some(it) = pool.workers.get_mut(&worker) else {
        return;
    };
    if is_only_one || it.paused_until.is_some_and(|until| now < until) {
        return;
    }
    let doublings = it.recent.stood_still.min(AVOIDED_DOUBLINGS_MAX);
    it.recent.stood_still += 1;
    it.paused_until = Some(now + AVOIDED * 2_u32.pow(doublings));
    pool.note_worker(worker, "avoided: tasks stand still");
}
