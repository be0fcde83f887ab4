//! Runs of which no worker has reported the end, and tasks that may have crashed their workers.
//!
//! A worker that crashes reports nothing, so every run that it may have been executing is suspected. An
//! [`UnreportedRun`] stays with its task until a worker's report accounts for the run: its end, or its absence from the
//! same incarnation. Invariants:
//!
//! - A run of a task that has an unreported run is stored as unreported before its start is sent. So whatever becomes
//!   of the scheduler, the next one knows of it before it starts the task again.
//! - A task never has more than [`CrashLimit::unreported_max`] unreported runs. If each of them has crashed its worker,
//!   at most [`STARTS_AFTER_MOST`] of them were started after the [`CrashLimit::MOST`]th crash.
//! - Only a crash under the run counts against the job ([`UnreportedRun::is_crash`]): the [`Fate`] of the worker is known, and it
//!   is shown that an incarnation which has ended was executing the run. A worker that does not answer may as well be cut
//!   off, frozen or late, and a start that was meant for one incarnation may be executed by the next one. Any other loss
//!   holds starts back. It counts only in the sum that the platform's rule bounds, and only while nothing disproves it.
//!
//! Presence alone is weak evidence: runs stand beside each other, and racks are lost. A run that was alone on its worker
//! and had just started is strong evidence, if a neighbour of the worker still answers. [`CrashLimit::is_exceeded`]
//! weighs both.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id::{RunNumber, WorkerId};

/// The number of starts that the platform allows a task after it has crashed [`CrashLimit::MOST`] workers.
const STARTS_AFTER_MOST: usize = 2;

/// What a lost worker says about a run that it executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Exposure {
    /// It had been executing for some time, or it is not known whether it had started.
    Established,
    /// It had just started, and other runs were beside it or the worker's neighbours were lost as well.
    Shared,
    /// It had just started, and nothing else explains the loss.
    Alone,
}

/// Whether a run may still be executing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It may be executing.
    Open,
    /// Its worker was lost.
    Lost,
}

/// What became of a lost worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It has restarted under its id.
    Restarted,
    /// The registry has dropped it, and it did not register again.
    Gone,
}

/// What shows that an unreported run was executing. The order is that of strength.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Execution {
    /// The start was answered, by the incarnation that it was meant for or by a later one.
    Answered,
    /// A report of the incarnation has listed it, or the start was answered and a later incarnation has not executed it.
    Shown,
}

/// A run of which no worker has reported the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreportedRun {
    /// The number of the run. Absent if an earlier scheduler may have started it.
    pub run: Option<RunNumber>,
    /// The worker that may have executed it.
    pub worker: WorkerId,
    /// When that incarnation of the worker started, in milliseconds since 1970, if known.
    pub started_ms: Option<u64>,
    /// What its loss says, or would say.
    pub exposure: Exposure,
    /// Whether it may still be executing.
    pub state: RunState,
    /// What became of its lost worker. Absent until that is known; older versions did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fate: Option<Fate>,
    /// What shows that it was executing. Absent if nothing does, or a later incarnation may have executed it instead; older
    /// versions did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub execution: Option<Execution>,
}

impl fmt::Display for UnreportedRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.run {
            Some(run) => write!(f, "run {run}")?,
            None => f.write_str("a run")?,
        }
        write!(f, " on {}", self.worker)?;
        if let Some(started_ms) = self.started_ms {
            write!(f, " of {started_ms}")?;
        }
        write!(f, " {:?} {:?}", self.state, self.exposure)?;
        if let Some(fate) = self.fate {
            write!(f, " {fate:?}")?;
        }
        let execution = self.execution;
        execution.map_or(Ok(()), |execution| write!(f, " {execution:?}"))
    }
}

impl UnreportedRun {
    /// Records that the worker was lost. An open run's exposure becomes `exposure`, unless the stored one says less.
    pub fn lose(&mut self, exposure: Exposure) {
        if self.state == RunState::Open {
            self.state = RunState::Lost;
            self.exposure = self.exposure.min(exposure);
        }
    }

    /// Whether an incarnation of the worker has crashed while it was executing the run. If the worker is gone for good, whoever
    /// has answered the start is.
    #[must_use]
    pub fn is_crash(&self) -> bool {
        let is_shown = match self.fate {
            Some(Fate::Restarted) => self.execution == Some(Execution::Shown),
            Some(Fate::Gone) => self.execution.is_some(),
            None => false,
        };
        self.state == RunState::Lost && is_shown
    }

    /// Whether it may turn out to be a crash once the worker's fate is known.
    fn may_be_crash(&self) -> bool {
        self.fate.is_none() && self.execution.is_some()
    }
}

quick_error! {
    /// Why a crash limit is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CrashLimitError {
        /// No whole number.
        Number(text: Box<str>) {
            display("the crash limit '{text}' is no whole number: give one from {} to {}", CrashLimit::LEAST, CrashLimit::MOST)
        }
        /// Outside its range.
        Range(crashes: u32) {
            display("the crash limit is {crashes}: give {} to {}", CrashLimit::LEAST, CrashLimit::MOST)
        }
    }
}

/// How many workers may crash under a task before its job is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashLimit(u32);

impl fmt::Display for CrashLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for CrashLimit {
    type Err = CrashLimitError;

    fn from_str(text: &str) -> Result<Self, CrashLimitError> {
        let crashes = text.parse();
        Self::new(crashes.map_err(|_| CrashLimitError::Number(text.into()))?)
    }
}

impl CrashLimit {
    /// The fewest crashes that tell a task from one that stood beside another. The platform lets a task be given up after
    /// as many.
    pub const LEAST: u32 = 2;

    /// The crashes after which the platform bounds the starts of a task.
    pub const MOST: u32 = 3;

    /// Creates a limit.
    ///
    /// # Errors
    ///
    /// Returns an error unless it is from [`Self::LEAST`] to [`Self::MOST`].
    pub fn new(crashes: u32) -> Result<Self, CrashLimitError> {
        if (Self::LEAST..=Self::MOST).contains(&crashes) {
            Ok(Self(crashes))
        } else {
            Err(CrashLimitError::Range(crashes))
        }
    }

    /// The most unreported runs that a task may have.
    #[must_use]
    pub const fn unreported_max() -> usize {
        Self::MOST as usize + STARTS_AFTER_MOST
    }

    /// Whether the lost runs of a task show that it crashes its workers: as many crashes as the limit under runs that had
    /// just started, of which only one had others beside it; or so many losses of any kind that a further start would break
    /// the platform's rule if all were the task's doing.
    #[must_use]
    pub fn is_exceeded(self, runs: &[UnreportedRun]) -> bool {
        self.is_exceeded_by(runs, |_| false)
    }

    /// Whether the limit would be exceeded if the lost workers for which `may_have_crashed` holds turn out to have
    /// crashed as well.
    #[must_use]
    pub fn may_be_exceeded(
        self,
        runs: &[UnreportedRun],
        may_have_crashed: impl Fn(&UnreportedRun) -> bool,
    ) -> bool {
        self.is_exceeded_by(runs, |run| run.fate.is_none() && may_have_crashed(run))
    }

    fn is_exceeded_by(
        self,
        runs: &[UnreportedRun],
        may_have_crashed: impl Fn(&UnreportedRun) -> bool,
    ) -> bool {
        let limit = self.0 as usize;
        let lost = runs.iter().filter(|run| run.state == RunState::Lost);
        let lost: Vec<&UnreportedRun> = lost
            .filter(|run| run.fate.is_some() || may_have_crashed(run))
            .collect();
        let crashes = || {
            let lost = lost.iter();
            lost.filter(|run| run.is_crash() || run.may_be_crash())
        };
        let just_started = crashes().filter(|run| run.exposure != Exposure::Established);
        let alone = crashes().filter(|run| run.exposure == Exposure::Alone);
        let is_evident = just_started.count() >= limit && alone.count() + 1 >= limit;
        is_evident || lost.len() >= Self::unreported_max()
    }
}

impl Default for CrashLimit {
    fn default() -> Self {
        Self(Self::LEAST)
    }
}

/// The unreported runs of a task, as they are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTask {
    /// The task's occurrence.
    pub occurrence: u32,
    /// The index of its step.
    pub step: u32,
    /// Its index in the step.
    pub index: u32,
    /// Its unreported runs, in the order of their starts.
    pub runs: Vec<UnreportedRun>,
}

/// The unreported runs of a job, as they are stored.
///
/// They have a key of their own: versions that don't know them neither read nor overwrite it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTasks {
    /// When the job was accepted, in milliseconds since 1970. Tells the job from a later one with the same id.
    pub accepted_ms: u64,
    /// Its tasks that have unreported runs.
    pub tasks: Vec<SuspectTask>,
}

impl SuspectTasks {
    /// The unreported runs whose numbers are known, each with its task's occurrence, step and index.
    pub fn runs(&self) -> impl Iterator<Item = UnreportedKey> {
        let tasks = self.tasks.iter();
        tasks.flat_map(|task| {
            let numbers = task.runs.iter().filter_map(|run| run.run);
            numbers.map(|run| (task.occurrence, task.step, task.index, run))
        })
    }
}

/// Identifies an unreported run of a job: the task's occurrence, step and index, and the number of the run.
pub type UnreportedKey = (u32, u32, u32, RunNumber);
