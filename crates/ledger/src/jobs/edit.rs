//! The steps of a batch, their answers and their refusals.

use goldcrest_types::names::{TaskKey, VmName};
use goldcrest_types::units::Epoch;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::task::{ParkReason, Task, TaskOutcome};

/// The cause for which a started task is requeued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueCause {
    /// The worker refused the task before it ran.
    NotStarted,
    /// The task saved a checkpoint and stopped.
    Checkpointed,
    /// The worker reported that the task failed.
    Failed,
    /// The worker sent no report until the task's lease expired. The task may have run.
    Lost,
}

/// One step of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEdit {
    /// Accepts a task, unless one with the same key was accepted before.
    Accept {
        /// The key that identifies the task, also when it is sent again.
        key: TaskKey,
        /// The task, whose state is set to waiting.
        task: Task,
    },
    /// Cancels a task. A running task ends only when its worker has stopped it.
    Cancel {
        /// The task to cancel.
        key: TaskKey,
    },
    /// Returns a parked task to the waiting state.
    Release {
        /// The parked task.
        key: TaskKey,
    },
    /// Marks a waiting task as running. Written before the start command is sent to the worker.
    Start {
        /// The waiting task.
        key: TaskKey,
        /// The VM on which the task is to run.
        worker: VmName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The epoch in which the editor holds the scheduler's role.
        epoch: Epoch,
    },
    /// Returns a started task to the waiting state, or ends it if it was cancelled.
    Requeue {
        /// The started task.
        key: TaskKey,
        /// Number of the attempt that has ended.
        attempt: u32,
        /// The epoch in which the editor holds the scheduler's role.
        epoch: Epoch,
        /// The cause. A non-idempotent task that may have run is not requeued.
        cause: RequeueCause,
    },
    /// Parks a waiting task: it is not started unless an operator or its submitter releases it.
    Park {
        /// The waiting task.
        key: TaskKey,
        /// The epoch in which the editor holds the scheduler's role.
        epoch: Epoch,
        /// The reason shown to operators and submitters.
        reason: ParkReason,
    },
    /// Ends a started task and keeps its outcome.
    End {
        /// The started task.
        key: TaskKey,
        /// Number of the attempt that has ended.
        attempt: u32,
        /// The epoch in which the editor holds the scheduler's role.
        epoch: Epoch,
        /// The outcome to keep.
        outcome: TaskOutcome,
    },
}

/// The answer to a step that was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// The step took effect.
    Done,
    /// The task was accepted before and has not ended.
    Known,
    /// The task has ended before, with this outcome.
    Ended(TaskOutcome),
    /// The cancelled task runs and has to be stopped on its worker.
    Stopping,
    /// The whole batch was applied before; the document has the tasks' current states.
    Repeated,
}

quick_error! {
    /// Why a step was refused. The step changed nothing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobRefusal {
        /// The tasks would exceed [`TASK_BYTES_MAX`](super::TASK_BYTES_MAX).
        Full(bytes: usize) {
            display("the shard holds {bytes} bytes of tasks and takes no more: send the task again later, or to another shard")
        }
        /// No task with this key is waiting, running or parked.
        NoTask(key: TaskKey) {
            display("task {key} is not known: it was never accepted here, or it ended long ago")
        }
        /// The task's state does not allow the step, or the attempt is not the next one.
        State {
            display("the task is in another state: read the value again")
        }
        /// The named attempt does not run; the task's last one is given.
        Attempt(key: TaskKey, current: u32) {
            display("task {key} is at attempt {current}: read the value again")
        }
        /// The task is non-idempotent and may have run.
        MayHaveRun(key: TaskKey) {
            display("task {key} is non-idempotent and may have run: end it as outcome unknown")
        }
        /// A scheduler with a newer epoch has edited the document.
        Fenced(found: Epoch, current: Epoch) {
            display("epoch {found} is older than {current}: give up the role and take it anew")
        }
    }
}
