//! Tasks and their runs.
//!
//! [`Tasks`] holds the tasks by dense id and by key. A task has at most one [`Run`], its current attempt, and only in
//! [`TaskState::Running`].

use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use goldcrest_types::entity::{EntityRef, PrimaryMap, TaskId, VmId};
use goldcrest_types::names::{QueueName, TaskKey, TeamName};
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use super::lane::LaneId;
use crate::reason::Reason;

/// A task as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The team that is charged for the task.
    pub team: TeamName,
    /// The queue to which the task was submitted.
    pub queue: QueueName,
    /// The declared peak usage.
    pub declared: Resources,
    /// The declared run time.
    pub declared_run: Duration,
    /// The time by which the task should have ended. If absent, the due time follows from the class of the queue.
    pub deadline: Option<Instant>,
    /// Whether the task can save its state and resume from it.
    pub checkpointable: bool,
    /// Whether the task may run again after an attempt that failed or was lost.
    pub idempotent: bool,
}

/// The known progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start was decided; neither an answer nor a report has confirmed it.
    Starting,
    /// The worker runs the attempt.
    Confirmed,
    /// The attempt was commanded to save its state and stop.
    Checkpointing {
        /// When the command was last issued.
        since: Instant,
    },
    /// The attempt was commanded to stop.
    Stopping {
        /// When the command was last issued.
        since: Instant,
    },
}

/// One attempt of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The worker to which the attempt is assigned.
    pub worker: VmId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// When the start was decided, or when this scheduler adopted the attempt.
    pub since: Instant,
    /// The known progress of the attempt.
    pub phase: Phase,
    /// The time by which the start has taken effect or never will. A report that was requested later and does not list
    /// the attempt shows that the worker does not run it.
    pub settled_at: Instant,
    /// The time until which the attempt counts as running if nothing more is received from its worker.
    pub counted_until: Instant,
    /// When the next renewal of the lease is due.
    pub renew_at: Instant,
    /// What the attempt reserves on its worker.
    pub reserved: Resources,
    /// What its team is charged for the attempt: the median estimate, then the usage in the last report.
    pub charge: Resources,
    /// The usage in the last report.
    pub used: Resources,
    /// The largest reported usage in each dimension.
    pub peak: Resources,
    /// The number of reports with a processor usage above zero.
    pub reports: u32,
    /// Whether the peak was added to the observed sizes of its lane.
    pub is_learned: bool,
    /// Whether the attempt was commanded to run at a lower rate.
    pub is_throttled: bool,
    /// Why the attempt was commanded to stop or to save its state; none if it was not.
    pub stop: Option<Reason>,
}

impl Run {
    /// Returns whether the next report is awaited: the attempt is starting, saving its state or stopping.
    #[must_use]
    pub const fn awaits_report(&self) -> bool {
        !matches!(self.phase, Phase::Confirmed)
    }
}

/// The final outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An attempt completed the task.
    Succeeded,
    /// An attempt failed or ran too long, and the task is not run again.
    Failed,
    /// The task was cancelled and no attempt of it ever ran.
    NeverRan,
    /// The task was cancelled after an attempt of it had started.
    Stopped,
    /// An attempt was lost or stopped and the task may not run again.
    OutcomeUnknown,
}

/// What all attempts of a task have achieved so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No attempt can have started.
    NeverRan,
    /// An attempt has started, or may have.
    HasRun,
    /// An attempt has saved its state, from which the next one resumes.
    Checkpointed,
}

/// The scheduling state of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// In its lane.
    Waiting,
    /// Outside its lane until the time of its next attempt.
    Delayed,
    /// Assigned to a worker.
    Running(Box<Run>),
    /// Not tried again until it is released or the cause of the parking is resolved.
    Parked,
    /// Ended with this outcome.
    Ended(Outcome),
}

/// A task with its scheduling state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// The key that identifies the task to its submitter.
    pub key: TaskKey,
    /// The lane of its queue and team.
    pub lane: LaneId,
    /// The declared peak usage.
    pub declared: Resources,
    /// The declared run time.
    pub declared_run: Duration,
    /// When this scheduler added the task.
    pub submitted: Instant,
    /// The sequence number of its acceptance; breaks ties of the due time.
    pub order: u64,
    /// The deadline of the task, or the default due time of its class. Orders the tasks of a lane.
    pub due: Instant,
    /// Whether the task can save its state and resume from it.
    pub checkpointable: bool,
    /// Whether the task may run again after an attempt that failed or was lost.
    pub idempotent: bool,
    /// The number of the last attempt, from 1; 0 before the first.
    pub attempt: u32,
    /// The number of failed attempts; an attempt that is blamed on its worker is not counted.
    pub failures: u32,
    /// The workers on which the task failed.
    pub avoid: SmallVec<[VmId; 4]>,
    /// How often the task stopped with its state saved.
    pub preemptions: u32,
    /// What its attempts have achieved so far.
    pub progress: Progress,
    /// Whether its submitter cancelled the task.
    pub cancelled: bool,
    /// Changes whenever the task is enqueued or delayed, which makes earlier heap entries stale.
    pub seq: u64,
    /// The scheduling state.
    pub state: TaskState,
    /// Why the task is in its state.
    pub reason: Reason,
}

impl Task {
    /// Returns the current attempt, if the task counts as running.
    #[must_use]
    pub const fn run(&self) -> Option<&Run> {
        match &self.state {
            TaskState::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the current attempt mutably, if the task counts as running.
    pub const fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.state {
            TaskState::Running(run) => Some(run),
            _ => None,
        }
    }
}

/// The tasks that the scheduler holds, by id and by key. The id of a forgotten task is reused.
#[derive(Debug, Default)]
pub struct Tasks {
    all: PrimaryMap<TaskId, Task>,
    by_key: HashMap<TaskKey, TaskId>,
    free: Vec<TaskId>,
    seq: u64,
}

impl Tasks {
    /// Returns the next sequence number, from 1.
    pub const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Returns the task with this key.
    #[must_use]
    pub fn find(&self, key: &TaskKey) -> Option<TaskId> {
        self.by_key.get(key).copied()
    }

    /// Adds a task under its key, which must be new.
    pub fn insert(&mut self, task: Task) -> TaskId {
        let key = task.key;
        let id = match self.free.pop() {
            Some(id) => {
                self.all[id] = task;
                id
            }
            None => self.all.push(task),
        };
        self.by_key.insert(key, id);
        id
    }

    /// Removes a task that has ended or is parked. Returns false for any other state and for an unknown key.
    pub fn forget(&mut self, key: &TaskKey) -> bool {
        let Some(id) = self.find(key) else {
            return false;
        };
        if !matches!(self.all[id].state, TaskState::Ended(_) | TaskState::Parked) {
            return false;
        }
        self.by_key.remove(key);
        self.free.push(id);
        true
    }

    /// Iterates over the tasks in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.by_key.values().map(|id| (*id, &self.all[*id]))
    }

    /// Returns the number of tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether there is no task.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the ids of the parked tasks in ascending order.
    #[must_use]
    pub fn parked(&self) -> Vec<TaskId> {
        let parked = |(_, task): &(TaskId, &Task)| matches!(task.state, TaskState::Parked);
        let mut ids: Vec<TaskId> = self.iter().filter(parked).map(|(id, _)| id).collect();
        ids.sort_unstable_by_key(|id| id.index());
        ids
    }
}

impl Index<TaskId> for Tasks {
    type Output = Task;

    fn index(&self, id: TaskId) -> &Task {
        &self.all[id]
    }
}

impl IndexMut<TaskId> for Tasks {
    fn index_mut(&mut self, id: TaskId) -> &mut Task {
        &mut self.all[id]
    }
}
