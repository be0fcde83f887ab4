//! Asks for placement permits: which workers may run the steps of a queue whose placement an outside service decides.
//!
//! Load pattern: a question costs time for each worker that it names, and questions are answered one after the other. The
//! question about a step goes out once all tasks of its earlier steps have started, so that its answer is there when it
//! opens; jobs that come first in the order are asked for first.
//!
//! Invariants:
//!
//! - At most one question about a step is under way.
//! - The policy for a step does not change: a worker that was denied is not asked about again in this life.
//! - A permit is used only while it is certainly valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{JobId, StepId, WorkerId, WorkerRef};
use crate::pool::{Order, Pool};
use crate::resources::Resources;
use crate::spec::Step;

/// The most workers that a question names. The objectives of jobs allow for a question about as many.
const WORKERS_MAX: usize = 30;

/// The most questions under way. The service refuses a caller's questions when 32 of them wait.
const QUESTIONS_MAX: usize = 8;

/// The pause after a question without an answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The share of a permit's time that it is used for, in percent. The rest is for the way of the answer and of the start.
const USED_PERCENT: u32 = 75;

/// A permit to run a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Permit {
    text: Box<str>,
    until: Instant,
}

/// What is known of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct StepPermits {
    is_asking: bool,
    retry_at: Option<Instant>,
    granted: BTreeMap<WorkerRef, Permit>,
    denied: BTreeSet<WorkerRef>,
}

/// The answer to a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The permit of each worker that may run the step.
    pub by_worker: Vec<(WorkerId, Box<str>)>,
    /// How long the permits are valid.
    pub valid_for: Duration,
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    if !pool.catalogue.has_permits() {
        return;
    }
    let jobs = &pool.jobs;
    pool.permits.retain(|step, _| jobs.contains_key(&step.job));
    let mut under_way = pool.permits.values().filter(|it| it.is_asking).count();
    let mut questions: Vec<(StepId, Vec<WorkerRef>)> = Vec::new();
    for job in pool
        .queue_order
        .iter()
        .filter(|job| pool.needs_permits(**job))
    {
        for step in next_steps(pool, *job) {
            if under_way >= QUESTIONS_MAX {
                break;
            }
            let workers = to_ask_about(pool, step, now);
            if !workers.is_empty() {
                under_way += 1;
                questions.push((step, workers));
            }
        }
    }
    for (step, workers) in questions {
        pool.permits.entry(step).or_default().is_asking = true;
        let ids = workers.iter().filter_map(|it| pool.workers.get(it));
        let workers = ids.map(|it| it.info.id.clone()).collect();
        pool.orders.push(Order::AskPermits { step, workers });
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
            let has_idle = |step: u32| state.steps.get(step as usize).is_some_and(|it| it.idle > 0);
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

/// The workers to ask about; none if those that are permitted suffice, or a question is under way.
fn to_ask_about(pool: &Pool, id: StepId, now: Instant) -> Vec<WorkerRef> {
    let Some((step, state)) = pool.jobs.get(&id.job).and_then(|job| job.step(id)) else {
        return Vec::new();
    };
    let known = pool.permits.get(&id);
    if known.is_some_and(|it| it.is_asking || it.retry_at.is_some_and(|at| now < at)) {
        return Vec::new();
    }
    let is_granted = |worker: &WorkerRef| known.is_some_and(|it| it.is_granted(*worker, now));
    let is_denied = |worker: &WorkerRef| known.is_some_and(|it| it.denied.contains(worker));
    let able = pool
        .workers
        .iter()
        .filter(|(_, it)| it.takes_work(now) && it.could_run(step));
    let (granted, others): (Vec<_>, Vec<_>) = able
        .filter(|(worker, _)| !is_denied(worker))
        .partition(|(worker, _)| is_granted(worker));
    let places: u64 = granted.iter().map(|(_, it)| places(it.room(), step)).sum();
    if places >= u64::from(state.idle) {
        return Vec::new();
    }
    let mut others: Vec<_> = others
        .into_iter()
        .map(|(worker, it)| (it.room().cpu_millis, *worker))
        .collect();
    others.sort_unstable_by_key(|(room, worker)| (std::cmp::Reverse(*room), *worker));
    others.truncate(WORKERS_MAX);
    others.into_iter().map(|(_, worker)| worker).collect()
}

/// How many tasks of the step a worker with this room takes.
fn places(room: Resources, step: &Step) -> u64 {
    let of_kind = |room: u64, each: u64| room.checked_div(each).unwrap_or(u64::MAX);
    let each = step.reserved();
    let by_room = of_kind(room.cpu_millis, each.cpu_millis)
        .min(of_kind(room.memory_mb, each.memory_mb))
        .min(of_kind(room.accelerators, each.accelerators));
    by_room.min(u64::from(step.spread.unwrap_or(step.tasks)))
}

impl StepPermits {
    fn is_granted(&self, worker: WorkerRef, now: Instant) -> bool {
        self.granted.get(&worker).is_some_and(|it| now < it.until)
    }
}

impl Pool {
    /// Whether the job's queue needs permits.
    pub(super) fn needs_permits(&self, job: JobId) -> bool {
        if !self.catalogue.has_permits() {
            return false;
        }
        let queue = self
            .jobs
            .get(&job)
            .and_then(|job| self.catalogue.queue(job.queue()));
        queue.is_some_and(|queue| queue.needs_permits)
    }

    /// Whether a task of the step may be started on the worker, as far as permits go.
    pub(super) fn is_permitted(&self, step: StepId, worker: WorkerRef, now: Instant) -> bool {
        !self.needs_permits(step.job) || self.permit(step, worker, now).is_some()
    }

    /// The permit for a start.
    pub(super) fn permit(&self, step: StepId, worker: WorkerRef, now: Instant) -> Option<Box<str>> {
        let permit = self.permits.get(&step)?.granted.get(&worker)?;
        (now < permit.until).then(|| permit.text.clone())
    }

    /// Takes the answer to a question that was sent at `asked_at`; `None` if there was none.
    pub fn permits_answered(
        &mut self,
        step: StepId,
        asked: &[WorkerId],
        answer: Option<Granted>,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(known) = self.permits.get_mut(&step) else {
            return;
        };
        known.is_asking = false;
        let Some(granted) = answer else {
            known.retry_at = Some(now + RETRY_AFTER);
            return;
        };
        let until = asked_at + granted.valid_for * USED_PERCENT / 100;
        let refs = asked.iter().filter_map(|id| self.by_id.get(id));
        known.denied.extend(refs);
        for (id, text) in granted.by_worker {
            if let Some(worker) = self.by_id.get(&id) {
                known.denied.remove(worker);
                known.granted.insert(*worker, Permit { text, until });
            }
        }
        // An answer that came too late to be used must not lead to the same question at once.
        known.retry_at = (now >= until).then(|| now + RETRY_AFTER);
    }

    /// A worker has refused a start for want of a permit.
    pub(super) fn permit_refused(&mut self, step: StepId, worker: WorkerRef, now: Instant) {
        if let Some(known) = self.permits.get_mut(&step) {
            known.granted.remove(&worker);
            known.retry_at = Some(now + RETRY_AFTER);
        }
    }
}
