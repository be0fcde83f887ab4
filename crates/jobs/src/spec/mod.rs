//! Jobs as submitters describe them: a payload and a graph of steps.
//!
//! Steps refer to earlier steps only, so a checked [`JobSpec`] has no cycle. A checked spec has at least one step and
//! each step at least one task.

use std::time::Duration;

use goldcrest_types::names::{QueueName, TeamName};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{JobId, Label, RouteId};
use crate::policy::AcceptedPolicy;
use crate::resources::Resources;
use crate::worker::millis;

/// The largest payload, in bytes. The submitters' interface documents it.
pub const PAYLOAD_BYTES_MAX: usize = 4_000;

/// The most tasks of one occurrence of a job. Bounds the memory that one submission can take.
pub const TASKS_MAX: u64 = 100_000;

/// The longest time that a task may be estimated to take: a month. Sums of longer times could overflow.
pub const ESTIMATE_MAX: Duration = Duration::from_hours(24 * 31);

/// The most of a kind of resource that a task may request, far beyond any worker. Sums of larger amounts could
/// overflow.
pub const DEMAND_MAX: u64 = 1_000_000_000;

/// Jobs with at most this many steps have their longest chain computed without heap allocation. Most jobs have fewer.
const STEPS_ON_STACK: usize = 8;

quick_error! {
    /// Why a job is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SpecError {
        /// No steps.
        Empty {
            display("the job has no steps: give at least one")
        }
        /// A step without tasks.
        NoTasks(step: usize) {
            display("step {step} has no tasks: give it a count of 1 or more")
        }
        /// A step that waits for itself or a later one.
        Order(step: usize, after: u32) {
            display("step {step} waits for step {after}: a step may only wait for earlier ones")
        }
        /// A task that is estimated to take too long.
        Estimate(step: usize) {
            display("the tasks of step {step} are estimated to take over a month: split them")
        }
        /// A task that requests more than [`DEMAND_MAX`] of a kind of resource.
        Demand(step: usize) {
            display("a task of step {step} (counted from 0) requests more than {DEMAND_MAX} thousandths of a core, MB or accelerators: check the units")
        }
        /// The payload is too long.
        Payload(bytes: usize) {
            display("the payload has {bytes} bytes: give at most {PAYLOAD_BYTES_MAX}")
        }
        /// Too many tasks.
        Tasks(count: u64) {
            display("the job has {count} tasks: give at most {TASKS_MAX}, or split the job")
        }
    }
}

/// A property of the tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feature {
    /// They save checkpoints and can resume from them.
    Checkpointing,
    /// They run all together or not at all.
    Gang,
    /// The tasks of a gang are slower when they are spread over several racks.
    SameRack,
    /// Copies of a task may run in parallel.
    Speculative,
    /// They run until the job is cancelled.
    Service,
    /// They use the processors that others leave idle, and don't count against the capacity.
    BestEffort,
}

/// Tasks of one kind, which may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: Resources,
    /// The submitter's estimate of a task's run time.
    pub estimate: Duration,
    /// The indices of the steps that must be done first.
    pub after: Vec<u32>,
    /// The properties of the tasks.
    pub features: Vec<Feature>,
    /// A label that the worker must have.
    pub requires: Option<Label>,
    /// The rack that holds the tasks' data. Tasks take longer elsewhere.
    pub near: Option<Label>,
    /// The most tasks of the step that may run on one worker, so that they are spread over several. Absent for no
    /// limit.
    pub spread: Option<u32>,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// The target for a service's tail latency.
    pub tail_target: Option<Duration>,
    /// How many tasks of a service may be unavailable at once by the scheduler's own actions.
    pub unavailable_max: u32,
}

impl Step {
    fn has(&self, feature: Feature) -> bool {
        self.features.contains(&feature)
    }

    /// Whether the tasks save checkpoints.
    #[must_use]
    pub fn is_checkpointing(&self) -> bool {
        self.has(Feature::Checkpointing)
    }

    /// Whether the tasks run all together or not at all.
    #[must_use]
    pub fn is_gang(&self) -> bool {
        self.has(Feature::Gang)
    }

    /// Whether the tasks should be on one rack.
    #[must_use]
    pub fn is_same_rack(&self) -> bool {
        self.has(Feature::SameRack)
    }

    /// Whether copies of a task may run in parallel.
    #[must_use]
    pub fn is_speculative(&self) -> bool {
        self.has(Feature::Speculative)
    }

    /// Whether the tasks run until the job is cancelled.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.has(Feature::Service)
    }

    /// Whether the tasks use what others leave idle.
    #[must_use]
    pub fn is_best_effort(&self) -> bool {
        self.has(Feature::BestEffort)
    }

    /// The work of `tasks` tasks that take `time` each, in thousandths of a core times milliseconds
    /// (core-microseconds).
    #[must_use]
    pub fn work(&self, tasks: u32, time: Duration) -> u64 {
        let of_task = self.reserved().cpu_millis.saturating_mul(millis(time));
        of_task.saturating_mul(u64::from(tasks))
    }

    /// What the tasks of this step reserve that start together: one task, or all members of a gang.
    #[must_use]
    pub fn reserved_at_once(&self) -> Resources {
        let tasks = if self.is_gang() { self.tasks } else { 1 };
        self.reserved().times(u64::from(tasks))
    }

    /// What a task of this step reserves on its worker.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu_millis = if self.is_best_effort() {
            0
        } else {
            self.demand.cpu_millis
        };
        Resources {
            cpu_millis,
            ..self.demand
        }
    }
}

/// When the occurrences of a scheduled job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub occurrences: u32,
    /// When the first is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time from one occurrence to the next.
    pub interval: Duration,
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let interval_ms = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.first_due_ms
            .saturating_add(interval_ms.saturating_mul(u64::from(occurrence)))
    }
}

/// A job as its submitter describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed to each task unchanged.
    pub payload: Box<str>,
    /// The steps. A step refers to others by their index in this list.
    pub steps: Vec<Step>,
    /// When the steps run, for a job that runs them several times.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Checks the bounds on the payload, the tasks and their resources, and that each step waits only for earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the first violation found, with the remedy.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::Empty);
        }
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(SpecError::Payload(self.payload.len()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(index));
            }
            if step.estimate > ESTIMATE_MAX {
                return Err(SpecError::Estimate(index));
            }
            let most = Resources {
                cpu_millis: DEMAND_MAX,
                memory_mb: DEMAND_MAX,
                accelerators: DEMAND_MAX,
            };
            if !step.demand.fits(&most) {
                return Err(SpecError::Demand(index));
            }
            if let Some(after) = step.after.iter().find(|after| **after as usize >= index) {
                return Err(SpecError::Order(index, *after));
            }
        }
        let count = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if count > TASKS_MAX {
            return Err(SpecError::Tasks(count));
        }
        Ok(())
    }

    /// The time of the longest chain of steps, where `times` gives the time of each step.
    #[must_use]
    pub fn longest_chain(&self, times: impl Iterator<Item = Duration>) -> Duration {
        let mut ends: SmallVec<[Duration; STEPS_ON_STACK]> = SmallVec::new();
        for (step, time) in self.steps.iter().zip(times) {
            let start = step
                .after
                .iter()
                .filter_map(|after| ends.get(*after as usize))
                .max()
                .copied()
                .unwrap_or_default();
            ends.push(start + time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether any step is a service, so that the job ends only by a cancellation.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.steps.iter().any(Step::is_service)
    }
}

/// An accepted job, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's id.
    pub id: JobId,
    /// The queue that it was submitted to.
    pub queue: QueueName,
    /// The team whose key came with it. Queues open to all take jobs without one.
    pub team: Option<TeamName>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// Whether its submitter has cancelled it.
    pub is_cancelled: bool,
    /// The policy of its queue and team when it was accepted. Older versions did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<AcceptedPolicy>,
    /// The host name and prefix of the queue when the job was accepted. Older versions did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteId>,
}

/// The state of a job, as its submitter sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its submitter has cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether no task of the job will start any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
