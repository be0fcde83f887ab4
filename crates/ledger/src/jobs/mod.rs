//! The accepted tasks of one shard, which survive the loss of any entry VM.
//!
//! Acceptances and changes are applied in batches, so that hundreds of them cost one write. A task is accepted once by
//! its key, however often it is sent. Of an ended task only the outcome is kept, until [`ENDED_KEPT`] later tasks have
//! ended, so that a repeated acceptance is answered with it. Invariants: a task is in one state; a non-idempotent task
//! that may have run is started again only from a checkpoint.
//!
//! - [`task`]: a task and its states.
//! - [`edit`]: the steps of a batch, their answers and their refusals.

pub mod edit;
pub mod task;

use std::collections::{BTreeMap, VecDeque};

use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{EditId, TaskKey};
use goldcrest_types::units::Epoch;
use serde::{Deserialize, Serialize};

pub use edit::{JobAnswer, JobEdit, JobRefusal, RequeueCause};
pub use task::{Checkpoint, Ended, Task, TaskOutcome, TaskState};

use crate::document::{DOCUMENT_BYTES_MAX, Document, RecentEdits};
use crate::verify;

/// The number of ended tasks whose outcome is kept.
pub const ENDED_KEPT: usize = 2_048;

/// The largest sum of [`Task::bytes`] up to which tasks are accepted. The rest of [`DOCUMENT_BYTES_MAX`] is reserved
/// for ended tasks.
pub const TASK_BYTES_MAX: usize = DOCUMENT_BYTES_MAX - 150_000;

/// The tasks of one shard, as stored under `jobs/<data centre>/<shard>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobsDoc {
    edits: RecentEdits,
    epoch: Epoch,
    tasks: BTreeMap<TaskKey, Task>,
    ended: VecDeque<Ended>,
}

impl JobsDoc {
    /// Returns the tasks that have not ended.
    #[must_use]
    pub const fn tasks(&self) -> &BTreeMap<TaskKey, Task> {
        &self.tasks
    }

    /// Returns the last [`ENDED_KEPT`] ended tasks, oldest first.
    #[must_use]
    pub fn ended(&self) -> impl DoubleEndedIterator<Item = &Ended> {
        self.ended.iter()
    }

    /// Returns the highest epoch of a scheduler that has edited the document.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the outcome of an ended task, if it is still kept.
    #[must_use]
    pub fn outcome(&self, key: TaskKey) -> Option<TaskOutcome> {
        let ended = self.ended.iter().rev().find(|ended| ended.key == key);
        ended.map(|ended| ended.outcome)
    }

    /// Applies a batch and returns the answer to each step, in order. A refused step does not block the others. A batch
    /// that was applied before changes nothing.
    pub fn apply(&mut self, id: EditId, steps: &[JobEdit]) -> Vec<Result<JobAnswer, JobRefusal>> {
        if self.has_edit(id) {
            return vec![Ok(JobAnswer::Repeated); steps.len()];
        }
        let mut bytes = self.tasks.values().map(Task::bytes).sum();
        let answers = steps
            .iter()
            .map(|step| self.step(step, &mut bytes))
            .collect();
        self.edits.push(id);
        debug_assert!(
            self.is_sound(),
            "a non-idempotent task has a second attempt, or an ended task is live"
        );
        answers
    }

    fn is_sound(&self) -> bool {
        let mut found = Breaches::new();
        verify::at_most_once(self, &mut found);
        found.is_empty()
    }

    fn step(&mut self, step: &JobEdit, bytes: &mut usize) -> Result<JobAnswer, JobRefusal> {
        match step {
            JobEdit::Accept { key, task } => self.accept(*key, task, bytes),
            JobEdit::Cancel { key } => self.cancel(*key),
            JobEdit::Release { key } => self.task_mut(*key)?.release(),
            JobEdit::Start {
                key,
                worker,
                attempt,
                epoch,
            } => {
                self.fence(*epoch)?;
                self.task_mut(*key)?.start(worker, *attempt, *epoch)
            }
            JobEdit::Requeue {
                key,
                attempt,
                epoch,
                cause,
            } => {
                self.fence(*epoch)?;
                self.requeue(*key, *attempt, *cause)
            }
            JobEdit::Park { key, epoch, reason } => {
                self.fence(*epoch)?;
                self.task_mut(*key)?.park(*reason)
            }
            JobEdit::End {
                key,
                attempt,
                epoch,
                outcome,
            } => {
                self.fence(*epoch)?;
                self.end(*key, *attempt, *outcome)
            }
        }
    }

    fn fence(&mut self, epoch: Epoch) -> Result<(), JobRefusal> {
        if epoch < self.epoch {
            return Err(JobRefusal::Fenced(epoch, self.epoch));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn task_mut(&mut self, key: TaskKey) -> Result<&mut Task, JobRefusal> {
        self.tasks.get_mut(&key).ok_or(JobRefusal::NoTask(key))
    }

    fn accept(
        &mut self,
        key: TaskKey,
        task: &Task,
        bytes: &mut usize,
    ) -> Result<JobAnswer, JobRefusal> {
        if self.tasks.contains_key(&key) {
            return Ok(JobAnswer::Known);
        }
        if let Some(outcome) = self.outcome(key) {
            return Ok(JobAnswer::Ended(outcome));
        }
        let sum = *bytes + task.bytes();
        if sum > TASK_BYTES_MAX {
            return Err(JobRefusal::Full(*bytes));
        }
        *bytes = sum;
        let mut task = task.clone();
        task.state = TaskState::Waiting;
        self.tasks.insert(key, task);
        Ok(JobAnswer::Done)
    }

    /// Ends a waiting or parked task at once. Marks a running one, which ends when its worker has stopped it.
    fn cancel(&mut self, key: TaskKey) -> Result<JobAnswer, JobRefusal> {
        if let Some(outcome) = self.outcome(key) {
            return Ok(JobAnswer::Ended(outcome));
        }
        let task = self.task_mut(key)?;
        task.is_cancelled = true;
        if let TaskState::Running { .. } = task.state {
            return Ok(JobAnswer::Stopping);
        }
        let outcome = if task.attempts == 0 {
            TaskOutcome::NeverRan
        } else {
            TaskOutcome::Stopped
        };
        self.close(key, outcome);
        Ok(JobAnswer::Done)
    }

    fn requeue(
        &mut self,
        key: TaskKey,
        attempt: u32,
        cause: RequeueCause,
    ) -> Result<JobAnswer, JobRefusal> {
        let task = self.task_mut(key)?;
        task.requeue(key, attempt, cause)?;
        if task.is_cancelled {
            let outcome = match (cause, task.attempts) {
                (RequeueCause::NotStarted, 0) => TaskOutcome::NeverRan,
                _ => TaskOutcome::Stopped,
            };
            self.close(key, outcome);
        }
        Ok(JobAnswer::Done)
    }

    fn end(
        &mut self,
        key: TaskKey,
        attempt: u32,
        outcome: TaskOutcome,
    ) -> Result<JobAnswer, JobRefusal> {
        if let Some(known) = self.outcome(key) {
            return Ok(JobAnswer::Ended(known));
        }
        self.task_mut(key)?.check_running(key, attempt)?;
        self.close(key, outcome);
        Ok(JobAnswer::Done)
    }

    fn close(&mut self, key: TaskKey, outcome: TaskOutcome) {
        self.tasks.remove(&key);
        self.ended.push_back(Ended { key, outcome });
        while self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }
}

impl Document for JobsDoc {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
