//! Tasks on a draining worker: a task that would run longer than its move is worth saves a checkpoint and resumes on
//! another worker without losing work. Runs on tasks and fleet documents with a simulated clock.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_daemon::scheduler::fleet::worker_set;
use goldcrest_daemon::scheduler::plan::{SHARDS, TaskPlan, shard_of};
use goldcrest_daemon::world::Fleets;
use goldcrest_ledger::fleet::{FleetDoc, Permit, Purpose, VmEdit};
use goldcrest_ledger::jobs::{Checkpoint, JobEdit, JobsDoc, Task, TaskOutcome, TaskState};
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_sched::{CommandKind, Config, ObservedPhase, Start, StartOutcome, TaskObservation};
use goldcrest_types::catalogue::{Catalogue, Class, parse};
use goldcrest_types::names::{DcName, EditId, EntryId, TaskKey, VmName};
use goldcrest_types::units::{
    Accelerators, Bytes, CpuMillis, Epoch, Resources, Revision, Slots, StoreVersion, VmCount,
};

/// The wait that a move of a task is worth with the default weights.
const MOVE_WORTH: Duration = Duration::from_mins(24);

const CATALOGUE: &str = "
data_centres: [{name: dc1, region: r1}]
pools: [{name: p, kind: workers, max_unavailable_vms: 1}]
teams: [{name: a, share: 1, upper_limit_slots: 6}]
queues: [{name: q, owner: a, class: batch, pool: p}]
";

/// An attempt on a worker. Work that was checkpointed before `since` is not repeated.
struct Try {
    attempt: u32,
    since: Instant,
    phase: ObservedPhase,
}

struct Bed {
    now: Instant,
    plan: TaskPlan,
    jobs: [JobsDoc; SHARDS],
    fleet: FleetDoc,
    listing: VmListing,
    edits: u128,
    tries: BTreeMap<VmName, HashMap<TaskKey, Try>>,
    /// How long each task takes, and how much of it is checkpointed.
    work: HashMap<TaskKey, (Duration, Duration)>,
    worked: HashMap<TaskKey, Duration>,
    starts: HashMap<TaskKey, u32>,
}

fn dc() -> DcName {
    "dc1".parse().expect("a name")
}

fn vm(text: &str) -> VmName {
    text.parse().expect("a name")
}

fn size(cpu: u32) -> Resources {
    Resources::new(CpuMillis::new(cpu), Bytes::new(1 << 30), Accelerators::ZERO)
}

impl Bed {
    /// Creates two workers, the second one not yet in service.
    fn new() -> Self {
        let spec = parse(CATALOGUE).expect("a catalogue");
        let cat = Catalogue::resolve(&spec, Revision::new(1)).expect("a catalogue");
        let mut plan = TaskPlan::new(Config::default(), Epoch::new(1));
        plan.set_catalogue(&cat);
        let mut bed = Self {
            now: Instant::now(),
            plan,
            jobs: Default::default(),
            fleet: FleetDoc::default(),
            listing: VmListing::default(),
            edits: 0,
            tries: BTreeMap::new(),
            work: HashMap::new(),
            worked: HashMap::new(),
            starts: HashMap::new(),
        };
        for (name, port) in [("w1", 1), ("w2", 2)] {
            bed.listing.vms.push(record(name, port));
            bed.tries.insert(vm(name), HashMap::new());
            bed.edit(VmEdit::Enrol {
                vm: vm(name),
                pool: "p".parse().expect("a name"),
                rack: "r".parse().expect("a name"),
                boots: 1,
            });
        }
        bed.serve("w1");
        bed
    }

    fn edit(&mut self, step: VmEdit) {
        self.edits += 1;
        let applied = self.fleet.apply(EditId::new(self.edits), &[step]);
        applied.expect("an edit that is taken");
    }

    fn serve(&mut self, name: &str) {
        let (vm, boots) = (vm(name), 1);
        self.edit(VmEdit::Serve { vm, boots });
    }

    fn drain(&mut self, name: &str) {
        let permit = Permit {
            holder: EntryId::new(1),
            epoch: Epoch::new(1),
            purpose: Purpose::Maintain { wave: 1 },
        };
        self.edit(VmEdit::Drain {
            vm: vm(name),
            permit,
            budget: VmCount::new(1),
        });
    }

    /// Accepts a task that declares the run time `declared` and runs for `takes`.
    fn submit(&mut self, bits: u128, declared: Duration, takes: Duration) -> TaskKey {
        let key = TaskKey::new(bits);
        let task = Task {
            queue: "q".parse().expect("a name"),
            team: "a".parse().expect("a name"),
            class: Class::Batch,
            need: size(1_000),
            run_ms: u64::try_from(declared.as_millis()).expect("a short time"),
            payload: "work".into(),
            is_idempotent: true,
            attempts: 0,
            checkpoint: Checkpoint::Possible,
            is_cancelled: false,
            state: TaskState::Waiting,
        };
        self.edits += 1;
        let shard = shard_of(key);
        self.jobs[shard].apply(EditId::new(self.edits), &[JobEdit::Accept { key, task }]);
        self.work.insert(key, (takes, Duration::ZERO));
        key
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.round();
        }
    }

    fn round(&mut self) {
        self.now += Duration::from_secs(1);
        let mut fleets = Fleets::default();
        let fleet = Arc::new(self.fleet.clone());
        fleets.set(dc(), StoreVersion::new(1), fleet);
        let set = worker_set(&self.listing, &fleets, &dc());
        self.plan.set_workers(set.specs, self.now);
        self.report();
        for (shard, doc) in self.jobs.iter().enumerate() {
            let version = StoreVersion::new(u64::try_from(self.edits).expect("few edits"));
            let doc = Arc::new(doc.clone());
            self.plan.ingest_document(shard, doc, version, self.now);
        }
        let grants = BTreeMap::from([("a".parse().expect("a name"), Slots::new(6))]);
        self.plan
            .set_grants(&grants, self.now + Duration::from_secs(5));
        let steps = self.plan.round(self.now);
        self.command();
        for (shard, steps) in steps.iter().enumerate().filter(|(_, s)| !s.is_empty()) {
            self.write(shard, steps);
        }
    }

    fn command(&mut self) {
        for command in self.plan.commands() {
            let name = self.plan.sched().worker_name(command.worker);
            let tries = self.tries.get_mut(name.expect("listed")).expect("listed");
            let Some(found) = tries.get_mut(&command.key) else {
                continue;
            };
            if command.kind == CommandKind::Checkpoint && found.phase == ObservedPhase::Running {
                found.phase = ObservedPhase::Checkpointed;
                let (_, saved) = self.work.get_mut(&command.key).expect("a task");
                *saved += self.now - found.since;
                *self.worked.entry(command.key).or_default() += self.now - found.since;
            }
        }
    }

    fn write(&mut self, shard: usize, steps: &[JobEdit]) {
        self.edits += 1;
        let answers = self.jobs[shard].apply(EditId::new(self.edits), steps);
        let version = StoreVersion::new(u64::try_from(self.edits).expect("few edits"));
        let doc = self.jobs[shard].clone();
        self.plan
            .ingest_written(shard, doc, Some(version), self.now);
        let starts = self.plan.written(steps, &answers, self.now);
        for start in starts.expect("the newest scheduler") {
            self.start(&start);
        }
    }

    fn start(&mut self, start: &Start) {
        let (_, saved) = self.work.get_mut(&start.key).expect("a task");
        if !start.resume {
            *saved = Duration::ZERO;
        }
        *self.starts.entry(start.key).or_default() += 1;
        let name = self.plan.sched().worker_name(start.worker).expect("listed");
        let fresh = Try {
            attempt: start.attempt,
            since: self.now,
            phase: ObservedPhase::Running,
        };
        let tries = self.tries.get_mut(name).expect("listed");
        tries.insert(start.key, fresh);
        self.plan.on_start(start, StartOutcome::Accepted, self.now);
    }

    fn report(&mut self) {
        for (name, tries) in &mut self.tries {
            for (key, found) in tries.iter_mut() {
                let (takes, saved) = self.work[key];
                let ran = self.now - found.since;
                if found.phase == ObservedPhase::Running && saved + ran >= takes {
                    found.phase = ObservedPhase::Succeeded;
                    *self.worked.entry(*key).or_default() += ran;
                }
            }
            let seen = tries.iter().map(|(key, found)| TaskObservation {
                key: *key,
                attempt: found.attempt,
                phase: found.phase,
                used: size(900),
            });
            let report: Vec<TaskObservation> = seen.collect();
            tries.retain(|_, found| found.phase == ObservedPhase::Running);
            self.plan.on_report(name, &report, self.now, self.now);
        }
    }

    fn running_on(&self, name: &str) -> usize {
        self.tries[&vm(name)].len()
    }

    fn outcome(&self, key: TaskKey) -> Option<TaskOutcome> {
        self.jobs[shard_of(key)].outcome(key)
    }
}

fn record(name: &str, port: u16) -> VmRecord {
    VmRecord {
        name: vm(name),
        data_centre: dc(),
        rack: "r".parse().expect("a name"),
        role: VmRole::Worker,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        phase: VmPhase::Live,
        resources: Resources::new(
            CpuMillis::new(4_000),
            Bytes::new(8 << 30),
            Accelerators::ZERO,
        ),
        boots: 1,
    }
}

#[test]
fn drain_long_task_resumes_elsewhere_with_its_work() {
    let takes = Duration::from_hours(2);
    let mut bed = Bed::new();
    let key = bed.submit(1, takes, takes);
    bed.pass(Duration::from_mins(30));
    assert_eq!(bed.running_on("w1"), 1);
    bed.serve("w2");
    bed.drain("w1");
    let drained_at = bed.now;
    while bed.running_on("w1") > 0 {
        bed.round();
        assert!(bed.now - drained_at < MOVE_WORTH, "w1 is not free");
    }
    println!("free after {} s", (bed.now - drained_at).as_secs());
    bed.pass(Duration::from_secs(10));
    assert_eq!(bed.running_on("w2"), 1);
    bed.pass(takes);
    assert_eq!(bed.outcome(key), Some(TaskOutcome::Succeeded));
    assert_eq!(bed.starts[&key], 2);
    let again = bed.worked[&key].saturating_sub(takes);
    assert!(
        again <= Duration::from_secs(2),
        "{again:?} of work done twice"
    );
}

#[test]
fn drain_waits_for_what_ends_soon() {
    let takes = Duration::from_mins(10);
    let mut bed = Bed::new();
    let key = bed.submit(1, takes, takes);
    bed.pass(Duration::from_mins(1));
    bed.serve("w2");
    bed.drain("w1");
    bed.pass(takes);
    assert_eq!(bed.outcome(key), Some(TaskOutcome::Succeeded));
    assert_eq!(bed.starts[&key], 1);
    assert_eq!(bed.running_on("w1"), 0);
}

/// A task that runs on past what it declared is moved once the drain has waited for what a move is worth.
#[test]
fn drain_moves_what_outlasts_its_declaration() {
    let takes = Duration::from_hours(3);
    let mut bed = Bed::new();
    let key = bed.submit(1, Duration::from_mins(1), takes);
    bed.pass(Duration::from_mins(10));
    bed.serve("w2");
    bed.drain("w1");
    bed.pass(Duration::from_secs(MOVE_WORTH.as_secs() - 5));
    assert_eq!(bed.running_on("w1"), 1);
    bed.pass(Duration::from_secs(30));
    assert_eq!(bed.running_on("w1"), 0);
    assert_eq!(bed.running_on("w2"), 1);
    bed.pass(takes);
    assert_eq!(bed.outcome(key), Some(TaskOutcome::Succeeded));
}
