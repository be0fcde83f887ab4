//! Why a decision was made, or why none was.

use std::fmt;
use std::time::Duration;

use goldcrest_types::entity::{TeamId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::{Resources, Slots};

/// Resources as people read them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shown(pub Resources);

impl fmt::Display for Shown {
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

/// Why a task is where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// Accepted and not yet looked at.
    Accepted,
    /// Other tasks of its team and queue come first.
    Behind,
    /// Its team is above its share, and a team below its share waits for the pool, which is nearly full.
    AboveShare,
    /// Started: it was next and the worker had room for its estimate.
    Placed {
        /// The worker.
        worker: VmId,
        /// What it was packed by.
        estimate: Resources,
    },
    /// Started on the worker that was held for it.
    PlacedOnHold {
        /// The worker.
        worker: VmId,
    },
    /// Taken over from an earlier scheduler, which had started it.
    Adopted {
        /// The worker.
        worker: VmId,
    },
    /// The team has as many tasks running as it may.
    AtUpperLimit {
        /// The team.
        team: TeamId,
        /// Its running tasks.
        running: Slots,
        /// What it may have running here.
        usable: Slots,
    },
    /// No worker has room for it now.
    NoRoom {
        /// What it is packed by.
        estimate: Resources,
    },
    /// Its pool has no worker that takes tasks.
    NoWorker,
    /// A worker is held for it and gets free.
    Held {
        /// The worker.
        worker: VmId,
    },
    /// Other tasks give way to it on this worker.
    Preempting {
        /// The worker.
        worker: VmId,
        /// How many tasks give way.
        tasks: usize,
    },
    /// Its queue fails on every worker, so only a few of its tasks run at one time.
    QueueFails,
    /// It failed and waits for its next try.
    Backoff {
        /// The tries so far.
        failures: u32,
    },
    /// It gave way and waits for its next start.
    Resumes,
    /// Its queue is not in the catalogue.
    NoSuchQueue,
    /// No worker of its pool is large enough.
    NeverFits {
        /// What it declares.
        declared: Resources,
    },
    /// It failed on as many workers as it may be tried on.
    FailedEverywhere {
        /// The tries.
        failures: u32,
    },
    /// It gives way to an urgent task.
    ForUrgent {
        /// The urgent task.
        task: TaskKey,
    },
    /// It gives way to a team that is below its share.
    TakenBack {
        /// The team below its share.
        team: TeamId,
    },
    /// Its worker measures above its capacity.
    Overload {
        /// The worker.
        worker: VmId,
        /// What its tasks use.
        used: Resources,
    },
    /// Its worker drains, and waiting for it weighs more than moving it.
    Drained {
        /// The worker.
        worker: VmId,
    },
    /// Its submitter cancelled it.
    Cancelled,
    /// It ran longer than its queue allows.
    RunMax {
        /// The longest run of the queue.
        run_max: Duration,
    },
    /// Its lease goes on.
    Renewal,
    /// It is not the try that is meant to run.
    Stray,
    /// Its worker was lost and its lease has lapsed.
    WorkerLost {
        /// The worker.
        worker: VmId,
    },
    /// Its worker no longer has it.
    Missing {
        /// The worker.
        worker: VmId,
    },
    /// The worker refused the start.
    Refused {
        /// The worker.
        worker: VmId,
    },
    /// It ended by itself.
    Reported {
        /// The worker.
        worker: VmId,
    },
}

impl Reason {
    /// The worker that it names, if any.
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

    /// The team that it names, if any.
    #[must_use]
    pub const fn team(&self) -> Option<TeamId> {
        match self {
            Self::AtUpperLimit { team, .. } | Self::TakenBack { team } => Some(*team),
            _ => None,
        }
    }

    /// Writes it with the names of its worker and team in place of their ids.
    ///
    /// # Errors
    ///
    /// Those of the formatter.
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
                write!(f, "started: {worker} had room for {}", Shown(*estimate))
            }
            Self::PlacedOnHold { .. } => write!(f, "started: {worker} was held for it"),
            Self::Adopted { .. } => write!(f, "runs: {worker} had it from an earlier scheduler"),
            Self::AtUpperLimit {
                running, usable, ..
            } => write!(
                f,
                "waits: {team} has {running} running of {usable} allowed here"
            ),
            Self::NoRoom { estimate } => {
                write!(f, "waits: no worker has room for {}", Shown(*estimate))
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

    /// Writes those that don't start or keep a task waiting.
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
                Shown(*declared)
            ),
            Self::FailedEverywhere { failures } => write!(
                f,
                "parked: it failed {failures} times on different workers: mend it and release it"
            ),
            Self::ForUrgent { task } => write!(f, "gives way to urgent task {task}"),
            Self::TakenBack { .. } => write!(f, "gives way to {team}, which is below its share"),
            Self::Overload { used, .. } => {
                write!(f, "{worker} is overloaded with {}", Shown(*used))
            }
            Self::Drained { .. } => {
                write!(f, "{worker} drains, and waiting costs more than a move")
            }
            Self::Cancelled => f.write_str("cancelled"),
            Self::RunMax { run_max } => write!(f, "ran longer than {} ms", run_max.as_millis()),
            Self::Renewal => f.write_str("runs: the lease goes on"),
            Self::Stray => f.write_str("another try is meant to run"),
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
