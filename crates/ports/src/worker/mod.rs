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

/// Asks a worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskKey,
    /// Which try this is, from 1.
    pub attempt: u32,
    /// The scheduler's epoch.
    pub epoch: Epoch,
    /// The queue it came through.
    pub queue: QueueName,
    /// The team it runs for.
    pub team: TeamName,
    /// What it may use.
    pub resources: Resources,
    /// How long it runs without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// What to run, as the submitter wrote it.
    pub payload: Box<str>,
    /// Whether a checkpoint of an earlier attempt is to be taken up.
    pub resume: bool,
}

impl StartTask {
    /// How long the task runs without a renewal.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// What to do with a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskCommand {
    /// Goes on for another lease.
    Renew,
    /// Runs at a lower rate.
    Throttle,
    /// Saves its state and stops.
    Checkpoint,
    /// Stops.
    Stop,
}

/// A command for a running task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandTask {
    /// The task.
    pub task: TaskKey,
    /// Which try is meant.
    pub attempt: u32,
    /// The scheduler's epoch.
    pub epoch: Epoch,
    /// What to do.
    pub command: TaskCommand,
}

/// How far a task has come on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly.
    Failed,
    /// It was stopped.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskKey,
    /// Which try this is.
    pub attempt: u32,
    /// How far it has come.
    pub phase: TaskPhase,
    /// What it used some seconds ago.
    pub used: Resources,
}

/// What a worker reports of all its tasks. The usage in it lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The tasks it runs and those that ended and were not yet forgotten.
    pub tasks: Vec<TaskReport>,
}

quick_error! {
    /// Why a worker did not do as asked.
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
        /// The worker refuses: it is full, it leaves, or the epoch is old. The task did not start.
        Refused(reason: Box<str>) {
            display("the worker refused ({reason}): place the task elsewhere")
        }
        /// The answer can't be read.
        Malformed(detail: Box<str>) {
            display("the worker answered '{detail}': check the worker's version")
        }
    }
}

/// The workers, each reached at its address.
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

    /// Reads what a worker reports.
    fn report(
        &self,
        worker: SocketAddr,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}
