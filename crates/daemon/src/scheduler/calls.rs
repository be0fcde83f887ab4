//! The calls to workers that a round decides.

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

/// What a call to a worker came to.
#[derive(Debug)]
pub enum Called {
    /// A start was answered.
    Start(Start, StartOutcome),
    /// A report came in.
    Report(VmName, Vec<TaskObservation>, Instant),
    /// Nothing that needs to be noted.
    Nothing,
}

/// The calls that are under way.
pub struct Calls {
    world: Arc<World>,
    epoch: Epoch,
    running: JoinSet<Called>,
}

impl Calls {
    /// No call yet, for the scheduler that took the role in `epoch`.
    #[must_use]
    pub fn new(world: Arc<World>, epoch: Epoch) -> Self {
        Self {
            world,
            epoch,
            running: JoinSet::new(),
        }
    }

    /// What the next call came to; waits for ever while none is under way.
    pub async fn next(&mut self) -> Called {
        match self.running.join_next().await {
            Some(Ok(called)) => called,
            Some(Err(_)) => Called::Nothing,
            None => std::future::pending().await,
        }
    }

    /// Sends a start, unless the role is no longer held or `latest` has passed.
    pub fn start(&mut self, plan: &TaskPlan, start: Start, address: SocketAddr, latest: Instant) {
        let (world, epoch) = (Arc::clone(&self.world), self.epoch);
        let message = start_message(plan, &start, epoch);
        self.running.spawn(async move {
            let Some(message) = message else {
                return Called::Start(start, StartOutcome::NotStarted);
            };
            if !may_act(&world, epoch) || world.now() >= latest {
                return Called::Start(start, StartOutcome::NotStarted);
            }
            let outcome = match world.workers.start(address, &message).await {
                Ok(()) => StartOutcome::Accepted,
                Err(WorkerError::Unreachable | WorkerError::Refused(_)) => StartOutcome::NotStarted,
                Err(WorkerError::OutcomeUnknown | WorkerError::Malformed(_)) => {
                    StartOutcome::Unknown
                }
            };
            Called::Start(start, outcome)
        });
    }

    /// Sends a command, unless the role is no longer held. The scheduler repeats one that has no effect.
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
                log::debug!(target: super::PART, task:% = message.task; "Command: {error}.");
            }
            Called::Nothing
        });
    }

    /// Asks a worker for its report.
    pub fn report(&mut self, name: VmName, address: SocketAddr) {
        let world = Arc::clone(&self.world);
        self.running.spawn(async move {
            let asked_at = world.now();
            match world.workers.report(address).await {
                Ok(report) => Called::Report(name, observations(&report), asked_at),
                Err(error) => {
                    log::debug!(target: super::PART, worker:% = name; "No report: {error}.");
                    Called::Nothing
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

fn observation(seen: &TaskReport) -> TaskObservation {
    TaskObservation {
        key: seen.task,
        attempt: seen.attempt,
        phase: match seen.phase {
            TaskPhase::Running => ObservedPhase::Running,
            TaskPhase::Succeeded => ObservedPhase::Succeeded,
            TaskPhase::Failed => ObservedPhase::Failed,
            TaskPhase::Stopped => ObservedPhase::Stopped,
            TaskPhase::Checkpointed => ObservedPhase::Checkpointed,
        },
        used: seen.used,
    }
}

/// When each worker is asked for its report next.
#[derive(Debug, Default)]
pub struct ReportTimes {
    asked: BTreeMap<VmName, Instant>,
}

/// The time between two reports of a worker.
const REPORT_EVERY: Duration = Duration::from_secs(4);

/// The same while a task on it is being started or told to stop.
const REPORT_SOON: Duration = Duration::from_millis(500);

impl ReportTimes {
    /// Whether a worker is due, and if so notes that it is asked now.
    pub fn ask(&mut self, name: &VmName, is_hot: bool, now: Instant) -> bool {
        let every = if is_hot { REPORT_SOON } else { REPORT_EVERY };
        let is_due = self
            .asked
            .get(name)
            .is_none_or(|at| now.saturating_duration_since(*at) >= every);
        if is_due {
            self.asked.insert(name.clone(), now);
        }
        is_due
    }
}
