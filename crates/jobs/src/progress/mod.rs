//! The stored progress of an open job.
//!
//! A [`Progress`] holds only what a new scheduler could not learn from the workers: the tasks that are done, the failed
//! runs, the highest run number and the checkpoint of each task that has had a run but is not done, which workers
//! to query, and which starts may have had no answer. It is written before an end is acknowledged to its worker, so that no
//! end is lost with its scheduler, and before each start, so that a new scheduler need not wait for workers that never
//! received a start of the job, and knows where a start may still be executed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{RunNumber, TaskId, WorkerId};
use crate::job::OpenStart;

/// A bit set of small integers: the indices of a step's tasks, or the numbers of a job's occurrences.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexSet {
    words: Vec<u64>,
}

impl IndexSet {
    /// Adds an index. Returns whether it is new.
    pub fn insert(&mut self, index: u32) -> bool {
        let word = index as usize / 64;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (index % 64);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    /// Whether the index is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get(index as usize / 64)
            .is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    /// The indices, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.words).flat_map(|(at, word): (u32, &u64)| {
            let bits = (0..64).filter(move |bit| word & (1 << bit) != 0);
            bits.map(move |bit| at * 64 + bit)
        })
    }

    /// How many indices the set holds.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether the set holds none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }
}

/// The stored state of a task that is not done and of which a run failed, saved a checkpoint or was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task's index in its step.
    pub index: u32,
    /// The runs that have failed, as numbers instead of a count: an end may be reported again after this was stored,
    /// and ends may arrive out of order.
    pub failed_runs: Vec<RunNumber>,
    /// The highest run number that is known to have been used.
    pub last_run: Option<RunNumber>,
    /// The checkpoint that a new run resumes from.
    pub checkpoint: Option<Box<str>>,
}

/// The stored state of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done.
    pub done: IndexSet,
    /// The tasks that are not done and have had a run, by index.
    pub ended: Vec<TaskProgress>,
}

/// The stored state of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// The number of the occurrence, from 0.
    pub occurrence: u32,
    /// Its steps, in the order of the job's.
    pub steps: Vec<StepProgress>,
}

impl StepProgress {
    /// The most failures of a task, or of the step's gang.
    #[must_use]
    pub fn failures(&self, is_gang: bool) -> usize {
        most_failures(self.ended.iter().map(|task| &*task.failed_runs), is_gang)
    }
}

/// The most failures of a task, given the failed runs of each, or of a gang. All tasks of a gang share run numbers, so
/// each number is one attempt of the gang.
pub(crate) fn most_failures<'a>(
    failed_runs: impl Iterator<Item = &'a [RunNumber]>,
    is_gang: bool,
) -> usize {
    if is_gang {
        failed_runs.flatten().collect::<BTreeSet<_>>().len()
    } else {
        failed_runs.map(<[_]>::len).max().unwrap_or_default()
    }
}

/// Starts of a step's tasks on a worker that may have had no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStarts {
    /// The worker.
    pub worker: WorkerId,
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The number of the runs.
    pub run: RunNumber,
    /// The tasks.
    pub tasks: IndexSet,
}

impl OpenStarts {
    /// Whether a start of the task on the worker is among them.
    #[must_use]
    pub fn contains(&self, task: TaskId, worker: &WorkerId) -> bool {
        self.worker == *worker
            && (self.occurrence, self.step) == (task.step.occurrence, task.step.step)
            && self.tasks.contains(task.index)
    }
}

/// The stored progress of an open job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether a task has started.
    pub has_begun: bool,
    /// The workers that may have received a start. Stored before the first start on each is sent.
    pub workers: BTreeSet<WorkerId>,
    /// Occurrences that are done.
    pub occurrences_done: IndexSet,
    /// Occurrences that have begun and are not done.
    pub occurrences: Vec<OccurrenceProgress>,
    /// The starts that may have had no answer. Each is stored before it is sent, and removed by a later write. Older versions did
    /// not write them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<OpenStarts>,
}

impl Progress {
    /// The starts of an occurrence that may have had no answer, each with the step and the index of its task.
    pub fn starts_of(&self, occurrence: u32) -> impl Iterator<Item = (u32, u32, OpenStart)> + '_ {
        let starts = self.starts.iter();
        let of_occurrence = starts.filter(move |starts| starts.occurrence == occurrence);
        of_occurrence.flat_map(|starts| {
            let start = OpenStart {
                worker: starts.worker.clone(),
                run: starts.run,
                given_up: 0,
            };
            let tasks = starts.tasks.iter();
            tasks.map(move |index| (starts.step, index, start.clone()))
        })
    }
}
