//! What must hold whatever goes wrong, read from what the workers saw.

use std::collections::BTreeSet;

use goldcrest_jobs::id::{JobId, TaskId};
use goldcrest_jobs::worker::RunEnd;
use goldcrest_standin::grid::Crew;

/// How often a task of the tests' queue may fail.
const ATTEMPTS_MAX: usize = 2;

/// Every breach, with its task.
pub fn breaches(crew: &Crew) -> Vec<String> {
    let doubled = crew.doubled.iter().map(|task| {
        let seen = seen(crew, *task).join("\n  ");
        format!("{task}: ran twice\n  {seen}")
    });
    doubled
        .chain(over_attempts(crew))
        .chain(out_of_order(crew))
        .collect()
}

/// What was seen of a task, in order of time.
fn seen(crew: &Crew, task: TaskId) -> Vec<String> {
    let starts = crew.starts.iter().filter(|it| it.task == task);
    let starts = starts.map(|it| (it.at, format!("run {} starts on {}", it.run, it.worker)));
    let ends = crew.history().filter(|it| it.task == task).map(|it| {
        let is_noted = crew.noted.contains(&(task, it.run, it.end));
        (
            it.at,
            format!("run {} ends: {:?}, noted: {is_noted}", it.run, it.end),
        )
    });
    let mut seen: Vec<_> = starts.chain(ends).collect();
    seen.sort_by_key(|(at, _)| *at);
    let first = seen.first().map(|(at, _)| *at);
    seen.into_iter()
        .map(|(at, text)| {
            format!(
                "{:?} {text}",
                first.map(|first| at - first).unwrap_or_default()
            )
        })
        .collect()
}

/// Starts of tasks that had used up their attempts, by ends that were taken note of then or later.
fn over_attempts(crew: &Crew) -> Vec<String> {
    let noted: BTreeSet<_> = crew
        .noted
        .iter()
        .filter(|(.., end)| *end == RunEnd::Failed)
        .map(|(task, run, _)| (*task, *run))
        .collect();
    let mut over = Vec::new();
    for start in &crew.starts {
        let failed = crew
            .history()
            .filter(|it| it.task == start.task && it.at <= start.at);
        let failed = failed.filter(|it| noted.contains(&(it.task, it.run)));
        if failed.count() >= ATTEMPTS_MAX {
            over.push(format!(
                "{}: run {} after its last attempt",
                start.task, start.run
            ));
        }
    }
    over
}

/// Starts of a step before all tasks of the step before it were done.
fn out_of_order(crew: &Crew) -> Vec<String> {
    let mut early = Vec::new();
    for start in crew.starts.iter().filter(|start| start.task.step.step > 0) {
        let mut before = start.task.step;
        before.step -= 1;
        let of_step = |task: &TaskId| task.step == before;
        let all: BTreeSet<TaskId> = crew
            .starts
            .iter()
            .map(|it| it.task)
            .filter(of_step)
            .collect();
        let done: BTreeSet<TaskId> = crew
            .history()
            .filter(|it| it.end == RunEnd::Done && it.at <= start.at)
            .map(|it| it.task)
            .filter(of_step)
            .collect();
        if all != done {
            early.push(format!("{}: before its turn", start.task));
        }
    }
    early
}

/// Whether every task that was started of a job has ended as done.
pub fn is_done(crew: &Crew, job: JobId) -> bool {
    let started = crew
        .starts
        .iter()
        .map(|it| it.task)
        .filter(|task| task.step.job == job);
    let started: BTreeSet<TaskId> = started.collect();
    let done = crew
        .history()
        .filter(|it| it.end == RunEnd::Done)
        .map(|it| it.task);
    let done: BTreeSet<TaskId> = done.filter(|task| task.step.job == job).collect();
    !started.is_empty() && started == done
}
