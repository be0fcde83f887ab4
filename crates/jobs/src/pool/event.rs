//! What the logs and metrics learn of a scheduler's decisions.

use std::time::Duration;

use crate::id::{JobId, RunNumber, TaskId, WorkerId};
use crate::pool::StopReason;
use crate::resources::Resources;
use crate::spec::JobState;

/// A change of what the scheduler believes, for the logs.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A run was ordered.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The worker's room before.
        room: Resources,
        /// Since the job was accepted.
        waited: Duration,
    },
    /// A run has ended or is certain not to be at work.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// How.
        how: &'static str,
    },
    /// A run is to be stopped.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// Why.
        reason: StopReason,
    },
    /// A job has reached its final state.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its state.
        state: JobState,
        /// Since it was accepted.
        took: Duration,
        /// The time that its submitter expects.
        objective: Duration,
    },
    /// No worker of the pool could run a step of the job.
    Unfit {
        /// The job.
        job: JobId,
        /// The step.
        step: u32,
        /// What a task of it needs.
        demand: Resources,
        /// The most that any worker has, each kind by itself.
        most: Resources,
    },
    /// A worker was found, has gone or is avoided.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// What is believed of it now.
        state: &'static str,
        /// Runs that may be at work there.
        runs: usize,
    },
}
