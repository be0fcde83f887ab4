//! Calls to workers: starts, commands and report requests, each in a task of its own.
//!
//! Starts and commands are sent only while the role is held in the epoch in which they were decided.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ports::worker::{
    CommandTask, StartTask, TaskCommand, TaskPhase, TaskReport, WorkerError, WorkerReport, Workers,
};
use goldcrest_sched::{Command, CommandKind, ObservedPhase, Start, StartOutcome, TaskObservation};
use goldcrest_types::names::VmName;
use goldcrest_types::units::Epoch;
use tokio::task::JoinSet;

use super::plan::TaskPlan;
use crate::roles;
use crate::world::World;

/// The result of a call to a worker.
#[derive(Debug)]
pub enum CallResult {
    /// A start was sent, or was dropped before it was sent (`NotStarted`).
    Start(Start, StartOutcome),
    /// A worker sent its report, requested at the given instant.
    Report(VmName, Vec<TaskObservation>, Instant),
    /// A command was sent, or a call failed in a way that the scheduler retries by itself.
    Nothing,
}

/// The calls in flight.
pub struct Calls {
    world: Arc<World>,
    epoch: Epoch,
    running: JoinSet<CallResult>,
}

impl Calls {
    /// Creates an empty set of calls for the scheduler that acquired the role in `epoch`.
    #[must_use]
    pub fn new(world: Arc<World>, epoch: Epoch) -> Self {
        Self {
            world,
            epoch,
            running: JoinSet::new(),
        }
    }

    /// Returns the result of the next call that completes; pending while none is in flight.
    pub async fn next(&mut self) -> CallResult {
        match self.running.join_next().await {
            Some(Ok(called)) => called,
            Some(Err(_)) => CallResult::Nothing,
            None => std::future::pending().await,
        }
    }

    /// Sends a start, unless the role is no longer held or `latest` has passed; then the outcome is `NotStarted`.
    pub fn start(&mut self, plan: &TaskPlan, start: Start, address: SocketAddr, latest: Instant) {
        let (world, epoch) = (Arc::clone(&self.world), self.epoch);
        let message = start_message(plan, &start, epoch);
        self.running.spawn(async move {
            let Some(message) = message else {
                return CallResult::Start(start, StartOutcome::NotStarted);
            };
            if !may_act(&world, epoch) || world.now() >= latest {
                return CallResult::Start(start, StartOutcome::NotStarted);
            }
            let outcome = match world.workers.start(address, &message).await {
                Ok(()) => StartOutcome::Accepted,
                Err(WorkerError::Unreachable | WorkerError::Refused(_)) => StartOutcome::NotStarted,
                Err(WorkerError::OutcomeUnknown | WorkerError::Malformed(_)) => {
                    StartOutcome::Unknown
                }
            };
            CallResult::Start(start, outcome)
        });
    }

    /// Sends a command, unless the role is no longer held. The scheduler repeats a command that has no effect.
    pub fn command(&mut self, command: &Command, address: SocketAddr) {
        let (world, epoch) = (Arc::clone(&self.world), self.epoch);
        let message = CommandTask {
            task: command.key,
            attempt: command.attempt,
            epoch,
            command: match command.kind {
                CommandKind::Renew => TaskCommand::Renew,
                CommandKind::Throttle => TaskCommand::Throttle,
                CommandKind::Checkpoint => TaskCommand::Checkpoint,
                CommandKind::Stop => TaskCommand::Stop,
            },
        };
        self.running.spawn(async move {
            if may_act(&world, epoch)
                && let Err(error) = world.workers.command(address, &message).await
            {
                log::debug!(target: super::PART, task:% = message.task; "Command to worker failed: {error}.");
            }
            CallResult::Nothing
        });
    }

    /// Requests a worker's report.
    pub fn report(&mut self, name: VmName, address: SocketAddr) {
        let world = Arc::clone(&self.world);
        self.running.spawn(async move {
            let requested_at = world.now();
            match world.workers.report(address).await {
                Ok(report) => CallResult::Report(name, observations(&report), requested_at),
                Err(error) => {
                    log::debug!(target: super::PART, worker:% = name; "Worker report not received: {error}.");
                    CallResult::Nothing
                }
            }
        });
    }
}

/// Whether the role is still held, in the epoch in which the call was decided.
fn may_act(world: &World, epoch: Epoch) -> bool {
    let role = roles::tasks_role(&world.settings.entry.data_centre);
    world.roles.epoch(&role) == Some(epoch)
}

fn start_message(plan: &TaskPlan, start: &Start, epoch: Epoch) -> Option<StartTask> {
    let task = plan.task(start.key)?;
    let lease = plan.sched().state().cfg.lease;
    Some(StartTask {
        task: start.key,
        attempt: start.attempt,
        epoch,
        queue: task.queue.clone(),
        team: task.team.clone(),
        resources: start.resources,
        lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
        payload: task.payload.clone(),
        resume: start.resume,
    })
}

fn observations(report: &WorkerReport) -> Vec<TaskObservation> {
    report.tasks.iter().map(observation).collect()
}

fn observation(report: &TaskReport) -> TaskObservation {
    TaskObservation {
        key: report.task,
        attempt: report.attempt,
        phase: match report.phase {
            TaskPhase::Running => ObservedPhase::Running,
            TaskPhase::Succeeded => ObservedPhase::Succeeded,
            TaskPhase::Failed => ObservedPhase::Failed,
            TaskPhase::Stopped => ObservedPhase::Stopped,
            TaskPhase::Checkpointed => ObservedPhase::Checkpointed,
        },
        used: report.used,
    }
}

/// When each worker's report was last requested.
#[derive(Debug, Default)]
pub struct ReportTimes {
    requested: BTreeMap<VmName, Instant>,
}

/// The time between two report requests to a worker.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// The same while a task on the worker is being started or stopped.
const REPORT_INTERVAL_CHANGING: Duration = Duration::from_millis(500);

impl ReportTimes {
    /// Returns whether a report of the worker is due, and if so records that it is requested at `now`. `awaits_report`
    /// tells that a task on the worker is being started or stopped.
    pub fn take_due(&mut self, name: &VmName, awaits_report: bool, now: Instant) -> bool {
        let interval = if awaits_report {
            REPORT_INTERVAL_CHANGING
        } else {
            REPORT_INTERVAL
        };
        let is_due = self
            .requested
            .get(name)
            .is_none_or(|at| now.saturating_duration_since(*at) >= interval);
        if is_due {
            self.requested.insert(name.clone(), now);
        }
        is_due
    }
}
