//! Answers to starts, and reports of workers.
//!
//! A start is settled once it has taken effect or never will. A report requested after that which does not list the
//! attempt shows that the worker does not run it.
//!
//! The usage in a report lags behind the actual usage by seconds, and can be zero for a task that has just begun.

use std::time::Instant;

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::Resources;

use crate::decision::{Command, CommandKind};
use crate::estimate::{larger, observed_size};
use crate::reason::Reason;
use crate::retry::{AttemptEnd, after_attempt};
use crate::state::{Phase, Progress, Run, State};

/// The number of reports with usage after which the peak of a running task is added to the observed sizes of its lane
/// and class. The peak of a task that ends earlier is added at its end.
const LEARN_REPORTS: u32 = 3;

/// The number of reports with usage from which a task reserves its observed size only. Before, it reserves at least its
/// estimate.
const OBSERVED_ONLY_REPORTS: u32 = 2;

/// How long a worker gets no task after a start that it refused or that did not reach it.
const CLOSED_AFTER_REFUSAL: std::time::Duration = std::time::Duration::from_secs(2);

/// The outcome of a call that starts a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs the task.
    Accepted,
    /// The worker refused, or the call never reached it. The task did not start.
    NotStarted,
    /// The call may or may not have reached the worker.
    Unknown,
}

/// The progress of an attempt as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedPhase {
    /// The attempt runs.
    Running,
    /// The attempt completed its work.
    Succeeded,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped.
    Stopped,
    /// The attempt saved its state and stopped.
    Checkpointed,
}

/// One attempt in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskObservation {
    /// The key of the task.
    pub key: TaskKey,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The progress of the attempt.
    pub phase: ObservedPhase,
    /// The usage, which lags by some seconds.
    pub used: Resources,
}

/// Applies the outcome of a start. An outcome for an earlier attempt is ignored.
pub fn apply_start_outcome(
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
        // `reports` counts only reports with usage, so an attempt that was listed without any still ends here.
        StartOutcome::NotStarted if run.reports == 0 => {
            state.workers.close_until(vm, now + CLOSED_AFTER_REFUSAL);
            after_attempt(state, id, AttemptEnd::Refused, now);
        }
        StartOutcome::NotStarted | StartOutcome::Unknown => {}
    }
}

fn confirm(run: &mut Run, now: Instant) {
    // The bound set with the start is replaced by the time at which the start is first known to have taken effect.
    run.settled_at = run.settled_at.min(now);
    if run.phase == Phase::Starting {
        run.phase = Phase::Confirmed;
    }
}

/// Applies the report of a worker that was requested at `requested_at`.
pub fn apply_report(
    state: &mut State,
    vm: VmId,
    report: &[TaskObservation],
    requested_at: Instant,
    now: Instant,
) {
    let worker = &mut state.workers[vm];
    worker.last_report_at = worker.last_report_at.max(requested_at);
    worker.has_new_report = true;
    for observation in report {
        apply_observation(state, vm, observation, now);
    }
    end_missing(state, vm, report, requested_at, now);
}

fn apply_observation(state: &mut State, vm: VmId, observation: &TaskObservation, now: Instant) {
    let Some(id) = state.tasks.find(&observation.key) else {
        return;
    };
    let is_current = state
        .run_on(id, vm)
        .is_some_and(|run| run.attempt == observation.attempt);
    let end = match observation.phase {
        ObservedPhase::Running if is_current => {
            apply_usage(state, id, &observation.used, now);
            return;
        }
        ObservedPhase::Running => {
            state.orphan_stops.push(Command {
                key: observation.key,
                worker: vm,
                attempt: observation.attempt,
                kind: CommandKind::Stop,
                reason: Reason::Orphan,
            });
            return;
        }
        ObservedPhase::Succeeded => AttemptEnd::Succeeded,
        ObservedPhase::Failed => AttemptEnd::Failed,
        ObservedPhase::Stopped => AttemptEnd::Stopped,
        ObservedPhase::Checkpointed => AttemptEnd::Checkpointed,
    };
    if is_current {
        learn(state, id, end, now);
        after_attempt(state, id, end, now);
    }
}

fn apply_usage(state: &mut State, id: TaskId, used: &Resources, now: Instant) {
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
    let reserved = if run.reports >= OBSERVED_ONLY_REPORTS {
        observed
    } else {
        larger(&run.reserved, &observed)
    };
    let charge = Resources::new(used.cpu_millis, used.memory_bytes, declared.accelerators);
    let may_learn = run.reports >= LEARN_REPORTS;
    state.update_run_size(id, reserved, charge);
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

fn learn(state: &mut State, id: TaskId, end: AttemptEnd, now: Instant) {
    learn_size(state, id);
    let task = &state.tasks[id];
    // An attempt that resumed measures only a part of the task's run time, and one that failed does not measure it.
    if end != AttemptEnd::Succeeded || task.progress == Progress::Checkpointed {
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

/// Ends attempts that the worker would have reported if it ran them.
fn end_missing(
    state: &mut State,
    vm: VmId,
    report: &[TaskObservation],
    requested_at: Instant,
    now: Instant,
) {
    let is_missing = |id: &TaskId| {
        let task = &state.tasks[*id];
        let Some(run) = state.run_on(*id, vm) else {
            return false;
        };
        run.settled_at < requested_at
            && !report.iter().any(|observation| {
                observation.key == task.key && observation.attempt == run.attempt
            })
    };
    let tasks = state.workers[vm].tasks.iter().copied();
    let missing: Vec<TaskId> = tasks.filter(|id| is_missing(id)).collect();
    for id in missing {
        after_attempt(state, id, AttemptEnd::Missing, now);
    }
}
