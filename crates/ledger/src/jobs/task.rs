//! A task and its states.

use std::fmt;

use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{QueueName, TaskKey, TeamName, VmName};
use goldcrest_types::units::{Epoch, Resources};
use serde::{Deserialize, Serialize};

use super::edit::{JobAnswer, JobRefusal, RequeueCause};

/// A bound on the encoded size of a task's record without its names and payload, in bytes.
const TASK_OVERHEAD_BYTES: usize = 192;

/// The reason for which a task is parked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// The task needs more than any worker of its pool has.
    NeverFits,
    /// The task failed on several workers on which other tasks succeed.
    FailsEverywhere,
    /// The task has used up its attempts.
    AttemptsUsed,
}

impl fmt::Display for ParkReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NeverFits => "never-fits",
            Self::FailsEverywhere => "fails-everywhere",
            Self::AttemptsUsed => "attempts-used",
        })
    }
}

/// The outcome of an ended task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The worker reported success.
    Succeeded,
    /// The worker reported a failure.
    Failed,
    /// Cancelled after it had started.
    Stopped,
    /// Cancelled before it ever ran.
    NeverRan,
    /// The task is non-idempotent and may have run, and its end is not known.
    Unknown,
}

impl fmt::Display for TaskOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::NeverRan => "never-ran",
            Self::Unknown => "outcome-unknown",
        })
    }
}

/// The state of a task that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a worker.
    #[default]
    Waiting,
    /// Assigned to a worker, which may not have received the start command yet.
    Running {
        /// The VM that runs the task.
        worker: VmName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The epoch of the scheduler that placed it.
        epoch: Epoch,
    },
    /// Not started unless an operator or its submitter releases it.
    Parked {
        /// The reason shown to operators and submitters.
        reason: ParkReason,
    },
}

/// Whether a task can save a checkpoint, and has saved one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Checkpoint {
    /// The task can save checkpoints and has saved none.
    #[default]
    Possible,
    /// The submitter has declared that the task can't save checkpoints.
    Impossible,
    /// An earlier attempt has saved a checkpoint, from which the next one resumes.
    Saved,
}

/// An accepted task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The queue to which the task was submitted.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The team that is charged for the task.
    #[serde(rename = "t")]
    pub team: TeamName,
    /// The class of the task, which decides its urgency.
    #[serde(rename = "c")]
    pub class: Class,
    /// The resources that the submitter has declared.
    #[serde(rename = "n")]
    pub need: Resources,
    /// The run time that the submitter has declared, in milliseconds.
    #[serde(rename = "d")]
    pub run_ms: u64,
    /// The payload for the worker, as submitted and not interpreted here.
    #[serde(rename = "p")]
    pub payload: Box<str>,
    /// Whether the task may run again after an attempt that may have run.
    #[serde(rename = "i")]
    pub is_idempotent: bool,
    /// Number of attempts that may have run, including the current one.
    #[serde(rename = "a", default)]
    pub attempts: u32,
    /// Whether the task can save a checkpoint, and has saved one.
    #[serde(rename = "k", default)]
    pub checkpoint: Checkpoint,
    /// Whether the task was cancelled while it ran, and ends when its worker has stopped it.
    #[serde(rename = "x", default)]
    pub is_cancelled: bool,
    /// The current state.
    #[serde(rename = "s", default)]
    pub state: TaskState,
}

/// The key and outcome of an ended task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The key under which the task was accepted.
    #[serde(rename = "k")]
    pub key: TaskKey,
    /// The outcome, with which a repeated acceptance or cancellation is answered.
    #[serde(rename = "o")]
    pub outcome: TaskOutcome,
}

impl Task {
    /// Returns a bound on the encoded size of the task's record, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let names = self.queue.as_str().len() + self.team.as_str().len();
        TASK_OVERHEAD_BYTES + names + self.payload.len()
    }

    /// Returns the number of the running attempt, if there is one.
    #[must_use]
    pub const fn running_attempt(&self) -> Option<u32> {
        match self.state {
            TaskState::Running { attempt, .. } => Some(attempt),
            TaskState::Waiting | TaskState::Parked { .. } => None,
        }
    }

    pub(super) fn start(
        &mut self,
        worker: &VmName,
        attempt: u32,
        epoch: Epoch,
    ) -> Result<JobAnswer, JobRefusal> {
        if self.state != TaskState::Waiting || attempt != self.attempts + 1 {
            return Err(JobRefusal::State);
        }
        self.attempts = attempt;
        self.state = TaskState::Running {
            worker: worker.clone(),
            attempt,
            epoch,
        };
        Ok(JobAnswer::Done)
    }

    pub(super) fn requeue(
        &mut self,
        key: TaskKey,
        attempt: u32,
        cause: RequeueCause,
    ) -> Result<(), JobRefusal> {
        self.check_running(key, attempt)?;
        match cause {
            RequeueCause::NotStarted => self.attempts -= 1,
            RequeueCause::Checkpointed => self.checkpoint = Checkpoint::Saved,
            RequeueCause::Failed | RequeueCause::Lost => {
                if !self.is_idempotent {
                    return Err(JobRefusal::MayHaveRun(key));
                }
            }
        }
        self.state = TaskState::Waiting;
        Ok(())
    }

    pub(super) fn park(&mut self, reason: ParkReason) -> Result<JobAnswer, JobRefusal> {
        if self.state != TaskState::Waiting {
            return Err(JobRefusal::State);
        }
        self.state = TaskState::Parked { reason };
        Ok(JobAnswer::Done)
    }

    pub(super) fn release(&mut self) -> Result<JobAnswer, JobRefusal> {
        let TaskState::Parked { .. } = self.state else {
            return Err(JobRefusal::State);
        };
        self.state = TaskState::Waiting;
        Ok(JobAnswer::Done)
    }

    pub(super) fn check_running(&self, key: TaskKey, attempt: u32) -> Result<(), JobRefusal> {
        if self.running_attempt() == Some(attempt) {
            return Ok(());
        }
        Err(JobRefusal::Attempt(key, self.attempts))
    }
}
