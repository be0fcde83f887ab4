//! The next state of a task after an attempt has ended.
//!
//! A cancelled task ends, and ends as "never ran" only if no attempt of it can have started. A task that saved its
//! state waits to resume. A task that failed is tried again on another worker, a bounded number of times, and is then
//! parked with its reason. A task that is not idempotent is not tried again after a failure, stop
//! or loss: it ends as failed, or with an unknown outcome.

use std::time::Instant;

use goldcrest_types::entity::TaskId;

use crate::decision::{RequeueCause, Requeued};
use crate::health::{record_failure, record_success};
use crate::reason::Reason;
use crate::state::{Outcome, Progress, Run, State, Task};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The attempt completed the task.
    Succeeded,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped.
    Stopped,
    /// The attempt saved its state and stopped.
    Checkpointed,
    /// The worker refused the start, or the start did not reach it; the attempt did not run.
    Refused,
    /// The lease has certainly expired, and no report has shown the end.
    Lost,
    /// The worker reported without listing the attempt.
    Missing,
}

/// The most doublings of the wait between attempts.
const BACKOFF_DOUBLINGS_MAX: u32 = 6;

/// Removes a task whose attempt has ended from its worker, and sets its next state.
pub fn after_attempt(state: &mut State, id: TaskId, end: AttemptEnd, now: Instant) {
    let Some(run) = state.release(id) else {
        return;
    };
    record_progress(&mut state.tasks[id], end);
    let lane = state.tasks[id].lane;
    record_requeue(state, id, end, &run);
    match end {
        AttemptEnd::Succeeded => {
            record_success(state, run.worker, lane);
            let reason = Reason::Reported { worker: run.worker };
            state.end(id, Outcome::Succeeded, reason);
        }
        _ if state.tasks[id].cancelled => end_cancelled(state, id),
        AttemptEnd::Failed => {
            record_failure(state, run.worker, lane, id, now);
            after_failure(state, id, &run, now);
        }
        AttemptEnd::Checkpointed => {
            // Only tasks that can save their state are preempted, so an end without a checkpoint does not count.
            let task = &mut state.tasks[id];
            task.preemptions += 1;
            state.enqueue(id, Reason::Resumes);
        }
        AttemptEnd::Refused => state.enqueue(id, Reason::Refused { worker: run.worker }),
        AttemptEnd::Stopped => after_stop(state, id, *run, now),
        AttemptEnd::Missing => after_loss(state, id, Reason::Missing { worker: run.worker }, now),
        AttemptEnd::Lost => after_loss(state, id, Reason::WorkerLost { worker: run.worker }, now),
    }
}

fn record_progress(task: &mut Task, end: AttemptEnd) {
    match (end, task.progress) {
        (AttemptEnd::Checkpointed, _) => task.progress = Progress::Checkpointed,
        (AttemptEnd::Refused, _) | (_, Progress::Checkpointed) => {}
        _ => task.progress = Progress::HasRun,
    }
}

/// Lists the attempt as requeued if its end does not end the task. After a refused start, also of a cancelled task,
/// takes the attempt's number back.
fn record_requeue(state: &mut State, id: TaskId, end: AttemptEnd, run: &Run) {
    let attempt = run.attempt;
    let exceeded_run_max =
        end == AttemptEnd::Stopped && matches!(run.stop, Some(Reason::RunMax { .. }));
    let task = &mut state.tasks[id];
    let cause = match end {
        // The attempt did not run, so its number is reused.
        AttemptEnd::Refused => {
            task.attempt -= 1;
            RequeueCause::NotStarted
        }
        AttemptEnd::Succeeded => return,
        _ if task.cancelled => return,
        AttemptEnd::Checkpointed => RequeueCause::Checkpointed,
        _ if !task.idempotent || exceeded_run_max => return,
        AttemptEnd::Failed => RequeueCause::Failed,
        // A stop without a checkpoint loses the work of the attempt, as the loss of its worker does.
        AttemptEnd::Stopped | AttemptEnd::Lost | AttemptEnd::Missing => RequeueCause::Lost,
    };
    let key = task.key;
    state.requeued.push(Requeued {
        key,
        attempt,
        cause,
    });
}

/// Ends a cancelled task that is not running.
pub fn end_cancelled(state: &mut State, id: TaskId) {
    let outcome = match state.tasks[id].progress {
        Progress::NeverRan => Outcome::NeverRan,
        Progress::HasRun | Progress::Checkpointed => Outcome::Stopped,
    };
    state.end(id, outcome, Reason::Cancelled);
}

fn after_failure(state: &mut State, id: TaskId, run: &Run, now: Instant) {
    let task = &mut state.tasks[id];
    task.failures += 1;
    if !task.avoid.contains(&run.worker) {
        task.avoid.push(run.worker);
    }
    let failures = task.failures;
    if !task.idempotent {
        let reason = Reason::Reported { worker: run.worker };
        state.end(id, Outcome::Failed, reason);
    } else if failures >= state.cfg.attempts_max {
        state.park(id, Reason::FailedEverywhere { failures });
    } else {
        back_off(state, id, failures, now);
    }
}

fn back_off(state: &mut State, id: TaskId, failures: u32, now: Instant) {
    let doublings = failures.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
    let pause = state.cfg.retry_backoff * (1 << doublings);
    state.delay_until(id, now + pause, Reason::Backoff { failures });
}

fn after_stop(state: &mut State, id: TaskId, run: Run, now: Instant) {
    match run.stop {
        Some(reason @ Reason::RunMax { .. }) => state.end(id, Outcome::Failed, reason),
        Some(reason) => after_loss(state, id, reason, now),
        None => after_loss(state, id, Reason::Reported { worker: run.worker }, now),
    }
}

/// Delays or ends a task whose attempt was stopped or lost through no fault of the task.
fn after_loss(state: &mut State, id: TaskId, reason: Reason, now: Instant) {
    if state.tasks[id].idempotent {
        state.delay_until(id, now + state.cfg.retry_backoff, reason);
    } else {
        state.end(id, Outcome::OutcomeUnknown, reason);
    }
}
