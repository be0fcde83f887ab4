//! Everything that the passes work on.
//!
//! A [`State`] owns the tasks, workers, lanes and teams, each in a map by dense id. The ids of teams, queues, pools,
//! data centres and racks are drawn here by name and stay the same from one catalogue revision to the next.
//!
//! Invariants, which [`crate::verify`] checks from scratch: a worker's `reserved` is the sum over its tasks, a team's
//! and a lane's `running` and `charge` are the sums over their running tasks, and a lane's `waiting` counts its
//! waiting tasks.

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
pub use worker::{Availability, Hold, PoolIndex, Standing, Worker, WorkerSpec, Workers};

/// The largest of `a` and `b` as fractions of `whole`: the dominant resource.
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

/// What a scheduler knows.
#[derive(Debug)]
pub struct State {
    /// The bounds.
    pub cfg: Config,
    /// The teams and queues.
    pub teams: Teams,
    /// The waiting tasks, by queue and team.
    pub lanes: Lanes,
    /// All tasks.
    pub tasks: Tasks,
    /// All workers.
    pub workers: Workers,
    /// What was observed of each class, by its index.
    pub classes: [Observed; 3],
    /// Tasks that wait for their next try, by the time of it.
    pub delayed: BinaryHeap<Reverse<(Instant, TaskId, u64)>>,
    /// Tasks that were parked since the last round.
    pub parked: Vec<TaskId>,
    /// Tasks that ended since the last round.
    pub ended: Vec<TaskId>,
    /// Tries that were over since the last round while their tasks were not.
    pub requeued: Vec<Requeued>,
    /// Tries to stop that are not meant to run: worker, task and attempt.
    pub strays: Vec<crate::decision::Command>,
}

impl State {
    /// An empty state.
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
            strays: Vec::new(),
        }
    }

    /// What the teams' usage is measured against: the workers here and those elsewhere.
    #[must_use]
    pub fn whole(&self) -> Resources {
        self.workers.capacity + self.teams.capacity_elsewhere
    }

    /// What `id` is packed by before it was observed.
    #[must_use]
    pub fn estimate(&self, id: TaskId, quantile_permille: u32) -> Resources {
        let task = &self.tasks[id];
        let lane = &self.lanes[task.lane];
        let class = &self.classes[lane.class.index()];
        crate::estimate::size(&task.declared, &lane.observed, class, quantile_permille)
    }

    /// Puts a task into its lane, to be started when it is next.
    pub fn wait(&mut self, id: TaskId, reason: Reason) {
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

    /// Lets a task wait outside its lane until `at`.
    pub fn wait_until(&mut self, id: TaskId, at: Instant, reason: Reason) {
        let seq = self.tasks.next_seq();
        let task = &mut self.tasks[id];
        task.state = TaskState::Delayed;
        task.seq = seq;
        task.reason = reason;
        self.delayed.push(Reverse((at, id, seq)));
    }

    /// Puts the tasks whose next try has come back into their lanes.
    pub fn wake(&mut self, now: Instant) {
        while let Some(Reverse((at, id, seq))) = self.delayed.peek().copied() {
            if at > now {
                return;
            }
            self.delayed.pop();
            let task = &self.tasks[id];
            if task.seq == seq && matches!(task.state, TaskState::Delayed) {
                let reason = task.reason.clone();
                self.wait(id, reason);
            }
        }
    }

    /// Takes a waiting task out of its lane's count. Its entry in the lane goes stale.
    pub fn unwait(&mut self, id: TaskId) {
        let task = &self.tasks[id];
        if matches!(task.state, TaskState::Waiting) {
            let lane = &mut self.lanes[task.lane];
            lane.waiting -= 1;
        }
    }

    /// Takes a task that does not run off all lists, for good.
    pub fn end(&mut self, id: TaskId, outcome: Outcome, reason: Reason) {
        self.unwait(id);
        let task = &mut self.tasks[id];
        task.state = TaskState::Ended(outcome);
        task.reason = reason;
        self.ended.push(id);
    }

    /// Takes a task that does not run off all lists until someone acts.
    pub fn park(&mut self, id: TaskId, reason: Reason) {
        self.unwait(id);
        let task = &mut self.tasks[id];
        task.state = TaskState::Parked;
        task.reason = reason;
        self.parked.push(id);
    }

    /// Books a task on a worker. It counts as running from here on.
    pub fn book(&mut self, id: TaskId, run: Run) {
        self.unwait(id);
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

    /// Takes a task that is known not to run off its worker, and returns how it ran.
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

    /// Changes what a running task is packed by and what its team is charged for it.
    pub fn rebook(&mut self, id: TaskId, reserved: Resources, charge: Resources) {
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

    /// How a task runs, if it runs on `worker`.
    #[must_use]
    pub fn run_on(&self, id: TaskId, worker: VmId) -> Option<&Run> {
        self.tasks[id].run().filter(|run| run.worker == worker)
    }
}
