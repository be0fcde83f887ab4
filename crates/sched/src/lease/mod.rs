//! Leases: the scheduler's own, and those of the tasks.
//!
//! A [`RoleLease`] says until when this scheduler may act, on the monotonic clock and with a margin; its epoch goes
//! with every command. A task's lease is renewed while its worker is heard of. A task whose worker is lost counts as running
//! until the last start or renewal that can have reached the worker has run out there, so it never runs twice.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{TaskId, VmId};
use goldcrest_types::units::Epoch;

use crate::decision::{Command, CommandKind, Decisions};
use crate::preempt::tell;
use crate::reason::Reason;
use crate::retry::{TryEnd, after_try};
use crate::state::{Phase, State};

/// How often a stop or checkpoint that was not answered is sent again.
const REPEAT_AFTER: Duration = Duration::from_secs(2);

/// The right to act as scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleLease {
    /// The fencing epoch that goes with every command.
    pub epoch: Epoch,
    /// When the lease lapses in the key-value service at the earliest.
    pub lapses_at: Instant,
    /// How far the service's clock may run ahead of ours over one lease.
    pub margin: Duration,
}

impl RoleLease {
    /// Whether a command may still be sent at `now`. Ask right before each one.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now + self.margin < self.lapses_at
    }
}

/// Renews leases, repeats commands, stops tasks that run too long, and gives up those whose lease has lapsed.
pub fn keep(state: &mut State, now: Instant, out: &mut Decisions) {
    let ids: Vec<VmId> = state.workers.ids().collect();
    for vm in ids {
        let mut index = state.workers[vm].tasks.len();
        // From the last to the first, since a task that is given up leaves the list.
        while index > 0 {
            index -= 1;
            let id = state.workers[vm].tasks[index];
            keep_one(state, id, now, out);
        }
    }
}

fn keep_one(state: &mut State, id: TaskId, now: Instant, out: &mut Decisions) {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return;
    };
    if run.counted_until <= now {
        after_try(state, id, TryEnd::Lost, now);
        return;
    }
    let run_max = state.teams.queues[state.lanes[task.lane].queue].run_max;
    let is_too_long = now.saturating_duration_since(run.since) >= run_max;
    match run.phase {
        Phase::Starting | Phase::Confirmed | Phase::Checkpointing { .. } if task.cancelled => {
            tell(state, id, CommandKind::Stop, Reason::Cancelled, now, out);
        }
        Phase::Confirmed if is_too_long => {
            let reason = Reason::RunMax { run_max };
            tell(state, id, CommandKind::Stop, reason, now, out);
        }
        Phase::Confirmed | Phase::Checkpointing { .. } if run.renew_at <= now => {
            renew(state, id, now, out);
        }
        Phase::Checkpointing { since } if since + REPEAT_AFTER <= now => {
            let reason = run.stop.clone().unwrap_or(Reason::Cancelled);
            tell(state, id, CommandKind::Checkpoint, reason, now, out);
        }
        Phase::Stopping { since } if since + REPEAT_AFTER <= now => {
            let reason = run.stop.clone().unwrap_or(Reason::Cancelled);
            tell(state, id, CommandKind::Stop, reason, now, out);
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
    let silent = now.saturating_duration_since(state.workers[run.worker].seen_at);
    if silent >= contact_lost {
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
