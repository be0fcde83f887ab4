//! Throttles best-effort tasks beside services that miss their target.
//!
//! On a worker where a service's tail is near its target, the best-effort tasks are halved at once, down to nothing; when
//! all tails have been well below for a while, they are given a step back.

use std::time::{Duration, Instant};

use crate::id::WorkerRef;
use crate::pool::{Order, Pool};
use crate::worker::{Phase, RunKey, Worker};

/// A tail above this share of its target, in percent, throttles what fills beside it.
const THROTTLE_AT_PERCENT: f64 = 85.0;

/// A tail below this share of its target, in percent, is calm.
const CALM_PERCENT: f64 = 65.0;

/// The step by which best-effort tasks get speed back, in percent.
const GIVE_BACK_PERCENT: u32 = 20;

/// The least time between two changes on one worker. A report shows the effect of a change only after half a second.
const SETTLE: Duration = Duration::from_millis(700);

/// Below this share a task is halted.
const HALT_PERCENT: u32 = 20;

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let workers: Vec<WorkerRef> = pool.workers.keys().copied().collect();
    for worker in workers {
        let Some(it) = pool.workers.get_mut(&worker) else {
            continue;
        };
        if it.is_gone || !it.runs.values().any(|run| run.is_best_effort) {
            continue;
        }
        let Some(next) = next_pace(it, now) else {
            continue;
        };
        it.paced_at = Some(now);
        let fillers: Vec<RunKey> = it
            .runs
            .iter()
            .filter(|(_, run)| run.is_best_effort && run.phase == Phase::Confirmed)
            .map(|(key, _)| *key)
            .collect();
        for key in fillers {
            if let Some(run) = it.runs.get_mut(&key)
                && run.pace_percent != next
            {
                run.pace_percent = next;
                pool.orders.push(Order::Pace {
                    worker,
                    task: key.0,
                    run: key.1,
                    percent: next,
                });
            }
        }
    }
}

/// The share that best-effort tasks on the worker should work at from now on, if it changes.
fn next_pace(worker: &Worker, now: Instant) -> Option<u32> {
    if worker
        .paced_at
        .is_some_and(|at| now.saturating_duration_since(at) < SETTLE)
    {
        return None;
    }
    let worst_percent = worker
        .runs
        .values()
        .filter(|run| run.phase == Phase::Confirmed)
        .filter_map(|run| Some(run.load * 0.1 / run.tail_target?.as_secs_f64()))
        .fold(0.0, f64::max);
    let present = worker
        .runs
        .values()
        .filter(|run| run.is_best_effort)
        .map(|run| run.pace_percent)
        .max()?;
    let next = if worst_percent > THROTTLE_AT_PERCENT {
        if present / 2 < HALT_PERCENT {
            0
        } else {
            present / 2
        }
    } else if worst_percent < CALM_PERCENT {
        (present + GIVE_BACK_PERCENT).min(100)
    } else {
        present
    };
    let is_new_beside = worker
        .runs
        .values()
        .any(|run| run.is_best_effort && run.pace_percent != present);
    (next != present || is_new_beside).then_some(next)
}
