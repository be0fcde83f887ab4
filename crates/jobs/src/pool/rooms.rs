//! The workers that take work and the room that is left on each, for one plan.
//!
//! Invariants:
//!
//! - `candidates` holds each worker that takes work once, with its room after the starts of this plan.
//! - A demand in `unfit` fits no candidate. Rooms only shrink during a plan, so no larger demand fits one either.
//!
//! Load pattern: more jobs wait than there is room for. Each costs a few comparisons instead of a look at every worker.

use std::cmp::Reverse;
use std::time::Instant;

use crate::id::{StepId, WorkerRef};
use crate::pool::Pool;
use crate::resources::Resources;
use crate::spec::Step;
use crate::worker::Worker;

/// The most demands that are remembered. Queues have few sizes of tasks; a demand that is not remembered is tried again.
const UNFIT_MAX: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Candidate {
    worker: WorkerRef,
    room: Resources,
}

/// The workers that take work.
#[derive(Debug)]
pub struct Rooms {
    now: Instant,
    candidates: Vec<Candidate>,
    unfit: Vec<Resources>,
}

impl Rooms {
    /// The workers that take work now.
    #[must_use]
    pub fn new(pool: &Pool, now: Instant) -> Self {
        let candidates = pool
            .workers
            .iter()
            .filter(|(_, it)| it.takes_work(now) && it.clock.is_some())
            .map(|(worker, it)| Candidate {
                worker: *worker,
                room: it.room(),
            })
            .collect();
        Self {
            now,
            candidates,
            unfit: Vec::new(),
        }
    }

    /// Whether no worker takes work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Whether it is known that no worker has this much room.
    #[must_use]
    pub fn is_unfit(&self, demand: Resources) -> bool {
        self.unfit.iter().any(|unfit| unfit.fits(&demand))
    }

    fn note_unfit(&mut self, demand: Resources) {
        if self.unfit.len() < UNFIT_MAX {
            self.unfit.retain(|it| !demand.fits(it));
            self.unfit.push(demand);
        }
    }

    /// A start takes room.
    pub fn take(&mut self, worker: WorkerRef, demand: Resources) {
        let mut candidates = self.candidates.iter_mut();
        if let Some(it) = candidates.find(|it| it.worker == worker) {
            it.room -= demand;
        }
    }

    /// The best worker for a task of the step: near its data, then with the least processor time left. Tasks of services go
    /// where other services are. So the other workers are empty, and can leave the pool as soon as its turn is over. Best-effort
    /// tasks live on what is left, and go where that is the most.
    pub fn choose(&mut self, pool: &Pool, id: StepId, step: &Step) -> Option<WorkerRef> {
        let demand = step.reserved();
        let fitness = |room: &Resources| {
            if step.is_best_effort() {
                room.cpu_millis
            } else {
                u64::MAX - room.cpu_millis
            }
        };
        let mut has_room = false;
        let mut best: Option<(bool, usize, u64, Reverse<WorkerRef>)> = None;
        for it in self.candidates.iter().filter(|it| demand.fits(&it.room)) {
            has_room = true;
            // Most candidates are passed over without a look at the worker.
            let fitness = fitness(&it.room);
            let services_at_most = if step.is_service() { usize::MAX } else { 0 };
            let at_most = (
                step.near.is_some(),
                services_at_most,
                fitness,
                Reverse(it.worker),
            );
            if best.is_some_and(|best| best >= at_most) {
                continue;
            }
            let Some(worker) = pool.workers.get(&it.worker) else {
                continue;
            };
            if self.may_run(pool, it.worker, worker, id, step) {
                let is_near = step
                    .near
                    .as_ref()
                    .is_some_and(|rack| worker.has_label(rack));
                let services = if step.is_service() {
                    services(worker)
                } else {
                    0
                };
                best = best.max(Some((is_near, services, fitness, Reverse(it.worker))));
            }
        }
        if !has_room {
            self.note_unfit(demand);
        }
        best.map(|(.., Reverse(worker))| worker)
    }

    /// The workers that may run a gang's members, with their rooms.
    #[must_use]
    pub fn for_gang(&self, pool: &Pool, id: StepId, step: &Step) -> Vec<(WorkerRef, Resources)> {
        self.candidates
            .iter()
            .filter(|it| {
                let worker = pool.workers.get(&it.worker);
                worker.is_some_and(|worker| self.may_run(pool, it.worker, worker, id, step))
            })
            .map(|it| (it.worker, it.room))
            .collect()
    }

    /// Whether a worker with room may run a task of the step.
    fn may_run(&self, pool: &Pool, at: WorkerRef, it: &Worker, id: StepId, step: &Step) -> bool {
        let has_place = step
            .spread
            .is_none_or(|most| tasks_of_step(it, id) < most as usize);
        it.has_required(step) && has_place && pool.is_permitted(id, at, self.now)
    }
}

fn services(worker: &Worker) -> usize {
    worker.runs.values().filter(|run| run.is_service).count()
}

fn tasks_of_step(worker: &Worker, step: StepId) -> usize {
    let runs = worker.runs.keys();
    runs.filter(|(task, _)| task.step == step).count()
}
