//! Pass 2: emits the next step of each VM that drains, moves, reboots, joins or failed.
//!
//! Steps follow from the stored state and the platform's list, so a new holder continues where the last one stopped. A
//! command whose effect the list does not show is issued again. Its step was stored before, so a repeat is harmless.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::VmId;

use super::{Action, Context, LIST_LAG_MAX, Reason, Step, select};
use crate::fleet::{Fleet, Seen, Vm, VmState};

/// Time from the start of a drain until every entry has stopped sending new work to the VM.
pub const DRAIN_SETTLE: Duration = Duration::from_secs(5);

/// Time after which a command is issued again if the list does not show its effect.
pub const COMMAND_RETRY: Duration = Duration::from_mins(1);

/// Time after which a failed VM that is absent from the list counts as replaced by the platform.
pub const REPLACED_AFTER: Duration = Duration::from_hours(1);

/// Emits at most one step for each VM that an earlier pass has not decided.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    for (id, vm) in fleet.vms.iter() {
        if vm.seen == Seen::Leaving {
            ctx.tracking[id].was_leaving = true;
        }
        if ctx.decided[id] {
            continue;
        }
        let has_left = vm.seen == Seen::Absent && ctx.tracking[id].was_leaving;
        let next = match vm.state {
            VmState::Gone => None,
            _ if has_left => Some((Action::Remove, Reason::Left)),
            VmState::Serving => lost(vm, now),
            VmState::Draining | VmState::Moving(_) => draining(ctx, id, vm, cat, now),
            VmState::Rebooting => rebooting(ctx, id, vm, cat, now),
            VmState::Joining => joining(ctx, id, vm, cat, now),
            VmState::Failed => failed(vm, now),
        };
        if let Some((action, reason)) = next {
            let step = Step {
                vm: id,
                action,
                reason,
            };
            ctx.emit(fleet, step);
            record_outcome(ctx, id, vm, cat, &step, now);
        }
    }
}

type Next = Option<(Action, Reason)>;

fn shown_for(vm: &Vm, now: Instant) -> Duration {
    now.saturating_duration_since(vm.seen_since)
}

fn lost(vm: &Vm, now: Instant) -> Next {
    let is_lost = matches!(vm.seen, Seen::Absent | Seen::Rebooting);
    let is_certain = shown_for(vm, now) >= LIST_LAG_MAX;
    (is_lost && is_certain).then_some((Action::MarkFailed, Reason::LostUnplanned))
}

fn draining(ctx: &Context, id: VmId, vm: &Vm, cat: &Catalogue, now: Instant) -> Next {
    if vm.seen != Seen::Live {
        return lost(vm, now);
    }
    let waited = now.saturating_duration_since(vm.since);
    if vm.work.running == 0 {
        let action = match vm.state {
            VmState::Moving(pool) => Action::Join(pool),
            _ => Action::Reboot,
        };
        return (waited >= DRAIN_SETTLE).then_some((action, Reason::Drained));
    }
    if waited >= cat.maintenance.drain_max() {
        return Some((Action::Return, Reason::DrainTimedOut { waited }));
    }
    let is_retry_due = retry_due(ctx, id, now);
    let left = vm.work.longest_left;
    (is_retry_due && is_checkpoint_worth(vm, cat))
        .then_some((Action::CheckpointTasks, Reason::TasksRunLong { left }))
}

/// Whether waiting for the tasks costs more than moving them, by the weights of the catalogue.
fn is_checkpoint_worth(vm: &Vm, cat: &Catalogue) -> bool {
    vm.work.checkpointable && vm.work.longest_left > select::move_cost_as_wait(vm, cat)
}

fn retry_due(ctx: &Context, id: VmId, now: Instant) -> bool {
    let commanded_at = ctx.tracking[id].commanded_at;
    commanded_at.is_none_or(|at| now.saturating_duration_since(at) >= COMMAND_RETRY)
}

fn rebooting(ctx: &Context, id: VmId, vm: &Vm, cat: &Catalogue, now: Instant) -> Next {
    let verified = Reason::Verified { boots: vm.boots };
    booting(ctx, id, vm, cat, now, verified)
}

fn joining(ctx: &Context, id: VmId, vm: &Vm, cat: &Catalogue, now: Instant) -> Next {
    booting(ctx, id, vm, cat, now, Reason::Joined)
}

fn booting(ctx: &Context, id: VmId, vm: &Vm, cat: &Catalogue, now: Instant, done: Reason) -> Next {
    let waited = now.saturating_duration_since(vm.since);
    if vm.seen == Seen::Live && vm.boots > vm.boots_before {
        return Some((Action::Return, done));
    }
    if waited >= cat.maintenance.reboot_max() {
        return Some((Action::MarkFailed, Reason::RebootTimedOut { waited }));
    }
    let is_unseen = vm.seen == Seen::Live && waited >= COMMAND_RETRY;
    (is_unseen && retry_due(ctx, id, now))
        .then_some((Action::Reboot, Reason::RebootNotSeen { waited }))
}

fn failed(vm: &Vm, now: Instant) -> Next {
    let shown = shown_for(vm, now);
    match vm.seen {
        Seen::Live if shown >= LIST_LAG_MAX => Some((Action::Return, Reason::Recovered)),
        Seen::Absent if shown >= REPLACED_AFTER => Some((Action::Remove, Reason::Replaced)),
        _ => None,
    }
}

/// Records the outcome of `step`: the time that the turn and the reboot took, a failure, or when to drain again.
fn record_outcome(
    ctx: &mut Context,
    id: VmId,
    vm: &Vm,
    cat: &Catalogue,
    step: &Step,
    now: Instant,
) {
    match step.reason {
        Reason::Verified { .. } => {
            let began = ctx.tracking[id].out_since.take();
            if let Some(began) = began {
                ctx.deadline.observe(now.saturating_duration_since(began));
            }
            ctx.health
                .record_reboot(now.saturating_duration_since(vm.since));
            ctx.health.verified();
        }
        Reason::DrainTimedOut { .. } | Reason::Recovered => {
            ctx.tracking[id].not_before = Some(now + cat.maintenance.drain_max());
        }
        Reason::LostUnplanned if vm.state == VmState::Serving => ctx.health.lost(vm.dc, now),
        _ => {}
    }
}
