//! Pass 6: selects the VMs of the data centre to drain now.
//!
//! Groups that need the most turns (see `deadline`) go first, since they decide when the data centre is done; within a
//! group the VM whose work ends soonest goes first.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::VmId;

use super::{Action, Context, Hold, Reason, Step, WaveWidth, is_due};
use crate::fleet::{Fleet, Group, Seen, Vm, VmState, headroom};

/// A VM that may be drained. The derived order, and so the order of the fields, is the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    turns: Reverse<u32>,
    wait: Duration,
    vm: VmId,
}

/// Drains as many VMs as batch and budget allow.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    if ctx.status.hold.is_some() {
        return;
    }
    collect(ctx, fleet, cat, now);
    let mut width = width(ctx, cat);
    let mut candidates = std::mem::take(&mut ctx.candidates);
    candidates.sort_unstable();
    let mut taken = 0;
    for candidate in &candidates {
        if width == 0 {
            break;
        }
        if drain(ctx, fleet, cat, candidate.vm) {
            width -= 1;
            taken += 1;
        }
    }
    ctx.candidates = candidates;
    if taken == 0 {
        ctx.status.hold = Some(hold(ctx, fleet, cat, now));
    }
    ctx.status.in_work += taken;
}

/// Whether `vm` itself may be drained now. Budget, data centre and the expected wait are checked separately.
pub(super) fn is_ready(
    ctx: &Context,
    fleet: &Fleet,
    cat: &Catalogue,
    vm: VmId,
    now: Instant,
) -> bool {
    let record = &fleet.vms[vm];
    let not_before = ctx.tracking[vm].not_before;
    is_due(fleet, vm)
        && record.state == VmState::Serving
        && record.seen == Seen::Live
        && !ctx.decided[vm]
        && !cat.pools[record.pool].max_unavailable_vms.is_zero()
        && not_before.is_none_or(|at| now >= at)
}

/// Returns how long a drain of `vm` is expected to wait for its work.
///
/// Checkpointable tasks are moved once waiting costs more, so the wait is at most [`move_cost_as_wait`] for them.
pub(super) fn wait(vm: &Vm, cat: &Catalogue) -> Duration {
    let left = vm.work.longest_left;
    if vm.work.running == 0 {
        return Duration::ZERO;
    }
    if !vm.work.checkpointable {
        return left;
    }
    left.min(move_cost_as_wait(vm, cat))
}

/// Returns the wait that costs as much as moving all tasks of `vm`, by the weights of the catalogue.
///
/// It is capped at the longest drain that the catalogue allows.
pub(super) fn move_cost_as_wait(vm: &Vm, cat: &Catalogue) -> Duration {
    let moves_ms = u64::from(vm.work.running) * u64::from(cat.weights.one_move) * 3_600_000;
    let hour_weight = u64::from(cat.weights.roll_out_hour);
    let worth = Duration::from_millis(moves_ms.checked_div(hour_weight).unwrap_or(u64::MAX));
    worth.min(cat.maintenance.drain_max())
}

/// Whether the expected wait for the work of `vm` is short enough to begin its drain now.
pub(super) fn is_wait_acceptable(ctx: &Context, vm: &Vm, cat: &Catalogue) -> bool {
    wait(vm, cat) <= ctx.domain.wait_max
}

/// Whether the budget of the group of `vm` allows one more VM out of service.
pub(super) fn has_headroom(ctx: &Context, cat: &Catalogue, vm: &Vm) -> bool {
    let count = ctx.census.group(group_of(vm));
    headroom(count, cat.pools[vm.pool].max_unavailable_vms) > 0
}

fn group_of(vm: &Vm) -> Group {
    Group {
        pool: vm.pool,
        dc: vm.dc,
    }
}

fn collect(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let mut candidates = std::mem::take(&mut ctx.candidates);
    candidates.clear();
    for (vm, record) in fleet.vms.iter() {
        let is_here = ctx.status.domain == Some(record.dc);
        if !is_here || !is_ready(ctx, fleet, cat, vm, now) || !is_wait_acceptable(ctx, record, cat)
        {
            continue;
        }
        let due = ctx.census.group(group_of(record)).due;
        let budget = cat.pools[record.pool].max_unavailable_vms.get();
        candidates.push(Candidate {
            turns: Reverse(due.div_ceil(budget)),
            wait: wait(record, cat),
            vm,
        });
    }
    ctx.candidates = candidates;
}

/// Returns how many more VMs may be drained at the current width of the wave.
fn width(ctx: &Context, cat: &Catalogue) -> u32 {
    let batch = cat.maintenance.first_batch_vms.get().max(1);
    match ctx.status.width {
        WaveWidth::Wide => u32::MAX,
        WaveWidth::FirstBatch | WaveWidth::Slow => batch.saturating_sub(ctx.status.in_work),
        WaveWidth::Stopped => 0,
    }
}

fn drain(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, vm: VmId) -> bool {
    let record = &fleet.vms[vm];
    if !has_headroom(ctx, cat, record) {
        return false;
    }
    let group = group_of(record);
    let batch = cat.maintenance.first_batch_vms.get().max(1);
    let reason = match ctx.status.width {
        WaveWidth::FirstBatch => Reason::FirstBatch {
            place: ctx.status.in_work + 1,
            batch,
        },
        _ => Reason::WithinBudget {
            group,
            unavailable: ctx.census.group(group).unavailable + 1,
            max: cat.pools[record.pool].max_unavailable_vms.get(),
        },
    };
    let action = Action::Drain;
    ctx.emit(fleet, Step { vm, action, reason });
    true
}

/// Returns the reason why this plan drained no VM.
fn hold(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> Hold {
    let due = fleet.vms.iter().filter(|(vm, _)| is_due(fleet, *vm));
    let vms = u32::try_from(due.count()).unwrap_or(u32::MAX);
    if vms == 0 {
        return Hold::CycleDone;
    }
    let open = ctx.status.in_work;
    if ctx.status.width == WaveWidth::FirstBatch && open > 0 {
        return Hold::FirstBatch { open };
    }
    let mut ready = fleet.vms.iter().filter(|(vm, record)| {
        let is_here = ctx.status.domain.is_none_or(|dc| dc == record.dc);
        is_here && is_ready(ctx, fleet, cat, *vm, now)
    });
    let Some((_, first)) = ready.next() else {
        return none_ready(ctx, fleet, vms, now);
    };
    if has_headroom(ctx, cat, first) || ready.any(|(_, other)| has_headroom(ctx, cat, other)) {
        return Hold::LongTasks { vms };
    }
    let group = group_of(first);
    Hold::BudgetSpent {
        group,
        unavailable: ctx.census.group(group).unavailable,
        max: cat.pools[group.pool].max_unavailable_vms.get(),
    }
}

fn none_ready(ctx: &Context, fleet: &Fleet, vms: u32, now: Instant) -> Hold {
    if let (Some(dc), true) = (ctx.status.domain, ctx.status.in_work > 0) {
        let vms = ctx.status.in_work;
        return Hold::InWork { dc, vms };
    }
    let mut due = fleet.vms.keys().filter(|vm| is_due(fleet, *vm));
    if due.any(|vm| ctx.tracking[vm].not_before.is_some_and(|at| now < at)) {
        return Hold::WorkRuns { vms };
    }
    Hold::NoneReady { vms }
}
