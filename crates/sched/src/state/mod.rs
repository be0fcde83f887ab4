//! The state on which the passes work.
//!
//! A [`State`] owns the tasks, workers, lanes and teams, each in a map by dense id. The ids of teams, queues, pools,
//! data centres and racks are assigned here by name and stay the same from one catalogue revision to the next.
//!
//! Invariants, which [`crate::verify`] computes anew and compares: the `reserved` of a worker is the sum over its
//! tasks; the `running` and `charge` of a team or lane are the sums over its running tasks; the `waiting` of a lane is
//! the number of its waiting tasks.

mod lane;
mod names;
mod task;
mod team;
mod worker;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::{Resources, Slots};

use crate::config::Config;
use crate::decision::Requeued;
use crate::estimate::Observed;
use crate::reason::Reason;

pub use lane::{Entry, Lane, LaneId, Lanes};
pub use names::NameMap;
pub use task::{Outcome, Phase, Progress, Run, Task, TaskSpec, TaskState, Tasks};
pub use team::{QueueState, Team, Teams};
pub use worker::{Availability, Health, Hold, PoolIndex, Worker, WorkerSpec, Workers};

/// Returns the largest fraction of `whole` that `part` takes in any dimension, which is that of the dominant resource.
/// Memory is compared in mebibytes.
#[must_use]
pub fn dominant(part: &Resources, whole: &Resources) -> f64 {
    let fraction = |part: u64, whole: u64| {
        let whole = u32::try_from(whole).unwrap_or(u32::MAX).max(1);
        f64::from(u32::try_from(part).unwrap_or(u32::MAX)) / f64::from(whole)
    };
    let cpu = fraction(part.cpu_millis.get().into(), whole.cpu_millis.get().into());
    let memory = fraction(
        part.memory_bytes.get() >> 20,
        whole.memory_bytes.get() >> 20,
    );
    let accelerators = fraction(
        part.accelerators.get().into(),
        whole.accelerators.get().into(),
    );
    cpu.max(memory).max(accelerators)
}

/// The tasks, workers, lanes and teams of a scheduler.
#[derive(Debug)]
pub struct State {
    /// The bounds that the passes keep to.
    pub cfg: Config,
    /// The teams and queues, with the names of the pools.
    pub teams: Teams,
    /// The lanes, one for each queue and team that ever had a task.
    pub lanes: Lanes,
    /// The tasks that the scheduler holds.
    pub tasks: Tasks,
    /// The workers that were ever listed.
    pub workers: Workers,
    /// The observed sizes and run times of each class, by the index of the class.
    pub classes: [Observed; 3],
    /// The delayed tasks by the time at which they are enqueued again, with the `seq` that marks an entry as current.
    pub delayed: BinaryHeap<Reverse<(Instant, TaskId, u64)>>,
    /// The tasks that were parked since the last round.
    pub parked: Vec<TaskId>,
    /// The tasks that ended since the last round.
    pub ended: Vec<TaskId>,
    /// The attempts that ended since the last round without ending their task.
    pub requeued: Vec<Requeued>,
    /// Stop commands for reported attempts that are not the current attempt of their task; sent in the next round.
    pub orphan_stops: Vec<crate::decision::Command>,
}

impl State {
    /// Returns an empty state.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            teams: Teams::default(),
            lanes: Lanes::default(),
            tasks: Tasks::default(),
            workers: Workers::default(),
            classes: Default::default(),
            delayed: BinaryHeap::new(),
            parked: Vec::new(),
            ended: Vec::new(),
            requeued: Vec::new(),
            orphan_stops: Vec::new(),
        }
    }

    /// Returns the capacity against which usage is measured: that of all workers, here and in the other data centres.
    #[must_use]
    pub fn total_capacity(&self) -> Resources {
        self.workers.capacity + self.teams.capacity_elsewhere
    }

    /// Returns the size to expect of a task that has not been observed yet, at a quantile in thousandths.
    #[must_use]
    pub fn estimate(&self, id: TaskId, quantile_permille: u32) -> Resources {
        let task = &self.tasks[id];
        let lane = &self.lanes[task.lane];
        let class = &self.classes[lane.class.index()];
        crate::estimate::size(&task.declared, &lane.observed, class, quantile_permille)
    }

    /// Adds a task to its lane.
    pub fn enqueue(&mut self, id: TaskId, reason: Reason) {
        let seq = self.tasks.next_seq();
        let task = &mut self.tasks[id];
        task.state = TaskState::Waiting;
        task.seq = seq;
        task.reason = reason;
        let entry = Entry {
            due: task.due,
            order: task.order,
            task: id,
            seq,
        };
        let lane = &mut self.lanes[task.lane];
        lane.push(entry);
        lane.waiting += 1;
    }

    /// Keeps a task out of its lane until `at`.
    pub fn delay_until(&mut self, id: TaskId, at: Instant, reason: Reason) {
        let seq = self.tasks.next_seq();
        let task = &mut self.tasks[id];
        task.state = TaskState::Delayed;
        task.seq = seq;
        task.reason = reason;
        self.delayed.push(Reverse((at, id, seq)));
    }

    /// Enqueues the delayed tasks whose time has come by `now`.
    pub fn enqueue_due(&mut self, now: Instant) {
        while let Some(Reverse((at, id, seq))) = self.delayed.peek().copied() {
            if at > now {
                return;
            }
            self.delayed.pop();
            let task = &self.tasks[id];
            if task.seq == seq && matches!(task.state, TaskState::Delayed) {
                let reason = task.reason.clone();
                self.enqueue(id, reason);
            }
        }
    }

    /// Removes a waiting task from the count of its lane. Its entry in the heap becomes stale with the next state.
    pub fn leave_lane(&mut self, id: TaskId) {
        let task = &self.tasks[id];
        if matches!(task.state, TaskState::Waiting) {
            let lane = &mut self.lanes[task.lane];
            lane.waiting -= 1;
        }
    }

    /// Ends a task that is not running.
    pub fn end(&mut self, id: TaskId, outcome: Outcome, reason: Reason) {
        self.leave_lane(id);
        let task = &mut self.tasks[id];
        task.state = TaskState::Ended(outcome);
        task.reason = reason;
        self.ended.push(id);
    }

    /// Parks a task that is not running, until it is released or the cause of the parking is resolved.
    pub fn park(&mut self, id: TaskId, reason: Reason) {
        self.leave_lane(id);
        let task = &mut self.tasks[id];
        task.state = TaskState::Parked;
        task.reason = reason;
        self.parked.push(id);
    }

    /// Assigns a task to a worker. It counts as running from now on.
    pub fn assign(&mut self, id: TaskId, run: Run) {
        self.leave_lane(id);
        let task = &mut self.tasks[id];
        let (vm, reserved, charge) = (run.worker, run.reserved, run.charge);
        task.attempt = run.attempt;
        task.state = TaskState::Running(Box::new(run));
        let lane = &mut self.lanes[task.lane];
        lane.running += 1;
        lane.charge += charge;
        lane.enter_rack(self.workers[vm].rack);
        let team = &mut self.teams[lane.team];
        team.running += Slots::new(1);
        team.charge += charge;
        let worker = &mut self.workers[vm];
        worker.tasks.push(id);
        worker.reserved += reserved;
        self.workers.refresh(vm);
    }

    /// Removes a task that is known not to run from its worker, and returns its run; none if it did not count as
    /// running. The caller sets the next state of the task.
    pub fn release(&mut self, id: TaskId) -> Option<Box<Run>> {
        let task = &mut self.tasks[id];
        if !matches!(task.state, TaskState::Running(_)) {
            return None;
        }
        let TaskState::Running(run) = std::mem::replace(&mut task.state, TaskState::Delayed) else {
            return None;
        };
        let lane = &mut self.lanes[task.lane];
        lane.running -= 1;
        lane.charge -= run.charge;
        lane.leave_rack(self.workers[run.worker].rack);
        let team = &mut self.teams[lane.team];
        team.running -= Slots::new(1);
        team.charge -= run.charge;
        let worker = &mut self.workers[run.worker];
        worker.tasks.retain(|other| *other != id);
        worker.reserved -= run.reserved;
        self.workers.refresh(run.worker);
        Some(run)
    }

    /// Changes what a running task reserves and what its team is charged for it.
    pub fn update_run_size(&mut self, id: TaskId, reserved: Resources, charge: Resources) {
        let task = &mut self.tasks[id];
        let TaskState::Running(run) = &mut task.state else {
            return;
        };
        let (old_reserved, old_charge) = (run.reserved, run.charge);
        run.reserved = reserved;
        run.charge = charge;
        let vm = run.worker;
        let lane = &mut self.lanes[task.lane];
        lane.charge = lane.charge - old_charge + charge;
        let team = &mut self.teams[lane.team];
        team.charge = team.charge - old_charge + charge;
        let worker = &mut self.workers[vm];
        worker.reserved = worker.reserved - old_reserved + reserved;
        self.workers.refresh(vm);
    }

    /// Returns the run of a task if it counts as running on `worker`.
    #[must_use]
    pub fn run_on(&self, id: TaskId, worker: VmId) -> Option<&Run> {
        self.tasks[id].run().filter(|run| run.worker == worker)
    }
}
