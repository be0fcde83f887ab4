//! Random events on a fleet that loses calls, answers, reports and workers. The invariants are checked against what
//! actually runs on the workers.

mod common;
mod fake;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use fake::FakeWorker;
use goldcrest_sched::verify::verify;
use goldcrest_sched::{
    CancelOutcome, Config, Decisions, Outcome, Progress, Scheduler, StartOutcome, TaskSpec,
};
use goldcrest_types::names::{TaskKey, TeamName, VmName};
use goldcrest_types::units::Slots;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const WORKERS: usize = 6;
const LIMITS: [u32; 2] = [7, 5];

#[derive(Debug, Clone)]
enum Op {
    Submit {
        team: u8,
        queue: u8,
        cpu: u8,
        flags: u8,
    },
    Cancel(u8),
    Pass(u16),
    Crash(u8),
    CutOff(u8),
    Bad(u8),
    LoseAnswers(u8),
    Restart,
    Shrink(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=6 => Self::Submit {
                team: byte,
                queue: u8::arbitrary(g),
                cpu: u8::arbitrary(g),
                flags: u8::arbitrary(g),
            },
            7 | 8 => Self::Cancel(byte),
            9..=13 => Self::Pass(u16::arbitrary(g)),
            14 => Self::Crash(byte),
            15 => Self::CutOff(byte),
            16 => Self::Bad(byte),
            17 => Self::LoseAnswers(byte),
            18 => Self::Restart,
            _ => Self::Shrink(byte),
        }
    }
}

/// What the driver has stored of a task. It stores before it acts, so a later scheduler never misses a start.
#[derive(Debug, Clone)]
struct Record {
    spec: TaskSpec,
    placed: Option<(VmName, u32)>,
    attempts: u32,
    is_cancelled: bool,
    ended: Option<Outcome>,
}

struct World {
    sched: Scheduler,
    workers: Vec<FakeWorker>,
    records: BTreeMap<TaskKey, Record>,
    ever_ran: HashMap<TaskKey, HashSet<(usize, u32)>>,
    checkpointed: HashSet<TaskKey>,
    grants: [u32; 2],
    now: Instant,
}

fn vm_name(index: usize) -> VmName {
    format!("w{index}").parse().expect("a name")
}

fn team_name(index: usize) -> TeamName {
    ["a", "b"][index].parse().expect("a name")
}

fn scheduler(now: Instant) -> Scheduler {
    let mut sched = Scheduler::new(Config::default());
    let teams = [("a".into(), 1, LIMITS[0]), ("b".into(), 2, LIMITS[1])];
    let queue = |name: &str, class: &str| (name.into(), class.into(), "p".into(), 3_600_000);
    let queues = [
        queue("q", "batch"),
        queue("i", "interactive"),
        queue("u", "urgent"),
    ];
    sched.set_catalogue(&common::catalogue(&teams, &queues));
    let workers: Vec<_> = (0..WORKERS)
        .map(|i| {
            let rack = format!("r{}", i / 2);
            common::worker(
                vm_name(i).as_str(),
                &rack,
                "p",
                common::resources(4000, 8192, 0),
            )
        })
        .collect();
    sched.set_workers(&workers, now);
    sched
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            sched: scheduler(now),
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            records: BTreeMap::new(),
            ever_ran: HashMap::new(),
            checkpointed: HashSet::new(),
            grants: LIMITS,
            now,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit {
                team,
                queue,
                cpu,
                flags,
            } => self.submit(team, queue, cpu, flags),
            Op::Cancel(nth) => self.cancel(nth),
            Op::Pass(ms) => self.pass(Duration::from_millis(u64::from(ms % 8000))),
            Op::Crash(at) => {
                let worker = &mut self.workers[usize::from(at) % WORKERS];
                worker.attempts.clear();
            }
            Op::CutOff(at) => self.workers[usize::from(at) % WORKERS].is_cut_off ^= true,
            Op::Bad(at) => self.workers[usize::from(at) % WORKERS].is_bad ^= true,
            Op::LoseAnswers(at) => self.workers[usize::from(at) % WORKERS].loses_answers ^= true,
            Op::Restart => self.restart(),
            Op::Shrink(by) => self.grants = [u32::from(by) % 8, u32::from(by) % 6],
        }
        self.check();
    }

    fn submit(&mut self, team: u8, queue: u8, cpu: u8, flags: u8) {
        let key = self.records.len() as u128;
        let declared = common::resources(200 + u32::from(cpu) * 12, 512, 0);
        let team = team_name(usize::from(team) % 2);
        let queue = ["q", "i", "u"][usize::from(queue) % 3];
        let mut spec = common::task(key, team.as_str(), queue, declared);
        spec.checkpointable = flags & 1 != 0;
        spec.idempotent = flags & 2 != 0;
        spec.declared_run = Duration::from_secs(1 + u64::from(flags / 4));
        self.sched.submit(&spec, self.now).expect("accepted");
        let record = Record {
            spec,
            placed: None,
            attempts: 0,
            is_cancelled: false,
            ended: None,
        };
        self.records.insert(TaskKey::new(key), record);
    }

    fn cancel(&mut self, nth: u8) {
        let Some(index) = usize::from(nth).checked_rem(self.records.len()) else {
            return;
        };
        let key = TaskKey::new(index as u128);
        let outcome = self.sched.cancel(&key);
        let record = self.records.get_mut(&key).expect("a record");
        // A task is forgotten as soon as its end is stored.
        assert_eq!(outcome == CancelOutcome::Unknown, record.ended.is_some());
        record.is_cancelled |= record.ended.is_none() && outcome != CancelOutcome::AlreadyEnded;
    }

    /// Replaces the scheduler by a new one that restores the stored tasks, right after the old one has stopped.
    fn restart(&mut self) {
        self.sched = scheduler(self.now);
        for (key, record) in &self.records {
            if record.ended.is_some() {
                continue;
            }
            let progress = match record.attempts {
                0 => Progress::NeverRan,
                _ => Progress::HasRun,
            };
            let added = if let Some((vm, attempt)) = &record.placed {
                self.sched.adopt(&record.spec, vm, *attempt, self.now)
            } else {
                let attempts = record.attempts;
                self.sched
                    .recover(&record.spec, attempts, progress, self.now)
            };
            added.expect("restored");
            if record.is_cancelled {
                self.sched.cancel(key);
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(500);
            self.round();
            self.check();
        }
    }

    fn round(&mut self) {
        let lease = Config::default().lease;
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.step(lease, self.now);
            for key in worker.running() {
                let attempt = worker.attempts[&key].attempt;
                self.ever_ran
                    .entry(key)
                    .or_default()
                    .insert((index, attempt));
            }
            if let Some(report) = worker.report() {
                let vm = self.sched.worker(&vm_name(index)).expect("listed");
                self.sched.on_report(vm, &report, self.now, self.now);
            }
        }
        let until = self.now + Duration::from_secs(5);
        let teams = [team_name(0), team_name(1)];
        let grants = teams.iter().zip(self.grants.map(Slots::new));
        self.sched.set_grants(grants, until);
        let mut out = Decisions::new();
        self.sched.round(self.now, &mut out);
        let breaches = verify(self.sched.state(), &out, self.now);
        assert!(breaches.is_empty(), "{breaches}");
        self.act(&out);
    }

    fn act(&mut self, out: &Decisions) {
        let lease = Config::default().lease;
        for ended in &out.ended {
            let record = self.records.get_mut(&ended.key).expect("a record");
            assert_eq!(record.ended, None, "{} ends twice", ended.key);
            record.ended = Some(ended.outcome);
            assert!(self.sched.forget(&ended.key));
        }
        for start in &out.starts {
            let record = self.records.get_mut(&start.key).expect("a record");
            assert!(start.attempt > record.attempts, "attempts only grow");
            let name = self
                .sched
                .worker_name(start.worker)
                .expect("listed")
                .clone();
            let index: usize = name.as_str()[1..].parse().expect("a number");
            record.placed = Some((name, start.attempt));
            record.attempts = start.attempt;
            if start.resume {
                self.checkpointed.insert(start.key);
            }
            let run = record.spec.declared_run * 2;
            let worker = &mut self.workers[index];
            let outcome = worker.start(start.key, start.attempt, run, lease, self.now);
            if outcome == StartOutcome::NotStarted {
                record.attempts -= 1;
            }
            if outcome == StartOutcome::Accepted {
                let attempts = self.ever_ran.entry(start.key).or_default();
                attempts.insert((index, start.attempt));
            }
            self.sched
                .on_start(&start.key, start.attempt, outcome, self.now);
        }
        for command in &out.commands {
            let name = self.sched.worker_name(command.worker).expect("listed");
            let index: usize = name.as_str()[1..].parse().expect("a number");
            self.workers[index].command(
                command.key,
                command.attempt,
                command.kind,
                lease,
                self.now,
            );
        }
    }

    /// Checks the invariants against what actually runs on the workers.
    fn check(&self) {
        let mut running: HashMap<TaskKey, usize> = HashMap::new();
        let mut by_team: HashMap<&TeamName, u32> = HashMap::new();
        for worker in &self.workers {
            for key in worker.running() {
                *running.entry(key).or_default() += 1;
                let record = &self.records[&key];
                *by_team.entry(&record.spec.team).or_default() += 1;
                assert_ne!(record.ended, Some(Outcome::NeverRan), "{key} runs");
            }
        }
        for (key, count) in running {
            assert_eq!(count, 1, "{key} runs on {count} workers");
        }
        for (team, limit) in [team_name(0), team_name(1)].iter().zip(LIMITS) {
            let count = by_team.get(team).copied().unwrap_or(0);
            assert!(
                count <= limit,
                "{team} has {count} running, upper limit {limit}"
            );
        }
        for (key, record) in &self.records {
            let ran = self.ever_ran.get(key).map_or(0, HashSet::len);
            if record.ended == Some(Outcome::NeverRan) {
                assert_eq!(ran, 0, "{key} never ran");
            }
            if !record.spec.idempotent && !self.checkpointed.contains(key) {
                assert!(ran <= 1, "{key} may run once and ran {ran} times");
            }
        }
    }

    /// Repairs all workers and lets time pass; every task must end or be parked.
    fn settle(&mut self) {
        for worker in &mut self.workers {
            worker.is_cut_off = false;
            worker.is_bad = false;
            worker.loses_answers = false;
        }
        self.grants = LIMITS;
        for _ in 0..4000 {
            self.now += Duration::from_millis(500);
            self.round();
            self.check();
            let is_parked = |key: &TaskKey| {
                let task = self.sched.explain(key, self.now).expect("known");
                task.reason.to_string().starts_with("parked")
            };
            let is_settled =
                |(key, record): (&TaskKey, &Record)| record.ended.is_some() || is_parked(key);
            if self.records.iter().all(is_settled) {
                return;
            }
        }
        for (key, record) in &self.records {
            if record.ended.is_none() {
                let why = self.sched.explain(key, self.now).expect("known");
                panic!("neither ended nor parked: {why}");
            }
        }
    }
}

#[test]
fn round_random_events() {
    fn holds(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        for op in ops {
            world.apply(&op);
        }
        world.settle();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 5))
        .tests(60)
        .quickcheck(holds as fn(Vec<Op>) -> bool);
}
