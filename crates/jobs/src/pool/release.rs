//! Drops runs that are certain not to be executing, and removes departed workers.
//!
//! An unresponsive worker keeps its runs until every lease that was offered to it has expired on its own clock. A
//! takeover ends once all workers of the earlier scheduler have reported, or all its leases have expired.

use std::time::{Duration, Instant};

use crate::id::{WorkerId, WorkerRef};
use crate::pool::{Event, Pool};
use crate::worker::{UNANSWERED_LIFE, Worker};

/// An unlisted worker without runs has departed once it has been unresponsive for this long.
const UNRESPONSIVE_MIN: Duration = Duration::from_secs(3);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let expired: Vec<WorkerRef> = pool
        .workers
        .iter()
        .filter(|(_, worker)| {
            !worker.has_departed && (have_leases_expired(worker, now) || has_left(worker, now))
        })
        .map(|(worker_ref, _)| *worker_ref)
        .collect();
    for worker_ref in expired {
        release(pool, worker_ref, now);
    }
    let removable: Vec<WorkerRef> = pool
        .workers
        .iter()
        .filter(|(_, worker)| !worker.is_listed && (worker.has_departed || worker.clock.is_none()))
        .filter(|(_, worker)| worker.runs.is_empty())
        .map(|(worker_ref, _)| *worker_ref)
        .collect();
    pool.departed
        .retain(|_, departed| now.saturating_duration_since(departed.since) < UNANSWERED_LIFE);
    for worker_ref in removable {
        if let Some(worker) = pool.workers.remove(&worker_ref)
            && pool.by_id.get(&worker.info.id) == Some(&worker_ref)
        {
            pool.by_id.remove(&worker.info.id);
        }
    }
    end_takeover(pool, now);
}

/// Whether every lease that was offered to the worker has expired.
fn have_leases_expired(worker: &Worker, now: Instant) -> bool {
    worker.leases_expire_at().is_some_and(|at| now >= at)
}

/// Whether the worker is unlisted, unresponsive and without runs.
fn has_left(worker: &Worker, now: Instant) -> bool {
    let is_unresponsive = worker
        .answered_at
        .is_none_or(|at| now.saturating_duration_since(at) >= UNRESPONSIVE_MIN);
    !worker.is_listed && worker.runs.is_empty() && is_unresponsive
}

fn release(pool: &mut Pool, worker_ref: WorkerRef, now: Instant) {
    let Some(worker) = pool.workers.get_mut(&worker_ref) else {
        return;
    };
    if !worker.is_listed {
        pool.end_incarnation(worker_ref, "gone", now);
        return;
    }
    if worker.runs.is_empty() {
        return;
    }
    let keys: Vec<_> = worker.runs.keys().copied().collect();
    pool.push_worker_event(worker_ref, "leases lapsed");
    pool.record_losses(worker_ref, None, now);
    for key in keys {
        pool.drop_run(worker_ref, key, "lease lapsed");
    }
}

/// Resolves each job whose workers have all reported. Ends the takeover once no run of the earlier scheduler can be
/// unknown.
fn end_takeover(pool: &mut Pool, now: Instant) {
    let Some(takeover) = &mut pool.takeover else {
        return;
    };
    let expired: Vec<WorkerId> = takeover
        .awaited
        .extract_if(.., |_, until| now >= *until)
        .map(|(id, _)| id)
        .collect();
    for id in &expired {
        pool.events.push(Event::Awaited {
            worker: id.clone(),
            how: "leases lapsed",
            stored_ms: pool.inherited.started_ms.get(id).copied(),
            started_ms: None,
        });
    }
    takeover.lost.extend(expired);
    let is_over = takeover.awaited.is_empty();
    let mut resolved = Vec::new();
    for (id, job) in &mut pool.jobs {
        let mut lost = takeover.lost.iter();
        let worker = lost.find(|worker| job.workers.contains(*worker));
        job.awaited
            .retain(|worker| takeover.awaited.contains_key(worker));
        if job.awaited.is_empty() && job.is_inherited() {
            let incarnations = &pool.inherited.started_ms;
            job.resolve_unknown(worker.map(|id| (id, incarnations.get(id).copied())));
            resolved.push(*id);
        }
        // An ended job can be closed now.
        if is_over && job.outcome.is_some() {
            pool.unsaved.insert(*id);
        }
    }
    if is_over {
        pool.takeover = None;
    }
    for job in resolved {
        pool.collect_suspects(job, now);
    }
}
