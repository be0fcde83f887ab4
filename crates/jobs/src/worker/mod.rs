//! A worker in memory: its room, the runs that may be at work on it, and how long its leases can last.
//!
//! A [`Run`] stays in `runs` until it is certain that it no longer works: its end was reported, the worker was seen to
//! have begun a new life, or every lease that was ever offered has lapsed on the worker's own clock. `used` is the
//! sum of what the runs reserve, so a start whose answer was lost still counts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::DcName;

use crate::id::{JobId, Label, RunNumber, TaskId, VmId, WorkerId};
use crate::resources::Resources;
use crate::spec::Step;

/// A worker's steady clock may lose this much against ours, in thousandths. From the platform's pages.
const CLOCK_DRIFT_MILLI: u32 = 20;

/// Added to each lease's end. Covers the rounding of clocks.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// What a worker says of itself in the platform's registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its id.
    pub id: WorkerId,
    /// When this life began, in milliseconds since 1970, as far as it says so.
    pub born_ms: Option<u64>,
    /// Where it takes orders.
    pub address: Box<str>,
    /// Its data centre.
    pub dc: Option<DcName>,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and rack.
    pub labels: Vec<Label>,
    /// It takes no new work and will leave.
    pub is_draining: bool,
    /// The least time until it leaves, if it is draining.
    pub remaining: Option<Duration>,
}

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start has been sent; it may or may not have been carried out.
    Ordered,
    /// The worker has confirmed it.
    Confirmed,
    /// A stop has been sent.
    Stopping,
}

/// How a run came to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This scheduler started it from the beginning.
    Started,
    /// This scheduler started it from a checkpoint.
    Resumed,
    /// It was found on the worker; an earlier scheduler may have ordered its stop just before.
    Adopted,
}

/// A run that may be at work.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// What it reserves.
    pub reserved: Resources,
    /// What is known of it.
    pub phase: Phase,
    /// When the start was sent, or when an earlier scheduler's run was first seen.
    pub started_at: Instant,
    /// How it came to be.
    pub origin: Origin,
    /// After this time on the worker's clock the start is refused.
    pub start_until_ms: u64,
    /// From then on, a report that does not list the run proves that it is not there.
    pub closed_at: Option<Instant>,
    /// When a stop was last sent.
    pub stop_sent_at: Option<Instant>,
    /// When a report last showed progress.
    pub progressed_at: Instant,
    /// How far it has come, or for a service how much of it is at work, in percent.
    pub percent: u32,
    /// The newest checkpoint that the worker has listed.
    pub checkpoint: Option<Box<str>>,
    /// For a service the tail of its response time in milliseconds, else the processors in use.
    pub load: f64,
    /// The share that it is allowed to work at, in percent.
    pub pace_percent: u32,
    /// It belongs to a service that is kept up.
    pub is_service: bool,
    /// It fills idle capacity.
    pub is_best_effort: bool,
    /// The bound on the tail of the service's response time.
    pub tail_target: Option<Duration>,
}

impl Run {
    /// Takes what the step says of its tasks.
    #[must_use]
    pub fn with_step(mut self, step: &Step) -> Self {
        self.reserved = step.reserved();
        self.is_service = step.is_service();
        self.is_best_effort = step.is_best_effort();
        self.tail_target = step.tail_target;
        self
    }
}

/// A run's key on its worker.
pub type RunKey = (TaskId, RunNumber);

/// Whether a worker answers this scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered under the present token yet.
    None,
    /// It has answered the last request for a report.
    Answers,
    /// It has answered before, but not the last request for a report.
    Silent,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What it says of itself.
    pub info: WorkerInfo,
    /// Whether the registry lists it.
    pub is_listed: bool,
    /// Since when it has been draining.
    pub draining_since: Option<Instant>,
    /// Whether it answers.
    pub contact: Contact,
    /// Nothing may run there any more.
    pub is_gone: bool,
    /// The VM that it runs on, from the platform's list.
    pub vm: Option<VmId>,
    /// Since when it is to be emptied.
    pub evacuating_since: Option<Instant>,
    /// Runs that may be at work.
    pub runs: BTreeMap<RunKey, Run>,
    /// What the runs reserve.
    pub used: Resources,
    /// The end that was last taken in.
    pub last_end: u64,
    /// Its clock in milliseconds, and when it showed that at the latest.
    pub clock: Option<(u64, Instant)>,
    /// Until it has reported, runs that were meant for its earlier life may be at work there up to this time.
    pub held_until: Option<Instant>,
    /// The latest time on its clock to which any order may have extended its leases.
    pub lease_until_ms: u64,
    /// When it last answered.
    pub answered_at: Option<Instant>,
    /// Starts are not sent before this time.
    pub paused_until: Option<Instant>,
    /// The job of the last failure; a job that fails everywhere is no evidence against a worker.
    pub last_failed_job: Option<JobId>,
    /// When best-effort tasks there were last throttled or given speed back.
    pub paced_at: Option<Instant>,
    /// Ends by failure and as done since the worker was last judged.
    pub recent: Recent,
    /// It said that it has no room; cleared by its next report.
    pub is_full: bool,
}

/// The recent ends on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Recent {
    /// Failures in a row.
    pub failed: u32,
    /// How often in a row runs were found standing still.
    pub stood_still: u32,
}

impl Worker {
    /// A worker that has not answered yet.
    #[must_use]
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            is_listed: true,
            draining_since: None,
            contact: Contact::None,
            is_gone: false,
            vm: None,
            evacuating_since: None,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            last_end: 0,
            clock: None,
            held_until: None,
            lease_until_ms: 0,
            answered_at: None,
            paused_until: None,
            last_failed_job: None,
            paced_at: None,
            recent: Recent::default(),
            is_full: false,
        }
    }

    /// What is left of its capacity.
    #[must_use]
    pub fn room(&self) -> Resources {
        self.info.capacity - self.used
    }

    /// Whether it is to be emptied.
    #[must_use]
    pub fn is_evacuating(&self) -> bool {
        self.evacuating_since.is_some()
    }

    /// Whether it has answered under the present token.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.contact != Contact::None
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        self.contact == Contact::Answers
            && self.is_listed
            && !self.is_gone
            && !self.is_full
            && !self.is_evacuating()
            && !self.info.is_draining
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Whether it has the label.
    #[must_use]
    pub fn has_label(&self, label: &Label) -> bool {
        self.info.labels.contains(label)
    }

    /// Whether it has the label that the step requires.
    #[must_use]
    pub fn has_required(&self, step: &Step) -> bool {
        let required = step.requires.as_ref();
        required.is_none_or(|label| self.has_label(label))
    }

    /// Whether it could run a task of the step if nothing else ran on it.
    #[must_use]
    pub fn could_run(&self, step: &Step) -> bool {
        self.has_required(step) && step.reserved().fits(&self.info.capacity)
    }

    /// Adds a run.
    pub fn add(&mut self, key: RunKey, run: Run) {
        self.used += run.reserved;
        if let Some(old) = self.runs.insert(key, run) {
            self.used -= old.reserved;
        }
    }

    /// Removes a run that is certain not to be at work.
    pub fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        self.used -= run.reserved;
        Some(run)
    }

    /// The latest that its clock can show at `now`; without a report nothing is known.
    #[must_use]
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + millis(now.saturating_duration_since(at)))
    }

    /// The deadline on its clock for a lease of this length from now.
    #[must_use]
    pub fn deadline_ms(&self, now: Instant, lease: Duration) -> Option<u64> {
        Some(self.clock_ms(now)? + millis(lease))
    }

    /// When every lease that was offered has certainly lapsed.
    #[must_use]
    pub fn lapses_at(&self) -> Option<Instant> {
        let Some((clock_ms, at)) = self.clock else {
            return self.held_until;
        };
        let left = Duration::from_millis(self.lease_until_ms.saturating_sub(clock_ms));
        Some(at + with_drift(left) + LEASE_MARGIN)
    }
}

/// The longest that a time on a worker's clock lasts on ours.
#[must_use]
pub fn with_drift(time: Duration) -> Duration {
    time + time * CLOCK_DRIFT_MILLI / 1_000
}

/// Whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A row of a worker's report: a run at work.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its newest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// How far it has come, or how much of a service is at work.
    pub percent: u32,
    /// For a service the tail of its response time in milliseconds, else the processors in use.
    pub load: f64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed by its own fault or its worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A row of a worker's report: a run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRow {
    /// Counts the ends of this life of the worker from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
}

/// A worker's report of what it runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Its clock.
    pub clock_ms: u64,
    /// When this life began, in milliseconds since 1970.
    pub born_ms: Option<u64>,
    /// What is at work.
    pub running: Vec<RunningRow>,
    /// Ends that have not been taken note of.
    pub ended: Vec<EndRow>,
}
