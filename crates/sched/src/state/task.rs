//! Tasks and how they run.

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
    /// How its submitter knows it.
    pub key: TaskKey,
    /// The team it runs for.
    pub team: TeamName,
    /// The queue it came through.
    pub queue: QueueName,
    /// What it declares to need.
    pub declared: Resources,
    /// How long it declares to run.
    pub declared_run: Duration,
    /// When it should have ended.
    pub deadline: Option<Instant>,
    /// Whether it can save its state and resume.
    pub checkpointable: bool,
    /// Whether it may be run again after a try that failed or was lost.
    pub idempotent: bool,
}

/// How far the scheduler knows a try to have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start was decided and not yet answered.
    Starting,
    /// The worker has it.
    Confirmed,
    /// It was told to save its state and stop.
    Checkpointing {
        /// When it was last told.
        since: Instant,
    },
    /// It was told to stop.
    Stopping {
        /// When it was last told.
        since: Instant,
    },
}

/// One try of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The worker.
    pub worker: VmId,
    /// Which try this is, from 1.
    pub attempt: u32,
    /// When it was decided.
    pub since: Instant,
    /// How far it is known to have come.
    pub phase: Phase,
    /// A report that was asked for after this, and does not list the try, shows that the worker does not have it.
    pub settled_at: Instant,
    /// Until when it counts as running if nothing more is heard.
    pub counted_until: Instant,
    /// When the next renewal goes out.
    pub renew_at: Instant,
    /// What it is packed by.
    pub reserved: Resources,
    /// What its team is charged.
    pub charge: Resources,
    /// What it used at the last report.
    pub used: Resources,
    /// The most it was seen to use, in each dimension.
    pub peak: Resources,
    /// How many reports there were.
    pub reports: u32,
    /// Whether its size was learned from.
    pub is_learned: bool,
    /// Whether it was told to run at a lower rate.
    pub is_throttled: bool,
    /// Why it was told to stop, if it was.
    pub stop: Option<Reason>,
}

impl Run {
    /// Whether its next report is awaited: it is being started or told to stop.
    #[must_use]
    pub const fn is_changing(&self) -> bool {
        !matches!(self.phase, Phase::Confirmed)
    }
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did its work.
    Succeeded,
    /// It failed for good.
    Failed,
    /// It was cancelled and no try of it ever ran.
    NeverRan,
    /// It was stopped after a try of it had started.
    Stopped,
    /// A try of it was lost and it may not be run again.
    OutcomeUnknown,
}

/// How far the tries of a task have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No try can have started.
    NeverRan,
    /// A try has started, or may have.
    HasRun,
    /// A try has saved its state, which the next one takes up.
    Checkpointed,
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// In its lane.
    Waiting,
    /// Outside its lane until its next try.
    Delayed,
    /// On a worker.
    Running(Box<Run>),
    /// Not tried again until someone acts.
    Parked,
    /// Over.
    Ended(Outcome),
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// How its submitter knows it.
    pub key: TaskKey,
    /// Its queue and team.
    pub lane: LaneId,
    /// What it declares to need.
    pub declared: Resources,
    /// How long it declares to run.
    pub declared_run: Duration,
    /// When it was accepted.
    pub submitted: Instant,
    /// Its order of acceptance.
    pub order: u64,
    /// When it is due.
    pub due: Instant,
    /// Whether it can save its state and resume.
    pub checkpointable: bool,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// Its latest try, from 1; 0 before the first.
    pub attempt: u32,
    /// The tries that failed.
    pub failures: u32,
    /// The workers on which it failed.
    pub avoid: SmallVec<[VmId; 4]>,
    /// How often it was preempted.
    pub preemptions: u32,
    /// How far its tries have come.
    pub progress: Progress,
    /// Whether its submitter cancelled it.
    pub cancelled: bool,
    /// Tells its current entry in a lane from stale ones.
    pub seq: u64,
    /// Where it stands.
    pub state: TaskState,
    /// Why it stands there.
    pub reason: Reason,
}

impl Task {
    /// Its current try, if it runs.
    #[must_use]
    pub const fn run(&self) -> Option<&Run> {
        match &self.state {
            TaskState::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Its current try for change, if it runs.
    pub const fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.state {
            TaskState::Running(run) => Some(run),
            _ => None,
        }
    }
}

/// All tasks that were not forgotten. The id of a forgotten task is used again.
#[derive(Debug, Default)]
pub struct Tasks {
    all: PrimaryMap<TaskId, Task>,
    by_key: HashMap<TaskKey, TaskId>,
    free: Vec<TaskId>,
    seq: u64,
}

impl Tasks {
    /// The next number of acceptance.
    pub const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// The task with this key.
    #[must_use]
    pub fn find(&self, key: &TaskKey) -> Option<TaskId> {
        self.by_key.get(key).copied()
    }

    /// Adds a task.
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

    /// Forgets a task that has ended or is parked. Returns false if it is neither.
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

    /// All tasks that were not forgotten.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.by_key.values().map(|id| (*id, &self.all[*id]))
    }

    /// How many tasks were not forgotten.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is no task.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The ids of parked tasks, in order.
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
