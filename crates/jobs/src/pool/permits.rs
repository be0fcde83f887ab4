//! Requests placement permits: which workers may run the steps of a queue whose placement an external service decides.
//!
//! Load pattern: a query costs time for each worker that it names, the service processes the queries of a machine one after
//! the other, and a burst of jobs needs more of them than it can process at once. A query that waits behind others uses up
//! the validity of its own permits, and if these are not used, the query is repeated: the service would stay busy with
//! replies that come too late. So a pool has one query pending, which names the step that can use the reply first.
//!
//! A step is queried if one of its tasks could be started with the permit. Next come [`AHEAD_MAX`] steps that wait for
//! capacity or for their team's limit, and then steps whose earlier steps have all started, so that the reply is available
//! when the step opens. Within these, the queue order decides.
//!
//! Invariants:
//!
//! - At most one query per pool is pending.
//! - The policy for a step does not change: a denied worker is not queried again in the same incarnation.
//! - A permit is used only while it is certainly valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{JobId, StepId, WorkerId, WorkerRef};
use crate::job::Job;
use crate::pool::free_capacity::FreeCapacity;
use crate::pool::place::is_allowed;
use crate::pool::{Command, Pool};
use crate::query_times::QueryTimes;
use crate::resources::Resources;
use crate::spec::Step;

/// The most steps that hold permits while they wait for capacity. While one starts, the next has its permits.
const AHEAD_MAX: usize = 2;

/// The delay before the next query after one that brought nothing. It doubles with each further one in a row, so that the
/// service can finish queries that were given up.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The longest delay between queries that bring nothing.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

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
    /// The number of queries in a row after which no task has started.
    misses: u32,
    granted: BTreeMap<WorkerRef, Permit>,
    denied: BTreeSet<WorkerRef>,
}

/// The queries of a pool without a usable reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Misses {
    /// The number of queries in a row that had no usable reply.
    in_a_row: u32,
    /// When the next query may be sent.
    retry_at: Option<Instant>,
}

/// A query for placement permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitQuery {
    /// The step whose tasks are to be placed.
    pub step: StepId,
    /// The workers that could run it, those with the most free processor time first.
    pub workers: Vec<WorkerId>,
    /// How long the reply is awaited.
    pub timeout: Duration,
}

/// The reply to a permit query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrants {
    /// The permit of each worker that may run the step.
    pub by_worker: Vec<(WorkerId, Box<str>)>,
    /// How long the permits are valid, from the time the query was sent.
    pub valid_for: Duration,
}

/// What became of the reply to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// Its permits, if any, can be used.
    Usable,
    /// It came when its permits could no longer be used.
    Late,
    /// There was none, or the step no longer waits for it.
    None,
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.has_permit_jobs =
        pool.catalogue.has_permits() || pool.jobs.values().any(Job::needed_permits);
    if !pool.has_permit_jobs {
        return;
    }
    let jobs = &pool.jobs;
    // A pending query keeps its entry until the reply, because it occupies the service.
    pool.permits
        .retain(|step, permits| jobs.contains_key(&step.job) || permits.is_pending());
    if let Some(query) = next_query(pool, now) {
        pool.commands.push(Command::QueryPermits(query));
    }
}

/// Chooses the next query and marks it as pending, unless one is.
fn next_query(pool: &mut Pool, now: Instant) -> Option<PermitQuery> {
    let must_wait = pool.permit_misses.retry_at.is_some_and(|at| now < at);
    if must_wait || !pool.pending_queries().is_empty() {
        return None;
    }
    let (step, named) = choose(pool, now)?;
    let timeout = pool.query_times(step.job).timeout(named.len());
    let workers = named
        .iter()
        .filter_map(|worker_ref| pool.workers.get(worker_ref));
    let workers = workers.map(|worker| worker.info.id.clone()).collect();
    pool.permits.entry(step).or_default().queried = named;
    Some(PermitQuery {
        step,
        workers,
        timeout,
    })
}

/// The step to query, with the workers to name.
fn choose(pool: &Pool, now: Instant) -> Option<(StepId, Vec<WorkerRef>)> {
    let free_capacity = FreeCapacity::new(pool, now);
    let mut ahead = None;
    let mut holding_permits = 0;
    let mut upcoming = None;
    for id in &pool.queue_order {
        let Some(job) = pool.jobs.get(id).filter(|job| pool.needs_permits(job.id())) else {
            continue;
        };
        for step in next_steps(job) {
            let is_open = job.is_step_open(step);
            let is_sought = if is_open {
                ahead.is_none() && holding_permits < AHEAD_MAX
            } else {
                upcoming.is_none()
            };
            if !is_sought && (!is_open || !could_start(pool, &free_capacity, step, now)) {
                continue;
            }
            let workers = workers_to_query(pool, step, now);
            if workers.is_empty() {
                holding_permits += usize::from(is_open && pool.holds_permit(step, now));
            } else if !is_open {
                upcoming = Some((step, workers));
            } else if could_start(pool, &free_capacity, step, now) {
                return Some((step, workers));
            } else if is_sought {
                ahead = Some((step, workers));
            }
        }
    }
    ahead.or(upcoming)
}

/// Whether a task of the step could be started if a worker was permitted that is not known to be denied or permitted.
fn could_start(pool: &Pool, free_capacity: &FreeCapacity, id: StepId, now: Instant) -> bool {
    let Some((step, _)) = pool.jobs.get(&id.job).and_then(|job| job.step(id)) else {
        return false;
    };
    let reserved = step.reserved();
    let known = pool.permits.get(&id);
    let is_unknown = |worker: &WorkerRef| {
        known.is_none_or(|known| !known.denied.contains(worker) && !known.is_granted(*worker, now))
    };
    is_allowed(pool, id.job, reserved)
        && free_capacity.workers_with(reserved).any(|worker_ref| {
            let worker = pool.workers.get(&worker_ref);
            is_unknown(&worker_ref) && worker.is_some_and(|worker| worker.has_required(step))
        })
}

/// The steps that have idle tasks and whose earlier steps have none.
fn next_steps(job: &Job) -> Vec<StepId> {
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
                    job: job.id(),
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
    // Each worker adds to the time of the reply: fewer are named after replies that came too late.
    let most =
        pool.query_times(id.job).workers_max() >> pool.permit_misses.in_a_row.min(usize::BITS - 1);
    others.truncate(most.max(1));
    others.into_iter().map(|(_, worker)| worker).collect()
}

/// How many tasks of the step fit into this free capacity.
fn slots(free: Resources, step: &Step) -> u64 {
    let by_resources = free.multiples_of(step.reserved());
    by_resources.min(u64::from(step.spread.unwrap_or(step.tasks)))
}

impl StepPermits {
    fn is_pending(&self) -> bool {
        !self.queried.is_empty()
    }

    /// Records that a worker has accepted a permit.
    pub(super) fn accept(&mut self) {
        self.misses = 0;
    }

    fn miss(&mut self, now: Instant) {
        self.misses = self.misses.saturating_add(1);
        self.retry_at = Some(now + retry_delay(self.misses));
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
        let queue = self.catalogue.queue_of(&job.record);
        queue.map_or_else(
            || job.needed_permits(),
            |queue| queue.permit_queries.is_some(),
        )
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

    /// The steps with a pending query.
    #[must_use]
    pub fn pending_queries(&self) -> Vec<StepId> {
        let permits = self.permits.iter();
        let pending = permits.filter(|(_, permits)| permits.is_pending());
        pending.map(|(step, _)| *step).collect()
    }

    /// Whether a task of the step may be started on some worker, as far as permits go.
    fn holds_permit(&self, step: StepId, now: Instant) -> bool {
        let known = self.permits.get(&step);
        known.is_some_and(|known| known.granted.values().any(|permit| now < permit.until))
    }

    /// The times of the permit service of a job's queue. A queue that was removed keeps those of the job's acceptance.
    fn query_times(&self, job: JobId) -> QueryTimes {
        let job = self.jobs.get(&job);
        let queue = job.and_then(|job| self.catalogue.queue_of(&job.record));
        let accepted = job.and_then(|job| job.record.policy.as_ref());
        queue
            .map_or_else(
                || accepted.and_then(|policy| policy.permit_queries),
                |queue| queue.permit_queries,
            )
            .unwrap_or_default()
    }

    /// Chooses anew what a planned query asks for, right before it is sent: it may have waited for its turn at the service.
    /// Returns `None` if nothing is to be asked now; the query is then withdrawn.
    pub fn renew_query(&mut self, step: StepId, now: Instant) -> Option<PermitQuery> {
        self.withdraw_query(step);
        next_query(self, now)
    }

    /// Withdraws a planned query that was not sent.
    pub fn withdraw_query(&mut self, step: StepId) {
        if let Some(known) = self.permits.get_mut(&step) {
            known.queried.clear();
        }
    }

    /// Applies the reply to a query that was sent at `sent_at`; `answer` is `None` if there was no reply.
    pub fn permits_answered(
        &mut self,
        step: StepId,
        answer: Option<PermitGrants>,
        sent_at: Instant,
        now: Instant,
    ) -> PermitReply {
        let times = self.query_times(step.job);
        let Some(known) = self.permits.get_mut(&step) else {
            return PermitReply::None;
        };
        let queried = std::mem::take(&mut known.queried);
        let Some(granted) = answer else {
            self.record_miss(step, now);
            return PermitReply::None;
        };
        let until = times.used_until(sent_at, queried.len(), granted.valid_for);
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
        if now >= until {
            // The same query at once would come too late again.
            self.record_miss(step, now);
            return PermitReply::Late;
        }
        known.retry_at = None;
        self.permit_misses = Misses::default();
        PermitReply::Usable
    }

    /// Delays the next query after one that had no usable reply.
    fn record_miss(&mut self, step: StepId, now: Instant) {
        self.permit_misses.in_a_row = self.permit_misses.in_a_row.saturating_add(1);
        self.permit_misses.retry_at = Some(now + retry_delay(self.permit_misses.in_a_row));
        if let Some(known) = self.permits.get_mut(&step) {
            known.miss(now);
        }
    }

    /// Discards a permit after the worker has refused a start for lack of a valid one.
    pub(super) fn permit_refused(&mut self, step: StepId, worker: WorkerRef, now: Instant) {
        if let Some(known) = self.permits.get_mut(&step) {
            known.granted.remove(&worker);
            known.miss(now);
        }
    }
}

/// The delay after this many queries in a row that brought nothing.
fn retry_delay(misses: u32) -> Duration {
    let factor = 1_u32.checked_shl(misses.saturating_sub(1));
    let delay = factor.and_then(|factor| RETRY_DELAY.checked_mul(factor));
    delay.unwrap_or(RETRY_DELAY_MAX).min(RETRY_DELAY_MAX)
}
