//! Reasons for decisions, and for tasks that wait.
//!
//! Every task carries the [`Reason`] for its present state, every command and start the one for being issued. A reason
//! holds ids; [`Reason::write_with`] writes it with names.

use std::fmt;
use std::time::Duration;

use goldcrest_types::entity::{TeamId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::{Resources, Slots};

/// Displays resources in thousandths of a processor, mebibytes and whole accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readable(pub Resources);

impl fmt::Display for Readable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources {
            cpu_millis,
            memory_bytes,
            accelerators,
        } = self.0;
        write!(
            f,
            "cpu {cpu_millis}m memory {}Mi accelerators {accelerators}",
            memory_bytes.get() >> 20
        )
    }
}

/// Why a task is in its state, or why a decision was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The task is enqueued and no round has tried it yet.
    Accepted,
    /// Other tasks of its team and queue start first.
    Behind,
    /// Its team is above its share, and a team below its share waits for the pool, which is nearly full.
    AboveShare,
    /// The task was started: it was next, and the worker had enough free capacity for its reservation.
    Placed {
        /// The worker on which the task starts.
        worker: VmId,
        /// What the task reserves.
        estimate: Resources,
    },
    /// The task was started on the worker that was held for it.
    PlacedOnHold {
        /// The worker that was held.
        worker: VmId,
    },
    /// An earlier scheduler started the task.
    Adopted {
        /// The worker on which it was started.
        worker: VmId,
    },
    /// The team has as many tasks running as it may.
    AtUpperLimit {
        /// The team of the task.
        team: TeamId,
        /// The number of its running tasks.
        running: Slots,
        /// The number of tasks that it may have running here.
        usable: Slots,
    },
    /// No worker of its pool has enough free capacity now.
    NoFreeCapacity {
        /// What the task would reserve.
        estimate: Resources,
    },
    /// No worker of its pool accepts tasks.
    NoWorker,
    /// A worker is held for the task until enough of it is free.
    Held {
        /// The held worker.
        worker: VmId,
    },
    /// Other tasks are preempted for the task.
    Preempting {
        /// The worker, which is held for the task.
        worker: VmId,
        /// The number of preempted tasks.
        tasks: usize,
    },
    /// Its tasks fail on several workers, so only a few of them run at a time.
    QueueFails,
    /// An attempt failed and the wait before the next one has not passed.
    Backoff {
        /// The number of failed attempts.
        failures: u32,
    },
    /// The task saved its state and waits to resume.
    Resumes,
    /// The catalogue in force does not contain its queue or team.
    NoSuchQueue,
    /// No worker of its pool is large enough, even empty.
    NeverFits {
        /// The declared size.
        declared: Resources,
    },
    /// The task failed as often as it may be tried.
    FailedEverywhere {
        /// The number of failed attempts.
        failures: u32,
    },
    /// The task is preempted for an urgent task.
    ForUrgent {
        /// The urgent task.
        task: TaskKey,
    },
    /// The task is preempted for a team below its share.
    ShareReclaimed {
        /// The team below its share.
        team: TeamId,
    },
    /// The usage on its worker exceeds the capacity.
    Overload {
        /// The overloaded worker.
        worker: VmId,
        /// The usage of all tasks of the worker.
        used: Resources,
    },
    /// Its worker drains, and waiting for the task costs more than moving it.
    Drained {
        /// The draining worker.
        worker: VmId,
    },
    /// Its submitter cancelled the task.
    Cancelled,
    /// The attempt ran longer than its queue allows.
    RunMax {
        /// The longest run time of the queue.
        run_max: Duration,
    },
    /// The lease of the attempt is renewed.
    Renewal,
    /// The attempt is not the current attempt of its task on this worker.
    Orphan,
    /// The lease of the attempt has certainly expired, and no report has shown its end.
    WorkerLost {
        /// The worker that was lost.
        worker: VmId,
    },
    /// Its worker reported without listing the attempt.
    Missing {
        /// The worker that does not run it.
        worker: VmId,
    },
    /// The worker refused the start, or the start did not reach it.
    Refused {
        /// The worker that did not start it.
        worker: VmId,
    },
    /// The worker reported the end of the attempt.
    Reported {
        /// The worker that reported.
        worker: VmId,
    },
}

impl Reason {
    /// Returns the worker of the reason, if it has one.
    #[must_use]
    pub const fn worker(&self) -> Option<VmId> {
        match self {
            Self::Placed { worker, .. }
            | Self::PlacedOnHold { worker }
            | Self::Adopted { worker }
            | Self::Held { worker }
            | Self::Preempting { worker, .. }
            | Self::Overload { worker, .. }
            | Self::Drained { worker }
            | Self::WorkerLost { worker }
            | Self::Missing { worker }
            | Self::Refused { worker }
            | Self::Reported { worker } => Some(*worker),
            _ => None,
        }
    }

    /// Returns the team of the reason, if it has one.
    #[must_use]
    pub const fn team(&self) -> Option<TeamId> {
        match self {
            Self::AtUpperLimit { team, .. } | Self::ShareReclaimed { team } => Some(*team),
            _ => None,
        }
    }

    /// Writes the reason with the names of its worker and team in place of their ids.
    ///
    /// # Errors
    ///
    /// Returns the errors of the formatter.
    pub fn write_with(
        &self,
        f: &mut fmt::Formatter<'_>,
        worker: &dyn fmt::Display,
        team: &dyn fmt::Display,
    ) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("accepted, waits for the next round"),
            Self::Behind => f.write_str("waits: other tasks of its team come first"),
            Self::AboveShare => f.write_str(
                "waits: its team is above its share, others wait and the pool is nearly full",
            ),
            Self::Placed { estimate, .. } => {
                write!(f, "started: {worker} had room for {}", Readable(*estimate))
            }
            Self::PlacedOnHold { .. } => write!(f, "started: {worker} was held for it"),
            Self::Adopted { .. } => write!(f, "runs: {worker} had it from an earlier scheduler"),
            Self::AtUpperLimit {
                running, usable, ..
            } => write!(
                f,
                "waits: {team} has {running} running of {usable} allowed here"
            ),
            Self::NoFreeCapacity { estimate } => {
                write!(f, "waits: no worker has room for {}", Readable(*estimate))
            }
            Self::NoWorker => f.write_str("waits: its pool has no worker that takes tasks"),
            Self::Held { .. } => write!(f, "waits: {worker} is held for it"),
            Self::Preempting { tasks, .. } => {
                write!(f, "waits: {tasks} tasks give way to it on {worker}")
            }
            Self::QueueFails => f.write_str("waits: its queue fails on every worker"),
            Self::Backoff { failures } => write!(f, "waits: {failures} tries failed"),
            Self::Resumes => f.write_str("waits: it gave way and resumes"),
            _ => self.write_end(f, worker, team),
        }
    }

    /// Writes the reasons of parked tasks, commands and ends.
    fn write_end(
        &self,
        f: &mut fmt::Formatter<'_>,
        worker: &dyn fmt::Display,
        team: &dyn fmt::Display,
    ) -> fmt::Result {
        match self {
            Self::NoSuchQueue => {
                f.write_str("parked: the catalogue has no such queue or team: add it")
            }
            Self::NeverFits { declared } => write!(
                f,
                "parked: no worker of its pool is large enough for {}: declare less or add a larger worker",
                Readable(*declared)
            ),
            Self::FailedEverywhere { failures } => write!(
                f,
                "parked: it failed {failures} times on different workers: mend it and release it"
            ),
            Self::ForUrgent { task } => write!(f, "gives way to urgent task {task}"),
            Self::ShareReclaimed { .. } => {
                write!(f, "gives way to {team}, which is below its share")
            }
            Self::Overload { used, .. } => {
                write!(f, "{worker} is overloaded with {}", Readable(*used))
            }
            Self::Drained { .. } => {
                write!(f, "{worker} drains, and waiting costs more than a move")
            }
            Self::Cancelled => f.write_str("cancelled"),
            Self::RunMax { run_max } => write!(f, "ran longer than {} ms", run_max.as_millis()),
            Self::Renewal => f.write_str("runs: the lease goes on"),
            Self::Orphan => f.write_str("another try is meant to run"),
            Self::WorkerLost { .. } => write!(f, "{worker} was lost and the lease has lapsed"),
            Self::Missing { .. } => write!(f, "{worker} no longer has it"),
            Self::Refused { .. } => write!(f, "{worker} refused the start"),
            Self::Reported { .. } => write!(f, "{worker} reported its end"),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none: &dyn fmt::Display = &"";
        let (worker, team) = (self.worker(), self.team());
        let worker = worker.as_ref().map_or(none, |id| id);
        let team = team.as_ref().map_or(none, |id| id);
        self.write_with(f, worker, team)
    }
}
