//! A worker in memory: its free capacity, the runs that may be executing on it, and how long its leases can last.
//!
//! A [`Run`] stays in `runs` until it is certain that it is not executing: its end was reported, a report proved that
//! it is absent, the incarnation that has listed it has departed, or every lease that was ever offered has expired on the
//! clock of whichever incarnation may be executing it ([`Executor`]). `used` is the sum of what the runs reserve, so a start
//! whose reply was lost still counts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::DcName;

use crate::id::{FencingToken, JobId, Label, RunNumber, TaskId, VmId, WorkerId};
use crate::resources::Resources;
use crate::spec::Step;

/// How much a worker's steady clock may lose against this entry's, in thousandths. The platform documents this bound.
const CLOCK_DRIFT_MILLI: u32 = 20;

/// How long a departed incarnation, and a start without a reply whose job has ended, are remembered: commands to them may still
/// be executed.
pub(crate) const UNANSWERED_LIFE: Duration = Duration::from_secs(30);

/// Added to each lease's end. Covers the rounding of clocks.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// How far two readings of one clock may be from what their times of arrival suggest, in milliseconds: an answer may be under way
/// for as long as it is waited for.
const READING_SLACK_MS: u64 = 2_000;

/// A worker as the platform's registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The worker's id. A restart may keep it.
    pub id: WorkerId,
    /// When this incarnation started, in milliseconds since 1970, if the worker states it.
    pub started_ms: Option<u64>,
    /// The address that it accepts commands at.
    pub address: Box<str>,
    /// Its data centre, if known.
    pub dc: Option<DcName>,
    /// The resources that it has in total.
    pub capacity: Resources,
    /// Its kind and rack.
    pub labels: Vec<Label>,
    /// Whether it is draining: it accepts no new work and will leave.
    pub is_draining: bool,
    /// The least time until it leaves, if it is draining.
    pub remaining: Option<Duration>,
    /// Whether it was slow after its start when the registry was read.
    pub is_cold: bool,
}

/// The state of a run, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start has been sent and may have been executed.
    Starting,
    /// The worker has confirmed the run.
    Confirmed,
    /// A stop has been sent.
    Stopping,
}

/// How the scheduler came to know of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This scheduler started it from the beginning.
    Started,
    /// This scheduler started it from a checkpoint.
    Resumed,
    /// It was found on the worker. An earlier scheduler may have sent a stop for it just before.
    Adopted,
    /// It was started on an earlier incarnation of the worker, and is here only to be stopped.
    CarriedOver,
}

/// What is known of the incarnation that may be executing a run, other than its id.
///
/// A worker that is back under its id also carries out starts that were meant for its earlier incarnation. On its clock,
/// their deadlines can lie as far ahead as it grants leases. Two copies of a start may be carried out by two incarnations, so
/// each answer, and each copy that is given up, counts until a report that was requested later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Executor {
    /// Nothing: the start, or a copy of it, has had no answer.
    Unknown {
        /// When the start was planned or a copy was last given up.
        since: Instant,
    },
    /// The incarnation that answered the start last. It may be a later one than the start was meant for.
    Answered {
        /// What its clock showed, in milliseconds.
        clock_ms: u64,
        /// The latest time at which the clock can have shown it.
        at: Instant,
    },
    /// The incarnation that the run is kept under: a report of it lists the run, and was requested after the last answer.
    Reported,
}

impl Executor {
    /// Whether a report that lists the run and was requested at `sent_at` shows which incarnation executes it.
    #[must_use]
    pub fn is_shown_by(self, sent_at: Instant) -> bool {
        match self {
            Self::Unknown { since } => sent_at > since,
            Self::Answered { at, .. } => sent_at > at,
            Self::Reported => true,
        }
    }
}

/// A run that may be executing.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// The resources that it reserves on its worker.
    pub reserved: Resources,
    /// Whether its start or stop is pending.
    pub phase: Phase,
    /// When the start was sent, or when an earlier scheduler's run was first seen.
    pub started_at: Instant,
    /// How the scheduler came to know of it.
    pub origin: Origin,
    /// Which incarnation of the worker may be executing it.
    pub executor: Executor,
    /// The deadline of its start on the worker's clock, in milliseconds. The worker refuses a later start.
    pub start_until_ms: u64,
    /// From this time on, a newly requested report that does not list the run proves that it is not executing. Absent
    /// while a start or a stop is unconfirmed.
    pub closed_at: Option<Instant>,
    /// When a stop was last sent.
    pub stop_sent_at: Option<Instant>,
    /// When a report last showed progress.
    pub progressed_at: Instant,
    /// Its progress in percent, or for a service how much of it is available.
    pub percent: u32,
    /// The newest checkpoint that the worker has listed.
    pub checkpoint: Option<Box<str>>,
    /// For a service its tail latency in milliseconds, otherwise the processors in use.
    pub load: f64,
    /// The speed that it may run at, in percent of full speed.
    pub speed_percent: u32,
    /// Whether it runs a task of a service.
    pub is_service: bool,
    /// Whether it uses only the processors that others leave idle.
    pub is_best_effort: bool,
    /// Whether it is known what it reserves. It is not for a run whose job this scheduler does not know.
    pub is_demand_known: bool,
    /// The target for the service's tail latency.
    pub tail_target: Option<Duration>,
    /// Whether it may yet crash its worker by its start.
    pub trust: Trust,
}

/// Whether a run may yet crash its worker by its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// It has just started.
    Fresh,
    /// It has just started, and its task is suspect: nothing else is started on its worker yet.
    Isolated,
    /// A report has shown that it was executing for [`ESTABLISHED_AFTER`].
    Established,
}

/// A run that has been executing for this long has not crashed its worker by its start.
pub const ESTABLISHED_AFTER: Duration = Duration::from_millis(250);

impl Run {
    /// Whether it had been executing for [`ESTABLISHED_AFTER`] if its worker was up until `up_until`.
    #[must_use]
    pub fn is_established_at(&self, up_until: Option<Instant>) -> bool {
        self.trust == Trust::Established || up_until >= Some(self.started_at + ESTABLISHED_AFTER)
    }

    /// Sets the fields that follow from the step.
    #[must_use]
    pub fn with_step(mut self, step: &Step) -> Self {
        self.reserved = step.reserved();
        self.is_demand_known = true;
        self.is_service = step.is_service();
        self.is_best_effort = step.is_best_effort();
        self.tail_target = step.tail_target;
        self
    }
}

/// Identifies a run on its worker.
pub type RunKey = (TaskId, RunNumber);

/// Whether a worker answers this scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered yet under the present fencing token.
    None,
    /// It has answered the last request for a report.
    Responding,
    /// It has answered before, but not the last request for a report.
    Unresponsive,
}

/// Whether the capacity and labels of a worker are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Description {
    /// They are, from the registry's entry of this incarnation.
    Registered,
    /// Only a report has shown this incarnation. A report does not contain them, and those of an earlier incarnation say
    /// nothing about it.
    Awaited,
}

/// Whether a command that was meant for an earlier incarnation may have extended the leases of a worker's runs.
///
/// A worker that is back under its id carries out commands that were sent to its earlier incarnation, until it has seen a
/// higher fencing token. Their deadlines are times on that incarnation's clock and can lie anywhere on the present one's, so
/// such a lease is as long as workers grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrayLease {
    /// It is known that no such command was carried out.
    Excluded,
    /// It may have been, and may still be until the worker has answered under its token.
    Possible,
    /// It may have been. The lease ends at this time on the worker's clock, in milliseconds, at the latest.
    Until(u64),
}

/// Whether tasks may be started in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DcState {
    /// Tasks may be started there.
    Open,
    /// The operators want no task to be started there.
    Cordoned,
}

/// A worker, as its pool's scheduler knows it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its entry in the platform's registry.
    pub info: WorkerInfo,
    /// Whether the registry lists it.
    pub is_listed: bool,
    /// Whether its capacity and labels are known.
    pub description: Description,
    /// Since when it has been draining.
    pub draining_since: Option<Instant>,
    /// The fencing token of commands to it, higher than that of any command to an earlier incarnation. Absent until this
    /// incarnation is stored; nothing is sent to it before.
    pub token: Option<FencingToken>,
    /// Whether a command that was meant for an earlier incarnation may have extended its leases.
    pub stray_lease: StrayLease,
    /// Whether it answers this scheduler.
    pub contact: Contact,
    /// Whether it has departed: nothing can run on it any more.
    pub has_departed: bool,
    /// The VM that it runs on, from the platform's list.
    pub vm: Option<VmId>,
    /// Since when it is being evacuated.
    pub evacuating_since: Option<Instant>,
    /// The state of its data centre, as of the last plan.
    pub dc_state: DcState,
    /// The runs that may be executing.
    pub runs: BTreeMap<RunKey, Run>,
    /// The sum of what the runs reserve, as far as it is known.
    pub used: Resources,
    /// The number of runs of which it is not known what they reserve. While there is one, nothing is started: the worker
    /// may be full, and may not refuse what does not fit.
    pub unknown_demands: u32,
    /// The number of the last end that was ingested.
    pub last_end: u64,
    /// The number of ends before the last one that no report to this scheduler has listed.
    pub unseen_ends: u64,
    /// A reading of its clock in milliseconds, and the latest time at which the clock can have shown it.
    pub clock: Option<(u64, Instant)>,
    /// Until it has reported, runs that were meant for its earlier incarnation may be executing on it up to this time.
    pub earlier_runs_until: Option<Instant>,
    /// The latest time on its clock, in milliseconds, to which a command may have extended its leases.
    pub lease_until_ms: u64,
    /// When a command that extends its leases was last sent.
    pub lease_sent_at: Option<Instant>,
    /// When it last answered.
    pub answered_at: Option<Instant>,
    /// When it first answered.
    pub answering_since: Option<Instant>,
    /// Since when it has not answered. Absent while it does.
    pub unresponsive_since: Option<Instant>,
    /// Starts are not sent before this time.
    pub paused_until: Option<Instant>,
    /// The job of the last failure; a job that fails everywhere is no evidence against a worker.
    pub last_failed_job: Option<JobId>,
    /// When the speed of its best-effort tasks was last changed.
    pub throttled_at: Option<Instant>,
    /// Its failures and stalls in a row.
    pub streaks: Streaks,
    /// Whether it has refused a start for lack of capacity since its last report.
    pub is_full: bool,
}

/// Failures and stalls in a row on a worker. A run that ends as done resets them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Streaks {
    /// Failures in a row, each of another job than the one before.
    pub failed: u32,
    /// Stalls in a row.
    pub stalls: u32,
}

impl WorkerInfo {
    /// What is known of an incarnation of this worker that only a report has shown: where it runs, and when it started.
    #[must_use]
    pub fn of_later_incarnation(&self, started_ms: Option<u64>) -> Self {
        Self {
            id: self.id.clone(),
            started_ms,
            address: self.address.clone(),
            dc: self.dc.clone(),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            is_draining: false,
            remaining: None,
            is_cold: false,
        }
    }
}

impl Worker {
    /// Creates a worker that has not answered yet and whose earlier incarnations, if any, are not known.
    #[must_use]
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            is_listed: true,
            description: Description::Registered,
            draining_since: None,
            token: None,
            stray_lease: StrayLease::Possible,
            contact: Contact::None,
            has_departed: false,
            vm: None,
            evacuating_since: None,
            dc_state: DcState::Open,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            unknown_demands: 0,
            last_end: 0,
            unseen_ends: 0,
            clock: None,
            earlier_runs_until: None,
            lease_until_ms: 0,
            lease_sent_at: None,
            answered_at: None,
            answering_since: None,
            unresponsive_since: None,
            paused_until: None,
            last_failed_job: None,
            throttled_at: None,
            streaks: Streaks::default(),
            is_full: false,
        }
    }

    /// The capacity that its runs leave free.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.info.capacity - self.used
    }

    /// Whether its capacity and labels are known.
    #[must_use]
    pub fn is_described(&self) -> bool {
        self.description == Description::Registered
    }

    /// Whether it is being evacuated.
    #[must_use]
    pub fn is_evacuating(&self) -> bool {
        self.evacuating_since.is_some()
    }

    /// Whether its data centre is cordoned, as of the last plan.
    #[must_use]
    pub fn is_cordoned(&self) -> bool {
        self.dc_state == DcState::Cordoned
    }

    /// Whether it has answered under the present token, and so refuses commands of earlier schedulers.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.contact != Contact::None
    }

    /// Whether it may hold a lease that a command to an earlier incarnation has extended.
    #[must_use]
    pub fn may_hold_stray_lease(&self) -> bool {
        match self.stray_lease {
            StrayLease::Excluded => false,
            StrayLease::Possible => true,
            StrayLease::Until(until_ms) => {
                self.clock.is_none_or(|(clock_ms, _)| clock_ms < until_ms)
            }
        }
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        self.contact == Contact::Responding
            && self.is_listed
            && self.is_described()
            && !self.has_departed
            && !self.is_full
            && self.unknown_demands == 0
            && !self.is_evacuating()
            && !self.is_cordoned()
            && !self.info.is_draining
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// When it was last known to be up, once it is lost. A worker that crashes breaks its connections, which the pending
    /// request for a report notices at once.
    #[must_use]
    pub fn known_up_until(&self) -> Option<Instant> {
        self.unresponsive_since.or(self.answered_at)
    }

    /// Whether a run has been executing for [`ESTABLISHED_AFTER`], or had been when the worker was last known to be up.
    #[must_use]
    pub fn is_established(&self, run: &Run, now: Instant) -> bool {
        let up_until = match self.contact {
            Contact::Responding => Some(now),
            Contact::Unresponsive | Contact::None => self.known_up_until(),
        };
        run.is_established_at(up_until)
    }

    /// Whether it executes a run beside which nothing may be started yet.
    #[must_use]
    pub fn is_isolating(&self, now: Instant) -> bool {
        let mut isolated = self
            .runs
            .values()
            .filter(|run| run.trust == Trust::Isolated);
        isolated.any(|run| run.phase == Phase::Starting || !self.is_established(run, now))
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

    /// Adds a run and counts what it reserves.
    pub fn add(&mut self, key: RunKey, run: Run) {
        self.used += run.reserved;
        self.unknown_demands += u32::from(!run.is_demand_known);
        if let Some(old) = self.runs.insert(key, run) {
            self.used -= old.reserved;
            self.unknown_demands -= u32::from(!old.is_demand_known);
        }
    }

    /// Removes a run that is certain not to be executing.
    pub fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        self.used -= run.reserved;
        self.unknown_demands -= u32::from(!run.is_demand_known);
        Some(run)
    }

    /// The latest time that its clock can show at `now`, in milliseconds. `None` before its first report.
    #[must_use]
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + millis(now.saturating_duration_since(at)))
    }

    /// Whether a clock that showed `clock_ms` at `at` can be that of the last report. A restart begins the clock anew.
    #[must_use]
    pub fn is_clock_continued(&self, clock_ms: u64, at: Instant) -> bool {
        let Some((reported_ms, reported_at)) = self.clock else {
            return false;
        };
        let since_ms = millis(at.saturating_duration_since(reported_at));
        let before_ms = millis(reported_at.saturating_duration_since(at));
        let expected_ms = (reported_ms + since_ms).saturating_sub(before_ms);
        let drift_ms = (since_ms + before_ms) * u64::from(CLOCK_DRIFT_MILLI) / 1_000;
        clock_ms.abs_diff(expected_ms) <= READING_SLACK_MS + drift_ms
    }

    /// The deadline on its clock, in milliseconds, for a lease of this length from `now`. `None` before its first
    /// report.
    #[must_use]
    pub fn deadline_ms(&self, now: Instant, lease: Duration) -> Option<u64> {
        Some(self.clock_ms(now)? + millis(lease))
    }

    /// Records that a command is about to be sent which extends its leases up to `until_ms` on its clock.
    pub fn record_lease(&mut self, until_ms: u64, now: Instant) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.lease_sent_at = Some(now);
    }

    /// When every lease that was offered to this incarnation has certainly expired. `None` if it has not reported and no
    /// lease is known.
    #[must_use]
    pub fn leases_expire_at(&self) -> Option<Instant> {
        let Some((clock_ms, at)) = self.clock else {
            return self.earlier_runs_until;
        };
        Some(self.clock_reaches_leases_at(clock_ms, at))
    }

    /// When a clock that showed `clock_ms` at `at` has certainly reached the end of all leases that were offered.
    fn clock_reaches_leases_at(&self, clock_ms: u64, at: Instant) -> Instant {
        let left = Duration::from_millis(self.lease_until_ms.saturating_sub(clock_ms));
        at + with_drift(left) + LEASE_MARGIN
    }

    /// When the lease of a run has certainly expired, whichever incarnation executes it. `longest` is the time within which
    /// every lease that workers grant has expired. `None` if no lease is known.
    #[must_use]
    pub fn lease_of_run_expires_at(&self, run: &Run, longest: Duration) -> Option<Instant> {
        if run.origin == Origin::CarriedOver {
            return self.leases_expire_at();
        }
        let longest_at = self.lease_sent_at.map(|at| at + longest);
        match run.executor {
            Executor::Unknown { .. } => longest_at,
            Executor::Answered { clock_ms, at } => {
                let by_clock = self.clock_reaches_leases_at(clock_ms, at);
                Some(longest_at.map_or(by_clock, |longest_at| by_clock.min(longest_at)))
            }
            Executor::Reported => self.leases_expire_at(),
        }
    }
}

/// The longest that `time` on a worker's clock lasts on this entry's clock.
#[must_use]
pub fn with_drift(time: Duration) -> Duration {
    time + time * CLOCK_DRIFT_MILLI / 1_000
}

/// The duration in whole milliseconds, at most `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A row of a worker's report: a run that is executing.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRow {
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run.
    pub run: RunNumber,
    /// Its newest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// Its progress in percent, or for a service how much of it is available.
    pub percent: u32,
    /// For a service its tail latency in milliseconds, otherwise the processors in use.
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
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start.
    GangIncomplete,
}

/// A row of a worker's report: a run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRow {
    /// The number of the end, counted from 1 in each incarnation of the worker.
    pub number: u64,
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
}

/// A worker's report of what it runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When this incarnation of the worker started, in milliseconds since 1970, if it states it.
    pub started_ms: Option<u64>,
    /// The runs that are executing.
    pub running: Vec<RunningRow>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<EndRow>,
}
