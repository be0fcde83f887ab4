//! Requests placement permits: which workers may run the steps of a queue whose placement an external service decides.
//!
//! Load pattern: a query costs time for each worker that it names, and queries are processed one after the other. The
//! query for a step is sent once all tasks of its earlier steps have started, so that the reply is available when the
//! step opens. Jobs that come first in the queue order are queried first.
//!
//! Invariants:
//!
//! - At most one query per step is pending.
//! - The policy for a step does not change: a denied worker is not queried again in the same incarnation.
//! - A permit is used only while it is certainly valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{JobId, StepId, WorkerId, WorkerRef};
use crate::job::Job;
use crate::pool::{Command, Pool};
use crate::resources::Resources;
use crate::spec::Step;

/// The most workers named in a query. The objectives of jobs leave time for a query of about this size.
const WORKERS_MAX: usize = 30;

/// The most pending queries. The service refuses a caller's queries when 32 of them wait.
const QUERIES_MAX: usize = 8;

/// The delay before a query without a reply is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The share of a permit's validity during which it is used, in percent. The rest covers the delivery of the reply and
/// of the start.
const USED_PERCENT: u32 = 75;

/// A permit to run a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Permit {
    text: Box<str>,
    until: Instant,
}

/// The permits of one step, and the state of its query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct StepPermits {
    /// The incarnations that the pending query names. The reply names ids, and holds for no later incarnation.
    queried: Vec<WorkerRef>,
    retry_at: Option<Instant>,
    granted: BTreeMap<WorkerRef, Permit>,
    denied: BTreeSet<WorkerRef>,
}

/// The reply to a permit query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrants {
    /// The permit of each worker that may run the step.
    pub by_worker: Vec<(WorkerId, Box<str>)>,
    /// How long the permits are valid, from the time the query was sent.
    pub valid_for: Duration,
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.has_permit_jobs =
        pool.catalogue.has_permits() || pool.jobs.values().any(Job::needed_permits);
    if !pool.has_permit_jobs {
        return;
    }
    let jobs = &pool.jobs;
    pool.permits.retain(|step, _| jobs.contains_key(&step.job));
    let mut pending = pool
        .permits
        .values()
        .filter(|permits| permits.is_pending())
        .count();
    let mut queries: Vec<(StepId, Vec<WorkerRef>)> = Vec::new();
    for job in pool
        .queue_order
        .iter()
        .filter(|job| pool.needs_permits(**job))
    {
        for step in next_steps(pool, *job) {
            if pending >= QUERIES_MAX {
                break;
            }
            let workers = workers_to_query(pool, step, now);
            if !workers.is_empty() {
                pending += 1;
                queries.push((step, workers));
            }
        }
    }
    for (step, workers) in queries {
        let ids = workers
            .iter()
            .filter_map(|worker_ref| pool.workers.get(worker_ref));
        let ids = ids.map(|worker| worker.info.id.clone()).collect();
        pool.permits.entry(step).or_default().queried = workers;
        pool.commands
            .push(Command::QueryPermits { step, workers: ids });
    }
}

/// The steps that have idle tasks and whose earlier steps have none.
fn next_steps(pool: &Pool, id: JobId) -> Vec<StepId> {
    let Some(job) = pool.jobs.get(&id) else {
        return Vec::new();
    };
    let mut next = Vec::new();
    for (occurrence, state) in &job.occurrences {
        for (step, spec) in (0..).zip(&job.record.spec.steps) {
            let has_idle = |step: u32| {
                state
                    .steps
                    .get(step as usize)
                    .is_some_and(|state| state.idle > 0)
            };
            if has_idle(step) && !spec.after.iter().any(|after| has_idle(*after)) {
                next.push(StepId {
                    job: id,
                    occurrence: *occurrence,
                    step,
                });
            }
        }
    }
    next
}

/// The workers to query. Empty if the permitted ones suffice, a query is pending, or its retry is not due.
fn workers_to_query(pool: &Pool, id: StepId, now: Instant) -> Vec<WorkerRef> {
    let Some((step, state)) = pool.jobs.get(&id.job).and_then(|job| job.step(id)) else {
        return Vec::new();
    };
    let known = pool.permits.get(&id);
    if known
        .is_some_and(|permits| permits.is_pending() || permits.retry_at.is_some_and(|at| now < at))
    {
        return Vec::new();
    }
    let is_granted =
        |worker: &WorkerRef| known.is_some_and(|permits| permits.is_granted(*worker, now));
    let is_denied =
        |worker: &WorkerRef| known.is_some_and(|permits| permits.denied.contains(worker));
    let able = pool
        .workers
        .iter()
        .filter(|(_, worker)| worker.takes_work(now) && worker.could_run(step));
    let (granted, others): (Vec<_>, Vec<_>) = able
        .filter(|(worker, _)| !is_denied(worker))
        .partition(|(worker, _)| is_granted(worker));
    let slots: u64 = granted
        .iter()
        .map(|(_, worker)| slots(worker.free(), step))
        .sum();
    if slots >= u64::from(state.idle) {
        return Vec::new();
    }
    let mut others: Vec<_> = others
        .into_iter()
        .map(|(worker_ref, worker)| (worker.free().cpu_millis, *worker_ref))
        .collect();
    others.sort_unstable_by_key(|(free, worker)| (std::cmp::Reverse(*free), *worker));
    others.truncate(WORKERS_MAX);
    others.into_iter().map(|(_, worker)| worker).collect()
}

/// How many tasks of the step fit into this free capacity.
fn slots(free: Resources, step: &Step) -> u64 {
    let of_kind = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
    let each = step.reserved();
    let by_resources = of_kind(free.cpu_millis, each.cpu_millis)
        .min(of_kind(free.memory_mb, each.memory_mb))
        .min(of_kind(free.accelerators, each.accelerators));
    by_resources.min(u64::from(step.spread.unwrap_or(step.tasks)))
}

impl StepPermits {
    fn is_pending(&self) -> bool {
        !self.queried.is_empty()
    }

    fn is_granted(&self, worker: WorkerRef, now: Instant) -> bool {
        self.granted
            .get(&worker)
            .is_some_and(|permit| now < permit.until)
    }
}

impl Pool {
    /// Whether the job needs permits, as of the last plan.
    pub(super) fn needs_permits(&self, job: JobId) -> bool {
        let job = self.jobs.get(&job).filter(|_| self.has_permit_jobs);
        job.is_some_and(|job| self.is_permit_needed(job))
    }

    /// Whether the job's queue needs permits. A queue that was removed needs them as at the job's acceptance.
    fn is_permit_needed(&self, job: &Job) -> bool {
        let queue = self.catalogue.queue(job.queue());
        queue.map_or_else(|| job.needed_permits(), |queue| queue.needs_permits)
    }

    /// Whether a task of the step may be started on the worker, as far as permits go.
    pub(super) fn is_permitted(&self, step: StepId, worker: WorkerRef, now: Instant) -> bool {
        !self.needs_permits(step.job) || self.permit(step, worker, now).is_some()
    }

    /// Returns the permit for a start, if one is held and still valid.
    pub(super) fn permit(&self, step: StepId, worker: WorkerRef, now: Instant) -> Option<Box<str>> {
        let permit = self.permits.get(&step)?.granted.get(&worker)?;
        (now < permit.until).then(|| permit.text.clone())
    }

    /// Applies the reply to a query that was sent at `sent_at`; `answer` is `None` if there was no reply.
    pub fn permits_answered(
        &mut self,
        step: StepId,
        answer: Option<PermitGrants>,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(known) = self.permits.get_mut(&step) else {
            return;
        };
        let queried = std::mem::take(&mut known.queried);
        let Some(granted) = answer else {
            known.retry_at = Some(now + RETRY_DELAY);
            return;
        };
        let until = sent_at + granted.valid_for * USED_PERCENT / 100;
        known.denied.extend(&queried);
        for (id, text) in granted.by_worker {
            let is_granted = |worker: &WorkerRef| {
                let worker = self.workers.get(worker);
                worker.is_some_and(|worker| worker.info.id == id)
            };
            if let Some(worker) = queried.iter().copied().find(is_granted) {
                known.denied.remove(&worker);
                known.granted.insert(worker, Permit { text, until });
            }
        }
        // A reply that arrived too late to be used must not cause the same query at once.
        known.retry_at = (now >= until).then(|| now + RETRY_DELAY);
    }

    /// Discards a permit after the worker has refused a start for lack of a valid one.
    pub(super) fn permit_refused(&mut self, step: StepId, worker: WorkerRef, now: Instant) {
        if let Some(known) = self.permits.get_mut(&step) {
            known.granted.remove(&worker);
            known.retry_at = Some(now + RETRY_DELAY);
        }
    }
}
