//! The service that grants placement permits, each for a step on a worker, and the check of permits by the workers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_jobs::id::{StepId, WorkerId};
use goldcrest_jobs::pool::permits::PermitGrants;
use tokio::time::Instant;

/// The settings of the permit service, the queries it received and the permits it granted.
#[derive(Debug)]
pub struct PermitOffice {
    /// The workers that get permits, for any step; `None` grants all, and starts need no permit.
    pub allowed: RefCell<Option<BTreeSet<WorkerId>>>,
    /// The validity of a permit from its grant.
    pub valid_for: Cell<Duration>,
    /// The time until the answer to a query that names no worker. Queries are processed one after the other.
    pub delay: Cell<Duration>,
    /// The further time for each worker that a query names.
    pub delay_per_worker: Cell<Duration>,
    /// The number of queries that await an answer, and the highest such number so far.
    pending: Cell<(u32, u32)>,
    /// Until when the queries that have arrived are processed, also those that were given up.
    busy_until: Cell<Option<Instant>>,
    /// The number of further queries that get no answer.
    pub silent: Cell<u32>,
    /// The step and the workers of each query, in order of time.
    pub asked: RefCell<Vec<(StepId, Vec<WorkerId>)>>,
    valid_until: RefCell<BTreeMap<(StepId, WorkerId), Instant>>,
}

impl Default for PermitOffice {
    fn default() -> Self {
        Self {
            allowed: RefCell::default(),
            valid_for: Cell::new(Duration::from_secs(3)),
            delay: Cell::new(Duration::from_millis(50)),
            delay_per_worker: Cell::default(),
            pending: Cell::default(),
            busy_until: Cell::default(),
            silent: Cell::new(0),
            asked: RefCell::default(),
            valid_until: RefCell::default(),
        }
    }
}

impl PermitOffice {
    /// Lets only these workers get permits, and makes starts need one.
    pub fn allow_only(&self, workers: &[&str]) {
        let workers = workers.iter().map(|id| WorkerId::from(*id));
        *self.allowed.borrow_mut() = Some(workers.collect());
    }

    /// The highest number of queries that awaited an answer at the same time.
    pub fn pending_max(&self) -> u32 {
        self.pending.get().1
    }

    pub(crate) fn begin(&self) {
        let (pending, most) = self.pending.get();
        self.pending.set((pending + 1, most.max(pending + 1)));
    }

    pub(crate) fn end(&self) {
        let (pending, most) = self.pending.get();
        self.pending.set((pending.saturating_sub(1), most));
    }

    /// Adds a query to those that are processed. Returns when it is answered.
    pub(crate) fn process(&self, workers: usize, now: Instant) -> Instant {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let begins_at = self.busy_until.get().map_or(now, |until| until.max(now));
        let until = begins_at + self.delay.get() + self.delay_per_worker.get() * workers;
        self.busy_until.set(Some(until));
        until
    }

    /// Records a query. Returns whether it is answered.
    pub(crate) fn ask(&self, step: StepId, workers: &[WorkerId]) -> bool {
        self.asked.borrow_mut().push((step, workers.to_vec()));
        let unanswered = self.silent.get();
        self.silent.set(unanswered.saturating_sub(1));
        unanswered == 0
    }

    /// Grants permits to those of `workers` that are allowed, and records how long they are valid.
    pub(crate) fn grant(&self, step: StepId, workers: &[WorkerId], now: Instant) -> PermitGrants {
        let allowed = self.allowed.borrow();
        let is_allowed =
            |id: &WorkerId| allowed.as_ref().is_none_or(|allowed| allowed.contains(id));
        let granted = workers.iter().filter(|id| is_allowed(id));
        let until = now + self.valid_for.get();
        let by_worker = granted.map(|id| {
            self.valid_until
                .borrow_mut()
                .insert((step, id.clone()), until);
            (id.clone(), text(step, id))
        });
        PermitGrants {
            by_worker: by_worker.collect(),
            valid_for: self.valid_for.get(),
        }
    }

    /// Returns whether a worker accepts the permit of a start: it was granted for this step and worker and is
    /// still valid.
    pub(crate) fn accepts(
        &self,
        step: StepId,
        worker: &WorkerId,
        permit: Option<&str>,
        now: Instant,
    ) -> bool {
        if self.allowed.borrow().is_none() {
            return true;
        }
        let valid_until = self.valid_until.borrow();
        let is_valid = valid_until
            .get(&(step, worker.clone()))
            .is_some_and(|until| now < *until);
        is_valid && permit == Some(&*text(step, worker))
    }
}

fn text(step: StepId, worker: &WorkerId) -> Box<str> {
    format!("{step}@{worker}").into()
}
