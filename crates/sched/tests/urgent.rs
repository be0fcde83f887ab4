//! Urgent work in a full fleet whose checkpoints are seen late.

mod common;

use std::time::{Duration, Instant};

use common::{catalogue, resources, task, worker};
use goldcrest_sched::{
    CommandKind, Config, Decisions, ObservedPhase, Scheduler, StartOutcome, TaskObservation,
    WorkerSpec,
};
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::Slots;

/// More workers than one round looks at for one urgent task.
const WORKERS: usize = 300;
const ROUND: Duration = Duration::from_millis(250);
/// How long a checkpoint takes, and how much later the worker's report tells of it.
const CHECKPOINT: Duration = Duration::from_secs(1);
const REPORT: Duration = Duration::from_secs(1);
/// Within this urgent work starts.
const START_MAX: Duration = Duration::from_millis(3400);
const URGENT: u128 = 1_000_000;

/// A fleet that is full of tasks that can save their state, and the worker of each.
fn full_fleet(now: Instant) -> (Scheduler, Vec<WorkerSpec>) {
    let teams = [("a".into(), 1, 1000), ("b".into(), 1, 1000)];
    let queues = [
        ("q".into(), "batch".into(), "p".into(), 3_600_000),
        ("u".into(), "urgent".into(), "p".into(), 3_600_000),
    ];
    let mut sched = Scheduler::new(Config::default());
    sched.set_catalogue(&catalogue(&teams, &queues));
    let capacity = resources(2000, 8192, 0);
    let workers: Vec<WorkerSpec> = (0..WORKERS)
        .map(|i| worker(&format!("w{i}"), &format!("r{}", i / 4), "p", capacity))
        .collect();
    sched.set_workers(&workers, now);
    for key in 0..WORKERS as u128 {
        let mut spec = task(key, "a", "q", resources(2000, 1024, 0));
        spec.checkpointable = true;
        sched.submit(&spec, now).expect("taken");
    }
    (sched, workers)
}

fn grant(sched: &mut Scheduler, now: Instant) {
    let teams: [TeamName; 2] = ["a", "b"].map(|name| name.parse().expect("a name"));
    let grants = teams.iter().map(|team| (team, Slots::new(1000)));
    sched.set_grants(grants, now + Duration::from_secs(10));
}

#[test]
fn preempt_checkpoint_seen_late() {
    let mut now = Instant::now();
    let (mut sched, workers) = full_fleet(now);
    let mut out = Decisions::new();
    grant(&mut sched, now);
    sched.round(now, &mut out);
    assert_eq!(out.starts.len(), WORKERS);
    for start in &out.starts {
        sched.on_start(&start.key, start.attempt, StartOutcome::Accepted, now);
    }
    now += ROUND;
    let urgent = task(URGENT, "b", "u", resources(1000, 512, 0));
    sched.submit(&urgent, now).expect("taken");
    let submitted = now;
    let mut told = Vec::new();
    while now - submitted <= START_MAX {
        grant(&mut sched, now);
        sched.round(now, &mut out);
        let is_urgent = |key: &TaskKey| *key == TaskKey::new(URGENT);
        if out.starts.iter().any(|start| is_urgent(&start.key)) {
            assert_eq!(told.len(), 1, "more than one task gave way");
            return;
        }
        for command in &out.commands {
            if command.kind == CommandKind::Checkpoint {
                told.push((now, command.key, command.worker));
            }
        }
        now += ROUND;
        for (at, key, vm) in &told {
            if now - *at >= CHECKPOINT + REPORT {
                let seen = TaskObservation {
                    key: *key,
                    attempt: 1,
                    phase: ObservedPhase::Checkpointed,
                    used: resources(0, 0, 0),
                };
                sched.on_report(*vm, &[seen], now, now);
            }
        }
    }
    panic!(
        "not started within {START_MAX:?}; {} workers",
        workers.len()
    );
}
