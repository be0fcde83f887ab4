//! Drops runs that are certain not to be executing, and removes departed workers.
//!
//! An unresponsive worker keeps each run until every lease that was offered has expired on the clock of the incarnation that
//! may be executing the run ([`Executor`](crate::worker::Executor)). A takeover ends once all workers of the earlier
//! scheduler have sent a whole report, have been replaced, or all their leases have expired.

use std::time::{Duration, Instant};

use crate::id::{WorkerId, WorkerRef};
use crate::lease::expiry;
use crate::pool::{Event, Pool};
use crate::worker::{Run, RunKey, UNANSWERED_LIFE, Worker};

/// An unlisted worker without runs has departed once it has been unresponsive for this long.
const UNRESPONSIVE_MIN: Duration = Duration::from_secs(3);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let longest = expiry(pool.bounds.lease_max, &pool.bounds);
    let expired: Vec<Expired> = pool
        .workers
        .iter()
        .filter(|(_, worker)| !worker.has_departed)
        .map(|(worker_ref, worker)| Expired::new(*worker_ref, worker, longest, now))
        .collect();
    for expired in expired {
        release(pool, &expired, now);
    }
    let removable: Vec<WorkerRef> = pool
        .workers
        .iter()
        .filter(|(_, worker)| !worker.is_listed && (worker.has_departed || worker.clock.is_none()))
        .filter(|(_, worker)| worker.runs.is_empty())
        .map(|(worker_ref, _)| *worker_ref)
        .collect();
    pool.forget_unanswered(now);
    let unanswered = &pool.unanswered;
    pool.departed.retain(|id, departed| {
        let may_be_recent = now.saturating_duration_since(departed.since) < UNANSWERED_LIFE;
        may_be_recent || unanswered.contains_key(id)
    });
    for worker_ref in removable {
        if let Some(worker) = pool.workers.remove(&worker_ref)
            && pool.by_id.get(&worker.info.id) == Some(&worker_ref)
        {
            pool.by_id.remove(&worker.info.id);
        }
    }
    end_takeover(pool, now);
}

/// What of a worker is certainly over.
struct Expired {
    worker: WorkerRef,
    /// The runs whose leases have expired.
    runs: Vec<RunKey>,
    /// Whether no lease is left and the worker is unlisted.
    has_departed: bool,
}

impl Expired {
    fn new(worker_ref: WorkerRef, worker: &Worker, longest: Duration, now: Instant) -> Self {
        let has_expired = |run: &Run| {
            let expires_at = worker.lease_of_run_expires_at(run, longest);
            expires_at.is_some_and(|at| now >= at)
        };
        let runs = worker.runs.iter().filter(|(_, run)| has_expired(run));
        let runs: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
        let are_all_expired = runs.len() == worker.runs.len();
        let is_over =
            are_all_expired && (have_leases_expired(worker, now) || has_left(worker, now));
        Self {
            worker: worker_ref,
            runs,
            has_departed: is_over && !worker.is_listed,
        }
    }
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

fn release(pool: &mut Pool, expired: &Expired, now: Instant) {
    let worker_ref = expired.worker;
    if expired.has_departed {
        pool.end_incarnation(worker_ref, "gone", now);
        return;
    }
    if expired.runs.is_empty() {
        return;
    }
    pool.push_worker_event(worker_ref, "leases lapsed");
    pool.record_losses(worker_ref, &expired.runs, None, now);
    for key in &expired.runs {
        pool.drop_run(worker_ref, *key, "lease lapsed");
    }
}

/// Resolves each job whose workers have all reported. Ends the takeover once no run of the earlier scheduler can be
/// unknown.
fn end_takeover(pool: &mut Pool, now: Instant) {
    let Some(takeover) = &mut pool.takeover else {
        return;
    };
    // This scheduler extends the leases of those that it has heard.
    let is_over = |id: &WorkerId, until: Instant| {
        let worker = pool.by_id.get(id);
        let worker = worker.and_then(|worker| pool.workers.get(worker));
        match worker.filter(|worker| worker.is_fenced()) {
            Some(heard) => have_leases_expired(heard, now),
            None => now >= until,
        }
    };
    let expired: Vec<WorkerId> = takeover
        .awaited
        .extract_if(.., |id, until| is_over(id, *until))
        .map(|(id, _)| id)
        .collect();
    for id in &expired {
        pool.events.push(Event::AwaitEnded {
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
