//! Finds runs that are not expected to end well: those that stand still, and those on workers that have fallen silent.
//!
//! Load pattern: on some workers tasks stand still for seconds while the worker answers, and workers vanish without a word. A
//! task that may run in copies gets a second run elsewhere at once. Another one that stands still is stopped first, so that
//! it can be started again; one on a silent worker has to wait until its lease has lapsed.
//!
//! A worker on which a run stands still gets no starts for a while.

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
    let mut cleared: Vec<TaskId> = Vec::new();
    for (worker, it) in &pool.workers {
        for (key, run) in &it.runs {
            let Some(job) = pool.jobs.get(&key.0.step.job) else {
                continue;
            };
            match doubt(job, it, *key, run) {
                Some(doubt) => doubts.push((*worker, *key, doubt)),
                None if is_copy_wanted(job, key.0) => cleared.push(key.0),
                None => {}
            }
        }
    }
    for task in cleared {
        let job = pool.jobs.get_mut(&task.step.job);
        if let Some((_, state)) = job.and_then(|job| job.step_mut(task.step)) {
            state.update(task.index, |task| task.is_copy_wanted = false);
        }
    }
    let mut still: Vec<WorkerRef> = Vec::new();
    for (worker, key, doubt) in doubts {
        if doubt == Doubt::StandsStill {
            still.push(worker);
        }
        let Some(job) = pool.jobs.get_mut(&key.0.step.job) else {
            continue;
        };
        let Some((step, state)) = job.step_mut(key.0.step) else {
            continue;
        };
        if step.is_speculative() {
            state.update(key.0.index, |task| task.is_copy_wanted = task.live == 1);
        } else if doubt == Doubt::StandsStill {
            pool.stop(worker, key, StopReason::StandsStill, now);
        }
    }
    still.dedup();
    for worker in still {
        avoid(pool, worker, now);
    }
}

fn is_copy_wanted(job: &Job, task: TaskId) -> bool {
    let state = job.step(task.step).map(|(_, state)| state);
    let task = state.and_then(|it| it.tasks.get(task.index as usize));
    task.is_some_and(|task| task.is_copy_wanted)
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
