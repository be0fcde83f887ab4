//! Pass 3: picks the VMs that move.
//!
//! A growing pool first receives VMs that other pools release in the same plan, which saves a move, and then spares. It
//! receives them in the data centre where it has the fewest; a shrinking pool releases them where it has the most.

use std::cmp::Reverse;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{EntityRef, PoolId, VmId};

use super::{Context, Move, Reason, spares};
use crate::fleet::{Fleet, Group, Seen, Vm, VmState, headroom};

/// Buffers of the pass, reused between plans.
#[derive(Debug, Default)]
pub(super) struct Scratch {
    /// Pools below their target, with their shortfall in VMs, largest first.
    growing: Vec<(Reverse<u32>, PoolId)>,
    /// For each pool with a surplus, its VMs that may move, in no particular order.
    movable: Vec<Vec<VmId>>,
    /// Number of VMs that each pool may release.
    surplus: Vec<u32>,
}

/// Emits moves that bring the pools towards their target sizes.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue) {
    if !prepare(ctx, cat) {
        return;
    }
    collect(ctx, fleet);
    let growing = std::mem::take(&mut ctx.scratch.growing);
    for &(Reverse(missing), pool) in &growing {
        let Some(target) = ctx.targets[pool.index()] else {
            continue;
        };
        for _ in 0..missing {
            if !grow(ctx, fleet, cat, pool, target.reason) {
                break;
            }
        }
    }
    ctx.scratch.growing = growing;
    shrink(ctx, fleet, cat);
}

/// Lists growing pools, largest shortfall first, and the surplus of each pool. Returns whether any pool changes size.
///
/// A pool outside its size bounds gets a target at the nearer bound, whatever its policy says.
fn prepare(ctx: &mut Context, cat: &Catalogue) -> bool {
    ctx.scratch.growing.clear();
    ctx.scratch.surplus.clear();
    let mut is_changed = false;
    for (id, pool) in cat.pools.iter() {
        let supply = ctx.supply.of(id);
        if supply < pool.min_vms.get() || supply > pool.max_vms.get() {
            let vms = supply.clamp(pool.min_vms.get(), pool.max_vms.get());
            let reason = Reason::Bounds;
            ctx.targets[id.index()] = Some(super::Target { vms, reason });
        }
        let target = ctx.targets[id.index()];
        let vms = target.map_or(supply, |target| target.vms);
        if vms > supply {
            ctx.scratch.growing.push((Reverse(vms - supply), id));
        }
        ctx.scratch.surplus.push(supply.saturating_sub(vms));
        is_changed |= vms != supply;
    }
    for spare in spares(cat) {
        let free = ctx.supply.of(spare);
        ctx.scratch.surplus[spare.index()] = free.saturating_sub(cat.pools[spare].min_vms.get());
    }
    ctx.scratch.growing.sort_unstable();
    is_changed
}

fn collect(ctx: &mut Context, fleet: &Fleet) {
    let scratch = &mut ctx.scratch;
    scratch.movable.iter_mut().for_each(Vec::clear);
    scratch.movable.resize(scratch.surplus.len(), Vec::new());
    for (id, vm) in fleet.vms.iter() {
        if scratch.surplus[vm.pool.index()] > 0 && is_movable(vm) {
            scratch.movable[vm.pool.index()].push(id);
        }
    }
}

fn is_movable(vm: &Vm) -> bool {
    vm.state == VmState::Serving && vm.seen == Seen::Live && !vm.permit && !vm.is_pinned
}

/// Moves one VM to `pool` from the pool with the largest surplus, spares last. Returns whether a VM could move.
fn grow(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, pool: PoolId, reason: Reason) -> bool {
    let donors = ctx.scratch.surplus.iter().enumerate();
    let donors = donors.filter(|(i, surplus)| **surplus > 0 && *i != pool.index());
    let mut order: Vec<(bool, Reverse<u32>, PoolId)> = donors
        .map(|(i, surplus)| (PoolId::new(i), *surplus))
        .map(|(id, surplus)| (is_spare(cat, id), Reverse(surplus), id))
        .collect();
    order.sort_unstable();
    let mut froms = order.into_iter();
    froms.any(|(_, _, from)| move_one(ctx, fleet, cat, from, pool, reason))
}

fn is_spare(cat: &Catalogue, pool: PoolId) -> bool {
    spares(cat).any(|spare| spare == pool)
}

/// Moves the surplus that no growing pool received to the first spare pool.
fn shrink(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue) {
    let Some(spare) = spares(cat).next() else {
        return;
    };
    for pool in cat.pools.keys() {
        let Some(target) = ctx.targets[pool.index()] else {
            continue;
        };
        if is_spare(cat, pool) {
            continue;
        }
        let spare_max_vms = cat.pools[spare].max_vms.get();
        for _ in 0..ctx.scratch.surplus[pool.index()] {
            let has_capacity = ctx.supply.of(spare) < spare_max_vms;
            if !has_capacity || !move_one(ctx, fleet, cat, pool, spare, target.reason) {
                break;
            }
        }
    }
}

/// Moves the best VM that suits `to` and that its group's budget allows. Returns whether there was one.
///
/// Prefers the data centre where `to` has the fewest VMs, then the one where `from` has the most, then the least work.
fn move_one(
    ctx: &mut Context,
    fleet: &Fleet,
    cat: &Catalogue,
    from: PoolId,
    to: PoolId,
    reason: Reason,
) -> bool {
    let max = cat.pools[from].max_unavailable_vms;
    let movable = &ctx.scratch.movable[from.index()];
    let fit = movable.iter().enumerate().filter(|(_, id)| {
        let vm = &fleet.vms[**id];
        let group = Group {
            pool: from,
            dc: vm.dc,
        };
        vm.suits(cat.pools[to].kind) && headroom(ctx.census.group(group), max) > 0
    });
    let best = fit.min_by_key(|(_, id)| {
        let vm = &fleet.vms[**id];
        let crowding = Reverse(ctx.supply.at(from, vm.dc));
        (ctx.supply.at(to, vm.dc), crowding, vm.work.running, **id)
    });
    let Some((place, &vm)) = best else {
        return false;
    };
    let dc = fleet.vms[vm].dc;
    ctx.scratch.movable[from.index()].swap_remove(place);
    ctx.scratch.surplus[from.index()] -= 1;
    ctx.census.group_mut(Group { pool: from, dc }).unavailable += 1;
    ctx.supply.shift(dc, from, to);
    ctx.moves.push(Move {
        vm,
        from,
        to,
        reason,
    });
    true
}
