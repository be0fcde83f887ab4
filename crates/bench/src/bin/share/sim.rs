//! A fleet at the scheduler's interface: tasks that use other sizes and times than declared, and reports that lag.

use std::time::{Duration, Instant};

use goldcrest_sched::{ObservedPhase, TaskObservation};
use goldcrest_types::catalogue::Class;
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};
use rand::Rng;
use rand::rngs::StdRng;

/// The time between two rounds.
pub const TICK: Duration = Duration::from_millis(250);
/// How far reported usage lags.
pub const LAG: Duration = Duration::from_secs(3);
/// How long a checkpoint takes.
pub const CHECKPOINT: Duration = Duration::from_secs(1);
/// Ticks between two reports of a worker.
pub const REPORT_TICKS: usize = 4;
/// What a worker has.
pub const CAPACITY: Resources = Resources::new(
    CpuMillis::new(16_000),
    Bytes::new(32 << 30),
    Accelerators::ZERO,
);
/// How long a bad worker takes to fail a task.
const FAIL_AFTER: Duration = Duration::from_millis(500);

/// A task with what it declares and what is true.
#[derive(Debug, Clone)]
pub struct SimTask {
    pub team: usize,
    pub class: Class,
    pub declared: Resources,
    pub truth: Resources,
    pub declared_run: Duration,
    pub rest_s: f64,
    pub submitted: Instant,
    pub first_start: Option<Instant>,
    pub ended: Option<Instant>,
    pub checkpointable: bool,
    pub is_backfill: bool,
    pub moves: u32,
}

/// A try on a worker.
#[derive(Debug, Clone)]
pub struct SimTry {
    pub task: usize,
    pub attempt: u32,
    pub since: Instant,
    pub phase: ObservedPhase,
    pub checkpoint_at: Option<Instant>,
}

/// A worker.
#[derive(Debug, Default)]
pub struct SimWorker {
    pub tries: Vec<SimTry>,
    pub is_bad: bool,
    pub failed: usize,
}

/// How far off the sizes and times of one team's queue are, as powers of two.
#[derive(Debug, Clone, Copy)]
pub struct Error {
    cpu: f64,
    memory: f64,
    run: f64,
}

/// The largest error, as a power of two: a factor of four.
const ERROR_MAX: f64 = 2.0;
/// How much of the error differs from task to task.
const SPREAD: f64 = 0.5;

impl Error {
    pub fn draw(rng: &mut StdRng) -> Self {
        let mut one = || rng.random_range(-ERROR_MAX..ERROR_MAX);
        Self {
            cpu: one(),
            memory: one(),
            run: one(),
        }
    }

    fn factor(rng: &mut StdRng, mean: f64) -> f64 {
        let error = mean + rng.random_range(-SPREAD..SPREAD);
        error.clamp(-ERROR_MAX, ERROR_MAX).exp2()
    }

    /// The true size of a task that declares `cpu` and `memory_mib`, within what one worker has.
    pub fn truth(self, rng: &mut StdRng, cpu: u32, memory_mib: u32) -> Resources {
        let cpu = Self::factor(rng, self.cpu) * f64::from(cpu);
        let memory = Self::factor(rng, self.memory) * f64::from(memory_mib);
        Resources::new(
            CpuMillis::new(whole(cpu).clamp(50, 16_000)),
            Bytes::new(u64::from(whole(memory).clamp(16, 16_384)) << 20),
            Accelerators::ZERO,
        )
    }

    /// The true run time of a task that declares `run`, in seconds.
    pub fn run_s(self, rng: &mut StdRng, run: Duration) -> f64 {
        Self::factor(rng, self.run) * run.as_secs_f64()
    }
}

/// The whole part of a number that is not negative.
fn whole(number: f64) -> u32 {
    let millis = Duration::from_secs_f64(number.max(0.0));
    u32::try_from(millis.as_secs()).unwrap_or(u32::MAX)
}

/// What the teams used in one minute.
#[derive(Debug)]
pub struct Usage {
    /// When the minute began.
    pub since: Instant,
    /// In all.
    pub used: Vec<Resources>,
    /// By tasks that no order of service could have left out of this minute: urgent ones, and those that ran when
    /// it began and can't save their state.
    pub carried: Vec<Resources>,
}

impl Usage {
    pub fn new(teams: usize, since: Instant) -> Self {
        Self {
            since,
            used: vec![Resources::ZERO; teams],
            carried: vec![Resources::ZERO; teams],
        }
    }
}

/// The fleet.
#[derive(Debug)]
pub struct Sim {
    pub begin: Instant,
    pub now: Instant,
    pub workers: Vec<SimWorker>,
    pub tasks: Vec<SimTask>,
}

impl Sim {
    pub fn new(workers: usize) -> Self {
        let now = Instant::now();
        Self {
            begin: now,
            now,
            workers: (0..workers).map(|_| SimWorker::default()).collect(),
            tasks: Vec::new(),
        }
    }

    pub fn start(&mut self, worker: usize, task: usize, attempt: u32) {
        self.tasks[task].first_start.get_or_insert(self.now);
        self.workers[worker].tries.push(SimTry {
            task,
            attempt,
            since: self.now,
            phase: ObservedPhase::Running,
            checkpoint_at: None,
        });
    }

    pub fn checkpoint(&mut self, worker: usize, task: usize) {
        let at = self.now + CHECKPOINT;
        for one in &mut self.workers[worker].tries {
            if one.task == task && one.checkpoint_at.is_none() {
                one.checkpoint_at = Some(at);
            }
        }
    }

    pub fn stop(&mut self, worker: usize, task: usize) {
        for one in &mut self.workers[worker].tries {
            if one.task == task && one.phase == ObservedPhase::Running {
                one.phase = ObservedPhase::Stopped;
            }
        }
    }

    /// One tick passes. `usage` gets what each team really used in it.
    pub fn step(&mut self, usage: &mut Usage) {
        self.now += TICK;
        for worker in &mut self.workers {
            let rate = rate(worker, &self.tasks);
            for one in &mut worker.tries {
                if one.phase == ObservedPhase::Running {
                    let task = &mut self.tasks[one.task];
                    let size = at_rate(&task.truth, rate);
                    usage.used[task.team] += size;
                    let is_carried = one.since < usage.since && !task.checkpointable;
                    if is_carried || task.class == Class::Urgent {
                        usage.carried[task.team] += size;
                    }
                    advance(one, task, rate, worker.is_bad, self.now);
                    worker.failed += usize::from(one.phase == ObservedPhase::Failed);
                }
            }
        }
    }

    /// What a worker reports. Tries that have ended are forgotten with the report.
    pub fn report(&mut self, worker: usize) -> Vec<TaskObservation> {
        let now = self.now;
        let tasks = &self.tasks;
        let seen = |one: &SimTry| TaskObservation {
            key: TaskKey::new(one.task as u128),
            attempt: one.attempt,
            phase: one.phase,
            used: if now.saturating_duration_since(one.since) >= LAG {
                tasks[one.task].truth
            } else {
                Resources::ZERO
            },
        };
        let worker = &mut self.workers[worker];
        let report = worker.tries.iter().map(seen).collect();
        worker
            .tries
            .retain(|one| one.phase == ObservedPhase::Running);
        report
    }
}

/// At which rate the tasks of a worker advance: more processors than it has are shared out.
fn rate(worker: &SimWorker, tasks: &[SimTask]) -> f64 {
    let running = worker
        .tries
        .iter()
        .filter(|one| one.phase == ObservedPhase::Running);
    let wanted: CpuMillis = running.map(|one| tasks[one.task].truth.cpu_millis).sum();
    let has = f64::from(CAPACITY.cpu_millis.get());
    (has / f64::from(wanted.get().max(1))).min(1.0)
}

fn at_rate(truth: &Resources, rate: f64) -> Resources {
    let cpu = whole(f64::from(truth.cpu_millis.get()) * rate);
    Resources::new(CpuMillis::new(cpu), truth.memory_bytes, Accelerators::ZERO)
}

fn advance(one: &mut SimTry, task: &mut SimTask, rate: f64, is_bad: bool, now: Instant) {
    if is_bad {
        if now.saturating_duration_since(one.since) >= FAIL_AFTER {
            one.phase = ObservedPhase::Failed;
        }
        return;
    }
    task.rest_s -= TICK.as_secs_f64() * rate;
    if task.rest_s <= 0.0 {
        one.phase = ObservedPhase::Succeeded;
        task.ended = Some(now);
    } else if one.checkpoint_at.is_some_and(|at| at <= now) {
        one.phase = ObservedPhase::Checkpointed;
        task.moves += 1;
    }
}
