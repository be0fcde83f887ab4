//! The steps of a batch and their refusals.

use goldcrest_types::names::{TaskKey, VmName};
use goldcrest_types::units::Epoch;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::task::{ParkReason, Task, TaskOutcome};

/// Why a started task waits again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueCause {
    /// The worker refused it before it ran.
    NotStarted,
    /// It saved its state and stopped.
    Checkpointed,
    /// It failed, and the worker said so.
    Failed,
    /// Nothing was heard until its lease on the worker had lapsed. It may have run.
    Lost,
}

/// One step of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEdit {
    /// A task is accepted.
    Accept {
        /// Its key.
        key: TaskKey,
        /// The task.
        task: Task,
    },
    /// A task is cancelled.
    Cancel {
        /// Its key.
        key: TaskKey,
    },
    /// A parked task waits again.
    Release {
        /// Its key.
        key: TaskKey,
    },
    /// A task is about to be started. This is written before the worker is asked.
    Start {
        /// Its key.
        key: TaskKey,
        /// The worker.
        worker: VmName,
        /// Which try this is, from 1.
        attempt: u32,
        /// The scheduler's epoch.
        epoch: Epoch,
    },
    /// A started task waits again.
    Requeue {
        /// Its key.
        key: TaskKey,
        /// Which try has ended.
        attempt: u32,
        /// The scheduler's epoch.
        epoch: Epoch,
        /// Why.
        cause: RequeueCause,
    },
    /// A task is set aside until an operator or its submitter acts.
    Park {
        /// Its key.
        key: TaskKey,
        /// The scheduler's epoch.
        epoch: Epoch,
        /// Why.
        reason: ParkReason,
    },
    /// A started task has ended.
    End {
        /// Its key.
        key: TaskKey,
        /// Which try has ended.
        attempt: u32,
        /// The scheduler's epoch.
        epoch: Epoch,
        /// How.
        outcome: TaskOutcome,
    },
}

/// What became of a step that was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// It is done.
    Done,
    /// The task was accepted before.
    Known,
    /// The task has ended.
    Ended(TaskOutcome),
    /// The task runs and is to be stopped on its worker.
    Stopping,
    /// The whole batch was applied before: read the tasks' states.
    Repeated,
}

quick_error! {
    /// Why a step was refused. It changed nothing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobRefusal {
        /// The document is full.
        Full(bytes: usize) {
            display("the shard holds {bytes} bytes of tasks and takes no more: send the task again later, or to another shard")
        }
        /// There is no such task.
        NoTask(key: TaskKey) {
            display("task {key} is not known: it was never accepted here, or it ended long ago")
        }
        /// The task's state does not allow it.
        State {
            display("the task is in another state: read the value again")
        }
        /// Another attempt is the current one.
        Attempt(key: TaskKey, current: u32) {
            display("task {key} is at attempt {current}: read the value again")
        }
        /// The task is non-idempotent and may have run.
        MayHaveRun(key: TaskKey) {
            display("task {key} is non-idempotent and may have run: end it as outcome unknown")
        }
        /// The scheduler's epoch is older than one seen.
        Fenced(found: Epoch, current: Epoch) {
            display("epoch {found} is older than {current}: give up the role and take it anew")
        }
    }
}
