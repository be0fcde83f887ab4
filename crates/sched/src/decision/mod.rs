//! The decisions of one round, as values for the caller to store and send.

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::Resources;

use crate::reason::Reason;
use crate::state::Outcome;

/// The start of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The id of the task in the scheduler.
    pub task: TaskId,
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The worker that is to run the task.
    pub worker: VmId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// What the task may use: the larger of its reservation and its declared size, in each dimension.
    pub resources: Resources,
    /// Whether the attempt resumes from a saved state.
    pub resume: bool,
    /// Why the task starts on this worker.
    pub reason: Reason,
}

/// What a running attempt is commanded to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Continue for another lease.
    Renew,
    /// Run at a lower rate.
    Throttle,
    /// Save the state and stop.
    Checkpoint,
    /// Stop without saving the state.
    Stop,
}

/// A command to a running attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The worker that runs the attempt.
    pub worker: VmId,
    /// The number of the attempt to which the command applies.
    pub attempt: u32,
    /// What the attempt is commanded to do.
    pub kind: CommandKind,
    /// Why the command is issued.
    pub reason: Reason,
}

/// A task that was parked: it is not tried again until it is released or the cause is resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parked {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// Why the task was parked.
    pub reason: Reason,
}

/// A task that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The number of its last attempt, from 1; 0 if there was none.
    pub attempt: u32,
    /// The final outcome.
    pub outcome: Outcome,
    /// Why the task ended.
    pub reason: Reason,
}

/// Why an attempt ended without ending its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequeueCause {
    /// The worker did not start the attempt.
    NotStarted,
    /// The attempt saved its state and stopped.
    Checkpointed,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped, or its worker was lost or does not list it.
    Lost,
}

/// An attempt that ended without ending its task, which is enqueued, delayed or parked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requeued {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The number of the attempt that ended.
    pub attempt: u32,
    /// Why the attempt ended.
    pub cause: RequeueCause,
}

/// The decisions of one round. The memory is reused from round to round.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Commands to running attempts.
    pub commands: Vec<Command>,
    /// Attempts that ended since the last round without ending their task. They precede the starts, which may start the
    /// same tasks again.
    pub requeued: Vec<Requeued>,
    /// Tasks that were parked since the last round.
    pub parked: Vec<Parked>,
    /// Tasks that ended since the last round.
    pub ended: Vec<Ended>,
}

impl Decisions {
    /// Returns an empty set of decisions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes all decisions and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.starts.clear();
        self.commands.clear();
        self.requeued.clear();
        self.parked.clear();
        self.ended.clear();
    }
}
