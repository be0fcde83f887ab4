//! Workers whose tasks run as their payload says.
//!
//! A payload is a list of words: `ms=N` is the run time in milliseconds (600 by default), `end=failed` makes runs fail,
//! `failures=N` makes the first N runs of each task fail, `lasts` keeps a run from ending by itself, `copies` allows
//! concurrent runs of one task, and the task with index N of `crashes=N` crashes each worker that starts it. A worker stops its runs when its lease expires, refuses commands whose token is lower
//! than the last one, and lists the ends of runs until they are acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_grid::ports::{CommandError, Recipient};
use goldcrest_jobs::id::{RunNumber, TaskId, WorkerId};
use goldcrest_jobs::pool::{StartAnswer, StartCommand};
use goldcrest_jobs::worker::{EndRow, Report, RunEnd, RunningRow, WorkerInfo, millis};
use goldcrest_types::names::PoolName;
use tokio::time::Instant;

/// The longest lease that a worker grants.
const LEASE_MAX: Duration = Duration::from_secs(10);

/// The registry removes a worker that has been down for this long.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(4_500);

/// How long a worker is down after a task has crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);

/// A start of a run that a worker carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The time of the start.
    pub at: Instant,
    /// The entry that sent the command, if it was sent on a [`Trip`](crate::grid::Trip).
    pub by: Box<str>,
}

/// An end of a run, whether or not it was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How the run ended.
    pub end: RunEnd,
    /// The time of the end.
    pub at: Instant,
}

/// A crash of a worker, which ended an incarnation of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The worker.
    pub worker: WorkerId,
    /// The time of the crash.
    pub at: Instant,
    /// The runs that the incarnation was executing.
    pub running: Vec<(TaskId, RunNumber)>,
}

/// A worker that has crashed without notice and will be back.
#[derive(Debug, Clone)]
struct Outage {
    until: Instant,
    /// Where it will be back.
    address: Box<str>,
    /// How long after its return the registry lists its new incarnation.
    register_after: Duration,
}

#[derive(Debug, Clone)]
struct Run {
    started_at: Instant,
    ends_at: Option<Instant>,
    end: RunEnd,
}

#[derive(Debug)]
struct Worker {
    pool: PoolName,
    info: WorkerInfo,
    is_listed: bool,
    started_at: Instant,
    /// It refuses everything before this time.
    down_until: Option<Instant>,
    /// While it is down and nothing answers at its address.
    outage: Option<Outage>,
    /// When the registry replaces its entry by the present one, or removes it.
    registry_due: Option<(Instant, bool)>,
    /// Its entry in the registry.
    registered: WorkerInfo,
    /// Whether it is connected to the store. While it is not, its entry in the registry stays as it was.
    is_registering: bool,
    /// Whether requests that were waiting when it last crashed time out instead of being reset.
    crashed_silently: bool,
    /// How much its clock loses, in thousandths.
    drift_milli: u32,
    /// Until when its lease lasted when it last expired.
    lapsed_at: Option<Instant>,
    token: u64,
    until_ms: u64,
    running: BTreeMap<(TaskId, RunNumber), Run>,
    ended: Vec<EndRow>,
    ends: u64,
    closed: BTreeMap<TaskId, RunNumber>,
    history: Vec<Ended>,
}

/// All workers, and the record of their starts and ends.
#[derive(Debug, Default)]
pub struct Crew {
    workers: BTreeMap<WorkerId, Worker>,
    /// The number of requests for reports that were accepted.
    pub reports: u64,
    /// Starts that were carried out, in order of time.
    pub starts: Vec<Start>,
    /// Ends that were acknowledged, in order of time.
    pub noted: Vec<(TaskId, RunNumber, RunEnd)>,
    /// Ends as done that were acknowledged and whose worker's lease had not expired since, with the time of the end.
    pub done: Vec<(TaskId, RunNumber, Instant)>,
    /// How long a worker takes to stop a run.
    pub stop_grace: Duration,
    /// The crashes, in order of time.
    pub crashes: Vec<Crash>,
    listings: Vec<(Instant, Vec<(PoolName, WorkerInfo)>)>,
    /// Tasks that were started while another run of them was running, or after an acknowledged end as done; tasks whose
    /// payload has `copies` are exempt.
    pub doubled: Vec<TaskId>,
}

fn word<'a>(payload: &'a str, name: &str) -> Option<&'a str> {
    payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

impl Worker {
    fn clock_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.started_at);
        1_000 + millis(passed * (1_000 - self.drift_milli) / 1_000)
    }

    /// When its clock passes this time.
    fn time_of(&self, clock_ms: u64) -> Instant {
        let passed = Duration::from_millis(clock_ms.saturating_sub(1_000));
        self.started_at + passed * 1_000 / (1_000 - self.drift_milli)
    }

    /// Extends the lease to a time on the worker's clock, as far as it grants that.
    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let longest_ms = self.clock_ms(now) + millis(LEASE_MAX);
        self.until_ms = self.until_ms.max(until_ms.min(longest_ms));
    }

    fn end(&mut self, key: (TaskId, RunNumber), end: RunEnd, at: Instant) {
        self.running.remove(&key);
        self.ends += 1;
        let (task, run) = key;
        self.history.push(Ended { task, run, end, at });
        self.closed.insert(task, run);
        self.ended.push(EndRow {
            number: self.ends,
            task,
            run,
            end,
            checkpoint: None,
        });
    }

    /// Ends the runs that have completed, and all others if the worker's lease has expired.
    fn end_due_runs(&mut self, now: Instant) {
        let has_lease_expired = self.clock_ms(now) > self.until_ms;
        let expired_at = self.time_of(self.until_ms);
        if has_lease_expired {
            self.lapsed_at = Some(expired_at);
        }
        let mut due: Vec<_> = self
            .running
            .iter()
            .filter_map(|(key, run)| {
                let is_completed = run.ends_at.is_some_and(|at| at <= now);
                match run.ends_at {
                    Some(at) if is_completed && !(has_lease_expired && expired_at < at) => {
                        Some((at, *key, run.end))
                    }
                    _ => has_lease_expired.then_some((expired_at.min(now), *key, RunEnd::Expired)),
                }
            })
            .collect();
        due.sort_by_key(|(at, key, _)| (*at, *key));
        for (at, key, end) in due {
            self.end(key, end, at);
        }
    }

    /// The crash of its present incarnation.
    fn crash(&self, now: Instant) -> Crash {
        Crash {
            worker: self.info.id.clone(),
            at: now,
            running: self.running.keys().copied().collect(),
        }
    }

    /// Begins a new incarnation.
    fn begin(&mut self, now: Instant) {
        self.info.started_ms = self.info.started_ms.map(|started_ms| started_ms + 1);
        self.started_at = now;
        self.token = 0;
        self.until_ms = 0;
        self.ends = 0;
        self.running.clear();
        self.ended.clear();
        self.closed.clear();
    }

    /// Replaces its entry in the registry by the present one, if it is connected to the store.
    fn register(&mut self) {
        if self.is_registering {
            self.registered = self.info.clone();
        }
    }

    fn admit(&mut self, to: &Recipient) -> Result<(), CommandError> {
        if self.info.id != to.worker {
            return Err(CommandError::WrongWorker);
        }
        if self.down_until.is_some_and(|until| Instant::now() < until) {
            return Err(CommandError::Unknown("the worker is down".into()));
        }
        if to.token.0 < self.token {
            return Err(CommandError::Fenced);
        }
        self.token = to.token.0;
        Ok(())
    }
}

impl Crew {
    /// Adds a worker, which is on the registry's list.
    pub fn add(&mut self, pool: PoolName, info: WorkerInfo, now: Instant) {
        let id = info.id.clone();
        let worker = Worker {
            pool,
            is_listed: true,
            started_at: now,
            down_until: None,
            outage: None,
            registry_due: None,
            registered: info.clone(),
            is_registering: true,
            crashed_silently: false,
            drift_milli: 0,
            lapsed_at: None,
            info,
            token: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
            history: Vec::new(),
        };
        self.workers.insert(id, worker);
        self.record_listing(now);
    }

    /// Removes a worker from the registry's list, or adds it again. It goes on running.
    pub fn set_listed(&mut self, worker: &str, is_listed: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.is_listed = is_listed;
        }
        self.record_listing(Instant::now());
    }

    /// Cuts a worker off from the store, or connects them again. Until then the registry lists it as it was.
    pub fn set_registering(&mut self, worker: &str, is_registering: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.is_registering = is_registering;
            if worker.outage.is_none() && worker.registry_due.is_none() {
                worker.register();
            }
        }
        self.record_listing(Instant::now());
    }

    /// Sets whether a worker states when it started.
    pub fn set_stating_start(&mut self, worker: &str, is_stating: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.info.started_ms = is_stating.then_some(1);
            worker.register();
        }
        self.record_listing(Instant::now());
    }

    /// Changes a worker's capacity. What it runs goes on.
    pub fn set_capacity(&mut self, worker: &str, cpu_millis: u64) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.info.capacity.cpu_millis = cpu_millis;
            if worker.is_registering {
                worker.registered.capacity.cpu_millis = cpu_millis;
            }
        }
        self.record_listing(Instant::now());
    }

    /// Crashes and restarts a worker: it loses its runs, its lease, the last token and the ends that it listed. Requests that
    /// wait there are reset.
    pub fn crash(&mut self, worker: &str, now: Instant) {
        self.settle(now);
        let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) else {
            return;
        };
        if worker.outage.is_none() {
            self.crashes.push(worker.crash(now));
            worker.begin(now);
            worker.crashed_silently = false;
            worker.register();
            worker.registry_due = None;
        }
        self.record_listing(now);
    }

    /// As [`Self::crash_silently`], but for `downtime` nothing answers at the worker's address. Then it is back at `address`, and
    /// the registry lists its new incarnation after `register_after`.
    pub fn crash_for(
        &mut self,
        worker: &str,
        downtime: Duration,
        address: &str,
        register_after: Duration,
        now: Instant,
    ) {
        self.settle(now);
        let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) else {
            return;
        };
        if worker.outage.is_none() {
            self.crashes.push(worker.crash(now));
        }
        worker.running.clear();
        worker.outage = Some(Outage {
            until: now + downtime,
            address: address.into(),
            register_after,
        });
        worker.registry_due = Some((now + REGISTRY_TIMEOUT, false));
        worker.crashed_silently = true;
    }

    /// Whether a worker is down without notice.
    #[must_use]
    pub fn is_down(&self, worker: &str) -> bool {
        let worker = self.workers.get(&WorkerId::from(worker));
        worker.is_some_and(|worker| worker.outage.is_some())
    }

    /// A worker's address, or the one at which it will be back.
    #[must_use]
    pub fn address(&self, worker: &str) -> Option<&str> {
        let worker = self.workers.get(&WorkerId::from(worker))?;
        let outage = worker.outage.as_ref();
        Some(outage.map_or(&worker.info.address, |outage| &outage.address))
    }

    /// Makes a worker's clock lose this much from its next start on, in thousandths.
    pub fn set_drift(&mut self, worker: &str, drift_milli: u32) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.drift_milli = drift_milli;
        }
    }

    /// Whether nobody answers at the address of a command.
    pub(crate) fn is_silent(&mut self, to: &Recipient, now: Instant) -> bool {
        self.settle(now);
        !self
            .workers
            .values()
            .any(|worker| worker.outage.is_none() && worker.info.address == to.address)
    }

    /// The worker at the address of a command, if it is the one that is meant.
    fn recipient(&mut self, to: &Recipient) -> Result<&mut Worker, CommandError> {
        let mut up = self
            .workers
            .values_mut()
            .filter(|worker| worker.outage.is_none());
        let at_address = up.find(|worker| worker.info.address == to.address);
        let worker =
            at_address.ok_or_else(|| CommandError::Unknown("nobody is at this address".into()))?;
        worker.admit(to)?;
        Ok(worker)
    }

    fn record_listing(&mut self, now: Instant) {
        let listed = self.listed();
        if self.listings.last().is_none_or(|(_, last)| *last != listed) {
            self.listings.push((now, listed));
        }
    }

    /// Returns what [`Self::listed`] returned at a time.
    #[must_use]
    pub fn listed_at(&self, at: Instant) -> Vec<(PoolName, WorkerInfo)> {
        let mut before = self.listings.iter().rev();
        let found = before.find(|(since, _)| *since <= at);
        let found = found.or(self.listings.first());
        found.map(|(_, listed)| listed.clone()).unwrap_or_default()
    }

    /// As [`Self::crash`], but requests that wait there get no answer: their senders notice nothing before they time out.
    pub fn crash_silently(&mut self, worker: &str, now: Instant) {
        self.crash(worker, now);
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.crashed_silently = true;
        }
    }

    /// Whether requests that waited at a worker when it last crashed get no answer.
    #[must_use]
    pub fn has_crashed_silently(&self, worker: &WorkerId) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.crashed_silently)
    }

    /// Returns what a worker's clock shows, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, worker: &WorkerId, now: Instant) -> Option<u64> {
        self.workers.get(worker).map(|worker| worker.clock_ms(now))
    }

    /// Returns the start time of a worker's present incarnation.
    #[must_use]
    pub fn born_at(&self, worker: &WorkerId) -> Option<Instant> {
        self.workers.get(worker).map(|worker| worker.started_at)
    }

    /// Returns the tasks that are running, by worker.
    pub fn running(&self) -> impl Iterator<Item = (&WorkerId, TaskId)> {
        let workers = self.workers.iter();
        workers.flat_map(|(id, worker)| worker.running.keys().map(move |(task, _)| (id, *task)))
    }

    /// Returns all ends of runs, by worker.
    pub fn history(&self) -> impl Iterator<Item = &Ended> {
        self.workers.values().flat_map(|worker| &worker.history)
    }

    /// Returns the crashes of workers that were executing a run of this task.
    pub fn crashes_under(&self, task: TaskId) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| crash.running.iter().any(|(running, _)| *running == task))
    }

    /// Returns the workers on the registry's list, with their pools.
    #[must_use]
    pub fn listed(&self) -> Vec<(PoolName, WorkerInfo)> {
        let workers = self.workers.values().filter(|worker| worker.is_listed);
        workers
            .map(|worker| (worker.pool.clone(), worker.registered.clone()))
            .collect()
    }

    /// Ends the runs that are due on all workers, also on those that no entry calls.
    pub fn settle(&mut self, now: Instant) {
        let mut registered_at = Vec::new();
        for worker in self.workers.values_mut() {
            worker.end_due_runs(now);
            if let Some(outage) = worker.outage.take_if(|outage| outage.until <= now) {
                worker.begin(outage.until);
                worker.info.address = outage.address;
                let registers_at = outage.until + outage.register_after;
                if worker
                    .registry_due
                    .is_some_and(|(removed_at, _)| removed_at <= registers_at)
                {
                    worker.is_listed = false;
                    registered_at.extend(worker.registry_due.map(|(at, _)| at));
                }
                worker.registry_due = Some((registers_at, true));
            }
            if let Some((at, is_listed)) = worker.registry_due.take_if(|(at, _)| *at <= now) {
                worker.is_listed = is_listed;
                if is_listed {
                    worker.register();
                }
                registered_at.push(at);
            }
        }
        if !registered_at.is_empty() {
            self.record_listing(now);
        }
    }

    /// Carries out a start command, or returns why it is refused.
    pub fn start(&mut self, to: &Recipient, order: &StartCommand, now: Instant) -> StartAnswer {
        self.settle(now);
        let is_running_elsewhere = self.workers.iter().any(|(id, worker)| {
            let runs = worker.running.keys();
            runs.clone()
                .any(|(task, run)| *task == order.task && (*id != to.worker || *run != order.run))
        });
        let is_done = self
            .noted
            .iter()
            .any(|(task, _, end)| *task == order.task && *end == RunEnd::Done);
        let runs_before = self
            .starts
            .iter()
            .filter(|start| start.task == order.task)
            .count();
        let worker = match self.recipient(to) {
            Ok(worker) => worker,
            Err(CommandError::Fenced) => return StartAnswer::Fenced,
            Err(CommandError::Unknown(_)) => return StartAnswer::Unknown,
            Err(_) => return StartAnswer::WrongWorker,
        };
        let key = (order.task, order.run);
        if worker.running.contains_key(&key) {
            worker.extend_lease(order.until_ms, now);
            return StartAnswer::Started;
        }
        if worker.clock_ms(now) > order.until_ms {
            return StartAnswer::TooLate;
        }
        if worker
            .closed
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            worker.extend_lease(order.until_ms, now);
            return StartAnswer::Outdated;
        }
        let has_word = |name: &str| order.payload.split_whitespace().any(|word| word == name);
        worker.extend_lease(order.until_ms, now);
        let ms = word(&order.payload, "ms").and_then(|ms| ms.parse().ok());
        let failures = word(&order.payload, "failures").and_then(|count| count.parse().ok());
        let is_failing = failures.is_some_and(|failures: usize| runs_before < failures);
        let end = if is_failing || word(&order.payload, "end") == Some("failed") {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        let run = Run {
            started_at: now,
            ends_at: (!has_word("lasts")).then(|| now + Duration::from_millis(ms.unwrap_or(600))),
            end,
        };
        worker.running.insert(key, run);
        if (is_running_elsewhere || is_done) && !has_word("copies") {
            self.doubled.push(order.task);
        }
        self.starts.push(Start {
            worker: to.worker.clone(),
            task: order.task,
            run: order.run,
            at: now,
            by: Box::default(),
        });
        let crashes = word(&order.payload, "crashes").and_then(|index| index.parse().ok());
        if crashes == Some(order.task.index) {
            self.crash(to.worker.as_str(), now);
            if let Some(worker) = self.workers.get_mut(&to.worker) {
                worker.down_until = Some(now + CRASH_DOWNTIME);
            }
            return StartAnswer::Unknown;
        }
        StartAnswer::Started
    }

    /// Stops a run; one that is not running is marked as ended, so that a late start of it is refused.
    ///
    /// # Errors
    ///
    /// The recipient is not this worker, or the token is outdated.
    pub fn stop(
        &mut self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) -> Result<(), CommandError> {
        self.settle(now);
        let stopped_at = now + self.stop_grace;
        let worker = self.recipient(to)?;
        if let Some(running) = worker.running.get_mut(&(task, run)) {
            if running.ends_at.is_none_or(|at| stopped_at < at) {
                running.ends_at = Some(stopped_at);
                running.end = RunEnd::Stopped;
            }
            worker.closed.insert(task, run);
            worker.end_due_runs(now);
        } else {
            worker.closed.insert(task, run);
        }
        Ok(())
    }

    /// Acknowledges ends up to the number `ends_acknowledged`, which a request for a report carries.
    ///
    /// # Errors
    ///
    /// The recipient is not this worker, or the token is outdated.
    pub fn note(&mut self, to: &Recipient, ends_acknowledged: u64) -> Result<(), CommandError> {
        self.settle(Instant::now());
        let worker = self.recipient(to)?;
        let (acknowledged, kept): (Vec<EndRow>, _) = std::mem::take(&mut worker.ended)
            .into_iter()
            .partition(|end| end.number <= ends_acknowledged);
        worker.ended = kept;
        let lapsed_at = worker.lapsed_at;
        let times: Vec<Option<Instant>> = acknowledged
            .iter()
            .map(|end| {
                let mut history = worker.history.iter().rev();
                let found = history.find(|ended| ended.task == end.task && ended.run == end.run);
                found.map(|ended| ended.at)
            })
            .collect();
        self.reports += 1;
        for (end, at) in acknowledged.iter().zip(times) {
            if end.end == RunEnd::Done
                && let Some(at) = at
                && lapsed_at.is_none_or(|lapsed_at| lapsed_at < at)
            {
                self.done.push((end.task, end.run, at));
            }
        }
        let acknowledged = acknowledged.into_iter();
        self.noted
            .extend(acknowledged.map(|end| (end.task, end.run, end.end)));
        Ok(())
    }

    /// Extends the worker's lease and returns its report, if it has an unacknowledged end or the report `is_due`.
    ///
    /// # Errors
    ///
    /// The recipient is not this worker, or the token is outdated.
    pub fn report(
        &mut self,
        to: &Recipient,
        until_ms: Option<u64>,
        is_due: bool,
        now: Instant,
    ) -> Result<Option<Report>, CommandError> {
        self.settle(now);
        let worker = self.recipient(to)?;
        worker.extend_lease(until_ms.unwrap_or(0), now);
        if worker.ended.is_empty() && !is_due {
            return Ok(None);
        }
        let running = worker.running.iter().map(|((task, run), state)| {
            let percent = state.ends_at.map_or(100, |ends_at| {
                let total_ms = millis(ends_at - state.started_at).max(1);
                millis(now - state.started_at) * 100 / total_ms
            });
            RunningRow {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: u32::try_from(percent).unwrap_or(100),
                load: 0.0,
            }
        });
        Ok(Some(Report {
            clock_ms: worker.clock_ms(now),
            started_ms: worker.info.started_ms,
            running: running.collect(),
            ended: worker.ended.clone(),
        }))
    }
}
