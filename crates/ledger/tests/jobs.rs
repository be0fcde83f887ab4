//! Tasks are accepted once, run at most once if non-idempotent, and are never both cancelled and started.

use goldcrest_ledger::Document;
use goldcrest_ledger::jobs::{
    Checkpoint, ENDED_KEPT, JobAnswer, JobEdit, JobRefusal, JobsDoc, RequeueCause, TASK_BYTES_MAX,
    Task, TaskOutcome, TaskState,
};
use goldcrest_ledger::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{EditId, TaskKey};
use goldcrest_types::units::{Epoch, Resources};
use quickcheck::{Gen, QuickCheck};

fn task(is_idempotent: bool, payload_bytes: usize) -> Task {
    Task {
        queue: "merge".parse().expect("a name"),
        team: "guides".parse().expect("a name"),
        class: Class::Batch,
        need: Resources::ZERO,
        run_ms: 1_000,
        payload: "x".repeat(payload_bytes).into(),
        is_idempotent,
        attempts: 0,
        checkpoint: Checkpoint::Possible,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}

fn accept(key: u128, task: Task) -> JobEdit {
    let key = TaskKey::new(key);
    JobEdit::Accept { key, task }
}

fn start(key: u128, attempt: u32, epoch: u64) -> JobEdit {
    JobEdit::Start {
        key: TaskKey::new(key),
        worker: "w1".parse().expect("a name"),
        attempt,
        epoch: Epoch::new(epoch),
    }
}

fn requeue(key: u128, attempt: u32, cause: RequeueCause) -> JobEdit {
    JobEdit::Requeue {
        key: TaskKey::new(key),
        attempt,
        epoch: Epoch::new(1),
        cause,
    }
}

fn end(key: u128, attempt: u32, outcome: TaskOutcome) -> JobEdit {
    JobEdit::End {
        key: TaskKey::new(key),
        attempt,
        epoch: Epoch::new(1),
        outcome,
    }
}

fn apply(doc: &mut JobsDoc, id: u128, step: JobEdit) -> Result<JobAnswer, JobRefusal> {
    let mut answers = doc.apply(EditId::new(id), &[step]);
    answers.remove(0)
}

#[test]
fn accept_twice_and_after_end() {
    let mut doc = JobsDoc::empty();
    let accept = || accept(1, task(true, 10));
    assert_eq!(apply(&mut doc, 1, accept()), Ok(JobAnswer::Done));
    assert_eq!(apply(&mut doc, 2, accept()), Ok(JobAnswer::Known));
    apply(&mut doc, 3, start(1, 1, 1)).expect("started");
    apply(&mut doc, 4, end(1, 1, TaskOutcome::Succeeded)).expect("ended");
    let ended = Ok(JobAnswer::Ended(TaskOutcome::Succeeded));
    assert_eq!(apply(&mut doc, 5, accept()), ended);
    assert!(doc.tasks().is_empty());
}

#[test]
fn accept_full_batch() {
    let mut doc = JobsDoc::empty();
    let steps: Vec<JobEdit> = (0..90).map(|key| accept(key, task(true, 10_000))).collect();
    let answers = doc.apply(EditId::new(1), &steps);
    let taken = answers
        .iter()
        .filter(|a| **a == Ok(JobAnswer::Done))
        .count();
    assert_eq!(taken, TASK_BYTES_MAX / task(true, 10_000).bytes());
    assert!(matches!(answers.last(), Some(Err(JobRefusal::Full(_)))));
    doc.encode().expect("what was accepted fits in a value");
}

#[test]
fn encode_full_of_small_tasks_and_ends() {
    let mut doc = JobsDoc::empty();
    let ends = u128::try_from(ENDED_KEPT).expect("a small number");
    for key in 0..ends {
        let key = u128::MAX - key;
        let steps = [
            accept(key, task(true, 0)),
            start(key, 1, 1),
            end(key, 1, TaskOutcome::Succeeded),
        ];
        doc.apply(EditId::new(key), &steps);
    }
    let steps: Vec<JobEdit> = (0..6_000)
        .flat_map(|key| {
            let key = u128::MAX / 2 - key;
            [accept(key, task(true, 0)), start(key, 1, u64::MAX)]
        })
        .collect();
    let answers = doc.apply(EditId::new(1), &steps);
    assert!(answers.contains(&Err(JobRefusal::NoTask(TaskKey::new(
        u128::MAX / 2 - 5_999
    )))));
    doc.encode().expect("a full document fits in a value");
}

#[test]
fn requeue_lost_non_idempotent() {
    let mut doc = JobsDoc::empty();
    apply(&mut doc, 1, accept(1, task(false, 10))).expect("accepted");
    apply(&mut doc, 2, start(1, 1, 1)).expect("started");
    let refusal = apply(&mut doc, 3, requeue(1, 1, RequeueCause::Lost));
    assert_eq!(refusal, Err(JobRefusal::MayHaveRun(TaskKey::new(1))));
    apply(&mut doc, 4, requeue(1, 1, RequeueCause::NotStarted)).expect("waits again");
    apply(&mut doc, 5, start(1, 1, 1)).expect("started");
    apply(&mut doc, 6, end(1, 1, TaskOutcome::Unknown)).expect("ended");
    assert_eq!(doc.outcome(TaskKey::new(1)), Some(TaskOutcome::Unknown));
}

#[test]
fn cancel_races_with_start() {
    let mut doc = JobsDoc::empty();
    for key in 1..=2 {
        apply(&mut doc, key, accept(key, task(true, 10))).expect("accepted");
    }
    let cancel = |key| JobEdit::Cancel {
        key: TaskKey::new(key),
    };
    assert_eq!(apply(&mut doc, 3, cancel(1)), Ok(JobAnswer::Done));
    assert!(apply(&mut doc, 4, start(1, 1, 1)).is_err());
    assert_eq!(doc.outcome(TaskKey::new(1)), Some(TaskOutcome::NeverRan));
    apply(&mut doc, 5, start(2, 1, 1)).expect("started");
    assert_eq!(apply(&mut doc, 6, cancel(2)), Ok(JobAnswer::Stopping));
    apply(&mut doc, 7, requeue(2, 1, RequeueCause::NotStarted)).expect("ended");
    assert_eq!(doc.outcome(TaskKey::new(2)), Some(TaskOutcome::NeverRan));
}

#[test]
fn start_older_epoch() {
    let mut doc = JobsDoc::empty();
    for key in 1..=2 {
        apply(&mut doc, key, accept(key, task(true, 10))).expect("accepted");
    }
    apply(&mut doc, 3, start(1, 1, 2)).expect("started");
    let refusal = apply(&mut doc, 4, start(2, 1, 1));
    let fenced = JobRefusal::Fenced(Epoch::new(1), Epoch::new(2));
    assert_eq!(refusal, Err(fenced));
}

fn step_of(kind: u8, key: u8, attempt: u8) -> JobEdit {
    let is_idempotent = key.is_multiple_of(2);
    let key = u128::from(key % 4);
    let attempt = u32::from(attempt % 4);
    match kind % 9 {
        0 | 1 => accept(key, task(is_idempotent, 1)),
        2 | 3 => start(key, attempt, 1),
        4 => requeue(key, attempt, RequeueCause::NotStarted),
        5 => requeue(key, attempt, RequeueCause::Checkpointed),
        6 => requeue(key, attempt, RequeueCause::Lost),
        7 => JobEdit::Cancel {
            key: TaskKey::new(key),
        },
        _ => end(key, attempt, TaskOutcome::Failed),
    }
}

/// Whatever schedulers and cancellations do, a task is in one state and a non-idempotent one runs at most once.
fn runs_at_most_once(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut doc = JobsDoc::empty();
    let mut found = Breaches::new();
    for (index, (kind, key, attempt)) in (0..).zip(steps) {
        doc.apply(EditId::new(index), &[step_of(kind, key, attempt)]);
        verify::at_most_once(&doc, &mut found);
    }
    found.is_empty()
}

#[test]
fn at_most_once_any_steps() {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(80, 5))
        .quickcheck(runs_at_most_once as fn(Vec<(u8, u8, u8)>) -> bool);
}
