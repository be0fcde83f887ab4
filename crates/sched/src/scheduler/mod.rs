//! The scheduler: a state machine that receives events and returns decisions.
//!
//! A [`Scheduler`] owns one [`State`] and the scratch memory of the passes. Every event changes the state at once;
//! decisions are made only by [`Scheduler::round`], which runs the passes in a fixed order.

mod explain;

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::{TaskKey, TeamName, VmName};
use goldcrest_types::units::{Resources, Slots};
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::config::{Config, move_cost};
use crate::decision::{Decisions, Ended, Parked};
use crate::order::{OrderScratch, start_waiting};
use crate::place::PlaceScratch;
use crate::preempt::PreemptScratch;
use crate::reason::Reason;
use crate::report::{StartOutcome, TaskObservation, apply_report, apply_start_outcome};
use crate::retry::end_cancelled;
use crate::share::ShareScratch;
use crate::state::{LaneId, Phase, Progress, Run, State, Task, TaskSpec, TaskState, WorkerSpec};
use crate::{evacuate, health, hold, lease, overload, preempt, share, verify};

pub use explain::{Explanation, Snapshot, TeamStatus};

quick_error! {
    /// Why a task was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmitError {
        /// The scheduler holds a task with this key.
        Duplicate(key: TaskKey) {
            display("task {key} was accepted before: ask for its state, or draw a new key")
        }
        /// The task declares 0 for its processor time.
        NoProcessor {
            display("the task declares no processor time: set cpu_millis to 1 or more")
        }
        /// The catalogue in force does not contain the queue or the team.
        NoSuchQueue {
            display("the catalogue has no such queue or team: correct the name, or add it to the catalogue")
        }
        /// The worker that is said to run the task was never in a list of VMs.
        NoSuchWorker {
            display("no such worker was ever listed: read the list of VMs first")
        }
    }
}

/// The result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The task was not running and has ended with this call.
    Ended,
    /// The task may be running; the next round sends a stop to its worker.
    Stopping,
    /// The task had ended before the cancellation.
    AlreadyEnded,
    /// The scheduler holds no task with this key.
    Unknown,
}

/// Schedules the tasks of one data centre, or of one part of it.
#[derive(Debug)]
pub struct Scheduler {
    state: State,
    order: OrderScratch,
    places: PlaceScratch,
    shares: ShareScratch,
    preempts: PreemptScratch,
}

impl Scheduler {
    /// Returns a scheduler without catalogue, workers and tasks.
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

    /// Applies a revision of the catalogue. Parks the tasks whose queue or team it does not contain, and enqueues again
    /// those that were parked for this and whose queue and team it contains.
    pub fn set_catalogue(&mut self, cat: &Catalogue) {
        let state = &mut self.state;
        state.teams.set_catalogue(cat);
        state.cfg.move_cost = move_cost(&cat.weights);
        for (_, lane) in state.lanes.iter_mut() {
            let queue = &state.teams.queues[lane.queue];
            lane.class = queue.class;
            lane.pool = queue.pool;
        }
        let is_unroutable = |task: &Task| {
            let lane = &state.lanes[task.lane];
            !state.teams.queues[lane.queue].is_known || !state.teams[lane.team].is_known
        };
        let is_waiting =
            |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Delayed);
        let unroutable: Vec<TaskId> = state
            .tasks
            .iter()
            .filter(|(_, task)| is_waiting(task) && is_unroutable(task))
            .map(|(id, _)| id)
            .collect();
        for id in unroutable {
            state.park(id, Reason::NoSuchQueue);
        }
        self.retry_parked(|reason| matches!(reason, Reason::NoSuchQueue));
    }

    /// Applies the list of workers. If a pool has a larger worker than before, enqueues again the tasks that were
    /// parked because they fitted no worker.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Instant) {
        if self.state.workers.set(specs, &mut self.state.teams, now) {
            self.retry_parked(|reason| matches!(reason, Reason::NeverFits { .. }));
        }
    }

    /// Sets how many tasks each team may have running here, until `until`. A team that is not named may have none.
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

    /// Sets the usage of each team in the other data centres, and the total capacity of the workers there. A team that
    /// is not named uses nothing there.
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

    /// Enqueues an accepted task.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] if the task is a duplicate or does not match the catalogue. The state is unchanged
    /// then.
    pub fn submit(&mut self, spec: &TaskSpec, now: Instant) -> Result<TaskId, SubmitError> {
        let id = self.add(spec, now)?;
        self.state.enqueue(id, Reason::Accepted);
        Ok(id)
    }

    /// Adds a task that an earlier scheduler started on `worker` as attempt number `attempt`. The task counts as
    /// running until a report shows otherwise or its lease has certainly expired.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`]; also if the worker was never listed. The state is unchanged then.
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
        state.assign(id, run);
        Ok(id)
    }

    /// Enqueues a task that an earlier scheduler accepted and that is known not to run. `attempts` is the number of its
    /// last attempt, 0 if there was none.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`]. The state is unchanged then.
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
        self.state.enqueue(id, Reason::Accepted);
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

    /// Cancels a task, in constant time. A task that is not running ends with this call. For a running one the next
    /// round sends a stop, and the task ends when a report or the expiry of its lease shows that it no longer runs.
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

    /// Enqueues a parked task again with its failures reset. Returns false if the task is not parked.
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
        self.state.enqueue(id, Reason::Accepted);
        true
    }

    /// Enqueues the parked tasks whose reason `is_resolved`, if their queue and team are in the catalogue.
    fn retry_parked(&mut self, is_resolved: impl Fn(&Reason) -> bool) {
        for id in self.state.tasks.parked() {
            let task = &self.state.tasks[id];
            let lane = &self.state.lanes[task.lane];
            let teams = &self.state.teams;
            let is_known = teams.queues[lane.queue].is_known && teams[lane.team].is_known;
            if is_known && is_resolved(&task.reason) {
                self.state.enqueue(id, Reason::Accepted);
            }
        }
    }

    /// Applies the outcome of the start of attempt `attempt`.
    pub fn on_start(&mut self, key: &TaskKey, attempt: u32, outcome: StartOutcome, now: Instant) {
        apply_start_outcome(&mut self.state, key, attempt, outcome, now);
    }

    /// Applies the report of a worker that was requested at `requested_at`.
    pub fn on_report(
        &mut self,
        worker: VmId,
        report: &[TaskObservation],
        requested_at: Instant,
        now: Instant,
    ) {
        apply_report(&mut self.state, worker, report, requested_at, now);
    }

    /// Runs one round at `now` and writes its decisions to `out`, which is cleared first.
    pub fn round(&mut self, now: Instant, out: &mut Decisions) {
        out.clear();
        let state = &mut self.state;
        state.enqueue_due(now);
        out.commands.append(&mut state.orphan_stops);
        lease::maintain(state, now, out);
        overload::reduce_overload(state, now, out);
        evacuate::run(state, now, out);
        health::readmit(state, now);
        state.workers.refresh_open(state.cfg.contact_max, now);
        share::update_entitlements(state, &mut self.shares, now);
        hold::update_holds(state, now, out);
        state.workers.refresh_open(state.cfg.contact_max, now);
        let level = self.shares.level();
        start_waiting(state, &mut self.order, &mut self.places, level, now, out);
        preempt::for_urgent(state, &mut self.preempts, &self.order.unplaced, now, out);
        preempt::reclaim_shares(state, now, out);
        self.list_changes(out);
        debug_assert!(
            verify::verify(&self.state, out, now).is_empty(),
            "{}",
            verify::verify(&self.state, out, now)
        );
    }

    /// Moves what was requeued, parked and ended since the last round to `out`.
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

    /// Removes a task whose end or parking is stored elsewhere. Returns false if the task is neither ended nor parked,
    /// or is unknown.
    pub fn forget(&mut self, key: &TaskKey) -> bool {
        self.state.tasks.forget(key)
    }

    /// Returns the id of a worker, if the worker was ever listed.
    #[must_use]
    pub fn worker(&self, name: &VmName) -> Option<VmId> {
        self.state.workers.find(name)
    }

    /// Returns the name of a worker, or none if the id is not one of this scheduler.
    #[must_use]
    pub fn worker_name(&self, id: VmId) -> Option<&VmName> {
        self.state.workers.names.name(id)
    }

    /// Returns the state, for checks and reports.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }
}
