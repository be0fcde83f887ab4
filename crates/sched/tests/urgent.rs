//! An urgent task in a full fleet whose checkpoints are reported late: it starts in time, and only one task is
//! preempted for it.

mod common;

use std::time::{Duration, Instant};

use common::{catalogue, resources, task, worker};
use goldcrest_sched::{
    CommandKind, Config, Decisions, ObservedPhase, Scheduler, StartOutcome, TaskObservation,
    WorkerSpec,
};
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::Slots;

/// More workers than one round examines for one urgent task.
const WORKERS: usize = 300;
const ROUND: Duration = Duration::from_millis(250);
/// How long a task takes to save its state.
const CHECKPOINT: Duration = Duration::from_secs(1);
/// How much later the report of the worker shows the checkpoint.
const REPORT: Duration = Duration::from_secs(1);
/// The time within which the urgent task must start.
const START_MAX: Duration = Duration::from_millis(3400);
const URGENT: u128 = 1_000_000;

/// Returns a scheduler with one waiting task per worker, which fills the worker and can save its state, and the
/// workers.
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
        sched.submit(&spec, now).expect("accepted");
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
    sched.submit(&urgent, now).expect("accepted");
    let submitted = now;
    let mut preempted = Vec::new();
    while now - submitted <= START_MAX {
        grant(&mut sched, now);
        sched.round(now, &mut out);
        let is_urgent = |key: &TaskKey| *key == TaskKey::new(URGENT);
        if out.starts.iter().any(|start| is_urgent(&start.key)) {
            assert_eq!(preempted.len(), 1, "not exactly one task was preempted");
            return;
        }
        for command in &out.commands {
            if command.kind == CommandKind::Checkpoint {
                preempted.push((now, command.key, command.worker));
            }
        }
        now += ROUND;
        for (at, key, vm) in &preempted {
            if now - *at >= CHECKPOINT + REPORT {
                let observation = TaskObservation {
                    key: *key,
                    attempt: 1,
                    phase: ObservedPhase::Checkpointed,
                    used: resources(0, 0, 0),
                };
                sched.on_report(*vm, &[observation], now, now);
            }
        }
    }
    panic!(
        "not started within {START_MAX:?}; {} workers",
        workers.len()
    );
}
