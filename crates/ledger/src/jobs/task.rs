//! A task and its states.

use std::fmt;

use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{QueueName, TaskKey, TeamName, VmName};
use goldcrest_types::units::{Epoch, Resources};
use serde::{Deserialize, Serialize};

use super::edit::{JobAnswer, JobRefusal, RequeueCause};

/// What a task's record costs besides its texts, in bytes.
const TASK_OVERHEAD_BYTES: usize = 192;

/// Why a task is set aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// No worker of its pool is large enough.
    NeverFits,
    /// It failed on several workers on which others succeed.
    FailsEverywhere,
    /// It was tried as often as allowed.
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

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ended well.
    Succeeded,
    /// It ended badly.
    Failed,
    /// It was cancelled after it had run.
    Stopped,
    /// It was cancelled before it ever ran.
    NeverRan,
    /// It is non-idempotent and may have run.
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

/// How far a task has come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits for a place.
    #[default]
    Waiting,
    /// It was given to a worker.
    Running {
        /// The worker.
        worker: VmName,
        /// Which try this is, from 1.
        attempt: u32,
        /// The epoch of the scheduler that placed it.
        epoch: Epoch,
    },
    /// It is set aside.
    Parked {
        /// Why.
        reason: ParkReason,
    },
}

/// Whether a task can save its state, and has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Checkpoint {
    /// It can, and has not.
    #[default]
    Possible,
    /// Its submitter says that it can't.
    Impossible,
    /// The next attempt is to take up what an earlier one saved.
    Saved,
}

/// An accepted task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The queue it came through.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The team it runs for.
    #[serde(rename = "t")]
    pub team: TeamName,
    /// How urgent it is.
    #[serde(rename = "c")]
    pub class: Class,
    /// What it is declared to need.
    #[serde(rename = "n")]
    pub need: Resources,
    /// How long it is declared to run, in milliseconds.
    #[serde(rename = "d")]
    pub run_ms: u64,
    /// What to run, as the submitter wrote it.
    #[serde(rename = "p")]
    pub payload: Box<str>,
    /// Whether it may run again after it may have run.
    #[serde(rename = "i")]
    pub is_idempotent: bool,
    /// How often it was given to a worker that may have run it.
    #[serde(rename = "a", default)]
    pub attempts: u32,
    /// Whether it can save its state, and has.
    #[serde(rename = "k", default)]
    pub checkpoint: Checkpoint,
    /// Whether it was cancelled while it ran.
    #[serde(rename = "x", default)]
    pub is_cancelled: bool,
    /// How far it has come.
    #[serde(rename = "s", default)]
    pub state: TaskState,
}

/// What is kept of an ended task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Its key.
    #[serde(rename = "k")]
    pub key: TaskKey,
    /// How it ended.
    #[serde(rename = "o")]
    pub outcome: TaskOutcome,
}

impl Task {
    /// A bound on what the task's record costs in its document, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let names = self.queue.as_str().len() + self.team.as_str().len();
        TASK_OVERHEAD_BYTES + names + self.payload.len()
    }

    /// The attempt that runs.
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
