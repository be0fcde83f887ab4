//! The stored progress of an open job.
//!
//! A [`Progress`] holds only what a new scheduler could not learn from the workers: the tasks that are done, the failed
//! runs, the highest run number and the checkpoint of each task that has had a run but is not done, and which workers
//! to query. It is written before an end is acknowledged to its worker, so that no end is lost with its scheduler, and
//! before the first start on a worker, so that a new scheduler need not wait for workers that never received a start of
//! the job.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{RunNumber, WorkerId};

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
}
