//! The scheduler: events in, decisions out.

mod explain;

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::{TaskKey, TeamName, VmName};
use goldcrest_types::units::{Resources, Slots};
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::config::{Config, move_worth};
use crate::decision::{Decisions, Ended, Parked};
use crate::order::{OrderScratch, start_waiting};
use crate::place::PlaceScratch;
use crate::preempt::PreemptScratch;
use crate::reason::Reason;
use crate::report::{StartOutcome, TaskObservation, take_report, take_start};
use crate::retry::end_cancelled;
use crate::share::ShareScratch;
use crate::state::{LaneId, Phase, Progress, Run, State, Task, TaskSpec, TaskState, WorkerSpec};
use crate::{evacuate, health, hold, lease, overload, preempt, share, verify};

pub use explain::{Explanation, Snapshot, TeamStatus};

quick_error! {
    /// Why a task was not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmitError {
        /// There is a task with this key.
        Duplicate(key: TaskKey) {
            display("task {key} was accepted before: ask for its state, or draw a new key")
        }
        /// It needs no processor.
        NoProcessor {
            display("the task declares no processor time: set cpu_millis to 1 or more")
        }
        /// The catalogue has no such queue or team.
        NoSuchQueue {
            display("the catalogue has no such queue or team: correct the name, or add it to the catalogue")
        }
        /// The list of VMs never had the worker that it runs on.
        NoSuchWorker {
            display("no such worker was ever listed: read the list of VMs first")
        }
    }
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The task does not run; it has ended with this call.
    Ended,
    /// It may run, and is told to stop.
    Stopping,
    /// It had ended before.
    AlreadyEnded,
    /// There is no such task.
    Unknown,
}

/// Decides about the tasks of one data centre or a part of it.
#[derive(Debug)]
pub struct Scheduler {
    state: State,
    order: OrderScratch,
    places: PlaceScratch,
    shares: ShareScratch,
    preempts: PreemptScratch,
}

impl Scheduler {
    /// A scheduler that knows nothing.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Self {
            state: State::new(cfg),
            order: OrderScratch::default(),
            places: PlaceScratch::default(),
            shares: ShareScratch::default(),
            preempts: PreemptScratch::default(),
        }
    }

    /// Takes over a revision of the catalogue. Tasks of a queue or team that it does not have are parked, and those that
    /// were parked for this are tried again.
    pub fn set_catalogue(&mut self, cat: &Catalogue) {
        let state = &mut self.state;
        state.teams.set_catalogue(cat);
        state.cfg.move_worth = move_worth(&cat.weights);
        for (_, lane) in state.lanes.iter_mut() {
            let queue = &state.teams.queues[lane.queue];
            lane.class = queue.class;
            lane.pool = queue.pool;
        }
        let is_orphan = |task: &Task| {
            let lane = &state.lanes[task.lane];
            !state.teams.queues[lane.queue].is_known || !state.teams[lane.team].is_known
        };
        let waits = |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Delayed);
        let orphans: Vec<TaskId> = state
            .tasks
            .iter()
            .filter(|(_, task)| waits(task) && is_orphan(task))
            .map(|(id, _)| id)
            .collect();
        for id in orphans {
            state.park(id, Reason::NoSuchQueue);
        }
        self.retry_parked(|reason| matches!(reason, Reason::NoSuchQueue));
    }

    /// Takes over the list of workers. Tasks that were too large for every worker are tried again if a larger one came.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Instant) {
        if self.state.workers.set(specs, &mut self.state.teams, now) {
            self.retry_parked(|reason| matches!(reason, Reason::NeverFits { .. }));
        }
    }

    /// Sets how many tasks each team may have running here, until `until`. Teams that are not named may have none.
    pub fn set_grants<'a>(
        &mut self,
        grants: impl IntoIterator<Item = (&'a TeamName, Slots)>,
        until: Instant,
    ) {
        for (_, team) in self.state.teams.iter_mut() {
            team.granted = Slots::ZERO;
        }
        for (name, slots) in grants {
            if let Some(id) = self.state.teams.find(name) {
                let team = &mut self.state.teams[id];
                team.granted = slots;
                team.granted_until = Some(until);
            }
        }
    }

    /// Sets what the teams use in other data centres, and what the workers there have in all.
    pub fn set_elsewhere<'a>(
        &mut self,
        usage: impl IntoIterator<Item = (&'a TeamName, Resources)>,
        capacity: Resources,
    ) {
        for (_, team) in self.state.teams.iter_mut() {
            team.elsewhere = Resources::ZERO;
        }
        for (name, used) in usage {
            if let Some(id) = self.state.teams.find(name) {
                self.state.teams[id].elsewhere = used;
            }
        }
        self.state.teams.capacity_elsewhere = capacity;
    }

    /// Takes a task that was accepted.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if it is a duplicate or can't be read against the catalogue. Nothing was changed then.
    pub fn submit(&mut self, spec: &TaskSpec, now: Instant) -> Result<TaskId, SubmitError> {
        let id = self.add(spec, now)?;
        self.state.wait(id, Reason::Accepted);
        Ok(id)
    }

    /// Takes a task that an earlier scheduler had started, as its `attempt`, on `worker`. It counts as running until a
    /// report tells otherwise or its lease has lapsed for certain.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] as for [`Self::submit`], or if the worker was never listed. Nothing was changed then.
    pub fn adopt(
        &mut self,
        spec: &TaskSpec,
        worker: &VmName,
        attempt: u32,
        now: Instant,
    ) -> Result<TaskId, SubmitError> {
        let vm = self.worker(worker).ok_or(SubmitError::NoSuchWorker)?;
        let id = self.add(spec, now)?;
        let state = &mut self.state;
        let reserved = state.estimate(id, state.cfg.size_quantile_permille);
        let run = Run {
            worker: vm,
            attempt,
            since: now,
            phase: Phase::Starting,
            settled_at: now + state.cfg.call_max,
            counted_until: now + state.cfg.lease_bound(),
            renew_at: now,
            reserved,
            charge: state.estimate(id, 500),
            used: Resources::ZERO,
            peak: Resources::ZERO,
            reports: 0,
            is_learned: false,
            is_throttled: false,
            stop: None,
        };
        state.tasks[id].progress = Progress::HasRun;
        state.tasks[id].reason = Reason::Adopted { worker: vm };
        state.book(id, run);
        Ok(id)
    }

    /// Takes a task that an earlier scheduler had accepted, and that is known not to run.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] as for [`Self::submit`]. Nothing was changed then.
    pub fn recover(
        &mut self,
        spec: &TaskSpec,
        attempts: u32,
        progress: Progress,
        now: Instant,
    ) -> Result<TaskId, SubmitError> {
        let id = self.add(spec, now)?;
        let task = &mut self.state.tasks[id];
        task.attempt = attempts;
        task.progress = progress;
        self.state.wait(id, Reason::Accepted);
        Ok(id)
    }

    fn add(&mut self, spec: &TaskSpec, now: Instant) -> Result<TaskId, SubmitError> {
        let state = &mut self.state;
        if state.tasks.find(&spec.key).is_some() {
            return Err(SubmitError::Duplicate(spec.key));
        }
        if spec.declared.cpu_millis.is_zero() {
            return Err(SubmitError::NoProcessor);
        }
        let lane = self.lane(spec)?;
        let state = &mut self.state;
        let due_after = state.cfg.due_after(state.lanes[lane].class);
        let order = state.tasks.next_seq();
        Ok(state.tasks.insert(Task {
            key: spec.key,
            lane,
            declared: spec.declared,
            declared_run: spec.declared_run,
            submitted: now,
            order,
            due: spec.deadline.unwrap_or(now + due_after),
            checkpointable: spec.checkpointable,
            idempotent: spec.idempotent,
            attempt: 0,
            failures: 0,
            avoid: SmallVec::new(),
            preemptions: 0,
            progress: Progress::NeverRan,
            cancelled: false,
            seq: order,
            state: TaskState::Delayed,
            reason: Reason::Accepted,
        }))
    }

    fn lane(&mut self, spec: &TaskSpec) -> Result<LaneId, SubmitError> {
        let state = &mut self.state;
        let team = state.teams.find(&spec.team);
        let queue = state.teams.queue(&spec.queue);
        let (Some(team), Some(queue)) = (team, queue) else {
            return Err(SubmitError::NoSuchQueue);
        };
        let known = &state.teams.queues[queue];
        if !known.is_known || !state.teams[team].is_known {
            return Err(SubmitError::NoSuchQueue);
        }
        if let Some(lane) = state.lanes.find(queue, team) {
            return Ok(lane);
        }
        let lane = state.lanes.insert(queue, team, known.class, known.pool);
        state.teams[team].lanes.push(lane);
        Ok(lane)
    }

    /// Cancels a task, in constant time. A waiting task has ended with this call; a running one is told to stop by the
    /// next round, and ends when that is known.
    pub fn cancel(&mut self, key: &TaskKey) -> CancelOutcome {
        let Some(id) = self.state.tasks.find(key) else {
            return CancelOutcome::Unknown;
        };
        let task = &mut self.state.tasks[id];
        match task.state {
            TaskState::Ended(_) => CancelOutcome::AlreadyEnded,
            TaskState::Running(_) => {
                task.cancelled = true;
                CancelOutcome::Stopping
            }
            TaskState::Waiting | TaskState::Delayed | TaskState::Parked => {
                task.cancelled = true;
                end_cancelled(&mut self.state, id);
                CancelOutcome::Ended
            }
        }
    }

    /// Tries a parked task again, with all its tries before it. Returns false if it is not parked.
    pub fn unpark(&mut self, key: &TaskKey) -> bool {
        let Some(id) = self.state.tasks.find(key) else {
            return false;
        };
        let task = &mut self.state.tasks[id];
        if !matches!(task.state, TaskState::Parked) {
            return false;
        }
        task.failures = 0;
        task.avoid.clear();
        self.state.wait(id, Reason::Accepted);
        true
    }

    fn retry_parked(&mut self, is_mended: impl Fn(&Reason) -> bool) {
        for id in self.state.tasks.parked() {
            let task = &self.state.tasks[id];
            let lane = &self.state.lanes[task.lane];
            let teams = &self.state.teams;
            let is_known = teams.queues[lane.queue].is_known && teams[lane.team].is_known;
            if is_known && is_mended(&task.reason) {
                self.state.wait(id, Reason::Accepted);
            }
        }
    }

    /// Takes in a worker's answer to a start.
    pub fn on_start(&mut self, key: &TaskKey, attempt: u32, outcome: StartOutcome, now: Instant) {
        take_start(&mut self.state, key, attempt, outcome, now);
    }

    /// Takes in a worker's report, which was asked for at `asked_at`.
    pub fn on_report(
        &mut self,
        worker: VmId,
        report: &[TaskObservation],
        asked_at: Instant,
        now: Instant,
    ) {
        take_report(&mut self.state, worker, report, asked_at, now);
    }

    /// Makes the decisions that are due at `now`. `out` is cleared first.
    pub fn round(&mut self, now: Instant, out: &mut Decisions) {
        out.clear();
        let state = &mut self.state;
        state.wake(now);
        out.commands.append(&mut state.strays);
        lease::keep(state, now, out);
        overload::relieve(state, now, out);
        evacuate::run(state, now, out);
        health::readmit(state, now);
        state.workers.open_at(state.cfg.contact_max, now);
        share::divide(state, &mut self.shares, now);
        hold::serve(state, now, out);
        state.workers.open_at(state.cfg.contact_max, now);
        let level = self.shares.level();
        start_waiting(state, &mut self.order, &mut self.places, level, now, out);
        preempt::for_urgent(state, &mut self.preempts, &self.order.unplaced, now, out);
        preempt::take_back(state, now, out);
        self.list_changes(out);
        debug_assert!(
            verify::verify(&self.state, out, now).is_empty(),
            "{}",
            verify::verify(&self.state, out, now)
        );
    }

    fn list_changes(&mut self, out: &mut Decisions) {
        let state = &mut self.state;
        out.requeued.append(&mut state.requeued);
        for id in state.parked.drain(..) {
            let task = &state.tasks[id];
            if matches!(task.state, TaskState::Parked) {
                let (key, reason) = (task.key, task.reason.clone());
                out.parked.push(Parked { key, reason });
            }
        }
        for id in state.ended.drain(..) {
            let task = &state.tasks[id];
            if let TaskState::Ended(outcome) = task.state {
                let (key, reason) = (task.key, task.reason.clone());
                out.ended.push(Ended {
                    key,
                    attempt: task.attempt,
                    outcome,
                    reason,
                });
            }
        }
    }

    /// Forgets a task whose end or parking is recorded elsewhere. Returns false if it is neither ended nor parked.
    pub fn forget(&mut self, key: &TaskKey) -> bool {
        self.state.tasks.forget(key)
    }

    /// The worker of this name, if it was ever listed.
    #[must_use]
    pub fn worker(&self, name: &VmName) -> Option<VmId> {
        self.state.workers.find(name)
    }

    /// The name of a worker.
    #[must_use]
    pub fn worker_name(&self, id: VmId) -> Option<&VmName> {
        self.state.workers.names.name(id)
    }

    /// Everything that the scheduler knows.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }
}
