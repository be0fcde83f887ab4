//! The service that decides which workers may run a step, and the check of its permits by the workers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_jobs::id::{StepId, WorkerId};
use goldcrest_jobs::pool::permits::Granted;
use tokio::time::Instant;

/// What the service decides and has decided.
#[derive(Debug)]
pub struct PermitOffice {
    /// The workers that may run any step; `None` if starts need no permits.
    pub allowed: RefCell<Option<BTreeSet<WorkerId>>>,
    /// How long a permit is valid.
    pub valid_for: Cell<Duration>,
    /// How long an answer takes.
    pub delay: Cell<Duration>,
    /// Questions that get no answer.
    pub silent: Cell<u32>,
    /// The workers that each question named.
    pub asked: RefCell<Vec<(StepId, Vec<WorkerId>)>>,
    given: RefCell<BTreeMap<(StepId, WorkerId), Instant>>,
}

impl Default for PermitOffice {
    fn default() -> Self {
        Self {
            allowed: RefCell::default(),
            valid_for: Cell::new(Duration::from_secs(3)),
            delay: Cell::new(Duration::from_millis(50)),
            silent: Cell::new(0),
            asked: RefCell::default(),
            given: RefCell::default(),
        }
    }
}

impl PermitOffice {
    /// Notes a question; returns whether it is answered.
    pub(crate) fn ask(&self, step: StepId, workers: &[WorkerId]) -> bool {
        self.asked.borrow_mut().push((step, workers.to_vec()));
        let silent = self.silent.get();
        self.silent.set(silent.saturating_sub(1));
        silent == 0
    }

    /// Gives permits.
    pub(crate) fn grant(&self, step: StepId, workers: &[WorkerId], now: Instant) -> Granted {
        let allowed = self.allowed.borrow();
        let is_allowed = |id: &WorkerId| allowed.as_ref().is_none_or(|it| it.contains(id));
        let granted = workers.iter().filter(|id| is_allowed(id));
        let until = now + self.valid_for.get();
        let by_worker = granted.map(|id| {
            self.given.borrow_mut().insert((step, id.clone()), until);
            (id.clone(), text(step, id))
        });
        Granted {
            by_worker: by_worker.collect(),
            valid_for: self.valid_for.get(),
        }
    }

    /// Whether a worker accepts the permit of a start.
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
        let given = self.given.borrow();
        let is_valid = given
            .get(&(step, worker.clone()))
            .is_some_and(|until| now < *until);
        is_valid && permit == Some(&*text(step, worker))
    }
}

fn text(step: StepId, worker: &WorkerId) -> Box<str> {
    format!("{step}@{worker}").into()
}
