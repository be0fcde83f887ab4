//! Runs every file of `tests/cases`: one event per line, followed by its expected output in lines that start with `>`.
//!
//! Events: `team NAME SHARE LIMIT`, `queue NAME CLASS POOL RUN_MAX_MS`, `worker NAME RACK POOL CPU MIB ACCELERATORS
//! [cordoned|draining|leaving]`, `fleet` (applies the lines above), `grant TEAM SLOTS`, `at MS`, `submit KEY TEAM QUEUE
//! CPU MIB ACCELERATORS [checkpoint] [long] [once]`, `cancel KEY`, `started KEY ATTEMPT OUTCOME`, `report WORKER [KEY
//! ATTEMPT PHASE CPU MIB]...`, `round`, `explain KEY`, `unpark KEY`.

mod common;

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use goldcrest_cases::Cases;
use goldcrest_sched::verify::verify;
use goldcrest_sched::{
    Availability, Config, Decisions, ObservedPhase, Scheduler, StartOutcome, TaskObservation,
    WorkerSpec,
};
use goldcrest_types::entity::VmId;
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::Slots;

struct Case {
    sched: Scheduler,
    teams: Vec<(String, u32, u32)>,
    queues: Vec<(String, String, String, u64)>,
    workers: Vec<WorkerSpec>,
    start: Instant,
    now: Instant,
    out: Decisions,
}

fn number<T: std::str::FromStr>(word: &str) -> T {
    word.parse()
        .unwrap_or_else(|_| panic!("'{word}' is not a number"))
}

fn key(word: &str) -> TaskKey {
    TaskKey::new(number(word.trim_start_matches('t')))
}

fn phase(word: &str) -> ObservedPhase {
    match word {
        "running" => ObservedPhase::Running,
        "succeeded" => ObservedPhase::Succeeded,
        "failed" => ObservedPhase::Failed,
        "stopped" => ObservedPhase::Stopped,
        "checkpointed" => ObservedPhase::Checkpointed,
        _ => panic!("'{word}' is not a phase"),
    }
}

impl Case {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            sched: Scheduler::new(Config::default()),
            teams: Vec::new(),
            queues: Vec::new(),
            workers: Vec::new(),
            start,
            now: start,
            out: Decisions::new(),
        }
    }

    /// Applies one event and returns its output.
    fn step(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[0] {
            "team" => self
                .teams
                .push((words[1].into(), number(words[2]), number(words[3]))),
            "queue" => self.queues.push((
                words[1].into(),
                words[2].into(),
                words[3].into(),
                number(words[4]),
            )),
            "worker" => self.add_worker(&words),
            "fleet" => self.apply_fleet(),
            "grant" => {
                let team: TeamName = words[1].parse().expect("a team");
                let until = self.now + Duration::from_mins(1);
                self.sched
                    .set_grants([(&team, Slots::new(number(words[2])))], until);
            }
            "at" => self.now = self.start + Duration::from_millis(number(words[1])),
            "submit" => return self.submit(&words),
            "cancel" => return format!("{:?}\n", self.sched.cancel(&key(words[1]))),
            "unpark" => return format!("{}\n", self.sched.unpark(&key(words[1]))),
            "started" => self.started(&words),
            "report" => self.report(&words),
            "round" => return self.round(),
            "explain" => {
                let explanation = self.sched.explain(&key(words[1]), self.now);
                return format!("{}\n", explanation.expect("a task").text);
            }
            word => panic!("'{word}' is not an event"),
        }
        String::new()
    }

    fn add_worker(&mut self, words: &[&str]) {
        let capacity = common::resources(number(words[4]), number(words[5]), number(words[6]));
        let mut spec = common::worker(words[1], words[2], words[3], capacity);
        spec.availability = match words.get(7) {
            Some(&"cordoned") => Availability::Cordoned,
            Some(&"draining") => Availability::Draining,
            Some(&"leaving") => Availability::Leaving,
            _ => Availability::Open,
        };
        self.workers.retain(|other| other.name != spec.name);
        self.workers.push(spec);
    }

    fn apply_fleet(&mut self) {
        self.sched
            .set_catalogue(&common::catalogue(&self.teams, &self.queues));
        self.sched.set_workers(&self.workers, self.now);
        let grants: Vec<(TeamName, Slots)> = self
            .teams
            .iter()
            .map(|(name, _, limit)| (name.parse().expect("a team"), Slots::new(*limit)))
            .collect();
        let until = self.now + Duration::from_hours(1);
        self.sched
            .set_grants(grants.iter().map(|(name, slots)| (name, *slots)), until);
    }

    fn submit(&mut self, words: &[&str]) -> String {
        let declared = common::resources(number(words[4]), number(words[5]), number(words[6]));
        let number: u128 = number(words[1].trim_start_matches('t'));
        let mut spec = common::task(number, words[2], words[3], declared);
        spec.checkpointable = words.contains(&"checkpoint");
        if words.contains(&"long") {
            spec.declared_run = Duration::from_hours(2);
        }
        spec.idempotent = !words.contains(&"once");
        match self.sched.submit(&spec, self.now) {
            Ok(_) => String::new(),
            Err(error) => format!("{error}\n"),
        }
    }

    fn started(&mut self, words: &[&str]) {
        let outcome = match words[3] {
            "accepted" => StartOutcome::Accepted,
            "refused" => StartOutcome::NotStarted,
            _ => StartOutcome::Unknown,
        };
        self.sched
            .on_start(&key(words[1]), number(words[2]), outcome, self.now);
    }

    fn report(&mut self, words: &[&str]) {
        let vm = self
            .sched
            .worker(&words[1].parse().expect("a name"))
            .expect("a worker");
        let tasks: Vec<TaskObservation> = words[2..]
            .chunks(5)
            .map(|task| TaskObservation {
                key: key(task[0]),
                attempt: number(task[1]),
                phase: phase(task[2]),
                used: common::resources(number(task[3]), number(task[4]), 0),
            })
            .collect();
        self.sched.on_report(vm, &tasks, self.now, self.now);
    }

    fn name(&self, vm: VmId) -> &str {
        self.sched.worker_name(vm).expect("a worker").as_str()
    }

    fn round(&mut self) -> String {
        let mut out = std::mem::take(&mut self.out);
        self.sched.round(self.now, &mut out);
        let breaches = verify(self.sched.state(), &out, self.now);
        assert!(breaches.is_empty(), "{breaches}");
        let mut text = String::new();
        for start in &out.starts {
            let (key, worker) = (start.key.bits(), self.name(start.worker));
            let resume = if start.resume { " resume" } else { "" };
            writeln!(
                text,
                "start t{key} {worker} attempt {}{resume}",
                start.attempt
            )
            .unwrap();
        }
        for command in &out.commands {
            let (key, worker) = (command.key.bits(), self.name(command.worker));
            writeln!(
                text,
                "{:?} t{key} {worker}: {}",
                command.kind,
                self.sched.describe(&command.reason)
            )
            .unwrap();
        }
        for parked in &out.parked {
            writeln!(
                text,
                "park t{}: {}",
                parked.key.bits(),
                self.sched.describe(&parked.reason)
            )
            .unwrap();
        }
        for ended in &out.ended {
            let key = ended.key.bits();
            writeln!(
                text,
                "end t{key} {:?}: {}",
                ended.outcome,
                self.sched.describe(&ended.reason)
            )
            .unwrap();
        }
        self.out = out;
        text
    }
}

fn run(text: &str) -> String {
    let mut case = Case::new();
    let mut output = String::new();
    for line in text.lines() {
        if line.starts_with('>') {
            continue;
        }
        output.push_str(line);
        output.push('\n');
        if !line.is_empty() && !line.starts_with('#') {
            for answer in case.step(line).lines() {
                writeln!(output, "> {answer}").unwrap();
            }
        }
    }
    output
}

#[test]
fn cases_all_files() {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(10)
        .check(run);
}
