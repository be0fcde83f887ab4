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
    /// The time at which the worker recorded the end.
    pub at: Instant,
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
    /// What the registry lists while the worker is cut off from the store.
    listed_as: Option<WorkerInfo>,
    /// Whether requests that were waiting when it crashed time out instead of being reset.
    crashed_silently: bool,
    started_at: Instant,
    /// It answers nothing before this time.
    down_until: Option<Instant>,
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
        1_000 + millis(now - self.started_at)
    }

    /// Extends the lease to a time on the worker's clock, as far as it grants that.
    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let longest_ms = self.clock_ms(now) + millis(LEASE_MAX);
        self.until_ms = self.until_ms.max(until_ms.min(longest_ms));
    }

    fn end(&mut self, key: (TaskId, RunNumber), end: RunEnd, now: Instant) {
        self.running.remove(&key);
        self.ends += 1;
        let (task, run) = key;
        self.history.push(Ended {
            task,
            run,
            end,
            at: now,
        });
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
        let clock_ms = self.clock_ms(now);
        let has_lease_expired = clock_ms > self.until_ms;
        let due: Vec<_> = self
            .running
            .iter()
            .filter_map(|(key, run)| {
                let is_completed = run.ends_at.is_some_and(|at| at <= now);
                if is_completed {
                    Some((*key, run.end))
                } else {
                    has_lease_expired.then_some((*key, RunEnd::Expired))
                }
            })
            .collect();
        for (key, end) in due {
            self.end(key, end, now);
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
            info,
            is_listed: true,
            listed_as: None,
            crashed_silently: false,
            started_at: now,
            down_until: None,
            token: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
            history: Vec::new(),
        };
        self.workers.insert(id, worker);
    }

    /// Removes a worker from the registry's list, or adds it again. It goes on running.
    pub fn set_listed(&mut self, worker: &str, is_listed: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.is_listed = is_listed;
        }
    }

    /// Cuts a worker off from the store, or connects them again. Until then the registry lists it as it was.
    pub fn set_registering(&mut self, worker: &str, is_registering: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.listed_as = (!is_registering).then(|| worker.info.clone());
        }
    }

    /// Sets whether a worker states when it started.
    pub fn set_stating_start(&mut self, worker: &str, is_stating: bool) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.info.started_ms = is_stating.then_some(1);
        }
    }

    /// Changes a worker's capacity. What it runs goes on.
    pub fn set_capacity(&mut self, worker: &str, cpu_millis: u64) {
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.info.capacity.cpu_millis = cpu_millis;
        }
    }

    /// Crashes and restarts a worker: it loses its runs, its lease, the last token and the ends that it listed. Requests that
    /// wait there are reset.
    pub fn crash(&mut self, worker: &str, now: Instant) {
        self.settle(now);
        if let Some(worker) = self.workers.get_mut(&WorkerId::from(worker)) {
            worker.crashed_silently = false;
            worker.info.started_ms = worker.info.started_ms.map(|started_ms| started_ms + 1);
            worker.started_at = now;
            worker.token = 0;
            worker.until_ms = 0;
            worker.ends = 0;
            worker.running.clear();
            worker.ended.clear();
            worker.closed.clear();
        }
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

    /// Returns the workers on the registry's list, with their pools.
    #[must_use]
    pub fn listed(&self) -> Vec<(PoolName, WorkerInfo)> {
        let workers = self.workers.values().filter(|worker| worker.is_listed);
        workers
            .map(|worker| {
                let info = worker.listed_as.as_ref().unwrap_or(&worker.info);
                (worker.pool.clone(), info.clone())
            })
            .collect()
    }

    /// Ends the runs that are due on all workers, also on those that no entry calls.
    pub fn settle(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            worker.end_due_runs(now);
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
        let Some(worker) = self.workers.get_mut(&to.worker) else {
            return StartAnswer::WrongWorker;
        };
        match worker.admit(to) {
            Ok(()) => {}
            Err(CommandError::Fenced) => return StartAnswer::Fenced,
            Err(CommandError::Unknown(_)) => return StartAnswer::Unknown,
            Err(_) => return StartAnswer::WrongWorker,
        }
        let key = (order.task, order.run);
        if worker.running.contains_key(&key) {
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
            return StartAnswer::Outdated;
        }
        let has_word = |name: &str| order.payload.split_whitespace().any(|word| word == name);
        if (is_running_elsewhere || is_done) && !has_word("copies") {
            self.doubled.push(order.task);
        }
        worker.extend_lease(order.until_ms, now);
        let ms = word(&order.payload, "ms").and_then(|ms| ms.parse().ok());
        let failures = word(&order.payload, "failures").and_then(|count| count.parse().ok());
        let runs_before = self
            .starts
            .iter()
            .filter(|start| start.task == order.task)
            .count();
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
        self.starts.push(Start {
            worker: to.worker.clone(),
            task: order.task,
            run: order.run,
            at: now,
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
        let worker = self.workers.get_mut(&to.worker);
        let worker = worker.ok_or(CommandError::WrongWorker)?;
        worker.admit(to)?;
        if worker.running.contains_key(&(task, run)) {
            worker.end((task, run), RunEnd::Stopped, now);
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
        let worker = self.workers.get_mut(&to.worker);
        let worker = worker.ok_or(CommandError::WrongWorker)?;
        worker.admit(to)?;
        self.reports += 1;
        let (acknowledged, kept): (Vec<EndRow>, _) = std::mem::take(&mut worker.ended)
            .into_iter()
            .partition(|end| end.number <= ends_acknowledged);
        worker.ended = kept;
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
        let worker = self.workers.get_mut(&to.worker);
        let worker = worker.ok_or(CommandError::WrongWorker)?;
        worker.admit(to)?;
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
