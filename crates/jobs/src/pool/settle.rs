//! Opens occurrences that are due, ends jobs, and stops runs that have no purpose any more.

use std::time::{Duration, Instant};

use crate::id::WorkerRef;
use crate::pool::{Event, Order, Pool, StopReason};
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
            && !job.is_announced
        {
            job.is_announced = true;
            pool.unsaved.insert(*id);
            pool.events.push(Event::JobEnded {
                job: *id,
                state,
                took: now.saturating_duration_since(job.accepted_at),
                objective: job.objective,
            });
        }
    }
    stop_purposeless(pool, now);
}

/// Why the run should not go on, if it should not.
fn stop_reason(pool: &Pool, key: RunKey) -> Option<StopReason> {
    let (task, run) = key;
    let Some(job) = pool.jobs.get(&task.step.job) else {
        return Some(StopReason::JobEnded);
    };
    if job.outcome.is_some() {
        return Some(StopReason::JobEnded);
    }
    let (step, state) = job.step(task.step)?;
    let it = state.tasks.get(task.index as usize)?;
    let is_copy = it.live > 1 && it.last_run != Some(run) && !step.is_speculative();
    (it.is_done || is_copy).then_some(StopReason::Duplicate)
}

fn stop_purposeless(pool: &mut Pool, now: Instant) {
    let mut stops: Vec<(WorkerRef, RunKey, StopReason)> = Vec::new();
    for (worker, it) in &pool.workers {
        for (key, run) in &it.runs {
            if run.phase == Phase::Stopping {
                let is_silent = run
                    .stop_sent_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY);
                // A confirmed stop is proved by the next report; sending it again would put the proof off.
                if is_silent && run.closed_at.is_none() {
                    stops.push((*worker, *key, StopReason::JobEnded));
                }
            } else if let Some(reason) = stop_reason(pool, *key) {
                stops.push((*worker, *key, reason));
            }
        }
    }
    for (worker, key, reason) in stops {
        pool.stop(worker, key, reason, now);
    }
}

impl Pool {
    /// Orders a run to be stopped.
    pub(super) fn stop(
        &mut self,
        worker: WorkerRef,
        key: RunKey,
        reason: StopReason,
        now: Instant,
    ) {
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        let id = it.info.id.clone();
        let Some(run) = it.runs.get_mut(&key) else {
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
        self.orders.push(Order::Stop {
            worker,
            task: key.0,
            run: key.1,
            reason,
        });
    }
}
