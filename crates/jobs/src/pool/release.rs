//! Ends what is certain not to be at work any more.
//!
//! A worker that doesn't answer keeps its runs until every lease that was offered to it has lapsed on its own clock.
//! A takeover ends once all workers of the earlier scheduler have reported, or all its leases have lapsed.

use std::time::{Duration, Instant};

use crate::id::WorkerRef;
use crate::pool::Pool;
use crate::worker::Worker;

/// A worker without runs that is not listed and has been silent this long is held to have left.
const SILENCE: Duration = Duration::from_secs(3);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let lapsed: Vec<WorkerRef> = pool
        .workers
        .iter()
        .filter(|(_, it)| !it.is_gone && (has_lapsed(it, now) || has_left(it, now)))
        .map(|(worker, _)| *worker)
        .collect();
    for worker in lapsed {
        release(pool, worker);
    }
    let forgotten: Vec<WorkerRef> = pool
        .workers
        .iter()
        .filter(|(_, it)| !it.is_listed && (it.is_gone || it.clock.is_none()))
        .filter(|(_, it)| it.runs.is_empty())
        .map(|(worker, _)| *worker)
        .collect();
    for worker in forgotten {
        if let Some(it) = pool.workers.remove(&worker)
            && pool.by_id.get(&it.info.id) == Some(&worker)
        {
            pool.by_id.remove(&it.info.id);
        }
    }
    end_takeover(pool, now);
}

/// Every lease that was offered has lapsed.
fn has_lapsed(worker: &Worker, now: Instant) -> bool {
    worker.lapses_at().is_some_and(|at| now >= at)
}

/// It is not listed, does not answer and runs nothing.
fn has_left(worker: &Worker, now: Instant) -> bool {
    let is_silent = worker
        .answered_at
        .is_none_or(|at| now.saturating_duration_since(at) >= SILENCE);
    !worker.is_listed && worker.runs.is_empty() && is_silent
}

fn release(pool: &mut Pool, worker: WorkerRef) {
    let Some(it) = pool.workers.get_mut(&worker) else {
        return;
    };
    if !it.is_listed {
        pool.end_life(worker, "gone");
        return;
    }
    if it.runs.is_empty() {
        return;
    }
    let keys: Vec<_> = it.runs.keys().copied().collect();
    pool.note_worker(worker, "leases lapsed");
    for key in keys {
        pool.drop_run(worker, key, "lease lapsed");
    }
}

/// Resolves each job whose workers have all reported; ends the takeover once nothing of the earlier scheduler can run.
fn end_takeover(pool: &mut Pool, now: Instant) {
    let Some(takeover) = &pool.takeover else {
        return;
    };
    let is_over = takeover.awaited.is_empty() || now >= takeover.until;
    for (id, job) in &mut pool.jobs {
        job.awaited
            .retain(|worker| !is_over && takeover.awaited.contains(worker));
        if job.awaited.is_empty() && job.is_inherited() {
            job.resolve_unknown();
        }
        // An ended job can be closed now.
        if is_over && job.outcome.is_some() {
            pool.unsaved.insert(*id);
        }
    }
    if is_over {
        pool.takeover = None;
    }
}
