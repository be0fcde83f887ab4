//! Events that report a scheduler's decisions to the logs and metrics.

use std::time::Duration;

use goldcrest_types::names::DcName;

use crate::id::{FencingToken, JobId, RunNumber, TaskId, WorkerId};
use crate::pool::StopReason;
use crate::resources::Resources;
use crate::spec::JobState;
use crate::suspect::{Execution, Exposure, Fate, UnreportedRun};

/// A change in the state of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A start was sent.
    Started {
        /// The worker that should execute the run.
        worker: WorkerId,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// When the worker's incarnation started, in milliseconds since 1970, if known.
        started_ms: Option<u64>,
        /// The worker's free capacity before the start.
        room: Resources,
        /// The time since the job was accepted.
        waited: Duration,
    },
    /// A run has ended or is certain not to be executing.
    Ended {
        /// The worker that executed the run.
        worker: WorkerId,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// When the worker's incarnation started, in milliseconds since 1970, if known.
        started_ms: Option<u64>,
        /// How the run ended, as a text for logs and metrics.
        how: &'static str,
    },
    /// A worker executes a run that this scheduler did not know to be there.
    Found(FoundRun),
    /// A takeover no longer waits for a worker that an earlier scheduler may have used.
    AwaitEnded {
        /// The worker.
        worker: WorkerId,
        /// What has become known of it, as a text for logs.
        how: &'static str,
        /// When the incarnation that the earlier scheduler has stored started, in milliseconds since 1970, if known.
        stored_ms: Option<u64>,
        /// The same of the incarnation that has answered or was replaced.
        started_ms: Option<u64>,
    },
    /// A stop was sent.
    Stopped {
        /// The worker that executes the run.
        worker: WorkerId,
        /// The task that the run belongs to.
        task: TaskId,
        /// Why the run is no longer needed.
        reason: StopReason,
    },
    /// A job has reached its final state.
    JobEnded {
        /// The job that ended.
        job: JobId,
        /// The final state.
        state: JobState,
        /// The time since the job was accepted.
        took: Duration,
        /// The time from acceptance to completion that the submitter expects.
        objective: Duration,
    },
    /// The worker of a run was lost, which the run may have caused.
    RunLost(LostRun),
    /// What is known of an unreported run has changed.
    Unreported {
        /// The task that the run belongs to.
        task: TaskId,
        /// The run, as it was before if it does not count any more.
        run: UnreportedRun,
        /// What has become known, as a text for logs.
        change: &'static str,
    },
    /// It has become known what became of the worker of a lost run.
    FateKnown {
        /// The worker that was lost.
        worker: WorkerId,
        /// The task that the run belongs to.
        task: TaskId,
        /// What became of the worker.
        fate: Fate,
    },
    /// A job was given up: its lost runs show that one of its tasks crashes the workers that start it.
    GivenUp {
        /// The task that crashes its workers.
        task: TaskId,
        /// Its unreported runs.
        runs: Vec<UnreportedRun>,
        /// The time since the job was accepted.
        took: Duration,
    },
    /// No worker of the pool could run a step of the job.
    Unfit {
        /// The job that waits.
        job: JobId,
        /// The index of the step in the job.
        step: u32,
        /// What one task of the step reserves.
        demand: Resources,
        /// The largest capacity of any worker, for each kind of resource by itself.
        most: Resources,
    },
    /// The tasks of a step that start together exceed the upper limit of the job's team.
    AboveLimit {
        /// The job that waits until the limit is raised.
        job: JobId,
        /// The index of the step in the job.
        step: u32,
        /// What these tasks reserve.
        demand: Resources,
        /// The team's upper limit. 0 of a kind means no limit.
        limit: Resources,
    },
    /// A task has failed, and it is not known how often it may.
    AttemptsUnknown {
        /// The job that waits until its queue is in the catalogue again.
        job: JobId,
    },
    /// Data centres were cordoned or opened again.
    CordonsChanged {
        /// All data centres that are cordoned now.
        dcs: Vec<DcName>,
        /// The number of the pool's workers on which nothing is started for that reason.
        workers: usize,
    },
    /// A worker's state has changed.
    Worker {
        /// The worker concerned.
        worker: WorkerId,
        /// The new state, as a text for logs.
        state: &'static str,
        /// The number of runs that may be executing on the worker.
        runs: usize,
        /// The latest time on the worker's clock, in milliseconds, to which its leases may last.
        lease_until_ms: u64,
        /// The last reading of the worker's clock, in milliseconds. Absent before its first report.
        clock_ms: Option<u64>,
        /// When the worker's incarnation started, in milliseconds since 1970, if known.
        started_ms: Option<u64>,
        /// The fencing token of commands to the worker, if it has one.
        token: Option<FencingToken>,
    },
}

/// A run that this scheduler did not know to be on its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct FoundRun {
    /// The worker that executes the run.
    pub worker: WorkerId,
    /// When the worker's incarnation started, in milliseconds since 1970, if known.
    pub started_ms: Option<u64>,
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run.
    pub run: RunNumber,
    /// The highest number of a run of the task that was known before.
    pub last_run: Option<RunNumber>,
    /// Whether another run of the task may be executing, although its step allows no copies.
    pub is_double: bool,
}

/// A run whose worker was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The worker that was lost.
    pub worker: WorkerId,
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run.
    pub run: RunNumber,
    /// When the lost incarnation of the worker started, in milliseconds since 1970, if known.
    pub started_ms: Option<u64>,
    /// What shows that the run was executing, if anything does.
    pub execution: Option<Execution>,
    /// What the loss says about the task.
    pub exposure: Exposure,
    /// The number of runs that were lost with it.
    pub beside: usize,
    /// The number of the task's unreported runs.
    pub unreported: usize,
}
