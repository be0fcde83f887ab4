//! The scheduler of one pool.
//!
//! A [`Pool`] holds the open jobs and the workers of one pool. It is owned by the entry that holds the pool's role,
//! whose [`FencingToken`] fences commands of earlier ones. Invariants:
//!
//! - A task has at most one run that may be executing, unless its step allows copies or an unexpected run was found on
//!   a worker. `Task::live` counts the runs in `Worker::runs` that belong to the task.
//! - `usage` is the sum of what these runs reserve, by team. No start raises it, with the unknown usage of earlier
//!   schedulers, above `allowance`.
//! - Commands to a worker carry a higher token than any command to its earlier incarnations, so a command of those has
//!   no effect once the present one has answered. Until then it may have started runs, which the answer lists, and
//!   extended leases, which [`StrayLease`](crate::worker::StrayLease) covers, also for a successor.
//! - A job in `unsaved` differs from its stored state. The ends in a report may be acknowledged to the worker only
//!   after the jobs that they changed have been saved.
//!
//! State enters through [`Pool::submit`], [`Pool::set_workers`], [`Pool::report`] and the replies to commands.
//! [`Pool::plan`] then runs the passes, one per file: [`release`], `fate` (finds out what became of lost workers),
//! [`cordon`], [`lifecycle`], `unknown_usage` (counts
//! what runs of an earlier scheduler may reserve), [`evacuate`], `doubt` (finds suspect runs: stalled ones, and those on
//! unresponsive workers), [`order`] (sorts the waiting jobs), [`permits`], `isolate` (starts tasks that may
//! have crashed their workers), [`place`] (first those that are `bound` to a worker), `unfit` (finds steps that fit no
//! worker), [`pace`] (limits the speed of best-effort runs).

mod arrivals;
mod bound;
pub mod cordon;
mod doubt;
pub mod evacuate;
mod event;
mod execution;
mod fate;
mod free_capacity;
mod ingest;
mod isolate;
pub mod lifecycle;
pub mod order;
pub mod pace;
pub mod permits;
pub mod place;
pub mod release;
mod report;
mod suspects;
mod unfit;
mod unknown_usage;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_types::names::{DcName, PoolName, TeamName};

use crate::catalogue::Catalogue;
use crate::estimate::Estimates;
use crate::id::{FencingToken, JobId, RunNumber, StepId, TaskId, WorkerId, WorkerRef};
use crate::job::{Beginning, Job};
use crate::lease::LeaseBound;
use crate::pool::arrivals::Arrivals;
use crate::resources::Resources;
use crate::share::WantedTasks;
use crate::spec::Step;
use crate::suspect::CrashLimit;
use crate::worker::{RunKey, Worker, WorkerInfo};

pub use event::{Event, FoundRun, LostRun};

/// The most attempts at a start while there is no answer. A start is idempotent on one worker.
pub const START_ATTEMPTS: u32 = 2;

/// Time limits set by the platform or by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The time from a request for a report to the end of the leases that it renews: those of the worker's runs. Two
    /// requests in a row must fit into it.
    pub lease: Duration,
    /// The longest lease that a worker grants, whatever was requested.
    pub lease_max: Duration,
    /// A worker refuses a start that it would execute later than this after it was sent. Also the lease of the new run.
    pub start_window: Duration,
    /// The time that a worker may take to stop a run.
    pub stop_grace: Duration,
    /// How many workers may crash under a task before its job is given up.
    pub crash_limit: CrashLimit,
    /// The registry drops a worker that has been silent for this long.
    pub registry_timeout: Duration,
}

impl Bounds {
    /// The longest lease that any command offers.
    #[must_use]
    pub fn offered_max(&self) -> Duration {
        self.lease.max(self.start_window).min(self.lease_max)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            lease_max: Duration::from_secs(10),
            start_window: Duration::from_millis(1_500),
            stop_grace: Duration::from_millis(500),
            crash_limit: CrashLimit::default(),
            registry_timeout: Duration::from_millis(4_500),
        }
    }
}

/// A command to a worker, or a query to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Starts a run.
    Start(StartCommand),
    /// Stops a run.
    Stop {
        /// The worker that executes the run.
        worker: WorkerRef,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// Why the run is no longer needed.
        reason: StopReason,
    },
    /// Limits the speed of a best-effort run.
    Throttle {
        /// The worker that executes the run.
        worker: WorkerRef,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The new speed, in percent of full speed; 0 halts the run.
        percent: u32,
    },
    /// Requests placement permits for a step.
    QueryPermits(permits::PermitQuery),
}

/// The contents of a start command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// The worker that should execute the run.
    pub worker: WorkerRef,
    /// The task to run.
    pub task: TaskId,
    /// The number of the new run.
    pub run: RunNumber,
    /// The submitter's payload, passed on unchanged.
    pub payload: Box<str>,
    /// The checkpoint to resume from. Absent for a start from the beginning.
    pub checkpoint: Option<Box<str>>,
    /// The deadline on the worker's clock, in milliseconds. The worker refuses to start the run later.
    pub until_ms: u64,
    /// The placement permit, if the queue needs one.
    pub permit: Option<Box<str>>,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled, has failed or is unknown.
    JobEnded,
    /// Its task is done, or runs elsewhere.
    Duplicate,
    /// Its worker is being evacuated.
    Evacuation,
    /// It makes no progress.
    StandsStill,
}

/// A worker's reply to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run exists on the worker.
    Started,
    /// The worker has too little free capacity.
    NoRoom,
    /// This run of the task, or a later one, has already ended on the worker.
    Outdated,
    /// The start arrived after its deadline.
    TooLate,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker can't execute anything at present.
    Unhealthy,
    /// Another incarnation of the worker, or another worker, replied.
    WrongWorker,
    /// The placement permit is missing or no longer valid.
    NoPermit,
    /// The start is malformed.
    Malformed,
    /// The start was not sent, because the worker's data centre was cordoned after the plan.
    Cordoned,
    /// No reply: the start may have been executed.
    Unknown,
}

impl StartAnswer {
    /// Interprets the reply to a repeated start command, of which an earlier copy had no reply and may still be
    /// executed. Only replies which show that the run exists, or that it can no longer begin, are conclusive.
    #[must_use]
    pub fn after_lost_reply(self) -> Self {
        match self {
            Self::Started | Self::Fenced | Self::WrongWorker | Self::Outdated => self,
            // The run can no longer begin, but by the earlier copy it may have begun and ended.
            Self::TooLate => Self::Outdated,
            Self::NoRoom
            | Self::Unhealthy
            | Self::NoPermit
            | Self::Malformed
            | Self::Cordoned
            | Self::Unknown => Self::Unknown,
        }
    }
}

/// Workers that an earlier scheduler may have used and that have not sent a whole report yet.
#[derive(Debug, Clone)]
struct Takeover {
    /// The workers, each with the time at which every lease that it may hold has expired.
    awaited: BTreeMap<WorkerId, Instant>,
    /// Workers whose incarnation that the earlier scheduler used has certainly ended.
    lost: BTreeSet<WorkerId>,
}

/// What an earlier scheduler has stored of the incarnations of its workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InheritedIncarnations {
    /// Whether there was an earlier scheduler. Otherwise no worker of the pool was ever offered a lease.
    pub has_predecessor: bool,
    /// When each worker's incarnation started, in milliseconds since 1970, if it states it.
    pub started_ms: BTreeMap<WorkerId, u64>,
    /// The same of later incarnations that the scheduler may have used as well.
    pub present_ms: BTreeMap<WorkerId, u64>,
    /// The workers that may hold a lease which a command to an earlier incarnation has extended. Absent if the scheduler
    /// did not know, nor which incarnations had departed: any worker may.
    pub stray_leases: Option<BTreeSet<WorkerId>>,
}

impl InheritedIncarnations {
    /// Whether no command to an earlier incarnation can have reached this one, by what the earlier scheduler has stored: it
    /// knew the incarnation, or no incarnation of this worker.
    fn excludes_stray_lease(&self, info: &WorkerInfo) -> bool {
        if !self.has_predecessor {
            return true;
        }
        let known = self.started_ms.get(&info.id).copied();
        let strays = self.stray_leases.as_ref();
        let is_known_free = strays.is_some_and(|strays| !strays.contains(&info.id));
        is_known_free && (known.is_none() || known == info.started_ms)
    }

    /// When the latest incarnation of a worker started to which the earlier scheduler may have sent commands, in milliseconds
    /// since 1970: it sent none before the incarnation was stored.
    fn latest_used(&self, worker: &WorkerId) -> Option<u64> {
        let stored = [&self.started_ms, &self.present_ms];
        let stored = stored.iter().filter_map(|stored| stored.get(worker));
        stored.max().copied()
    }
}

/// An incarnation to which commands were sent and that has departed.
#[derive(Debug, Clone, Copy)]
struct DepartedIncarnation {
    started_ms: u64,
    /// Since when nothing is sent to it.
    since: Instant,
}

/// The scheduling state of one pool.
#[derive(Debug)]
pub struct Pool {
    name: PoolName,
    token: FencingToken,
    bounds: Bounds,
    lease_bound: LeaseBound,
    catalogue: Arc<Catalogue>,
    workers: BTreeMap<WorkerRef, Worker>,
    workers_made: usize,
    by_id: HashMap<WorkerId, WorkerRef>,
    jobs: BTreeMap<JobId, Job>,
    /// Open jobs of which it is not known what an earlier scheduler has started. Their runs go on.
    set_aside: BTreeSet<JobId>,
    usage: BTreeMap<TeamName, Resources>,
    /// What runs of an earlier scheduler may reserve that no worker has reported, by team, as of the last plan.
    unknown_usage: BTreeMap<TeamName, Resources>,
    allowance: BTreeMap<TeamName, Resources>,
    /// The highest upper limit of each team under which a job of it was accepted.
    accepted_caps: BTreeMap<TeamName, Resources>,
    /// What each team could start beyond its allowance, in queue order, as of the last plan.
    shortfall: BTreeMap<TeamName, Vec<WantedTasks>>,
    /// The teams whose next task would exceed their allowance, as of the last plan.
    limited: BTreeSet<TeamName>,
    unsaved: BTreeSet<JobId>,
    takeover: Option<Takeover>,
    is_fenced_out: bool,
    commands: Vec<Command>,
    events: Vec<Event>,
    queue_order: Vec<JobId>,
    estimates: Estimates,
    arrivals: Arrivals,
    permits: BTreeMap<StepId, permits::StepPermits>,
    permit_misses: permits::Misses,
    /// Whether any open job may need permits, as of the last plan.
    has_permit_jobs: bool,
    /// The cordoned data centres.
    cordoned: BTreeSet<DcName>,
    /// Tasks whose only run was suspect in the last plan and which may be given a copy.
    copies_allowed: BTreeSet<TaskId>,
    /// The tasks that have unreported runs.
    suspects: BTreeSet<TaskId>,
    /// The incarnations of the workers that an earlier scheduler used, as far as they are stored.
    inherited: InheritedIncarnations,
    /// Incarnations to which commands may have been sent that may still be carried out, by the next one under that id.
    departed: BTreeMap<WorkerId, DepartedIncarnation>,
    /// Starts of which a copy had no reply, with the time at which the copy was given up. Any later incarnation under that id
    /// may still execute it.
    unanswered: BTreeMap<WorkerId, BTreeMap<RunKey, Instant>>,
    /// Tasks with starts that were given up without an answer or that an earlier scheduler may have given up.
    bound: BTreeSet<TaskId>,
    /// When the registry was last listed.
    listed_at: Option<Instant>,
    /// When the first of the lists was applied that follow each other without a gap.
    listed_since: Option<Instant>,
    /// Workers of lost runs that the registry does not list, with the time since when, as far as the lists have no gap.
    missing: BTreeMap<WorkerId, Instant>,
    /// Workers that get no other starts, as of the last plan, so that suspect tasks can be started there alone.
    held_for_suspects: BTreeSet<WorkerRef>,
    /// Suspect tasks that are placed like any other, as no held worker could run them, as of the last plan.
    not_isolated: BTreeSet<TaskId>,
    /// When the jobs were last checked for steps that fit no worker.
    unfit_checked_at: Option<Instant>,
}

impl Pool {
    /// Creates a pool without jobs or workers.
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
            lease_bound: LeaseBound::new(&bounds),
            bounds,
            catalogue,
            workers: BTreeMap::new(),
            workers_made: 0,
            by_id: HashMap::new(),
            jobs: BTreeMap::new(),
            set_aside: BTreeSet::new(),
            usage: BTreeMap::new(),
            unknown_usage: BTreeMap::new(),
            allowance: BTreeMap::new(),
            accepted_caps: BTreeMap::new(),
            shortfall: BTreeMap::new(),
            limited: BTreeSet::new(),
            unsaved: BTreeSet::new(),
            takeover: None,
            is_fenced_out: false,
            commands: Vec::new(),
            events: Vec::new(),
            queue_order: Vec::new(),
            estimates: Estimates::default(),
            arrivals: Arrivals::default(),
            permits: BTreeMap::new(),
            permit_misses: permits::Misses::default(),
            has_permit_jobs: false,
            cordoned: BTreeSet::new(),
            copies_allowed: BTreeSet::new(),
            suspects: BTreeSet::new(),
            inherited: InheritedIncarnations::default(),
            departed: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            bound: BTreeSet::new(),
            listed_at: None,
            listed_since: None,
            missing: BTreeMap::new(),
            held_for_suspects: BTreeSet::new(),
            not_isolated: BTreeSet::new(),
            unfit_checked_at: None,
        }
    }

    /// The pool's name.
    #[must_use]
    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// The fencing token of the role. Commands to a worker carry it or, if the worker was found later, the higher one of that
    /// worker.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The time limits set by the platform or by the operators.
    #[must_use]
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Sets the time limits. Leases that were offered before keep their length.
    pub fn set_bounds(&mut self, bounds: Bounds, now: Instant) {
        self.lease_bound.set_bounds(&bounds, now);
        self.bounds = bounds;
    }

    /// The longest lease that workers may hold.
    #[must_use]
    pub fn lease_bound(&self) -> &LeaseBound {
        &self.lease_bound
    }

    /// The open jobs, and ended ones whose final state has not been stored yet.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// All known workers, including departed ones that have not been removed yet.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<WorkerRef, Worker> {
        &self.workers
    }

    /// The number of present workers whose entry in the registry has not been read yet since they restarted.
    #[must_use]
    pub fn entries_awaited(&self) -> usize {
        let workers = self.workers.values();
        let awaited = workers.filter(|worker| !worker.is_described() && !worker.has_departed);
        awaited.count()
    }

    /// When each incarnation started that has departed and to which commands were sent that may still be carried out, in
    /// milliseconds since 1970. Stored, so that a later scheduler knows that one which returns is not a new worker.
    #[must_use]
    pub fn departed_incarnations(&self) -> BTreeMap<WorkerId, u64> {
        let departed = self.departed.iter();
        departed
            .map(|(id, departed)| (id.clone(), departed.started_ms))
            .collect()
    }

    /// The present workers to which nothing may be sent before they are stored with their incarnations.
    #[must_use]
    pub fn workers_without_token(&self) -> Vec<WorkerRef> {
        let workers = self.workers.iter();
        let without = workers.filter(|(_, worker)| worker.token.is_none() && !worker.has_departed);
        without.map(|(worker_ref, _)| *worker_ref).collect()
    }

    /// Sets the fencing token of workers whose incarnations were stored: the revision of that write. It is higher than any
    /// token that was sent before the write, and lower than that of any later scheduler.
    pub fn set_tokens(&mut self, workers: &[WorkerRef], token: FencingToken) {
        for worker in workers {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.token.get_or_insert(token);
            }
        }
    }

    /// Returns a worker, or `None` if it has been removed.
    #[must_use]
    pub fn worker(&self, worker: WorkerRef) -> Option<&Worker> {
        self.workers.get(&worker)
    }

    /// The resources reserved by each team's runs in this pool.
    #[must_use]
    pub fn usage(&self) -> &BTreeMap<TeamName, Resources> {
        &self.usage
    }

    /// What each team could start beyond its allowance, in queue order, as of the last plan.
    #[must_use]
    pub fn shortfall(&self) -> &BTreeMap<TeamName, Vec<WantedTasks>> {
        &self.shortfall
    }

    /// The resources that a team's runs may reserve in this pool. Zero if no allowance was set.
    #[must_use]
    pub fn allowance(&self, team: &TeamName) -> Resources {
        self.allowance.get(team).copied().unwrap_or_default()
    }

    /// The upper limit of a team; one that was removed from the catalogue keeps the limit under which its jobs were
    /// accepted. 0 of a kind means no limit.
    #[must_use]
    pub fn cap(&self, team: &TeamName) -> Option<Resources> {
        let present = self.catalogue.team(team).map(|team| team.cap);
        present.or_else(|| self.accepted_caps.get(team).copied())
    }

    /// The upper limits of the teams in the catalogue and of those that were removed from it.
    pub fn caps(&self) -> impl Iterator<Item = (&TeamName, Resources)> {
        let teams = self.catalogue.teams().iter();
        let removed = self.accepted_caps.iter();
        let removed = removed.filter(|(team, _)| self.catalogue.team(team).is_none());
        teams
            .map(|team| (&team.name, team.cap))
            .chain(removed.map(|(team, cap)| (team, *cap)))
    }

    /// Whether the tasks of a step that start together are within the upper limit of the job's team. Otherwise they wait until
    /// the limit is raised.
    #[must_use]
    pub fn is_within_cap(&self, job: &Job, step: &Step) -> bool {
        let cap = job.record.team.as_ref().and_then(|team| self.cap(team));
        cap.is_none_or(|cap| {
            let limit = cap.zip(cap, |cap, _| if cap == 0 { u64::MAX } else { cap });
            step.reserved_at_once().fits(&limit)
        })
    }

    /// Whether a worker has seen a higher token, which means that this scheduler has been replaced.
    #[must_use]
    pub fn is_fenced_out(&self) -> bool {
        self.is_fenced_out
    }

    /// Whether reports are still awaited from workers that an earlier scheduler may have used.
    #[must_use]
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    /// Sets the resources that a team's runs may reserve in this pool.
    pub fn set_allowance(&mut self, team: TeamName, allowance: Resources) {
        self.allowance.insert(team, allowance);
    }

    /// Jobs that differ from their stored state.
    #[must_use]
    pub fn unsaved(&self) -> &BTreeSet<JobId> {
        &self.unsaved
    }

    /// Takes the set of jobs to store. A job that changes again meanwhile joins the next set.
    pub fn take_unsaved(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.unsaved)
    }

    /// Puts back a job that could not be stored, so that it is tried again.
    pub fn keep_unsaved(&mut self, job: JobId) {
        if self.jobs.contains_key(&job) {
            self.unsaved.insert(job);
        }
    }

    /// Removes a job whose final state has been stored. A job of which a run was found meanwhile is kept until that run
    /// has ended, because its team's usage counts the run.
    pub fn remove_stored(&mut self, job: JobId) {
        let is_over = self.jobs.get(&job).is_some_and(|job| job.live() == 0);
        if is_over && !self.has_runs_of(job) {
            self.jobs.remove(&job);
            self.unsaved.remove(&job);
        }
    }

    /// Whether the run of a start may be executing.
    #[must_use]
    pub fn may_execute(&self, start: &StartCommand) -> bool {
        let worker = self.workers.get(&start.worker);
        worker.is_some_and(|worker| worker.runs.contains_key(&(start.task, start.run)))
    }

    /// Sets a job aside, as it is not known what an earlier scheduler has started of it: nothing is started, stopped or
    /// acknowledged until it is cancelled.
    pub fn set_aside(&mut self, job: JobId) {
        self.set_aside.insert(job);
    }

    /// Whether a job was set aside.
    #[must_use]
    pub fn is_set_aside(&self, job: JobId) -> bool {
        self.set_aside.contains(&job)
    }

    /// Whether a run of a job may be executing, also one of an occurrence that is done.
    fn has_runs_of(&self, job: JobId) -> bool {
        let first = StepId {
            job,
            occurrence: 0,
            step: 0,
        };
        let first = (first.task(0), RunNumber(0));
        self.workers.values().any(|worker| {
            let mut from = worker.runs.range(first..);
            from.next()
                .is_some_and(|((task, _), _)| task.step.job == job)
        })
    }

    /// Takes the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Counts, by the present name of their queue, the open jobs of which no task has started.
    #[must_use]
    pub fn waiting(&self) -> BTreeMap<&str, u64> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            if job.beginning != Beginning::Started && job.outcome.is_none() {
                let queue = self.catalogue.queue_of(&job.record);
                let name = queue.map_or_else(|| job.queue(), |queue| &queue.name);
                *waiting.entry(name.as_str()).or_default() += 1;
            }
        }
        waiting
    }

    /// The work of the tasks that could start if the pool had capacity, in thousandths of a core times milliseconds.
    /// Jobs of teams that are at their allowance are left out.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        let jobs = self.queue_order.iter().filter_map(|id| self.jobs.get(id));
        let of_job = |job: &Job| -> u64 {
            let occurrences = job.occurrences.values();
            occurrences
                .flat_map(|occurrence| {
                    let steps = job.record.spec.steps.iter().zip(&occurrence.steps);
                    let timed = steps.zip(&job.step_times);
                    timed.filter(|((step, _), _)| {
                        occurrence.is_open(step) && self.is_within_cap(job, step)
                    })
                })
                .map(|((step, state), time)| step.work(state.idle, *time))
                .fold(0, u64::saturating_add)
        };
        jobs.filter(|job| {
            let team = job.record.team.as_ref();
            team.is_none_or(|team| !self.limited.contains(team))
        })
        .map(of_job)
        .fold(0, u64::saturating_add)
    }

    /// The processors needed to run the pool's services outside cordoned data centres and to keep up with arriving
    /// work, in thousandths of a core.
    #[must_use]
    pub fn demand_millis(&self, now: Instant) -> u64 {
        let runs = self
            .workers
            .values()
            .filter(|worker| !worker.is_cordoned())
            .flat_map(|worker| worker.runs.values());
        let services = runs.filter(|run| run.is_service);
        let of_services: u64 = services.map(|run| run.reserved.cpu_millis).sum();
        let is_limited = |team: &TeamName| self.limited.contains(team);
        of_services + self.arrivals.rate_millis(now, is_limited)
    }

    /// Workers that could leave the pool: those that run no service, the ones with the fewest runs first.
    #[must_use]
    pub fn lightly_loaded_workers(&self) -> Vec<WorkerId> {
        let mut light: Vec<_> = self
            .workers
            .values()
            .filter(|worker| worker.is_listed && !worker.has_departed && !worker.info.is_draining)
            .filter(|worker| !worker.is_cordoned())
            .filter(|worker| !worker.runs.values().any(|run| run.is_service))
            .map(|worker| (worker.runs.len(), worker.info.id.clone()))
            .collect();
        light.sort_unstable();
        light.into_iter().map(|(_, id)| id).collect()
    }

    /// Runs the passes and returns the commands to send.
    pub fn plan(&mut self, now: Instant, wall_ms: u64) -> Vec<Command> {
        self.commands.clear();
        release::run(self, now);
        fate::run(self, now);
        cordon::run(self);
        lifecycle::run(self, now, wall_ms);
        unknown_usage::run(self);
        evacuate::run(self, now);
        doubt::run(self, now);
        order::run(self, now);
        permits::run(self, now);
        isolate::run(self, now);
        place::run(self, now);
        unfit::run(self, now);
        pace::run(self, now);
        debug_assert_eq!(crate::verify::pool(self), Vec::<Box<str>>::new());
        debug_assert_eq!(
            crate::verify::capacities(self, &self.commands),
            Vec::<Box<str>>::new()
        );
        debug_assert_eq!(
            crate::verify::cordons(self, &self.commands),
            Vec::<Box<str>>::new()
        );
        std::mem::take(&mut self.commands)
    }

    fn push_worker_event(&mut self, worker_ref: WorkerRef, state: &'static str) {
        if let Some(worker) = self.workers.get(&worker_ref) {
            self.events.push(Event::Worker {
                worker: worker.info.id.clone(),
                state,
                runs: worker.runs.len(),
                lease_until_ms: worker.lease_until_ms,
                clock_ms: worker.clock.map(|(clock_ms, _)| clock_ms),
                started_ms: worker.info.started_ms,
                token: worker.token,
            });
        }
    }
}
