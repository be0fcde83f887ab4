//! A `TaskPlan` with simulated workers and documents, whose reads and writes may fail.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_daemon::scheduler::plan::{SHARDS, TaskPlan, shard_of};
use goldcrest_ledger::jobs::{
    Checkpoint, JobAnswer, JobEdit, JobRefusal, JobsDoc, Task, TaskOutcome, TaskState,
};
use goldcrest_sched::{
    Availability, CommandKind, Config, ObservedPhase, Start, StartOutcome, TaskObservation,
    WorkerSpec,
};
use goldcrest_types::catalogue::{Catalogue, Class, parse};
use goldcrest_types::names::{EditId, TaskKey, VmName};
use goldcrest_types::units::{
    Accelerators, Bytes, CpuMillis, Epoch, Resources, Revision, Slots, StoreVersion,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const CATALOGUE: &str = "
data_centres: [{name: dc1, region: r1}]
pools: [{name: p, kind: workers, max_unavailable_vms: 1}]
teams: [{name: a, share: 1, upper_limit_slots: 6}]
queues: [{name: q, owner: a, class: batch, pool: p}]
";

pub fn size(cpu: u32) -> Resources {
    Resources::new(CpuMillis::new(cpu), Bytes::new(1 << 30), Accelerators::ZERO)
}

pub fn task(is_idempotent: bool) -> Task {
    Task {
        queue: "q".parse().expect("a name"),
        team: "a".parse().expect("a name"),
        class: Class::Batch,
        need: size(1000),
        run_ms: 1000,
        payload: "work".into(),
        is_idempotent,
        attempts: 0,
        checkpoint: Checkpoint::Possible,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    Done,
    Failed,
    AnswerLost,
}

pub struct World {
    pub rng: StdRng,
    pub docs: [JobsDoc; SHARDS],
    pub versions: [StoreVersion; SHARDS],
    pub plan: TaskPlan,
    pub epoch: u64,
    pub edits: u128,
    pub now: Instant,
    /// The attempts on each worker: number, end of the run, and phase.
    pub tries: BTreeMap<VmName, HashMap<TaskKey, (u32, Instant, ObservedPhase)>>,
    pub runs: HashMap<TaskKey, u32>,
    pub faults: bool,
}

pub fn workers() -> Vec<WorkerSpec> {
    let worker = |i: usize| WorkerSpec {
        name: format!("w{i}").parse().expect("a name"),
        dc: "dc1".parse().expect("a name"),
        rack: format!("r{i}").parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        capacity: Resources::new(
            CpuMillis::new(4000),
            Bytes::new(4 << 30),
            Accelerators::ZERO,
        ),
        availability: Availability::Open,
    };
    (0..3).map(worker).collect()
}

pub fn catalogue(text: &str) -> Catalogue {
    let spec = parse(text).expect("a catalogue");
    Catalogue::resolve(&spec, Revision::new(1)).expect("a catalogue")
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            docs: Default::default(),
            versions: [StoreVersion::new(1); SHARDS],
            plan: TaskPlan::new(Config::default(), Epoch::new(0)),
            epoch: 0,
            edits: 0,
            now,
            tries: workers()
                .into_iter()
                .map(|worker| (worker.name, HashMap::new()))
                .collect(),
            runs: HashMap::new(),
            faults: true,
        };
        world.take_role();
        world
    }

    pub fn take_role(&mut self) {
        self.epoch += 1;
        self.plan = TaskPlan::new(Config::default(), Epoch::new(self.epoch));
        self.plan.set_catalogue(&catalogue(CATALOGUE));
        self.plan.set_workers(workers(), self.now);
        self.read_documents();
    }

    pub fn read_documents(&mut self) {
        for (shard, doc) in self.docs.iter().enumerate() {
            let doc = Arc::new(doc.clone());
            self.plan
                .ingest_document(shard, doc, self.versions[shard], self.now);
        }
    }

    /// Applies steps to a document, as a write of anybody does.
    pub fn apply(&mut self, shard: usize, steps: &[JobEdit]) -> Vec<Result<JobAnswer, JobRefusal>> {
        self.edits += 1;
        let next = self.versions[shard].get() + 1;
        self.versions[shard] = StoreVersion::new(next);
        self.docs[shard].apply(EditId::new(self.edits), steps)
    }

    pub fn edit(&mut self, step: JobEdit, key: TaskKey) {
        let answers = self.apply(shard_of(key), &[step]);
        assert_eq!(answers.len(), 1);
    }

    pub fn ingest_written(&mut self, shard: usize) {
        let doc = self.docs[shard].clone();
        let version = Some(self.versions[shard]);
        self.plan.ingest_written(shard, doc, version, self.now);
    }

    pub fn round(&mut self) {
        self.now += Duration::from_millis(500);
        self.report();
        if !self.faults || self.rng.random_bool(0.5) {
            self.read_documents();
        }
        let until = self.now + Duration::from_secs(1);
        let grants = BTreeMap::from([("a".parse().expect("a name"), Slots::new(6))]);
        self.plan.set_grants(&grants, until);
        let steps = self.plan.round(self.now);
        for command in self.plan.commands().to_vec() {
            let name = self
                .plan
                .sched()
                .worker_name(command.worker)
                .expect("listed");
            let tries = self.tries.get_mut(name).expect("listed");
            if let Some(found) = tries.get_mut(&command.key)
                && command.kind == CommandKind::Stop
                && found.0 == command.attempt
                && found.2 == ObservedPhase::Running
            {
                found.2 = ObservedPhase::Stopped;
            }
        }
        for (shard, steps) in steps.into_iter().enumerate() {
            self.write(shard, &steps);
        }
    }

    pub fn write(&mut self, shard: usize, steps: &[JobEdit]) {
        if steps.is_empty() {
            return;
        }
        let fate = match self.rng.random_range(0..10) {
            0 if self.faults => Write::Failed,
            1 if self.faults => Write::AnswerLost,
            _ => Write::Done,
        };
        if fate == Write::Failed {
            self.plan.not_written(steps, self.now);
            return;
        }
        let answers = self.apply(shard, steps);
        if fate == Write::AnswerLost {
            self.plan.not_written(steps, self.now);
            return;
        }
        self.ingest_written(shard);
        let starts = self.plan.written(steps, &answers, self.now);
        for start in starts.expect("the newest scheduler") {
            self.start(&start);
        }
    }

    pub fn start(&mut self, start: &Start) {
        let refused = self.faults && self.rng.random_bool(0.1);
        if refused {
            self.plan
                .on_start(start, StartOutcome::NotStarted, self.now);
            return;
        }
        let name = self.plan.sched().worker_name(start.worker).expect("listed");
        let fails = self.faults && self.rng.random_bool(0.1);
        let phase = if fails {
            ObservedPhase::Failed
        } else {
            ObservedPhase::Succeeded
        };
        let ends = self.now + Duration::from_millis(self.rng.random_range(0..3000));
        let tries = self.tries.get_mut(name).expect("listed");
        let running = (start.attempt, ends, ObservedPhase::Running);
        tries.insert(start.key, running);
        *self.runs.entry(start.key).or_default() += 1;
        let is_known = !self.faults || self.rng.random_bool(0.8);
        if is_known {
            self.plan.on_start(start, StartOutcome::Accepted, self.now);
        }
        if phase == ObservedPhase::Failed {
            let tries = self
                .tries
                .values_mut()
                .filter_map(|tries| tries.get_mut(&start.key));
            for found in tries {
                found.2 = phase;
            }
        }
    }

    pub fn report(&mut self) {
        for (name, tries) in &mut self.tries {
            let seen =
                |(key, (attempt, ends, phase)): (&TaskKey, &(u32, Instant, ObservedPhase))| {
                    let is_over = *ends <= self.now && *phase == ObservedPhase::Running;
                    TaskObservation {
                        key: *key,
                        attempt: *attempt,
                        phase: if is_over {
                            ObservedPhase::Succeeded
                        } else {
                            *phase
                        },
                        used: size(900),
                    }
                };
            let report: Vec<TaskObservation> = tries.iter().map(seen).collect();
            tries.retain(|key, _| {
                let over = report.iter().find(|seen| seen.key == *key);
                over.is_some_and(|seen| seen.phase == ObservedPhase::Running)
            });
            self.plan.on_report(name, &report, self.now, self.now);
        }
    }

    pub fn outcome(&self, key: TaskKey) -> Option<TaskOutcome> {
        self.docs[shard_of(key)].outcome(key)
    }
}
