//! The free capacity of the workers that accept work, for one plan.
//!
//! Invariants:
//!
//! - `candidates` holds each worker that accepts work once, with its free capacity after the starts of this plan.
//! - A demand in `unfit` fits no candidate. Free capacity only shrinks during a plan, so no larger demand fits one
//!   either.
//!
//! Load pattern: more jobs wait than fit. Each costs a few comparisons instead of a scan of all workers.
//!
//! Load pattern: a data centre is cut off in a busy period, and the tasks there can't be started again before their
//! leases have expired. A job of a dozen tasks that were spread over all data centres would always lose some, so the
//! tasks of a job go to one data centre as far as they fit there.

use std::cmp::Reverse;
use std::time::Instant;

use goldcrest_types::names::DcName;

use crate::id::{StepId, WorkerRef};
use crate::pool::Pool;
use crate::resources::Resources;
use crate::spec::Step;
use crate::worker::Worker;

/// The most demands kept in `unfit`. Queues have few task sizes; a demand that is not kept is tried again.
const UNFIT_MAX: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Candidate {
    worker: WorkerRef,
    /// The index of the worker's data centre in `dcs`.
    dc: usize,
    free: Resources,
}

/// The workers that accept work, with their free capacity.
#[derive(Debug)]
pub struct FreeCapacity {
    now: Instant,
    candidates: Vec<Candidate>,
    /// The data centres of the candidates, each once.
    dcs: Vec<Option<DcName>>,
    unfit: Vec<Resources>,
}

impl FreeCapacity {
    /// Collects the workers that accept work at `now`.
    #[must_use]
    pub fn new(pool: &Pool, now: Instant) -> Self {
        let accepting = pool
            .workers
            .iter()
            .filter(|(_, worker)| worker.takes_work(now) && worker.clock.is_some())
            .filter(|(worker_ref, worker)| {
                (pool.suspects.is_empty() || !worker.is_isolating(now))
                    && !pool.held_for_suspects.contains(worker_ref)
            });
        let mut dcs: Vec<Option<DcName>> = Vec::new();
        let candidates = accepting
            .map(|(worker_ref, worker)| {
                let dc = &worker.info.dc;
                let known = dcs.iter().position(|known| known == dc);
                let dc = known.unwrap_or_else(|| {
                    dcs.push(dc.clone());
                    dcs.len() - 1
                });
                Candidate {
                    worker: *worker_ref,
                    dc,
                    free: worker.free(),
                }
            })
            .collect();
        Self {
            now,
            candidates,
            dcs,
            unfit: Vec::new(),
        }
    }

    /// Whether no worker accepts work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Whether the worker accepts work and has this much free capacity.
    #[must_use]
    pub fn has(&self, worker: WorkerRef, demand: Resources) -> bool {
        self.workers_with(demand).any(|known| known == worker)
    }

    /// The workers that have this much free capacity.
    pub fn workers_with(&self, demand: Resources) -> impl Iterator<Item = WorkerRef> {
        let candidates = self.candidates.iter();
        candidates
            .filter(move |candidate| demand.fits(&candidate.free))
            .map(|candidate| candidate.worker)
    }

    /// How many tasks of the step the workers have room for. Permits are left out: they are asked for meanwhile.
    #[must_use]
    pub fn room_for(&self, pool: &Pool, id: StepId, step: &Step) -> u64 {
        let demand = step.reserved();
        if self.is_unfit(demand) {
            return 0;
        }
        let on_worker = |candidate: &Candidate| {
            let room = candidate.free.multiples_of(demand);
            let Some(worker) = pool.workers.get(&candidate.worker).filter(|_| room > 0) else {
                return 0;
            };
            let spread = step.spread.map_or(u64::MAX, |most| {
                let there = u64::try_from(tasks_of_step(worker, id)).unwrap_or(u64::MAX);
                u64::from(most).saturating_sub(there)
            });
            if worker.has_required(step) {
                room.min(spread)
            } else {
                0
            }
        };
        let candidates = self.candidates.iter().map(on_worker);
        candidates.fold(0, u64::saturating_add)
    }

    /// Whether the demand is known to fit no worker.
    #[must_use]
    pub fn is_unfit(&self, demand: Resources) -> bool {
        self.unfit.iter().any(|unfit| unfit.fits(&demand))
    }

    fn record_unfit(&mut self, demand: Resources) {
        if self.unfit.len() < UNFIT_MAX {
            self.unfit.retain(|known| !demand.fits(known));
            self.unfit.push(demand);
        }
    }

    /// Subtracts the demand of a start from the worker's free capacity.
    pub fn reserve(&mut self, worker: WorkerRef, demand: Resources) {
        let mut candidates = self.candidates.iter_mut();
        if let Some(candidate) = candidates.find(|candidate| candidate.worker == worker) {
            candidate.free -= demand;
        }
    }

    /// Chooses the best worker for a task of the step: one that is not cold, one near its data, one in the data centre
    /// of the job's last start, then the one with the least free processor time. Tasks of services go to workers that
    /// run other services, which keeps the other workers empty, so that these can leave the pool as soon as its busy
    /// period ends. Best-effort tasks use idle capacity and go where there is the most of it.
    /// So do suspect tasks that could not be isolated.
    pub fn choose(
        &mut self,
        pool: &Pool,
        id: StepId,
        step: &Step,
        is_not_isolated: bool,
    ) -> Option<WorkerRef> {
        let demand = step.reserved();
        let fitness = |free: &Resources| {
            if step.is_best_effort() || is_not_isolated {
                free.cpu_millis
            } else {
                u64::MAX - free.cpu_millis
            }
        };
        let job_dc = pool.jobs.get(&id.job).and_then(|job| job.dc.as_ref());
        let job_dc = job_dc.filter(|_| !step.is_service() && !step.is_best_effort());
        let job_dc = self
            .dcs
            .iter()
            .position(|dc| dc.is_some() && dc.as_ref() == job_dc);
        let mut has_capacity = false;
        let mut best: Option<(bool, bool, bool, usize, u64, Reverse<WorkerRef>)> = None;
        for candidate in self
            .candidates
            .iter()
            .filter(|candidate| demand.fits(&candidate.free))
        {
            has_capacity = true;
            // Most candidates are skipped without looking up the worker.
            let fitness = fitness(&candidate.free);
            let is_in_job_dc = job_dc == Some(candidate.dc);
            let services_at_most = if step.is_service() { usize::MAX } else { 0 };
            let at_most = (
                true,
                step.near.is_some(),
                is_in_job_dc,
                services_at_most,
                fitness,
                Reverse(candidate.worker),
            );
            if best.is_some_and(|best| best >= at_most) {
                continue;
            }
            let Some(worker) = pool.workers.get(&candidate.worker) else {
                continue;
            };
            if may_run(pool, candidate.worker, worker, id, step, self.now) {
                let is_near = step
                    .near
                    .as_ref()
                    .is_some_and(|rack| worker.has_label(rack));
                let services = if step.is_service() {
                    services(worker)
                } else {
                    0
                };
                best = best.max(Some((
                    !worker.info.is_cold,
                    is_near,
                    is_in_job_dc,
                    services,
                    fitness,
                    Reverse(candidate.worker),
                )));
            }
        }
        if !has_capacity {
            self.record_unfit(demand);
        }
        best.map(|(.., Reverse(worker))| worker)
    }

    /// The workers that may run a gang's members, with their free capacity.
    #[must_use]
    pub fn for_gang(&self, pool: &Pool, id: StepId, step: &Step) -> Vec<(WorkerRef, Resources)> {
        self.candidates
            .iter()
            .filter(|candidate| {
                let worker = pool.workers.get(&candidate.worker);
                worker.is_some_and(|worker| {
                    may_run(pool, candidate.worker, worker, id, step, self.now)
                })
            })
            .map(|candidate| (candidate.worker, candidate.free))
            .collect()
    }
}

/// Whether a worker with enough free capacity may run a task of the step.
pub fn may_run(
    pool: &Pool,
    worker_ref: WorkerRef,
    worker: &Worker,
    id: StepId,
    step: &Step,
    now: Instant,
) -> bool {
    let is_within_spread = step
        .spread
        .is_none_or(|most| tasks_of_step(worker, id) < most as usize);
    worker.has_required(step) && is_within_spread && pool.is_permitted(id, worker_ref, now)
}

fn services(worker: &Worker) -> usize {
    worker.runs.values().filter(|run| run.is_service).count()
}

fn tasks_of_step(worker: &Worker, step: StepId) -> usize {
    let runs = worker.runs.keys();
    runs.filter(|(task, _)| task.step == step).count()
}
