//! What one round decides.

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::Resources;

use crate::reason::Reason;
use crate::state::Outcome;

/// Start a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The task, as its submitter knows it.
    pub key: TaskKey,
    /// The worker.
    pub worker: VmId,
    /// Which try this is, from 1.
    pub attempt: u32,
    /// What the task may use.
    pub resources: Resources,
    /// Whether it takes up a checkpoint.
    pub resume: bool,
    /// Why it starts here.
    pub reason: Reason,
}

/// What a running task is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Goes on for another lease.
    Renew,
    /// Runs at a lower rate.
    Throttle,
    /// Saves its state and stops.
    Checkpoint,
    /// Stops.
    Stop,
}

/// Tell a running task something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// The task, as its submitter knows it.
    pub key: TaskKey,
    /// The worker.
    pub worker: VmId,
    /// Which try is meant.
    pub attempt: u32,
    /// What it is told.
    pub kind: CommandKind,
    /// Why.
    pub reason: Reason,
}

/// A task that is not tried again until someone acts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parked {
    /// The task.
    pub key: TaskKey,
    /// Why.
    pub reason: Reason,
}

/// A task that has ended for good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The task.
    pub key: TaskKey,
    /// Its last try, from 1; 0 if there was none.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

/// Why a try that was started is over while its task is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequeueCause {
    /// The worker did not start it.
    NotStarted,
    /// It saved its state and stopped.
    Checkpointed,
    /// It failed.
    Failed,
    /// It was stopped, or its worker was lost.
    Lost,
}

/// A try that is over while its task is not: the task waits again or is parked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requeued {
    /// The task.
    pub key: TaskKey,
    /// The try that is over.
    pub attempt: u32,
    /// Why.
    pub cause: RequeueCause,
}

/// Everything that one round decides. The memory is reused from round to round.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Commands to running tasks.
    pub commands: Vec<Command>,
    /// Tries that were over since the last round while their tasks were not. They come before the starts.
    pub requeued: Vec<Requeued>,
    /// Tasks that were parked since the last round.
    pub parked: Vec<Parked>,
    /// Tasks that ended since the last round.
    pub ended: Vec<Ended>,
}

impl Decisions {
    /// No decision.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets all decisions and keeps the memory.
    pub fn clear(&mut self) {
        self.starts.clear();
        self.commands.clear();
        self.requeued.clear();
        self.parked.clear();
        self.ended.clear();
    }
}
