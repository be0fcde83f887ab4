//! What workers say: the answer to a start, and the reports, whose usage lags.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::Resources;

use crate::decision::{Command, CommandKind};
use crate::estimate::{larger, observed_size};
use crate::reason::Reason;
use crate::retry::{TryEnd, after_try};
use crate::state::{Phase, Progress, Run, State};

/// After how many reports a task's peak is learned from while it still runs.
const LEARN_REPORTS: u32 = 3;

/// From how many reports on a task is packed by what it was seen to use alone.
const SETTLED_REPORTS: u32 = 2;

/// How long a worker that refused a start gets no other.
const CLOSED_AFTER_REFUSAL: std::time::Duration = std::time::Duration::from_secs(2);

/// The answer of a worker to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has the task.
    Accepted,
    /// The worker refused, or the call never reached it. The task did not start.
    NotStarted,
    /// Nobody knows.
    Unknown,
}

/// How far a worker says that a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedPhase {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly.
    Failed,
    /// It was stopped.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
}

/// One task in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskObservation {
    /// The task.
    pub key: TaskKey,
    /// Which try.
    pub attempt: u32,
    /// How far it has come.
    pub phase: ObservedPhase,
    /// What it used some seconds ago.
    pub used: Resources,
}

/// Takes in the answer to a start. An answer to an earlier try says nothing.
pub fn take_start(
    state: &mut State,
    key: &TaskKey,
    attempt: u32,
    outcome: StartOutcome,
    now: Instant,
) {
    let Some(id) = state.tasks.find(key) else {
        return;
    };
    let Some(run) = state.tasks[id].run_mut() else {
        return;
    };
    if run.attempt != attempt {
        return;
    }
    let vm = run.worker;
    match outcome {
        StartOutcome::Accepted => confirm(run, now),
        StartOutcome::NotStarted if run.reports == 0 => {
            state.workers.close_until(vm, now + CLOSED_AFTER_REFUSAL);
            after_try(state, id, TryEnd::Refused, now);
        }
        StartOutcome::NotStarted | StartOutcome::Unknown => {}
    }
}

fn confirm(run: &mut Run, now: Instant) {
    run.settled_at = run.settled_at.min(now);
    if run.phase == Phase::Starting {
        run.phase = Phase::Confirmed;
    }
}

/// Takes in the report of a worker, which was asked for at `asked_at`.
pub fn take_report(
    state: &mut State,
    vm: VmId,
    report: &[TaskObservation],
    asked_at: Instant,
    now: Instant,
) {
    let worker = &mut state.workers[vm];
    worker.seen_at = worker.seen_at.max(asked_at);
    worker.has_news = true;
    for seen in report {
        take_observation(state, vm, seen, now);
    }
    drop_missing(state, vm, report, asked_at, now);
}

fn take_observation(state: &mut State, vm: VmId, seen: &TaskObservation, now: Instant) {
    let Some(id) = state.tasks.find(&seen.key) else {
        return;
    };
    let is_meant = state
        .run_on(id, vm)
        .is_some_and(|run| run.attempt == seen.attempt);
    let end = match seen.phase {
        ObservedPhase::Running if is_meant => {
            take_usage(state, id, &seen.used, now);
            return;
        }
        ObservedPhase::Running => {
            state.strays.push(Command {
                key: seen.key,
                worker: vm,
                attempt: seen.attempt,
                kind: CommandKind::Stop,
                reason: Reason::Stray,
            });
            return;
        }
        ObservedPhase::Succeeded => TryEnd::Succeeded,
        ObservedPhase::Failed => TryEnd::Failed,
        ObservedPhase::Stopped => TryEnd::Stopped,
        ObservedPhase::Checkpointed => TryEnd::Checkpointed,
    };
    if is_meant {
        learn(state, id, end, now);
        after_try(state, id, end, now);
    }
}

fn take_usage(state: &mut State, id: TaskId, used: &Resources, now: Instant) {
    let headroom = state.cfg.headroom_permille;
    let task = &mut state.tasks[id];
    let declared = task.declared;
    let Some(run) = task.run_mut() else {
        return;
    };
    confirm(run, now);
    run.used = *used;
    run.peak = larger(&run.peak, used);
    if used.cpu_millis.is_zero() {
        // The usage lags: the task had not begun when it was measured.
        return;
    }
    run.reports += 1;
    let observed = observed_size(&run.peak, &declared, headroom);
    let reserved = if run.reports >= SETTLED_REPORTS {
        observed
    } else {
        larger(&run.reserved, &observed)
    };
    let charge = Resources::new(used.cpu_millis, used.memory_bytes, declared.accelerators);
    let may_learn = run.reports >= LEARN_REPORTS;
    state.rebook(id, reserved, charge);
    if may_learn {
        learn_size(state, id);
    }
}

fn learn_size(state: &mut State, id: TaskId) {
    let task = &mut state.tasks[id];
    let (declared, lane) = (task.declared, task.lane);
    let Some(run) = task.run_mut() else {
        return;
    };
    if run.is_learned || run.peak.cpu_millis.is_zero() {
        return;
    }
    run.is_learned = true;
    let peak = run.peak;
    let lane = &mut state.lanes[lane];
    lane.observed.add_size(&peak, &declared);
    state.classes[lane.class.index()].add_size(&peak, &declared);
}

fn learn(state: &mut State, id: TaskId, end: TryEnd, now: Instant) {
    learn_size(state, id);
    let task = &state.tasks[id];
    // A resumed try is only a part of the run, and a failed one tells nothing about a whole run.
    if end != TryEnd::Succeeded || task.progress == Progress::Checkpointed {
        return;
    }
    let Some(run) = task.run() else {
        return;
    };
    let ran = now.saturating_duration_since(run.since);
    let lane = &mut state.lanes[task.lane];
    lane.observed.add_run(ran, task.declared_run);
    state.classes[lane.class.index()].add_run(ran, task.declared_run);
}

/// Gives up tasks that the worker would report if it had them.
fn drop_missing(
    state: &mut State,
    vm: VmId,
    report: &[TaskObservation],
    asked_at: Instant,
    now: Instant,
) {
    let is_missing = |id: &TaskId| {
        let task = &state.tasks[*id];
        let Some(run) = state.run_on(*id, vm) else {
            return false;
        };
        run.settled_at < asked_at
            && !report
                .iter()
                .any(|seen| seen.key == task.key && seen.attempt == run.attempt)
    };
    let tasks = state.workers[vm].tasks.iter().copied();
    let missing: Vec<TaskId> = tasks.filter(|id| is_missing(id)).collect();
    for id in missing {
        after_try(state, id, TryEnd::Missing, now);
    }
}
