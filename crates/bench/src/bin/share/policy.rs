//! The candidates: the scheduler, and the simple orders that it is weighed against.

use std::collections::VecDeque;
use std::time::Duration;

use goldcrest_sched::verify::verify;
use goldcrest_sched::{
    CommandKind, Decisions, ObservedPhase, Scheduler, StartOutcome, TaskObservation, TaskSpec,
};
use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{QueueName, TaskKey, TeamName, VmName};
use goldcrest_types::units::{Resources, Slots};

use crate::sim::{CAPACITY, Sim};

/// An order of service that packs by declared sizes and knows nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Fifo,
    StrictPriority,
    TeamRoundRobin,
}

/// A candidate.
pub enum Policy {
    Scheduler(Box<Ours>),
    Baseline(Baseline),
}

/// The scheduler with what its driver would hold.
pub struct Ours {
    pub sched: Scheduler,
    pub out: Decisions,
    pub teams: Vec<TeamName>,
    pub queues: Vec<[QueueName; 3]>,
    pub workers: Vec<VmName>,
    pub limits: Vec<Slots>,
    pub rounds: Vec<Duration>,
}

/// A simple candidate.
pub struct Baseline {
    pub order: Order,
    /// Waiting tasks by team and class; FIFO keeps all in one.
    pub waiting: Vec<VecDeque<usize>>,
    pub free: Vec<Resources>,
    pub running: Vec<Slots>,
    pub limits: Vec<Slots>,
    pub turn: usize,
    pub cursor: usize,
}

impl Policy {
    pub fn submit(&mut self, sim: &Sim, id: usize) {
        match self {
            Self::Scheduler(ours) => ours.submit(sim, id),
            Self::Baseline(base) => {
                let lane = base.lane(sim, id);
                base.waiting[lane].push_back(id);
            }
        }
    }

    pub fn report(&mut self, sim: &Sim, worker: usize, report: &[TaskObservation]) {
        match self {
            Self::Scheduler(ours) => {
                let vm = ours.sched.worker(&ours.workers[worker]).expect("listed");
                ours.sched.on_report(vm, report, sim.now, sim.now);
            }
            Self::Baseline(base) => base.report(sim, worker, report),
        }
    }

    pub fn round(&mut self, sim: &mut Sim) {
        match self {
            Self::Scheduler(ours) => ours.round(sim),
            Self::Baseline(base) => base.round(sim),
        }
    }
}

fn index(key: TaskKey) -> usize {
    usize::try_from(key.bits()).expect("a small key")
}

impl Ours {
    fn submit(&mut self, sim: &Sim, id: usize) {
        let task = &sim.tasks[id];
        let spec = TaskSpec {
            key: TaskKey::new(id as u128),
            team: self.teams[task.team].clone(),
            queue: self.queues[task.team][task.class.index()].clone(),
            declared: task.declared,
            declared_run: task.declared_run,
            deadline: None,
            checkpointable: task.checkpointable,
            idempotent: true,
        };
        self.sched.submit(&spec, sim.now).expect("taken");
    }

    fn worker(&self, vm: goldcrest_types::entity::VmId) -> usize {
        let name = self.sched.worker_name(vm).expect("listed");
        name.as_str()[1..].parse().expect("a number")
    }

    fn round(&mut self, sim: &mut Sim) {
        let until = sim.now + Duration::from_secs(5);
        let grants = self.teams.iter().zip(self.limits.iter().copied());
        self.sched.set_grants(grants, until);
        let begin = std::time::Instant::now();
        self.sched.round(sim.now, &mut self.out);
        self.rounds.push(begin.elapsed());
        let breaches = verify(self.sched.state(), &self.out, sim.now);
        assert!(breaches.is_empty(), "{breaches}");
        for start in &self.out.starts {
            sim.start(self.worker(start.worker), index(start.key), start.attempt);
            let accepted = StartOutcome::Accepted;
            self.sched
                .on_start(&start.key, start.attempt, accepted, sim.now);
        }
        for command in &self.out.commands {
            let worker = self.worker(command.worker);
            match command.kind {
                CommandKind::Checkpoint => sim.checkpoint(worker, index(command.key)),
                CommandKind::Stop => sim.stop(worker, index(command.key)),
                CommandKind::Renew | CommandKind::Throttle => {}
            }
        }
        for ended in &self.out.ended {
            self.sched.forget(&ended.key);
        }
    }
}

impl Baseline {
    fn lane(&self, sim: &Sim, id: usize) -> usize {
        let task = &sim.tasks[id];
        match self.order {
            Order::Fifo => 0,
            Order::StrictPriority => task.class.index(),
            Order::TeamRoundRobin => task.team,
        }
    }

    fn report(&mut self, sim: &Sim, worker: usize, report: &[TaskObservation]) {
        for seen in report {
            if seen.phase == ObservedPhase::Running {
                continue;
            }
            let id = index(seen.key);
            let task = &sim.tasks[id];
            self.free[worker] += task.declared;
            self.running[task.team] -= Slots::new(1);
            if seen.phase != ObservedPhase::Succeeded {
                let lane = self.lane(sim, id);
                self.waiting[lane].push_front(id);
            }
        }
    }

    fn round(&mut self, sim: &mut Sim) {
        let lanes = self.waiting.len();
        let mut blocked = 0;
        let mut at = 0;
        while blocked < lanes {
            let lane = match self.order {
                Order::Fifo | Order::StrictPriority => at.min(lanes - 1),
                Order::TeamRoundRobin => self.turn % lanes,
            };
            if self.start_first(sim, lane) {
                blocked = 0;
            } else {
                blocked += 1;
                at += 1;
            }
            self.turn += 1;
        }
    }

    /// Starts one of the first tasks of a lane. Returns false if none finds room.
    fn start_first(&mut self, sim: &mut Sim, lane: usize) -> bool {
        const LOOK_AHEAD: usize = 64;
        let mut looked = 0;
        for nth in 0..self.waiting[lane].len() {
            let id = self.waiting[lane][nth];
            let task = &sim.tasks[id];
            if self.running[task.team] >= self.limits[task.team] {
                continue;
            }
            looked += 1;
            if looked > LOOK_AHEAD {
                return false;
            }
            let need = task.declared;
            let len = self.free.len();
            let places = (0..len).map(|step| (self.cursor + step) % len);
            let Some(worker) = places.into_iter().find(|at| self.free[*at].fits(&need)) else {
                continue;
            };
            self.cursor = worker + 1;
            self.free[worker] -= need;
            self.running[task.team] += Slots::new(1);
            self.waiting[lane].remove(nth);
            sim.start(worker, id, 1);
            return true;
        }
        false
    }
}

/// A simple candidate over `workers` workers and teams with these limits.
pub fn baseline(order: Order, workers: usize, limits: &[Slots]) -> Policy {
    let lanes = match order {
        Order::Fifo => 1,
        Order::StrictPriority => Class::ALL.len(),
        Order::TeamRoundRobin => limits.len(),
    };
    Policy::Baseline(Baseline {
        order,
        waiting: vec![VecDeque::new(); lanes],
        free: vec![CAPACITY; workers],
        running: vec![Slots::ZERO; limits.len()],
        limits: limits.to_vec(),
        turn: 0,
        cursor: 0,
    })
}
