//! What becomes of a task after a try of it has ended.
//!
//! A task that was cancelled ends, and it ends as "never ran" only if no try of it can have started. One that saved its
//! state waits to resume. One that failed is tried again on another worker, a bounded number of times, and is then parked
//! with its reason. One that may not be run again ends with what is known.

use std::time::Instant;

use goldcrest_types::entity::TaskId;

use crate::decision::{RequeueCause, Requeued};
use crate::health::{note_failure, note_success};
use crate::reason::Reason;
use crate::state::{Outcome, Progress, Run, State, Task};

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryEnd {
    /// It did its work.
    Succeeded,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// It saved its state and stopped.
    Checkpointed,
    /// The worker refused it; it did not run.
    Refused,
    /// The worker was lost.
    Lost,
    /// The worker no longer has it.
    Missing,
}

/// The longest that the doubling of the wait between tries goes on, in tries.
const BACKOFF_DOUBLINGS_MAX: u32 = 6;

/// Takes a task off its worker after its try has ended, and decides what becomes of it.
pub fn after_try(state: &mut State, id: TaskId, end: TryEnd, now: Instant) {
    let Some(run) = state.release(id) else {
        return;
    };
    note_progress(&mut state.tasks[id], end);
    let lane = state.tasks[id].lane;
    note_requeue(state, id, end, &run);
    match end {
        TryEnd::Succeeded => {
            note_success(state, run.worker, lane);
            let reason = Reason::Reported { worker: run.worker };
            state.end(id, Outcome::Succeeded, reason);
        }
        _ if state.tasks[id].cancelled => end_cancelled(state, id),
        TryEnd::Failed => {
            note_failure(state, run.worker, lane, id, now);
            after_failure(state, id, &run, now);
        }
        TryEnd::Checkpointed => {
            let task = &mut state.tasks[id];
            task.preemptions += 1;
            state.wait(id, Reason::Resumes);
        }
        TryEnd::Refused => state.wait(id, Reason::Refused { worker: run.worker }),
        TryEnd::Stopped => after_stop(state, id, *run, now),
        TryEnd::Missing => after_loss(state, id, Reason::Missing { worker: run.worker }, now),
        TryEnd::Lost => after_loss(state, id, Reason::WorkerLost { worker: run.worker }, now),
    }
}

fn note_progress(task: &mut Task, end: TryEnd) {
    match (end, task.progress) {
        (TryEnd::Checkpointed, _) => task.progress = Progress::Checkpointed,
        (TryEnd::Refused, _) | (_, Progress::Checkpointed) => {}
        _ => task.progress = Progress::HasRun,
    }
}

/// Notes that a try is over while its task is not.
fn note_requeue(state: &mut State, id: TaskId, end: TryEnd, run: &Run) {
    let attempt = run.attempt;
    let is_for_good = end == TryEnd::Stopped && matches!(run.stop, Some(Reason::RunMax { .. }));
    let task = &mut state.tasks[id];
    let cause = match end {
        // The worker never saw the try, so its number is used again.
        TryEnd::Refused => {
            task.attempt -= 1;
            RequeueCause::NotStarted
        }
        TryEnd::Succeeded => return,
        _ if task.cancelled => return,
        TryEnd::Checkpointed => RequeueCause::Checkpointed,
        _ if !task.idempotent || is_for_good => return,
        TryEnd::Failed => RequeueCause::Failed,
        TryEnd::Stopped | TryEnd::Lost | TryEnd::Missing => RequeueCause::Lost,
    };
    let key = task.key;
    state.requeued.push(Requeued {
        key,
        attempt,
        cause,
    });
}

/// Ends a cancelled task that does not run.
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
    state.wait_until(id, now + pause, Reason::Backoff { failures });
}

fn after_stop(state: &mut State, id: TaskId, run: Run, now: Instant) {
    match run.stop {
        Some(reason @ Reason::RunMax { .. }) => state.end(id, Outcome::Failed, reason),
        Some(reason) => after_loss(state, id, reason, now),
        None => after_loss(state, id, Reason::Reported { worker: run.worker }, now),
    }
}

/// A try has ended by no fault of the task.
fn after_loss(state: &mut State, id: TaskId, reason: Reason, now: Instant) {
    if state.tasks[id].idempotent {
        state.wait_until(id, now + state.cfg.retry_backoff, reason);
    } else {
        state.end(id, Outcome::OutcomeUnknown, reason);
    }
}
