//! Workers: VMs that run tasks under leases.
//!
//! A start names the task, its attempt and the fencing epoch of the scheduler that placed it. A worker refuses a
//! start or stop whose epoch is older than one it has seen for that task, and answers a repeated start of the same
//! attempt as the first. A task whose lease is not renewed is stopped by the worker itself.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use goldcrest_types::names::TaskKey;
use goldcrest_types::names::{QueueName, TeamName};
use goldcrest_types::units::{Epoch, Resources};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The command that starts a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskKey,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The fencing epoch of the scheduler that sends the command.
    pub epoch: Epoch,
    /// The queue that the task was submitted to.
    pub queue: QueueName,
    /// The team that the task runs for.
    pub team: TeamName,
    /// The resources that the task may use.
    pub resources: Resources,
    /// How long the worker runs the task without a renewal of its lease, in milliseconds.
    pub lease_ms: u64,
    /// What to run, unchanged from the submitter.
    pub payload: Box<str>,
    /// Whether the task resumes from the checkpoint of an earlier attempt.
    pub resume: bool,
}

impl StartTask {
    /// Returns how long the worker runs the task without a renewal of its lease.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// The kinds of commands for a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskCommand {
    /// Renews the task's lease for another term.
    Renew,
    /// Makes the task run at a lower rate.
    Throttle,
    /// Makes the task save a checkpoint and stop.
    Checkpoint,
    /// Stops the task without a checkpoint.
    Stop,
}

/// A command for a running task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandTask {
    /// The task.
    pub task: TaskKey,
    /// The number of the attempt that is meant, from 1.
    pub attempt: u32,
    /// The fencing epoch of the scheduler that sends the command.
    pub epoch: Epoch,
    /// The kind of command.
    pub command: TaskCommand,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The task runs.
    Running,
    /// The task has ended with success.
    Succeeded,
    /// The task has ended with a failure.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The task has saved a checkpoint and stopped.
    Checkpointed,
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskKey,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The state of the attempt.
    pub phase: TaskPhase,
    /// The resources that the task used some seconds ago.
    pub used: Resources,
}

/// A worker's report of all its tasks. Usage in it is some seconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The tasks that run, and those that have ended and that the worker still remembers.
    pub tasks: Vec<TaskReport>,
}

quick_error! {
    /// Why a call to a worker has failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WorkerError {
        /// The call never reached the worker. The task did not start.
        Unreachable {
            display("the worker can't be reached: place the task elsewhere")
        }
        /// The call may or may not have taken effect.
        OutcomeUnknown {
            display("no answer from the worker: read its report, or wait until the lease has lapsed")
        }
        /// The worker refused: it is full, is leaving, or has seen a newer epoch. The task did not start.
        Refused(reason: Box<str>) {
            display("the worker refused ({reason}): place the task elsewhere")
        }
        /// The answer can't be read.
        Malformed(detail: Box<str>) {
            display("the worker answered '{detail}': check the worker's version")
        }
    }
}

/// A client of all workers, each reached at its address.
pub trait Workers: Send + Sync + 'static {
    /// Starts a task.
    fn start(
        &self,
        worker: SocketAddr,
        start: &StartTask,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Sends a command for a running task.
    fn command(
        &self,
        worker: SocketAddr,
        command: &CommandTask,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Reads a worker's report.
    fn report(
        &self,
        worker: SocketAddr,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}
