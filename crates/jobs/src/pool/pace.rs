//! Throttles best-effort tasks on workers whose services are close to missing their target.
//!
//! While a service's tail latency is near its target, the speed of the worker's best-effort tasks is halved at each
//! change, down to a halt. While all tails are well below their targets, the speed is raised by one step at each
//! change.

use std::time::{Duration, Instant};

use crate::id::WorkerRef;
use crate::pool::{Command, Pool};
use crate::worker::{Phase, RunKey, Worker};

/// A tail latency above this share of its target, in percent, throttles the best-effort tasks on the worker.
const THROTTLE_ABOVE_PERCENT: f64 = 85.0;

/// Best-effort tasks speed up again while all tail latencies are below this share of their targets, in percent.
const RECOVER_BELOW_PERCENT: f64 = 65.0;

/// The step by which best-effort tasks speed up again, in percent of full speed.
const RECOVERY_STEP_PERCENT: u32 = 20;

/// The least time between two changes on one worker. A report shows the effect of a change only after half a second.
const CHANGE_INTERVAL_MIN: Duration = Duration::from_millis(700);

/// Below this share of full speed, in percent, a task is halted.
const HALT_BELOW_PERCENT: u32 = 20;

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let workers: Vec<WorkerRef> = pool.workers.keys().copied().collect();
    for worker_ref in workers {
        let Some(worker) = pool.workers.get_mut(&worker_ref) else {
            continue;
        };
        if worker.has_departed || !worker.runs.values().any(|run| run.is_best_effort) {
            continue;
        }
        let Some(next) = next_percent(worker, now) else {
            continue;
        };
        worker.throttled_at = Some(now);
        let best_effort: Vec<RunKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_best_effort && run.phase == Phase::Confirmed)
            .map(|(key, _)| *key)
            .collect();
        for key in best_effort {
            if let Some(run) = worker.runs.get_mut(&key)
                && run.speed_percent != next
            {
                run.speed_percent = next;
                pool.commands.push(Command::Throttle {
                    worker: worker_ref,
                    task: key.0,
                    run: key.1,
                    percent: next,
                });
            }
        }
    }
}

/// The new speed of the worker's best-effort tasks, in percent, if it changes.
fn next_percent(worker: &Worker, now: Instant) -> Option<u32> {
    if worker
        .throttled_at
        .is_some_and(|at| now.saturating_duration_since(at) < CHANGE_INTERVAL_MIN)
    {
        return None;
    }
    let worst_percent = worker
        .runs
        .values()
        .filter(|run| run.phase == Phase::Confirmed)
        .filter_map(|run| Some(run.load * 0.1 / run.tail_target?.as_secs_f64()))
        .fold(0.0, f64::max);
    let current = worker
        .runs
        .values()
        .filter(|run| run.is_best_effort)
        .map(|run| run.speed_percent)
        .max()?;
    let next = if worst_percent > THROTTLE_ABOVE_PERCENT {
        if current / 2 < HALT_BELOW_PERCENT {
            0
        } else {
            current / 2
        }
    } else if worst_percent < RECOVER_BELOW_PERCENT {
        (current + RECOVERY_STEP_PERCENT).min(100)
    } else {
        current
    };
    let is_uneven = worker
        .runs
        .values()
        .any(|run| run.is_best_effort && run.speed_percent != current);
    (next != current || is_uneven).then_some(next)
}
