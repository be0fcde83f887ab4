//! Keeps the unreported runs of tasks, and gives up jobs with a task that crashes its workers.

use std::time::Instant;

use crate::id::{JobId, TaskId, WorkerRef};
use crate::job::Task;
use crate::lease::expiry;
use crate::pool::execution::shown_by;
use crate::pool::{DepartedIncarnation, Event, InheritedIncarnations, LostRun, Pool};
use crate::suspect::{CrashLimit, Exposure, Fate, RunState, SuspectTasks, UnreportedRun};
use crate::worker::{Contact, Executor, Origin, Phase, RunKey, Trust, Worker};

impl Pool {
    /// Applies what an earlier scheduler has stored of a job's unreported runs. Must follow [`Self::take_over`] and
    /// precede the first report and the first plan.
    pub fn inherit_suspects(&mut self, id: JobId, suspects: SuspectTasks, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let occurrences: Vec<u32> = suspects.tasks.iter().map(|task| task.occurrence).collect();
        job.set_suspects(suspects);
        // Reports may account for these runs before the occurrence is due by this entry's clock.
        for occurrence in occurrences {
            job.open_occurrence(occurrence, now);
        }
        self.suspects.extend(job.suspect_ids());
    }

    /// Sets what an earlier scheduler has stored of the incarnations of its workers. Must follow [`Self::take_over`] and
    /// precede the first list of workers.
    pub fn inherit_incarnations(&mut self, inherited: InheritedIncarnations, now: Instant) {
        let longest = now + expiry(self.bounds.lease_max, &self.bounds);
        if let Some(takeover) = &mut self.takeover {
            let strays = inherited.stray_leases.as_ref();
            for (id, until) in &mut takeover.awaited {
                if strays.is_none_or(|strays| strays.contains(id)) {
                    *until = longest;
                }
            }
        }
        let known = inherited.started_ms.iter();
        self.departed = known
            .map(|(id, started_ms)| {
                let departed = DepartedIncarnation {
                    started_ms: *started_ms,
                    since: now,
                };
                (id.clone(), departed)
            })
            .collect();
        self.inherited = inherited;
    }

    /// Records that a worker was lost with all its runs, and its fate if that is known. Precedes their removal, as each is
    /// judged by what ran beside it.
    pub(super) fn record_all_losses(
        &mut self,
        worker_ref: WorkerRef,
        fate: Option<Fate>,
        now: Instant,
    ) {
        let worker = self.workers.get(&worker_ref);
        let keys = worker.map(|worker| worker.runs.keys().copied().collect::<Vec<_>>());
        self.record_losses(worker_ref, &keys.unwrap_or_default(), fate, now);
    }

    /// The same for some of its runs.
    pub(super) fn record_losses(
        &mut self,
        worker_ref: WorkerRef,
        runs: &[RunKey],
        fate: Option<Fate>,
        now: Instant,
    ) {
        for key in runs {
            self.record_loss(worker_ref, *key, fate, now);
        }
    }

    /// Records that the worker of a run was lost, and gives the job up if that shows that the task crashes its workers.
    fn record_loss(
        &mut self,
        worker_ref: WorkerRef,
        key: RunKey,
        fate: Option<Fate>,
        now: Instant,
    ) {
        if self.is_carried_over(worker_ref, key) {
            // Its loss was recorded with the incarnation that it was meant for, and nothing shows that this one executed it. It may
            // have, and may have ended by the stop that was sent.
            self.doubt(worker_ref, key);
            return;
        }
        let Some(exposure) = self.exposure(worker_ref, key, now) else {
            self.clear_reported(worker_ref, key);
            return;
        };
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let beside = worker.runs.len().saturating_sub(1);
        let loss = UnreportedRun {
            run: Some(key.1),
            worker: worker.info.id.clone(),
            started_ms: worker.info.started_ms,
            exposure,
            state: RunState::Lost,
            fate,
            execution: worker.runs.get(&key).and_then(|run| shown_by(run.executor)),
        };
        let (id, started_ms) = (loss.worker.clone(), loss.started_ms);
        let execution = loss.execution;
        let Some(runs) = self.update_task(key.0, |task| {
            if task.is_done {
                return None;
            }
            let is_same = |run: &&mut UnreportedRun| run.run == loss.run;
            match task.unreported.iter_mut().find(is_same) {
                Some(run) if run.state == RunState::Open => {
                    run.lose(exposure);
                    run.fate = fate;
                    run.execution = run.execution.max(loss.execution);
                }
                // Recorded with the incarnation that the start was meant for, by an earlier scheduler or for another copy.
                Some(run) if run.worker == loss.worker => return None,
                Some(_) | None => task.unreported.push(loss),
            }
            Some(task.unreported.clone())
        }) else {
            return;
        };
        self.suspects.insert(key.0);
        self.unsaved.insert(key.0.step.job);
        self.events.push(Event::RunLost(LostRun {
            worker: id,
            task: key.0,
            run: key.1,
            started_ms,
            execution,
            exposure,
            beside,
            unreported: runs.len(),
        }));
        self.judge_crashes(key.0, now);
    }

    /// What the loss of a run says about its task. `None` if it says nothing: the worker has announced that it leaves,
    /// or a service had worked there.
    fn exposure(&self, worker_ref: WorkerRef, key: RunKey, now: Instant) -> Option<Exposure> {
        let worker = self.workers.get(&worker_ref)?;
        let run = worker.runs.get(&key)?;
        if worker.info.is_draining || run.trust == Trust::Established && run.is_service {
            return None;
        }
        let others = worker.runs.keys().filter(|other| **other != key);
        // A start without an answer may have come after the crash.
        let may_not_have_begun = run.phase == Phase::Starting;
        // The latest time of its end, if that ended it. A worker that is back before it was missed may have lasted until now.
        let lost_by = worker.unresponsive_since.unwrap_or(now);
        Some(
            if may_not_have_begun || run.is_established_at(Some(lost_by)) {
                Exposure::Established
            } else if others.count() == 0
                && run.origin != Origin::CarriedOver
                && self.has_neighbour(worker)
            {
                Exposure::Alone
            } else {
                Exposure::Shared
            },
        )
    }

    /// Whether a neighbour that answered before the worker was lost still answers, so that the worker was not lost with
    /// its rack. Without others on its rack, the other workers of the pool count.
    fn has_neighbour(&self, lost: &Worker) -> bool {
        // The labels are a worker's kind and its rack; workers of one kind stand on many racks.
        let is_on_rack = |other: &Worker| {
            let mut labels = lost.info.labels.iter();
            labels.all(|label| other.has_label(label))
        };
        let before = |other: &&Worker| {
            let lost_at = lost.known_up_until();
            let since = other.answering_since;
            other.info.id != lost.info.id && since.is_some_and(|since| Some(since) < lost_at)
        };
        let others = || self.workers.values().filter(before);
        let still_answers = |other: &Worker| {
            other.contact == Contact::Responding
                && !other.has_departed
                && other.answered_at >= lost.unresponsive_since
        };
        if others().any(is_on_rack) {
            others()
                .filter(|other| is_on_rack(other))
                .any(still_answers)
        } else {
            others().any(still_answers)
        }
    }

    /// Gives the job of a task up if its lost runs show that it crashes its workers.
    pub(super) fn judge_crashes(&mut self, task: TaskId, now: Instant) {
        let limit = self.bounds.crash_limit;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let is_given_up = job.judge_crashes(task, limit);
        let state = job.step(task.step).map(|(_, state)| state);
        let runs = state.and_then(|state| state.tasks.get(task.index as usize));
        let runs = runs.map(|task| task.unreported.clone()).unwrap_or_default();
        if !is_given_up {
            let is_held = runs.len() >= CrashLimit::unreported_max();
            if job.outcome.is_none() && is_held && limit.is_exceeded(&runs) {
                self.events.push(Event::Withheld { task, runs });
            }
            return;
        }
        let took = now.saturating_duration_since(job.accepted_at);
        self.unsaved.insert(task.step.job);
        self.events.push(Event::GivenUp { task, runs, took });
    }

    /// Whether a run was meant for an earlier incarnation of the worker, and no report of the present one has listed it.
    fn is_carried_over(&self, worker_ref: WorkerRef, key: RunKey) -> bool {
        let worker = self.workers.get(&worker_ref);
        let run = worker.and_then(|worker| worker.runs.get(&key));
        run.is_some_and(|run| {
            run.origin == Origin::CarriedOver && run.executor != Executor::Reported
        })
    }

    /// Forgets that a run is unreported, as its worker has reported what became of it. A run that was started on an
    /// earlier incarnation is not accounted for by the present one.
    pub(super) fn clear_reported(&mut self, worker_ref: WorkerRef, key: RunKey) {
        if !self.suspects.contains(&key.0) {
            return;
        }
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
        if self.is_carried_over(worker_ref, key) {
            return;
        }
        self.clear(key.0, |run| {
            run.run == Some(key.1) && run.worker == id && run.started_ms == started_ms
        });
    }

    /// Forgets the unreported runs of a worker's present incarnation that it does not execute: it has not crashed.
    pub(super) fn clear_absent(&mut self, worker_ref: WorkerRef) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        if self.suspects.is_empty() || worker.info.started_ms.is_none() {
            return;
        }
        let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
        let runs: Vec<RunKey> = worker.runs.keys().copied().collect();
        for task in self.suspects.clone() {
            self.clear(task, |run| {
                let is_present = run.run.is_some_and(|number| runs.contains(&(task, number)));
                run.worker == id && run.started_ms == started_ms && !is_present
            });
        }
    }

    /// Records that a run is established. A service that has worked does not crash the workers that start it.
    pub(super) fn establish(&mut self, key: RunKey) {
        if !self.suspects.contains(&key.0) {
            return;
        }
        let job = self.jobs.get(&key.0.step.job);
        let step = job.and_then(|job| job.step(key.0.step));
        if step.is_some_and(|(step, _)| step.is_service()) {
            self.clear(key.0, |run| run.state == RunState::Lost);
        }
        let changed = self.update_task(key.0, |task| {
            let mut open = task.unreported.iter_mut();
            let run = open.find(|run| run.run == Some(key.1) && run.state == RunState::Open)?;
            let before = std::mem::replace(&mut run.exposure, Exposure::Established);
            (before != Exposure::Established).then_some(())
        });
        if changed.is_some() {
            self.unsaved.insert(key.0.step.job);
        }
    }

    pub(super) fn clear(&mut self, task: TaskId, is_cleared: impl Fn(&UnreportedRun) -> bool) {
        let changed = self.update_task(task, |task| {
            let cleared: Vec<UnreportedRun> = task
                .unreported
                .extract_if(.., |run| is_cleared(run))
                .collect();
            (!cleared.is_empty()).then_some((cleared, task.unreported.is_empty()))
        });
        if let Some((cleared, is_empty)) = changed {
            self.unsaved.insert(task.step.job);
            let lost = cleared
                .into_iter()
                .filter(|run| run.state == RunState::Lost);
            self.events.extend(lost.map(|run| Event::Unreported {
                task,
                run,
                change: "cleared",
            }));
            if is_empty {
                self.suspects.remove(&task);
            }
        }
    }

    pub(super) fn update_task<R>(
        &mut self,
        task: TaskId,
        change: impl FnOnce(&mut Task) -> Option<R>,
    ) -> Option<R> {
        let job = self.jobs.get_mut(&task.step.job)?;
        let (_, state) = job.step_mut(task.step)?;
        state.update(task.index, change).flatten()
    }

    /// Records the start of a run whose task is suspect, and the run of which it is a copy, as unreported. Both are
    /// stored before the start is sent.
    pub(super) fn record_suspect_start(
        &mut self,
        key: RunKey,
        worker_ref: WorkerRef,
        now: Instant,
    ) {
        let (task, number) = key;
        let copied: Vec<UnreportedRun> = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.iter().map(move |run| (worker, run)))
            .filter(|(_, ((running, run), _))| *running == task && *run != number)
            .map(|(worker, ((_, run), state))| UnreportedRun {
                run: Some(*run),
                worker: worker.info.id.clone(),
                started_ms: worker.info.started_ms,
                exposure: if worker.is_established(state, now) {
                    Exposure::Established
                } else {
                    Exposure::Shared
                },
                state: RunState::Open,
                fate: None,
                execution: shown_by(state.executor),
            })
            .collect();
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let is_isolated = worker
            .runs
            .get(&key)
            .is_some_and(|run| run.trust == Trust::Isolated);
        let started = UnreportedRun {
            run: Some(number),
            worker: worker.info.id.clone(),
            started_ms: worker.info.started_ms,
            exposure: if is_isolated {
                Exposure::Alone
            } else {
                Exposure::Shared
            },
            state: RunState::Open,
            fate: None,
            execution: None,
        };
        self.update_task(task, |task| {
            for run in copied.into_iter().chain([started]) {
                let is_known = task.unreported.iter().any(|known| known.run == run.run);
                if !is_known {
                    task.unreported.push(run);
                }
            }
            Some(())
        });
        self.suspects.insert(task);
        self.unsaved.insert(task.step.job);
    }

    /// Collects the suspect tasks of a job whose tasks have become known after a takeover.
    pub(super) fn collect_suspects(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for task in job.suspect_ids() {
            self.suspects.insert(task);
            self.unsaved.insert(id);
            self.judge_crashes(task, now);
        }
    }

    /// Whether a task has unreported runs: each of its starts must be stored before it is sent.
    #[must_use]
    pub fn is_suspect(&self, task: TaskId) -> bool {
        self.suspects.contains(&task)
    }
}
