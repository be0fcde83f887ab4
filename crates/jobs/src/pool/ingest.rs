//! Ingests jobs, workers and replies to commands into the state of a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::catalogue::Catalogue;
use crate::id::{JobId, RunNumber, TaskId, VmId, WorkerId, WorkerRef};
use crate::job::{Beginning, Copies, Job};
use crate::lease::{LeaseBound, expiry};
use crate::pool::{DepartedIncarnation, Event, Pool, StartAnswer, Takeover};
use crate::progress::Progress;
use crate::spec::{JobRecord, JobState};
use crate::suspect::Fate;
use crate::worker::{
    Contact, Description, Executor, Origin, Phase, Run, RunKey, StrayLease, UNANSWERED_LIFE,
    Worker, WorkerInfo,
};

/// How long a worker gets no starts after it was unhealthy or did not reply to one.
const WORKER_PAUSE: Duration = Duration::from_millis(500);

/// How long a job gets no starts after one arrived too late: the worker or the store is slow.
const TOO_LATE_PAUSE: Duration = Duration::from_millis(250);

/// How long a job gets no starts after one was rejected as malformed. Other workers would reject it as well.
const MALFORMED_PAUSE: Duration = Duration::from_secs(2);

impl Pool {
    /// Adds a job that was accepted `age` ago. A job that is known already keeps its progress; only its cancellation is
    /// applied.
    pub fn submit(&mut self, record: JobRecord, age: Duration, now: Instant) {
        if self.jobs.contains_key(&record.id) {
            if record.is_cancelled {
                self.cancel(record.id);
            }
            return;
        }
        self.set_aside.remove(&record.id);
        let job = self.open(record, age, now);
        if job.outcome.is_some() {
            self.unsaved.insert(job.id());
        } else {
            self.arrivals.record(&job, now);
        }
        self.jobs.insert(job.id(), job);
    }

    fn open(&mut self, mut record: JobRecord, age: Duration, now: Instant) -> Job {
        let steps = record.spec.steps.iter();
        let step_times: Vec<_> = steps
            .map(|step| self.estimates.expect(&record.queue, step.estimate))
            .collect();
        let chain = record.spec.longest_chain(step_times.iter().copied());
        if record.policy.is_none() {
            record.policy = self.catalogue.policy_of(&record);
        }
        let objective = record
            .policy
            .as_ref()
            .map_or(chain, |policy| policy.objective(chain));
        if let (Some(team), Some(policy)) = (&record.team, &record.policy) {
            let highest = self.accepted_caps.entry(team.clone()).or_insert(policy.cap);
            *highest = highest.zip(policy.cap, higher_limit);
        }
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        Job::new(record, step_times, objective, accepted_at, now)
    }

    /// Sets the catalogue in force.
    pub fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        self.catalogue = catalogue;
        for (id, job) in &mut self.jobs {
            if job.record.policy.is_none()
                && let Some(policy) = self.catalogue.policy_of(&job.record)
            {
                let times = job.step_times.iter().copied();
                let longest_chain = job.record.spec.longest_chain(times);
                job.set_policy(policy, longest_chain);
                self.unsaved.insert(*id);
            }
        }
    }

    /// Takes over from an earlier scheduler: its open jobs, each with its stored progress and its age, the workers that
    /// it may have used, and the longest lease that it stored for them. What these run is unknown until each has
    /// reported or all leases have expired.
    pub fn take_over(
        &mut self,
        jobs: Vec<(JobRecord, Progress, Duration)>,
        assigned_workers: BTreeSet<WorkerId>,
        stored_lease: Option<Duration>,
        now: Instant,
    ) {
        self.inherited.has_predecessor = true;
        self.lease_bound =
            LeaseBound::new(&self.bounds).with_predecessor(stored_lease, &self.bounds, now);
        for (record, progress, age) in jobs {
            let first_run = RunNumber(self.token.0);
            let job = self
                .open(record, age, now)
                .with_progress(progress, first_run);
            if job.awaits_policy() {
                self.events.push(Event::AttemptsUnknown { job: job.id() });
            }
            self.unsaved.insert(job.id());
            self.jobs.insert(job.id(), job);
        }
        self.inherit_open_starts();
        let until = now + expiry(self.lease_bound.inherited(), &self.bounds);
        self.takeover = Some(Takeover {
            awaited: assigned_workers
                .into_iter()
                .map(|worker| (worker, until))
                .collect(),
            lost: BTreeSet::new(),
        });
    }

    /// Cancels a job at its submitter's request.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.record.is_cancelled = true;
            if job.outcome != Some(JobState::Cancelled) {
                job.outcome = Some(JobState::Cancelled);
                self.unsaved.insert(id);
            }
        }
    }

    /// Ends a job by its stored final state, which submitters may have seen. Returns whether the job was not known to have
    /// ended so. A cancellation replaces a state that is not stored.
    pub fn end_as_stored(&mut self, id: JobId, state: JobState) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let is_news = match state {
            JobState::Cancelled => job.outcome != Some(state),
            JobState::Completed | JobState::Failed => job.outcome.is_none(),
            JobState::Queued | JobState::Running => false,
        };
        if state == JobState::Cancelled {
            self.cancel(id);
        } else if is_news {
            job.outcome = Some(state);
            self.unsaved.insert(id);
        }
        is_news
    }

    /// Applies the registry's list of this pool's workers.
    pub fn set_workers(&mut self, listed: Vec<WorkerInfo>, now: Instant) {
        let is_first = self.listed_at.is_none();
        let ids = listed.iter().map(|info| info.id.clone()).collect();
        self.record_list(&ids, now);
        let mut seen: BTreeSet<WorkerRef> = BTreeSet::new();
        for info in listed {
            let known = self.by_id.get(&info.id).copied();
            let worker_ref = match known {
                Some(worker_ref) if !self.is_new_incarnation(worker_ref, &info) => worker_ref,
                Some(worker_ref) => self.begin_incarnation(worker_ref, info.clone(), now),
                None => self.add_unknown_worker(info.clone(), now),
            };
            if is_first && let Some(worker) = self.workers.get_mut(&worker_ref) {
                // This scheduler has sent nothing yet, and the role's token is higher than that of any earlier one.
                worker.token = Some(self.token);
            }
            seen.insert(worker_ref);
            self.refresh(worker_ref, info, now);
        }
        let unlisted: Vec<WorkerRef> = self
            .workers
            .iter()
            .filter(|(worker_ref, worker)| worker.is_listed && !seen.contains(worker_ref))
            .map(|(worker_ref, _)| *worker_ref)
            .collect();
        for worker_ref in unlisted {
            if let Some(worker) = self.workers.get_mut(&worker_ref) {
                worker.is_listed = false;
            }
            self.push_worker_event(worker_ref, "unlisted");
        }
    }

    fn is_new_incarnation(&self, worker_ref: WorkerRef, info: &WorkerInfo) -> bool {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return true;
        };
        let is_restarted = matches!((worker.info.started_ms, info.started_ms), (Some(old), Some(new)) if old < new);
        is_restarted || (worker.has_departed && info.started_ms.is_none())
    }

    /// Replaces a worker that has restarted under its old id. The runs that a report of the old incarnation has listed have
    /// ended, but any other start, also a confirmed one, may have been executed by the new one, or may still be. So may a copy
    /// of a start that had no reply, whatever became of the run. Each such run is stopped in the new incarnation, which
    /// then refuses the start, and its task becomes idle only once the run is certain not to be executing.
    pub(super) fn begin_incarnation(
        &mut self,
        old: WorkerRef,
        info: WorkerInfo,
        now: Instant,
    ) -> WorkerRef {
        let mut carried_over: Vec<(RunKey, Run)> = Vec::new();
        let id = info.id.clone();
        let mut late = self.possible_late_starts(&id, now);
        let mut vm = None;
        if let Some(worker) = self.workers.get_mut(&old) {
            let runs = worker.runs.iter();
            let unseen = runs.filter(|(_, run)| run.executor != Executor::Reported);
            late.extend(unseen.map(|(key, _)| *key));
            vm.clone_from(&worker.vm);
            // The old incarnation may have executed the runs that are carried over.
            self.record_all_losses(old, Some(Fate::Restarted), now);
            if let Some(worker) = self.workers.get_mut(&old) {
                let removed = late
                    .iter()
                    .filter_map(|key| Some((*key, worker.remove(*key)?)));
                carried_over.extend(removed);
            }
        }
        self.drop_incarnation(old, "reborn", now);
        if let Some(worker) = self.workers.get_mut(&old) {
            worker.is_listed = false;
        }
        let worker_ref = self.add_worker(info, now);
        if let Some(worker) = self.workers.get_mut(&worker_ref) {
            worker.vm = vm;
            // Known to have had an earlier incarnation, even if neither states when it started.
            worker.stray_lease = StrayLease::Possible;
            for (key, run) in carried_over {
                worker.add(key, run);
            }
        }
        self.carry_over(worker_ref, &late, now);
        if self.has_open_starts(&id)
            && let Some(worker) = self.workers.get_mut(&worker_ref)
        {
            worker.earlier_runs_until = Some(now + expiry(self.bounds.lease_max, &self.bounds));
        }
        worker_ref
    }

    /// Adds starts that were meant for an earlier incarnation to a worker's runs, unless they are there, to be stopped.
    fn carry_over(&mut self, worker_ref: WorkerRef, starts: &BTreeSet<RunKey>, now: Instant) {
        for key in starts {
            let worker = self.workers.get(&worker_ref);
            if worker.is_some_and(|worker| !worker.runs.contains_key(key)) {
                self.adopt(worker_ref, *key, now);
            }
        }
        let longest = expiry(self.bounds.lease_max, &self.bounds);
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        if !starts.is_empty() {
            worker.earlier_runs_until = Some(now + longest);
        }
        let carried_over = worker.runs.iter_mut();
        for (_, run) in carried_over.filter(|(key, _)| starts.contains(key)) {
            run.phase = Phase::Stopping;
            run.stop_sent_at = None;
            run.closed_at = None;
            run.origin = Origin::CarriedOver;
            run.executor = Executor::Unknown { since: now };
        }
    }

    /// The starts of which a copy may still be executed on a worker, by any incarnation of it.
    fn possible_late_starts(&mut self, id: &WorkerId, now: Instant) -> BTreeSet<RunKey> {
        self.forget_unanswered(now);
        let unanswered = self.unanswered.get(id);
        unanswered.map_or_else(BTreeSet::new, |starts| starts.keys().copied().collect())
    }

    /// Forgets unanswered starts of jobs that have ended, after a while.
    pub(super) fn forget_unanswered(&mut self, now: Instant) {
        let jobs = &self.jobs;
        self.unanswered.retain(|_, starts| {
            starts.retain(|(task, _), since| {
                let job = jobs.get(&task.step.job);
                job.is_some_and(|job| job.outcome.is_none())
                    || now.saturating_duration_since(*since) < UNANSWERED_LIFE
            });
            !starts.is_empty()
        });
    }

    /// Adds a worker under an id that none has at present. An earlier one may have departed.
    fn add_unknown_worker(&mut self, info: WorkerInfo, now: Instant) -> WorkerRef {
        let late = if self.is_next_incarnation(&info) {
            self.possible_late_starts(&info.id, now)
        } else {
            BTreeSet::new()
        };
        let worker_ref = self.add_worker(info, now);
        self.carry_over(worker_ref, &late, now);
        worker_ref
    }

    /// Whether another incarnation of this worker is known to have departed.
    fn is_next_incarnation(&self, info: &WorkerInfo) -> bool {
        // `departed` also contains the inherited incarnations for a while.
        let departed = self.departed.get(&info.id);
        departed.is_some_and(|departed| info.started_ms.is_some_and(|at| at != departed.started_ms))
    }

    fn add_worker(&mut self, info: WorkerInfo, now: Instant) -> WorkerRef {
        use goldcrest_types::entity::EntityRef;
        let worker_ref = WorkerRef::new(self.workers_made);
        self.workers_made += 1;
        self.by_id.insert(info.id.clone(), worker_ref);
        let is_next = self.is_next_incarnation(&info);
        let mut worker = Worker::new(info);
        if !is_next && self.inherited.excludes_stray_lease(&worker.info) {
            worker.stray_lease = StrayLease::Excluded;
        } else if let Some(takeover) = &mut self.takeover
            && let Some(until) = takeover.awaited.get_mut(&worker.info.id)
        {
            // Commands to the incarnation that the earlier scheduler knew may have reached this one.
            let longest = now + expiry(self.bounds.lease_max, &self.bounds);
            *until = longest.max(*until);
        }
        self.workers.insert(worker_ref, worker);
        self.push_worker_event(worker_ref, "found");
        worker_ref
    }

    fn refresh(&mut self, worker_ref: WorkerRef, info: WorkerInfo, now: Instant) {
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        let is_older = matches!((worker.info.started_ms, info.started_ms), (Some(old), Some(new)) if new < old);
        if is_older {
            return;
        }
        let was_draining = worker.info.is_draining;
        worker.is_listed = true;
        worker.description = Description::Registered;
        worker.info = WorkerInfo {
            started_ms: info.started_ms.or(worker.info.started_ms),
            is_draining: was_draining || info.is_draining,
            ..info
        };
        if worker.info.is_draining && !was_draining {
            worker.draining_since = Some(now);
            self.push_worker_event(worker_ref, "draining");
        }
    }

    /// Sets the VM that each worker runs on. A worker without an entry in `vms` keeps its VM.
    pub fn set_vms(&mut self, vms: &BTreeMap<WorkerId, VmId>) {
        for worker in self.workers.values_mut() {
            if let Some(vm) = vms.get(&worker.info.id) {
                worker.vm = Some(vm.clone());
            }
        }
    }

    /// Sets the VMs to evacuate.
    pub fn set_evacuating(&mut self, vms: &BTreeSet<VmId>, now: Instant) {
        let mut changed = Vec::new();
        for (worker_ref, worker) in &mut self.workers {
            let is_evacuating = worker.vm.as_ref().is_some_and(|vm| vms.contains(vm));
            if is_evacuating != worker.is_evacuating() {
                worker.evacuating_since = is_evacuating.then_some(now);
                changed.push((*worker_ref, is_evacuating));
            }
        }
        for (worker_ref, is_evacuating) in changed {
            let state = if is_evacuating {
                "evacuating"
            } else {
                "in service"
            };
            self.push_worker_event(worker_ref, state);
        }
    }

    /// The VMs being evacuated on which no run may be executing. Their workers have reported under this scheduler's
    /// token, so no earlier scheduler can start anything there.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<VmId> {
        let mut empty = BTreeSet::new();
        let mut busy = BTreeSet::new();
        for worker in self.workers.values() {
            let Some(vm) = &worker.vm else { continue };
            if worker.runs.is_empty() && worker.is_evacuating() && worker.is_fenced() {
                empty.insert(vm.clone());
            } else if !worker.runs.is_empty() {
                busy.insert(vm.clone());
            }
        }
        &empty - &busy
    }

    /// Marks a worker as departed and drops its runs. It has restarted or has certainly stopped, so none of them is
    /// executing.
    pub fn end_incarnation(&mut self, worker_ref: WorkerRef, state: &'static str, now: Instant) {
        self.record_all_losses(worker_ref, None, now);
        self.drop_incarnation(worker_ref, state, now);
    }

    fn drop_incarnation(&mut self, worker_ref: WorkerRef, state: &'static str, now: Instant) {
        self.push_worker_event(worker_ref, state);
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        worker.has_departed = true;
        if let Some(started_ms) = worker.info.started_ms {
            let departed = DepartedIncarnation {
                started_ms,
                since: now,
            };
            let id = worker.info.id.clone();
            if worker.is_fenced() {
                self.departed.insert(id, departed);
            } else {
                // If it returns, commands to the incarnation before it may still be carried out.
                self.departed.entry(id).or_insert(departed);
            }
        }
        let keys: Vec<RunKey> = worker.runs.keys().copied().collect();
        for key in keys {
            self.drop_run(worker_ref, key, "worker gone");
        }
    }

    /// Stops awaiting a worker's report after a takeover, if the incarnation that has certainly ended is the one which the
    /// earlier scheduler has stored, or a later one. The registry's list may be older than what that scheduler has stored, and
    /// the runs are those of the stored incarnation.
    pub(super) fn stop_awaiting(&mut self, worker_ref: WorkerRef) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let id = worker.info.id.clone();
        let inherited = &self.inherited;
        let stored_ms = inherited
            .present_ms
            .get(&id)
            .or(inherited.started_ms.get(&id));
        let stored_ms = stored_ms.copied();
        let has_ended = stored_ms.is_some() && worker.info.started_ms >= stored_ms;
        if has_ended && takeover.awaited.remove(&id).is_some() {
            self.events.push(Event::AwaitEnded {
                worker: id.clone(),
                how: "replaced",
                stored_ms,
                started_ms: worker.info.started_ms,
            });
            takeover.lost.insert(id);
        }
    }

    /// Removes a run that is certain not to be executing and has not ended as done, by what its worker has reported.
    pub(super) fn drop_reported(&mut self, worker_ref: WorkerRef, key: RunKey, how: &'static str) {
        self.clear_reported(worker_ref, key);
        self.drop_run(worker_ref, key, how);
    }

    /// Removes a run that is certain not to be executing and has not ended as done.
    pub(super) fn drop_run(&mut self, worker_ref: WorkerRef, key: RunKey, how: &'static str) {
        let Some(host) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        let Some(run) = host.remove(key) else { return };
        let (task, number) = key;
        let (id, started_ms) = (host.info.id.clone(), host.info.started_ms);
        self.events.push(Event::Ended {
            worker: id,
            task,
            run: number,
            started_ms,
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
                task.copies = Copies::Denied;
                if run.checkpoint.is_some() {
                    task.checkpoint = run.checkpoint;
                }
            });
        }
        if job.outcome.is_some() {
            self.unsaved.insert(task.step.job);
        }
    }

    /// Applies a worker's reply to a start.
    pub fn start_answered(
        &mut self,
        worker_ref: WorkerRef,
        task: TaskId,
        run: RunNumber,
        answer: StartAnswer,
        now: Instant,
    ) {
        let key = (task, run);
        if answer != StartAnswer::Unknown {
            self.settle_start(worker_ref, key);
        }
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.beginning = Beginning::Started;
                }
                if let Some(permits) = self.permits.get_mut(&task.step) {
                    permits.accept();
                }
                if let Some(run) = worker.runs.get_mut(&key)
                    && run.phase == Phase::Starting
                {
                    run.phase = Phase::Confirmed;
                    run.closed_at = Some(now);
                    run.started_at = now;
                    run.progressed_at = now;
                }
                self.record_answer(worker_ref, key);
            }
            StartAnswer::Unknown => worker.paused_until = Some(now + WORKER_PAUSE),
            StartAnswer::NoRoom => {
                worker.is_full = true;
                self.drop_reported(worker_ref, key, "no room");
            }
            StartAnswer::Unhealthy => {
                worker.paused_until = Some(now + WORKER_PAUSE);
                self.drop_reported(worker_ref, key, "unhealthy");
            }
            // An earlier attempt may have been executed and have ended; the next report shows it.
            StartAnswer::Outdated => {
                if let Some(run) = worker.runs.get_mut(&key) {
                    run.closed_at = Some(now);
                }
            }
            StartAnswer::TooLate => {
                self.drop_reported(worker_ref, key, "too late");
                self.pause_job(task.step.job, TOO_LATE_PAUSE, now);
            }
            StartAnswer::NoPermit => {
                self.permit_refused(task.step, worker_ref, now);
                self.drop_reported(worker_ref, key, "no permit");
            }
            StartAnswer::Cordoned => self.drop_reported(worker_ref, key, "cordoned"),
            StartAnswer::Malformed => {
                self.drop_reported(worker_ref, key, "malformed");
                self.pause_job(task.step.job, MALFORMED_PAUSE, now);
            }
            StartAnswer::Fenced => {
                // A later incarnation refuses commands to this one by the token that it has got from this scheduler.
                self.is_fenced_out |= !worker.has_departed;
                self.drop_reported(worker_ref, key, "fenced");
            }
            StartAnswer::WrongWorker => {
                self.drop_reported(worker_ref, key, "wrong worker");
                self.worker_replaced(worker_ref, now);
            }
        }
    }

    fn pause_job(&mut self, job: JobId, pause: Duration, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.paused_until = Some(now + pause);
        }
    }

    /// Records that a worker has confirmed a stop. A report that is requested from now on and doesn't list the run
    /// proves that the run is not executing.
    pub fn stop_confirmed(
        &mut self,
        worker_ref: WorkerRef,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) {
        if let Some(run) = self
            .workers
            .get_mut(&worker_ref)
            .and_then(|worker| worker.runs.get_mut(&(task, run)))
        {
            run.closed_at = Some(now);
        }
    }

    /// Records that a start is about to be sent, which extends the worker's leases.
    pub fn start_sent(&mut self, worker_ref: WorkerRef, now: Instant) {
        if let Some(worker) = self.workers.get_mut(&worker_ref) {
            worker.lease_sent_at = Some(now);
        }
    }

    /// Records what the clock of the incarnation showed that has answered a start, in milliseconds. By it the run's lease is
    /// bounded, also if that is a later incarnation than the start was meant for.
    pub fn start_clock_read(
        &mut self,
        worker_ref: WorkerRef,
        task: TaskId,
        run: RunNumber,
        clock_ms: u64,
        now: Instant,
    ) {
        let worker = self.workers.get_mut(&worker_ref);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&(task, run))) {
            run.executor = Executor::Answered { clock_ms, at: now };
        }
    }

    /// Records that a copy of a start had no reply. It may still be executed, also after a later copy was answered. `id` is that
    /// of the worker that the start was sent to, which may have been removed since.
    pub fn start_unanswered(
        &mut self,
        worker_ref: WorkerRef,
        id: &WorkerId,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) {
        let key = (task, run);
        let starts = self.unanswered.entry(id.clone()).or_default();
        starts.insert(key, now);
        if self.is_bound_by_starts(task) {
            self.update_task(task, |task| {
                task.give_up_start(id, run);
                Some(())
            });
            self.bound.insert(task);
            self.unsaved.insert(task.step.job);
        }
        let worker = self.workers.get_mut(&worker_ref);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&key)) {
            run.executor = Executor::Unknown { since: now };
        }
        let present = self.by_id.get(id).copied();
        // It may have restarted since the copy was sent.
        if let Some(present) = present.filter(|present| *present != worker_ref) {
            self.carry_over(present, &BTreeSet::from([key]), now);
        }
    }

    /// Records that a worker did not answer the request for a report. It gets no starts until it does.
    pub fn mark_unresponsive(&mut self, worker_ref: WorkerRef, now: Instant) {
        if let Some(worker) = self.workers.get_mut(&worker_ref)
            && worker.is_fenced()
        {
            worker.contact = Contact::Unresponsive;
            worker.unresponsive_since.get_or_insert(now);
        }
    }

    /// Handles a reply from another worker, or another incarnation, at this worker's address.
    pub fn worker_replaced(&mut self, worker: WorkerRef, now: Instant) {
        self.end_incarnation(worker, "replaced", now);
        self.stop_awaiting(worker);
    }

    /// Records that a command is about to be sent that extends the worker's leases up to `until_ms` on its clock.
    pub fn lease_offered(&mut self, worker_ref: WorkerRef, until_ms: u64, now: Instant) {
        if let Some(worker) = self.workers.get_mut(&worker_ref) {
            worker.record_lease(until_ms, now);
        }
    }
}

/// The higher of two limits on a kind of resource, where 0 means no limit.
fn higher_limit(one: u64, other: u64) -> u64 {
    if one == 0 || other == 0 {
        0
    } else {
        one.max(other)
    }
}
