//! Case files of the task document: one step per line, followed by the answer to it on lines that begin with `>`.
//!
//! Lines: `accept KEY [once]`, `cancel KEY`, `release KEY`, `start KEY WORKER ATTEMPT EPOCH`,
//! `requeue KEY ATTEMPT EPOCH CAUSE`, `park KEY EPOCH`, `end KEY ATTEMPT EPOCH OUTCOME`, `again` (sends the previous
//! batch again), `show`. Lines that begin with `#` are comments.

use std::fmt::{Debug, Write as _};
use std::str::FromStr;

use goldcrest_cases::Cases;
use goldcrest_ledger::jobs::task::ParkReason;
use goldcrest_ledger::jobs::{
    Checkpoint, JobAnswer, JobEdit, JobRefusal, JobsDoc, RequeueCause, Task, TaskOutcome, TaskState,
};
use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{EditId, TaskKey};
use goldcrest_types::units::{Epoch, Resources};

fn number<T: FromStr>(word: &str) -> T
where
    T::Err: Debug,
{
    word.parse().expect("a number")
}

fn key(word: &str) -> TaskKey {
    TaskKey::new(number(word.trim_start_matches('t')))
}

fn epoch(word: &str) -> Epoch {
    Epoch::new(number(word.trim_start_matches('e')))
}

fn task(is_idempotent: bool) -> Task {
    Task {
        queue: "merge".parse().expect("a name"),
        team: "guides".parse().expect("a name"),
        class: Class::Batch,
        need: Resources::ZERO,
        run_ms: 1_000,
        payload: "work".into(),
        is_idempotent,
        attempts: 0,
        checkpoint: Checkpoint::Possible,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}

fn cause(word: &str) -> RequeueCause {
    match word {
        "not-started" => RequeueCause::NotStarted,
        "checkpointed" => RequeueCause::Checkpointed,
        "failed" => RequeueCause::Failed,
        "lost" => RequeueCause::Lost,
        _ => panic!("'{word}' is no cause"),
    }
}

fn outcome(word: &str) -> TaskOutcome {
    match word {
        "succeeded" => TaskOutcome::Succeeded,
        "failed" => TaskOutcome::Failed,
        "stopped" => TaskOutcome::Stopped,
        "outcome-unknown" => TaskOutcome::Unknown,
        _ => panic!("'{word}' is no outcome"),
    }
}

fn step(words: &[&str]) -> JobEdit {
    match words {
        ["accept", name, rest @ ..] => JobEdit::Accept {
            key: key(name),
            task: task(rest != ["once"]),
        },
        ["cancel", name] => JobEdit::Cancel { key: key(name) },
        ["release", name] => JobEdit::Release { key: key(name) },
        ["start", name, worker, attempt, at] => JobEdit::Start {
            key: key(name),
            worker: worker.parse().expect("a name"),
            attempt: number(attempt),
            epoch: epoch(at),
        },
        ["requeue", name, attempt, at, why] => JobEdit::Requeue {
            key: key(name),
            attempt: number(attempt),
            epoch: epoch(at),
            cause: cause(why),
        },
        ["park", name, at] => JobEdit::Park {
            key: key(name),
            epoch: epoch(at),
            reason: ParkReason::FailsEverywhere,
        },
        ["end", name, attempt, at, how] => JobEdit::End {
            key: key(name),
            attempt: number(attempt),
            epoch: epoch(at),
            outcome: outcome(how),
        },
        _ => panic!("no such line: {}", words.join(" ")),
    }
}

fn answer(given: &Result<JobAnswer, JobRefusal>) -> String {
    match given {
        Ok(JobAnswer::Ended(outcome)) => format!("ended: {outcome}"),
        Ok(done) => format!("{done:?}").to_lowercase(),
        Err(refusal) => format!("refused: {refusal}"),
    }
}

fn show(doc: &JobsDoc, out: &mut String) {
    for (key, task) in doc.tasks() {
        let state = match &task.state {
            TaskState::Waiting => "waits".into(),
            TaskState::Running {
                worker,
                attempt,
                epoch,
            } => format!("runs on {worker}, attempt {attempt}, epoch {epoch}"),
            TaskState::Parked { reason } => format!("parked: {reason}"),
        };
        writeln!(out, "> t{} {state}", key.bits()).expect("text");
    }
    for ended in doc.ended() {
        writeln!(out, "> t{} {}", ended.key.bits(), ended.outcome).expect("text");
    }
}

fn run(case: &str) -> String {
    let mut doc = JobsDoc::default();
    let mut edit = EditId::new(0);
    let mut last = Vec::new();
    let mut out = String::new();
    for line in case.lines().filter(|line| !line.starts_with('>')) {
        writeln!(out, "{line}").expect("text");
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] | ["#", ..] => continue,
            ["show"] => {
                show(&doc, &mut out);
                continue;
            }
            ["again"] => {}
            words => {
                edit = EditId::new(edit.bits() + 1);
                last = vec![step(words)];
            }
        }
        for given in doc.apply(edit, &last) {
            writeln!(out, "> {}", answer(&given)).expect("text");
        }
    }
    out
}

#[test]
fn apply_case_files() {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(5)
        .check(run);
}
