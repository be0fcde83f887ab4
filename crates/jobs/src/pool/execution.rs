//! Finds out which incarnation of a worker was executing an unreported run.
//!
//! | what is seen | what it shows |
//! | --- | --- |
//! | a report of the incarnation lists the run | it was executing it |
//! | an answer to the start | it was, or a later one |
//! | a whole report of the next known incarnation does not list a run whose start was answered | whoever has answered has ended under it |
//! | a later incarnation lists it | the earlier one has not executed it, unless a copy of the start had no answer |
//! | an incarnation between is lost before it has reported | nothing: the stop that it was sent may have ended the run |

use std::time::Instant;

use crate::id::{RunNumber, TaskId, WorkerId, WorkerRef};
use crate::pool::{Event, Pool};
use crate::suspect::{Execution, RunState, UnreportedRun};
use crate::worker::{Executor, RunKey};

impl Pool {
    /// Records that a start was answered: an incarnation of the worker was executing the run.
    pub(super) fn record_answer(&mut self, worker_ref: WorkerRef, key: RunKey) {
        let worker = self.workers.get(&worker_ref);
        if let Some(worker) = worker.filter(|_| self.suspects.contains(&key.0)) {
            let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
            self.show(key.0, Execution::Answered, |run| {
                run.state == RunState::Open
                    && run.run == Some(key.1)
                    && run.worker == id
                    && run.started_ms == started_ms
            });
        }
    }

    /// Corrects the record of a run that a report of a worker lists as executing or as ended: this incarnation has executed
    /// it. An earlier one has not, unless a copy of the start had no answer. Precedes the settling of the start.
    pub(super) fn attribute(&mut self, worker_ref: WorkerRef, key: RunKey) {
        if !self.suspects.contains(&key.0) {
            return;
        }
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
        if self.may_have_copies(key, &id) {
            self.doubt(worker_ref, key);
        } else {
            self.clear(key.0, |run| is_of_earlier(run, key.1, &id, started_ms));
        }
    }

    /// Records that an incarnation of a worker may have executed a run in place of the earlier one that its loss counts for.
    pub(super) fn doubt(&mut self, worker_ref: WorkerRef, key: RunKey) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
        let doubted = self.update_task(key.0, |task| {
            let runs = task.unreported.iter_mut();
            let of_earlier = runs.filter(|run| is_of_earlier(run, key.1, &id, started_ms));
            let mut doubted = Vec::new();
            for run in of_earlier.filter(|run| run.execution.is_some()) {
                run.execution = None;
                doubted.push(run.clone());
            }
            Some(doubted)
        });
        for run in doubted.unwrap_or_default() {
            self.unsaved.insert(key.0.step.job);
            self.events.push(Event::Unreported {
                task: key.0,
                run,
                change: "may have been executed by a later incarnation",
            });
        }
    }

    /// Whether a copy of a start that was sent to the worker may have had no answer.
    fn may_have_copies(&self, (task, run): RunKey, id: &WorkerId) -> bool {
        let unanswered = self.unanswered.get(id);
        let step = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.step(task.step));
        let state = step.and_then(|(_, state)| state.tasks.get(task.index as usize));
        unanswered.is_some_and(|starts| starts.contains_key(&(task, run)))
            || state.is_some_and(|task| {
                let mut starts = task.open_starts.iter().filter(|start| start.worker == *id);
                starts.any(|start| start.run == run || start.given_up > 0)
            })
    }

    /// Records that a report of a worker lists a run as executing.
    pub(super) fn record_listed(&mut self, worker_ref: WorkerRef, key: RunKey) {
        let worker = self.workers.get(&worker_ref);
        if let Some(worker) = worker.filter(|_| self.suspects.contains(&key.0)) {
            let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
            self.show(key.0, Execution::Shown, |run| {
                run.run == Some(key.1) && run.worker == id && run.started_ms == started_ms
            });
        }
    }

    /// Finds the runs that an earlier incarnation of a worker was executing when it ended: their starts were answered, and a
    /// whole report of this incarnation has not listed them. That is no proof if a predecessor may have used this incarnation or
    /// one between, and acknowledged ends or stopped runs there, or if ends are missing in the reports.
    pub(super) fn show_executed_earlier(&mut self, worker_ref: WorkerRef, now: Instant) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let id = worker.info.id.clone();
        let Some(present_ms) = worker.info.started_ms.filter(|_| worker.unseen_ends == 0) else {
            return;
        };
        let used_ms = self.inherited.latest_used(&id);
        for task in self.suspects.clone() {
            let is_shown = self.show(task, Execution::Shown, |run| {
                let is_next = run.started_ms.is_some_and(|started_ms| {
                    started_ms < present_ms && used_ms.is_none_or(|used_ms| used_ms <= started_ms)
                });
                is_next && run.worker == id && run.execution == Some(Execution::Answered)
            });
            if is_shown {
                self.judge_crashes(task, now);
            }
        }
    }

    /// Records what shows that the unreported runs of a task which `is_meant` selects were executing. Returns whether that is
    /// new.
    fn show(
        &mut self,
        task: TaskId,
        execution: Execution,
        is_meant: impl Fn(&UnreportedRun) -> bool,
    ) -> bool {
        let shown = self.update_task(task, |task| {
            let meant = task.unreported.iter_mut().filter(|run| is_meant(run));
            let mut shown = Vec::new();
            for run in meant.filter(|run| run.execution < Some(execution)) {
                run.execution = Some(execution);
                shown.push(run.clone());
            }
            Some(shown)
        });
        let shown = shown.unwrap_or_default();
        if !shown.is_empty() {
            self.unsaved.insert(task.step.job);
        }
        let is_new = !shown.is_empty();
        let shown = shown
            .into_iter()
            .filter(|run| run.execution == Some(Execution::Shown));
        self.events.extend(shown.map(|run| Event::Unreported {
            task,
            run,
            change: "executing",
        }));
        is_new
    }
}

/// What the executor of a run shows of its execution by the incarnation that it is kept under.
pub(super) fn shown_by(executor: Executor) -> Option<Execution> {
    match executor {
        Executor::Reported => Some(Execution::Shown),
        Executor::Answered { .. } => Some(Execution::Answered),
        Executor::Unknown { .. } => None,
    }
}

/// Whether a loss of a run counts for an incarnation of the worker before the one that started at `started_ms`, and no report has
/// shown that it executed the run.
fn is_of_earlier(
    lost: &UnreportedRun,
    run: RunNumber,
    worker: &WorkerId,
    started_ms: Option<u64>,
) -> bool {
    lost.run == Some(run)
        && lost.worker == *worker
        && lost.started_ms != started_ms
        && lost.execution != Some(Execution::Shown)
}
