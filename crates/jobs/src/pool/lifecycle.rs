//! Opens occurrences that are due, ends jobs, and stops runs that are no longer needed.

use std::time::{Duration, Instant};

use crate::id::WorkerRef;
use crate::pool::{Command, Event, Pool, StopReason};
use crate::worker::{Phase, RunKey};

/// An unconfirmed stop is sent again after this time.
const STOP_RETRY: Duration = Duration::from_millis(600);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant, wall_ms: u64) {
    for (id, job) in &mut pool.jobs {
        if job.outcome.is_none() {
            job.open_due(wall_ms, now);
        }
        if job.close_done() {
            pool.unsaved.insert(*id);
        }
        if let Some(state) = job.outcome
            && !job.is_end_recorded
        {
            job.is_end_recorded = true;
            pool.unsaved.insert(*id);
            pool.events.push(Event::JobEnded {
                job: *id,
                state,
                took: now.saturating_duration_since(job.accepted_at),
                objective: job.objective,
            });
        }
    }
    stop_unneeded(pool, now);
}

/// Returns why the run should stop, if it should.
fn stop_reason(pool: &Pool, key: RunKey) -> Option<StopReason> {
    let (task_id, run) = key;
    let Some(job) = pool.jobs.get(&task_id.step.job) else {
        let is_set_aside = pool.is_set_aside(task_id.step.job);
        return (!is_set_aside).then_some(StopReason::JobEnded);
    };
    if job.outcome.is_some() {
        return Some(StopReason::JobEnded);
    }
    let (step, state) = job.step(task_id.step)?;
    let task = state.tasks.get(task_id.index as usize)?;
    let is_copy = task.live > 1 && task.last_run != Some(run) && !step.is_speculative();
    (task.is_done || is_copy).then_some(StopReason::Duplicate)
}

fn stop_unneeded(pool: &mut Pool, now: Instant) {
    let mut stops: Vec<(WorkerRef, RunKey, StopReason)> = Vec::new();
    let reachable = pool.workers.iter();
    let reachable = reachable.filter(|(_, worker)| worker.token.is_some());
    for (worker_ref, worker) in reachable {
        for (key, run) in &worker.runs {
            if run.phase == Phase::Stopping {
                let is_unconfirmed = run
                    .stop_sent_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY);
                // The next report proves a confirmed stop; sending the stop again would delay that proof.
                if is_unconfirmed && run.closed_at.is_none() {
                    stops.push((*worker_ref, *key, StopReason::JobEnded));
                }
            } else if let Some(reason) = stop_reason(pool, *key) {
                stops.push((*worker_ref, *key, reason));
            }
        }
    }
    for (worker_ref, key, reason) in stops {
        pool.stop(worker_ref, key, reason, now);
    }
}

impl Pool {
    /// Sends a stop for a run.
    pub(super) fn stop(
        &mut self,
        worker_ref: WorkerRef,
        key: RunKey,
        reason: StopReason,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        let id = worker.info.id.clone();
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        if run.phase != Phase::Stopping {
            self.events.push(Event::Stopped {
                worker: id,
                task: key.0,
                reason,
            });
        }
        run.phase = Phase::Stopping;
        run.closed_at = None;
        run.stop_sent_at = Some(now);
        self.commands.push(Command::Stop {
            worker: worker_ref,
            task: key.0,
            run: key.1,
            reason,
        });
    }
}
