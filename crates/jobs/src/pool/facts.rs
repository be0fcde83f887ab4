//! Jobs, workers and answers to orders, as the scheduler takes them in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_types::names::QueueName;

use crate::id::{JobId, RunNumber, TaskId, VmId, WorkerId, WorkerRef};
use crate::job::Job;
use crate::pool::{Event, Pool, StartAnswer, Takeover};
use crate::progress::Progress;
use crate::spec::{JobRecord, JobState};
use crate::worker::{Contact, Phase, Run, RunKey, Worker, WorkerInfo, with_drift};

/// How long a worker gets no starts after it had no answer or was unhealthy.
const WORKER_PAUSE: Duration = Duration::from_millis(500);

/// How long a job gets no starts after one came too late: the worker or the store is slow.
const TOO_LATE_PAUSE: Duration = Duration::from_millis(250);

/// How long a job gets no starts after one was malformed. Another worker would say the same.
const MALFORMED_PAUSE: Duration = Duration::from_secs(2);

impl Pool {
    /// Takes an accepted job. One that is known already keeps its progress.
    pub fn submit(&mut self, record: JobRecord, age: Duration, now: Instant) {
        if self.jobs.contains_key(&record.id) {
            if record.is_cancelled {
                self.cancel(record.id);
            }
            return;
        }
        let job = self.open(record, age, now);
        if job.outcome.is_some() {
            self.unsaved.insert(job.id());
        } else {
            self.arrivals.note(&job, now);
        }
        self.jobs.insert(job.id(), job);
    }

    fn open(&self, record: JobRecord, age: Duration, now: Instant) -> Job {
        let steps = record.spec.steps.iter();
        let step_times: Vec<_> = steps
            .map(|step| self.estimates.expect(&record.queue, step.estimate))
            .collect();
        let chain = record.spec.longest_chain(step_times.iter().copied());
        let objective = self
            .catalogue
            .queue(&record.queue)
            .map_or(chain, |queue| queue.objective(chain));
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        Job::new(record, step_times, objective, accepted_at, now)
    }

    /// Takes over from an earlier scheduler: its open jobs, and the workers that it may have used. What these run is
    /// unknown until each has reported or all leases have lapsed.
    pub fn take_over(
        &mut self,
        jobs: Vec<(JobRecord, Progress, Duration)>,
        crew: BTreeSet<WorkerId>,
        now: Instant,
    ) {
        for (record, progress, age) in jobs {
            let first_run = RunNumber(self.token.0);
            let has_failed = self.has_failed(&record, &progress);
            let mut job = self
                .open(record, age, now)
                .with_progress(progress, first_run);
            if job.outcome.is_none() && has_failed {
                job.outcome = Some(JobState::Failed);
            }
            self.unsaved.insert(job.id());
            self.jobs.insert(job.id(), job);
        }
        let until = now + with_drift(self.bounds.lease) + self.bounds.start_window;
        self.takeover = Some(Takeover {
            awaited: crew,
            until,
        });
    }

    /// Whether the stored progress shows a task that has used up its attempts.
    fn has_failed(&self, record: &JobRecord, progress: &Progress) -> bool {
        let attempts_max = self.attempts_max(&record.queue);
        let steps = progress
            .occurrences
            .iter()
            .flat_map(|it| it.steps.iter().zip(&record.spec.steps));
        steps
            .filter(|(_, step)| !step.is_service())
            .any(|(stored, step)| stored.has_failed(step.is_gang(), attempts_max))
    }

    pub(super) fn attempts_max(&self, queue: &QueueName) -> u32 {
        self.catalogue
            .queue(queue)
            .map_or(1, |queue| queue.attempts_max.max(1))
    }

    /// The submitter has cancelled a job.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.record.is_cancelled = true;
            if job.outcome != Some(JobState::Cancelled) {
                job.outcome = Some(JobState::Cancelled);
                self.unsaved.insert(id);
            }
        }
    }

    /// Takes the registry's list of this pool's workers.
    pub fn set_workers(&mut self, listed: Vec<WorkerInfo>, now: Instant) {
        let mut seen: BTreeSet<WorkerRef> = BTreeSet::new();
        for info in listed {
            let known = self.by_id.get(&info.id).copied();
            let worker = match known {
                Some(worker) if !self.is_new_life(worker, &info) => worker,
                Some(worker) => self.begin_life(worker, info.clone(), now),
                None => self.add_worker(info.clone()),
            };
            seen.insert(worker);
            self.refresh(worker, info, now);
        }
        let unlisted: Vec<WorkerRef> = self
            .workers
            .iter()
            .filter(|(worker, it)| it.is_listed && !seen.contains(worker))
            .map(|(worker, _)| *worker)
            .collect();
        for worker in unlisted {
            if let Some(it) = self.workers.get_mut(&worker) {
                it.is_listed = false;
            }
            self.note_worker(worker, "unlisted");
        }
    }

    fn is_new_life(&self, worker: WorkerRef, info: &WorkerInfo) -> bool {
        let Some(it) = self.workers.get(&worker) else {
            return true;
        };
        let is_reborn =
            matches!((it.info.born_ms, info.born_ms), (Some(old), Some(new)) if old < new);
        is_reborn || (it.is_gone && info.born_ms.is_none())
    }

    /// A worker has begun a new life under its old id. What its old life ran has ended, but a start that was answered after
    /// the old life's last report, or not at all, may have been carried out by the new one, or still be: such a run is
    /// stopped there, and its task is idle only once it is certain that it is not there.
    pub(super) fn begin_life(
        &mut self,
        old: WorkerRef,
        info: WorkerInfo,
        now: Instant,
    ) -> WorkerRef {
        let (doubtful, vm) = self
            .workers
            .get_mut(&old)
            .map_or_else(Default::default, |it| {
                let reported_at = it.answered_at;
                let runs = it.runs.iter();
                let may_be_there =
                    runs.filter(|(_, run)| run.closed_at.is_none_or(|at| Some(at) > reported_at));
                let keys: Vec<RunKey> = may_be_there.map(|(key, _)| *key).collect();
                let runs: Vec<_> = keys
                    .into_iter()
                    .filter_map(|key| Some((key, it.remove(key)?)))
                    .collect();
                (runs, it.vm.clone())
            });
        self.end_life(old, "reborn");
        let worker = self.add_worker(info);
        let longest = with_drift(self.bounds.hold_max) + self.bounds.start_window;
        if let Some(it) = self.workers.get_mut(&worker) {
            it.vm = vm;
            it.held_until = (!doubtful.is_empty()).then(|| now + longest);
            for (key, run) in doubtful {
                let run = Run {
                    phase: Phase::Stopping,
                    stop_sent_at: None,
                    closed_at: None,
                    ..run
                };
                it.add(key, run);
            }
        }
        worker
    }

    fn add_worker(&mut self, info: WorkerInfo) -> WorkerRef {
        use goldcrest_types::entity::EntityRef;
        let worker = WorkerRef::new(self.workers_made);
        self.workers_made += 1;
        self.by_id.insert(info.id.clone(), worker);
        self.workers.insert(worker, Worker::new(info));
        self.note_worker(worker, "found");
        worker
    }

    fn refresh(&mut self, worker: WorkerRef, info: WorkerInfo, now: Instant) {
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        let is_older =
            matches!((it.info.born_ms, info.born_ms), (Some(old), Some(new)) if new < old);
        if is_older {
            return;
        }
        let was_draining = it.info.is_draining;
        it.is_listed = true;
        it.info = WorkerInfo {
            born_ms: info.born_ms.or(it.info.born_ms),
            is_draining: was_draining || info.is_draining,
            ..info
        };
        if it.info.is_draining && !was_draining {
            it.draining_since = Some(now);
            self.note_worker(worker, "draining");
        }
    }

    /// Takes from the platform's list which VM each worker runs on.
    pub fn set_vms(&mut self, vms: &BTreeMap<WorkerId, VmId>) {
        for worker in self.workers.values_mut() {
            if let Some(vm) = vms.get(&worker.info.id) {
                worker.vm = Some(vm.clone());
            }
        }
    }

    /// Takes the VMs that are to be emptied.
    pub fn set_evacuating(&mut self, vms: &BTreeSet<VmId>, now: Instant) {
        let mut changed = Vec::new();
        for (worker, it) in &mut self.workers {
            let is_evacuating = it.vm.as_ref().is_some_and(|vm| vms.contains(vm));
            if is_evacuating != it.is_evacuating() {
                it.evacuating_since = is_evacuating.then_some(now);
                changed.push((*worker, is_evacuating));
            }
        }
        for (worker, is_evacuating) in changed {
            let state = if is_evacuating {
                "evacuating"
            } else {
                "in service"
            };
            self.note_worker(worker, state);
        }
    }

    /// The VMs that are to be emptied and on which nothing may be at work: their workers have reported under this
    /// scheduler's token, so no earlier one can start anything there.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<VmId> {
        let mut empty = BTreeSet::new();
        let mut busy = BTreeSet::new();
        for it in self.workers.values() {
            let Some(vm) = &it.vm else { continue };
            if it.runs.is_empty() && it.is_evacuating() && it.is_fenced() {
                empty.insert(vm.clone());
            } else if !it.runs.is_empty() {
                busy.insert(vm.clone());
            }
        }
        &empty - &busy
    }

    /// A worker has begun a new life or is certain to be gone: nothing of its runs is at work.
    pub fn end_life(&mut self, worker: WorkerRef, state: &'static str) {
        self.note_worker(worker, state);
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        it.is_gone = true;
        let keys: Vec<RunKey> = it.runs.keys().copied().collect();
        for key in keys {
            self.drop_run(worker, key, "worker gone");
        }
    }

    /// It is certain that the life of the worker which an earlier scheduler may have used has ended.
    pub(super) fn stop_awaiting(&mut self, worker: WorkerRef) {
        if let Some(takeover) = &mut self.takeover
            && let Some(it) = self.workers.get(&worker)
        {
            takeover.awaited.remove(&it.info.id);
        }
    }

    /// A run is certain not to be at work, and did not end as done.
    pub(super) fn drop_run(&mut self, worker: WorkerRef, key: RunKey, how: &'static str) {
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        let Some(run) = it.remove(key) else { return };
        let (task, number) = key;
        let id = it.info.id.clone();
        self.events.push(Event::Ended {
            worker: id,
            task,
            run: number,
            how,
        });
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(team) = &job.record.team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage -= run.reserved;
        }
        if let Some((_, state)) = job.step_mut(task.step) {
            state.update(task.index, |task| {
                task.live = task.live.saturating_sub(1);
                task.is_copy_wanted = false;
                if run.checkpoint.is_some() {
                    task.checkpoint = run.checkpoint;
                }
            });
        }
        if job.outcome.is_some() {
            self.unsaved.insert(task.step.job);
        }
    }

    /// Takes the answer to a start.
    pub fn start_answered(
        &mut self,
        worker: WorkerRef,
        task: TaskId,
        run: RunNumber,
        answer: StartAnswer,
        now: Instant,
    ) {
        let key = (task, run);
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                if let Some(run) = it.runs.get_mut(&key)
                    && run.phase == Phase::Ordered
                {
                    run.phase = Phase::Confirmed;
                    run.closed_at = Some(now);
                    run.started_at = now;
                    run.progressed_at = now;
                }
            }
            StartAnswer::Unknown => it.paused_until = Some(now + WORKER_PAUSE),
            StartAnswer::NoRoom => {
                it.is_full = true;
                self.drop_run(worker, key, "no room");
            }
            StartAnswer::Unhealthy => {
                it.paused_until = Some(now + WORKER_PAUSE);
                self.drop_run(worker, key, "unhealthy");
            }
            // An earlier attempt may have been carried out and have come to its end: the next report shows it.
            StartAnswer::Outdated => {
                if let Some(run) = it.runs.get_mut(&key) {
                    run.closed_at = Some(now);
                }
            }
            StartAnswer::TooLate => {
                self.drop_run(worker, key, "too late");
                self.hold_back(task.step.job, TOO_LATE_PAUSE, now);
            }
            StartAnswer::NoPermit => {
                self.permit_refused(task.step, worker, now);
                self.drop_run(worker, key, "no permit");
            }
            StartAnswer::Malformed => {
                self.drop_run(worker, key, "malformed");
                self.hold_back(task.step.job, MALFORMED_PAUSE, now);
            }
            StartAnswer::Fenced => {
                self.is_fenced_out = true;
                self.drop_run(worker, key, "fenced");
            }
            StartAnswer::WrongWorker => self.replaced(worker),
        }
    }

    /// The job gets no starts for a while.
    fn hold_back(&mut self, job: JobId, pause: Duration, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.held_until = Some(now + pause);
        }
    }

    /// A worker has confirmed a stop: a report that is asked for from now on and doesn't list the run proves that it is
    /// not there.
    pub fn stop_confirmed(
        &mut self,
        worker: WorkerRef,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) {
        if let Some(run) = self
            .workers
            .get_mut(&worker)
            .and_then(|it| it.runs.get_mut(&(task, run)))
        {
            run.closed_at = Some(now);
        }
    }

    /// A worker gave no report; it gets no starts until it does.
    pub fn no_answer(&mut self, worker: WorkerRef) {
        if let Some(it) = self.workers.get_mut(&worker)
            && it.is_fenced()
        {
            it.contact = Contact::Silent;
        }
    }

    /// Another worker, or another life of it, answers at this one's address.
    pub fn replaced(&mut self, worker: WorkerRef) {
        self.end_life(worker, "replaced");
        self.stop_awaiting(worker);
    }

    /// An order will be sent that extends the worker's leases up to `until_ms` on its clock.
    pub fn lease_offered(&mut self, worker: WorkerRef, until_ms: u64) {
        if let Some(it) = self.workers.get_mut(&worker) {
            it.lease_until_ms = it.lease_until_ms.max(until_ms);
        }
    }
}
