//! Leases: the lease of the scheduler role, and the leases of running tasks.
//!
//! A [`RoleLease`] bounds the time in which this scheduler may act, on the monotonic clock and with a margin; its
//! fencing epoch is sent with every command. The lease of a task is renewed while reports arrive from its worker. A
//! task whose worker is lost counts as running until the last start or renewal that can have reached the worker has
//! expired there, so that no task runs twice at a time.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Epoch;

use crate::decision::{Command, CommandKind, Decisions};
use crate::preempt::issue_command;
use crate::reason::Reason;
use crate::retry::{AttemptEnd, after_attempt};
use crate::state::{Phase, State};

/// The time after which a stop or checkpoint is sent again if no report shows its effect.
const REPEAT_AFTER: Duration = Duration::from_secs(2);

/// The right of this process to act as scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleLease {
    /// The fencing epoch that is sent with every command.
    pub epoch: Epoch,
    /// The earliest time at which the lease can expire in the key-value service.
    pub expires_at: Instant,
    /// How far the clock of the service may run ahead of the local one during one lease.
    pub margin: Duration,
}

impl RoleLease {
    /// Returns whether a command may still be sent at `now`. Must be checked right before each command.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now + self.margin < self.expires_at
    }
}

/// Renews leases, repeats commands, stops tasks that run too long, and ends attempts whose lease has expired.
pub fn maintain(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        let mut index = state.workers[vm].tasks.len();
        // Iterates from the last to the first, since an attempt that ends is removed from the list.
        while index > 0 {
            index -= 1;
            let id = state.workers[vm].tasks[index];
            maintain_one(state, id, now, out);
        }
    }
}

fn maintain_one(state: &mut State, id: TaskId, now: Instant, out: &mut Decisions) {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return;
    };
    if run.counted_until <= now {
        after_attempt(state, id, AttemptEnd::Lost, now);
        return;
    }
    let run_max = state.teams.queues[state.lanes[task.lane].queue].run_max;
    let is_too_long = now.saturating_duration_since(run.since) >= run_max;
    match run.phase {
        Phase::Starting | Phase::Confirmed | Phase::Checkpointing { .. } if task.cancelled => {
            issue_command(state, id, CommandKind::Stop, Reason::Cancelled, now, out);
        }
        Phase::Confirmed if is_too_long => {
            let reason = Reason::RunMax { run_max };
            issue_command(state, id, CommandKind::Stop, reason, now, out);
        }
        Phase::Confirmed | Phase::Checkpointing { .. } if run.renew_at <= now => {
            renew(state, id, now, out);
        }
        Phase::Checkpointing { since } if since + REPEAT_AFTER <= now => {
            let reason = run.stop.clone().unwrap_or(Reason::Cancelled);
            issue_command(state, id, CommandKind::Checkpoint, reason, now, out);
        }
        Phase::Stopping { since } if since + REPEAT_AFTER <= now => {
            let reason = run.stop.clone().unwrap_or(Reason::Cancelled);
            issue_command(state, id, CommandKind::Stop, reason, now, out);
        }
        _ => {}
    }
}

fn renew(state: &mut State, id: TaskId, now: Instant, out: &mut Decisions) {
    let renew_after = state.cfg.renew_after;
    let lease_bound = state.cfg.lease_bound();
    let contact_lost = state.cfg.contact_lost;
    let key = state.tasks[id].key;
    let Some(run) = state.tasks[id].run_mut() else {
        return;
    };
    let unreported = now.saturating_duration_since(state.workers[run.worker].last_report_at);
    if unreported >= contact_lost {
        return;
    }
    run.renew_at = now + renew_after;
    run.counted_until = now + lease_bound;
    out.commands.push(Command {
        key,
        worker: run.worker,
        attempt: run.attempt,
        kind: CommandKind::Renew,
        reason: Reason::Renewal,
    });
}
