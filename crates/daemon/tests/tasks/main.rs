//! `TaskPlan` with tasks documents whose writes fail or lose their answers, and with successive holders of the role.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_daemon::scheduler::plan::{SHARDS, TaskPlan, shard_of};
use goldcrest_ledger::jobs::{Checkpoint, JobEdit, Task, TaskOutcome, TaskState};
use goldcrest_sched::Config;
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::{Epoch, Slots};
use rand::Rng;

use crate::world::{CATALOGUE, World, catalogue, task, workers};

/// Over many seeded runs, every accepted task ends in its document, and a task that is not idempotent runs at most
/// once.
#[test]
fn round_writes_fail_or_lose_answers() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        let keys: Vec<TaskKey> = (0..30).map(TaskKey::new).collect();
        for (nth, key) in keys.iter().enumerate() {
            let task = task(nth % 2 == 0);
            world.edit(JobEdit::Accept { key: *key, task }, *key);
        }
        for round in 0..60 {
            world.round();
            if round % 20 == 10 {
                world.take_role();
            }
            if round % 7 == 0 {
                let key = keys[world.rng.random_range(0..keys.len())];
                world.edit(JobEdit::Cancel { key }, key);
            }
        }
        world.faults = false;
        for _ in 0..400 {
            world.round();
        }
        for (nth, key) in keys.iter().enumerate() {
            let parked = world.docs[shard_of(*key)].tasks().get(key);
            let is_parked =
                parked.is_some_and(|task| matches!(task.state, TaskState::Parked { .. }));
            let outcome = world.outcome(*key);
            let runs = world.runs.get(key).copied().unwrap_or(0);
            let why = world.plan.sched().explain(key, world.now);
            assert!(
                is_parked || outcome.is_some(),
                "seed {seed}, {key}: {parked:?} {why:?}"
            );
            if outcome == Some(TaskOutcome::NeverRan) {
                assert_eq!(runs, 0, "seed {seed}, {key} never ran");
            }
            if nth % 2 == 1 {
                assert!(runs <= 1, "seed {seed}, {key} ran {runs} times");
            }
        }
    }
}

/// The document fences a scheduler of an older epoch, which then starts nothing.
#[test]
fn written_older_epoch() {
    let mut world = World::new(1);
    let key = TaskKey::new(4);
    let older = TaskPlan::new(Config::default(), Epoch::new(1));
    world.take_role();
    world.edit(
        JobEdit::Accept {
            key,
            task: task(true),
        },
        key,
    );
    world.faults = false;
    world.round();
    assert_eq!(world.runs.get(&key), Some(&1));
    let newer = std::mem::replace(&mut world.plan, older);
    assert!(newer.epoch() > world.plan.epoch());
    let late = JobEdit::End {
        key,
        attempt: 1,
        epoch: world.plan.epoch(),
        outcome: TaskOutcome::Failed,
    };
    let steps = [late];
    let answers = world.apply(shard_of(key), &steps);
    assert_eq!(world.plan.written(&steps, &answers, world.now), None);
    assert_eq!(world.outcome(key), None);
}

/// A task that is cancelled in the document while it runs is stopped on its worker, and ends as stopped.
#[test]
fn ingest_document_cancelled_while_running() {
    let mut world = World::new(2);
    world.faults = false;
    let key = TaskKey::new(3);
    world.edit(
        JobEdit::Accept {
            key,
            task: task(true),
        },
        key,
    );
    world.round();
    let far = world.now + Duration::from_hours(1);
    for found in world
        .tries
        .values_mut()
        .filter_map(|tries| tries.get_mut(&key))
    {
        found.1 = far;
    }
    world.edit(JobEdit::Cancel { key }, key);
    assert_eq!(world.outcome(key), None);
    for _ in 0..4 {
        world.round();
    }
    assert_eq!(world.outcome(key), Some(TaskOutcome::Stopped));
    assert_eq!(world.runs.get(&key), Some(&1));
}

/// A start that the document refuses, since the task was cancelled between the decision and the write, is not sent.
#[test]
fn written_refused_start() {
    let mut world = World::new(3);
    world.faults = false;
    let key = TaskKey::new(9);
    let shard = shard_of(key);
    world.edit(
        JobEdit::Accept {
            key,
            task: task(false),
        },
        key,
    );
    world.now += Duration::from_millis(500);
    world.report();
    world.read_documents();
    let until = world.now + Duration::from_secs(1);
    let grants = BTreeMap::from([("a".parse().expect("a name"), Slots::new(6))]);
    world.plan.set_grants(&grants, until);
    let steps = world.plan.round(world.now);
    assert!(
        steps[shard]
            .iter()
            .any(|step| matches!(step, JobEdit::Start { .. })),
        "the round decides to start it"
    );
    world.edit(JobEdit::Cancel { key }, key);
    let answers = world.apply(shard, &steps[shard]);
    let starts = world.plan.written(&steps[shard], &answers, world.now);
    assert_eq!(starts, Some(Vec::new()));
    assert_eq!(world.outcome(key), Some(TaskOutcome::NeverRan));
}

/// A task that another entry accepts during a write of the scheduler is in the written document. No later read delivers
/// it, so it must be ingested from there.
#[test]
fn ingest_written_accepted_meanwhile() {
    let mut world = World::new(4);
    world.faults = false;
    let shards = u128::try_from(SHARDS).expect("a few");
    let (first, second) = (TaskKey::new(1), TaskKey::new(1 + shards));
    let shard = shard_of(first);
    assert_eq!(shard, shard_of(second));
    let accept = |key| JobEdit::Accept {
        key,
        task: task(true),
    };
    world.edit(accept(first), first);
    world.read_documents();
    let until = world.now + Duration::from_secs(1);
    let grants = BTreeMap::from([("a".parse().expect("a name"), Slots::new(6))]);
    world.plan.set_grants(&grants, until);
    let steps = world.plan.round(world.now);
    world.edit(accept(second), second);
    let read_late = (Arc::new(world.docs[shard].clone()), world.versions[shard]);
    let answers = world.apply(shard, &steps[shard]);
    world.ingest_written(shard);
    let starts = world.plan.written(&steps[shard], &answers, world.now);
    assert_eq!(starts.map(|starts| starts.len()), Some(1));
    let (doc, version) = read_late;
    world.plan.ingest_document(shard, doc, version, world.now);
    assert!(
        world.plan.sched().explain(&second, world.now).is_some(),
        "the scheduler knows the task"
    );
}

/// A task whose queue is not in this entry's catalogue yet is ingested once the catalogue has the queue.
#[test]
fn ingest_document_queue_not_known_yet() {
    let mut world = World::new(5);
    world.faults = false;
    let older = CATALOGUE.replace("name: q,", "name: other,");
    world.plan = TaskPlan::new(Config::default(), Epoch::new(world.epoch));
    world.plan.set_catalogue(&catalogue(&older));
    world.plan.set_workers(workers(), world.now);
    let key = TaskKey::new(2);
    let accept = JobEdit::Accept {
        key,
        task: task(true),
    };
    world.edit(accept, key);
    world.round();
    assert_eq!(world.runs.get(&key), None);
    world.plan.set_catalogue(&catalogue(CATALOGUE));
    for _ in 0..10 {
        world.round();
    }
    assert_eq!(world.outcome(key), Some(TaskOutcome::Succeeded));
}

/// If a team has fewer slots than running tasks, the tasks with the highest keys over all documents exceed the grant.
#[test]
fn beyond_grants_fewer_slots() {
    let mut world = World::new(6);
    world.faults = false;
    let keys: Vec<TaskKey> = (1..=6).map(TaskKey::new).collect();
    for key in &keys {
        let accept = JobEdit::Accept {
            key: *key,
            task: task(true),
        };
        world.edit(accept, *key);
    }
    world.round();
    assert!(keys.iter().all(|key| world.runs.get(key) == Some(&1)));
    let beyond = |slots| {
        let grants = BTreeMap::from([("a".parse().expect("a name"), Slots::new(slots))]);
        world.plan.beyond_grants(&grants).into_iter().collect()
    };
    let found: Vec<TaskKey> = beyond(4);
    assert_eq!(found, keys[4..]);
    let found: Vec<TaskKey> = beyond(6);
    assert!(found.is_empty());
}

/// The `checkpoint` value of a record reaches the scheduler; the default value is that of a task that can be
/// checkpointed.
#[test]
fn ingest_document_not_checkpointable() {
    let mut world = World::new(7);
    world.faults = false;
    let (fixed, movable) = (TaskKey::new(1), TaskKey::new(2));
    let once = Task {
        checkpoint: Checkpoint::Impossible,
        ..task(true)
    };
    for (key, task) in [(fixed, once), (movable, task(true))] {
        world.edit(JobEdit::Accept { key, task }, key);
    }
    world.read_documents();
    let can_save = |key| {
        let tasks = &world.plan.sched().state().tasks;
        tasks.find(&key).map(|id| tasks[id].checkpointable)
    };
    assert_eq!(can_save(fixed), Some(false));
    assert_eq!(can_save(movable), Some(true));
}
