//! The scheduler of one pool.
//!
//! A [`Pool`] holds the open jobs of a pool and its workers. It is owned by the one entry that holds the pool's role;
//! its [`FencingToken`] goes with each order. Invariants:
//!
//! - A task has at most one run that may be at work: `Task::live` counts the runs in `Worker::runs` that belong to it.
//! - `usage` is the sum of what these runs reserve, by team, and no start brings it over `allowance`.
//! - A job in `unsaved` differs from what is stored. The ends of a report may be taken note of at the worker only once
//!   the jobs that they changed have been saved.
//!
//! Facts come in by [`Pool::submit`], [`Pool::set_workers`], [`Pool::report`] and the answers to orders; then
//! [`Pool::plan`] runs the passes, one file each: [`release`], [`settle`], [`evacuate`], `doubt`, [`order`],
//! [`permits`], [`place`], [`pace`].

mod arrivals;
mod doubt;
pub mod evacuate;
mod event;
mod facts;
pub mod order;
pub mod pace;
pub mod permits;
pub mod place;
pub mod release;
mod report;
mod rooms;
pub mod settle;
mod unfit;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_types::names::{PoolName, TeamName};

use crate::catalogue::Catalogue;
use crate::estimate::Estimates;
use crate::id::{FencingToken, JobId, RunNumber, StepId, TaskId, WorkerId, WorkerRef};
use crate::job::Job;
use crate::pool::arrivals::Arrivals;
use crate::resources::Resources;
use crate::worker::Worker;

pub use event::Event;

/// Times that the platform or the operators set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How far ahead a report extends the leases of a worker's runs.
    pub lease: Duration,
    /// The longest time that a worker lets a lease last, whatever it was asked for.
    pub hold_max: Duration,
    /// A start that is carried out later than this after it was sent is refused.
    pub start_window: Duration,
    /// How long a stop may take.
    pub stop_grace: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            hold_max: Duration::from_secs(10),
            start_window: Duration::from_millis(1_500),
            stop_grace: Duration::from_millis(500),
        }
    }
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerRef,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Why.
        reason: StopReason,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The worker.
        worker: WorkerRef,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The share.
        percent: u32,
    },
    /// Ask which of the workers may run a step.
    AskPermits {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerId>,
    },
}

/// The start of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerRef,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// What the submitter gave.
    pub payload: Box<str>,
    /// Where the run resumes.
    pub checkpoint: Option<Box<str>>,
    /// After this time on the worker's clock the start is refused.
    pub until_ms: u64,
    /// The placement permit, if the queue needs one.
    pub permit: Option<Box<str>>,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled, has failed or is not known.
    JobEnded,
    /// Its task is done, or runs elsewhere.
    Duplicate,
    /// Its worker is to be emptied.
    Evacuation,
    /// It makes no progress.
    StandsStill,
}

/// How a worker answered a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// It has no room.
    NoRoom,
    /// It has seen this run or a later one of the task end.
    Outdated,
    /// The start came too late.
    TooLate,
    /// It has seen a higher token.
    Fenced,
    /// It can't carry out anything now.
    Unhealthy,
    /// It is another life of the worker, or another worker.
    WrongWorker,
    /// The placement permit is missing, or not valid any more.
    NoPermit,
    /// The start is malformed.
    Malformed,
    /// No answer: it may have been carried out.
    Unknown,
}

impl StartAnswer {
    /// What this answer says if an earlier attempt of the same start had none and may still be carried out: only that the
    /// run is there, or that it can't be any more, is certain.
    #[must_use]
    pub fn after_silence(self) -> Self {
        match self {
            Self::Started | Self::Fenced | Self::WrongWorker | Self::Outdated => self,
            // It can't begin any more, but it may have begun and come to its end.
            Self::TooLate => Self::Outdated,
            Self::NoRoom | Self::Unhealthy | Self::NoPermit | Self::Malformed | Self::Unknown => {
                Self::Unknown
            }
        }
    }
}

/// Workers that an earlier scheduler may have used and that have not reported yet.
#[derive(Debug, Clone)]
struct Takeover {
    awaited: BTreeSet<WorkerId>,
    until: Instant,
}

/// The scheduler of one pool.
#[derive(Debug)]
pub struct Pool {
    name: PoolName,
    token: FencingToken,
    bounds: Bounds,
    catalogue: Arc<Catalogue>,
    workers: BTreeMap<WorkerRef, Worker>,
    workers_made: usize,
    by_id: HashMap<WorkerId, WorkerRef>,
    jobs: BTreeMap<JobId, Job>,
    usage: BTreeMap<TeamName, Resources>,
    allowance: BTreeMap<TeamName, Resources>,
    short: BTreeMap<TeamName, Resources>,
    unsaved: BTreeSet<JobId>,
    takeover: Option<Takeover>,
    is_fenced_out: bool,
    orders: Vec<Order>,
    events: Vec<Event>,
    queue_order: Vec<JobId>,
    estimates: Estimates,
    arrivals: Arrivals,
    permits: BTreeMap<StepId, permits::StepPermits>,
    /// Tasks whose one run is doubtful and which may run in copies, as of the last plan.
    copies_wanted: BTreeSet<TaskId>,
    /// When jobs were last looked through for those that fit no worker.
    unfit_looked_at: Option<Instant>,
}

impl Pool {
    /// A pool without jobs and workers.
    #[must_use]
    pub fn new(
        name: PoolName,
        token: FencingToken,
        bounds: Bounds,
        catalogue: Arc<Catalogue>,
    ) -> Self {
        Self {
            name,
            token,
            bounds,
            catalogue,
            workers: BTreeMap::new(),
            workers_made: 0,
            by_id: HashMap::new(),
            jobs: BTreeMap::new(),
            usage: BTreeMap::new(),
            allowance: BTreeMap::new(),
            short: BTreeMap::new(),
            unsaved: BTreeSet::new(),
            takeover: None,
            is_fenced_out: false,
            orders: Vec::new(),
            events: Vec::new(),
            queue_order: Vec::new(),
            estimates: Estimates::default(),
            arrivals: Arrivals::default(),
            permits: BTreeMap::new(),
            copies_wanted: BTreeSet::new(),
            unfit_looked_at: None,
        }
    }

    /// The pool's name.
    #[must_use]
    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// The token that goes with each order.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The times that are set from outside.
    #[must_use]
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Sets the times that are set from outside. Leases that were offered before keep their length.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// The open jobs.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The workers.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<WorkerRef, Worker> {
        &self.workers
    }

    /// A worker.
    #[must_use]
    pub fn worker(&self, worker: WorkerRef) -> Option<&Worker> {
        self.workers.get(&worker)
    }

    /// What each team may have running here.
    #[must_use]
    pub fn usage(&self) -> &BTreeMap<TeamName, Resources> {
        &self.usage
    }

    /// What each team could use beyond its allowance, as of the last plan.
    #[must_use]
    pub fn short(&self) -> &BTreeMap<TeamName, Resources> {
        &self.short
    }

    /// What a team may have running here.
    #[must_use]
    pub fn allowance(&self, team: &TeamName) -> Resources {
        self.allowance.get(team).copied().unwrap_or_default()
    }

    /// A worker has seen a higher token: this scheduler has been replaced.
    #[must_use]
    pub fn is_fenced_out(&self) -> bool {
        self.is_fenced_out
    }

    /// Whether workers are still awaited that an earlier scheduler may have used.
    #[must_use]
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    /// Sets the catalogue in force.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        self.catalogue = catalogue;
    }

    /// Sets what a team may have running here.
    pub fn set_allowance(&mut self, team: TeamName, allowance: Resources) {
        self.allowance.insert(team, allowance);
    }

    /// Jobs that differ from what is stored.
    #[must_use]
    pub fn unsaved(&self) -> &BTreeSet<JobId> {
        &self.unsaved
    }

    /// Takes the list of jobs to store. A job that changes again meanwhile joins the next list.
    pub fn take_unsaved(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.unsaved)
    }

    /// A job could not be stored and is to be tried again.
    pub fn keep_unsaved(&mut self, job: JobId) {
        if self.jobs.contains_key(&job) {
            self.unsaved.insert(job);
        }
    }

    /// The final state of a job has been stored. A job of which a run was found meanwhile is kept until that has ended: its
    /// team's usage counts the run.
    pub fn forget(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|job| job.live() == 0) {
            self.jobs.remove(&job);
            self.unsaved.remove(&job);
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Jobs by queue for which no task has started.
    #[must_use]
    pub fn waiting(&self) -> BTreeMap<&str, u64> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.has_begun && job.outcome.is_none() {
                *waiting.entry(job.queue().as_str()).or_default() += 1;
            }
        }
        waiting
    }

    /// The work of tasks that could start if there were room, in thousandths of a core times milliseconds. Tasks that
    /// wait for their team's limit are left out.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        let jobs = self.queue_order.iter().filter_map(|id| self.jobs.get(id));
        let of_step = |job: &Job| -> u64 {
            let occurrences = job.occurrences.values();
            occurrences
                .flat_map(|occurrence| {
                    let steps = job.record.spec.steps.iter().zip(&occurrence.steps);
                    let timed = steps.zip(&job.step_times);
                    timed.filter(|((step, _), _)| occurrence.is_open(step))
                })
                .map(|((step, state), time)| step.work(state.idle, *time))
                .fold(0, u64::saturating_add)
        };
        jobs.filter(|job| {
            let team = job.record.team.as_ref();
            team.is_none_or(|team| !self.short.contains_key(team))
        })
        .map(of_step)
        .fold(0, u64::saturating_add)
    }

    /// The processors that the pool needs for its services and to do arriving work as fast as it comes, in thousandths of a core.
    #[must_use]
    pub fn demand_millis(&self, now: Instant) -> u64 {
        let runs = self.workers.values().flat_map(|it| it.runs.values());
        let services = runs.filter(|run| run.is_service);
        let of_services: u64 = services.map(|run| run.reserved.cpu_millis).sum();
        let is_held = |team: &TeamName| self.short.contains_key(team);
        of_services + self.arrivals.rate_millis(now, is_held)
    }

    /// Workers that run no service, those with the fewest runs first.
    #[must_use]
    pub fn light_workers(&self) -> Vec<WorkerId> {
        let mut light: Vec<_> = self
            .workers
            .values()
            .filter(|it| it.is_listed && !it.is_gone && !it.info.is_draining)
            .filter(|it| !it.runs.values().any(|run| run.is_service))
            .map(|it| (it.runs.len(), it.info.id.clone()))
            .collect();
        light.sort_unstable();
        light.into_iter().map(|(_, id)| id).collect()
    }

    /// Runs the passes and returns the orders to send.
    pub fn plan(&mut self, now: Instant, wall_ms: u64) -> Vec<Order> {
        self.orders.clear();
        release::run(self, now);
        settle::run(self, now, wall_ms);
        evacuate::run(self, now);
        doubt::run(self, now);
        order::run(self, now);
        permits::run(self, now);
        place::run(self, now);
        unfit::run(self, now);
        pace::run(self, now);
        debug_assert_eq!(crate::verify::pool(self), Vec::<Box<str>>::new());
        std::mem::take(&mut self.orders)
    }

    fn note_worker(&mut self, worker: WorkerRef, state: &'static str) {
        if let Some(it) = self.workers.get(&worker) {
            self.events.push(Event::Worker {
                worker: it.info.id.clone(),
                state,
                runs: it.runs.len(),
            });
        }
    }
}
