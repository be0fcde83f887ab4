//! Reports every invariant that a plan violates. One function for each invariant.

use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, SecondaryMap, VmId};

use crate::fleet::{Census, Fleet, Group, Seen, VmState};
use crate::maintenance::{Action, Step};
use crate::sizing::{Move, counts_for};

/// Returns the invariants that the steps of a wave would violate in `fleet`.
#[must_use]
pub fn plan(fleet: &Fleet, cat: &Catalogue, steps: &[Step]) -> Breaches {
    let mut out = Breaches::new();
    availability_budget(fleet, cat, steps, &mut out);
    one_domain(fleet, steps, &mut out);
    graceful(fleet, steps, &mut out);
    one_step(steps, &mut out);
    out
}

/// Checks that no step takes a VM out of service beyond the budget of its pool in its data centre.
///
/// Failures outside the wave can exceed a budget; then no VM of that group may be drained at all.
pub fn availability_budget(fleet: &Fleet, cat: &Catalogue, steps: &[Step], out: &mut Breaches) {
    let mut census = Census::new();
    census.take(fleet, cat.dcs.len(), cat.pools.len());
    let mut drained: SecondaryMap<VmId, bool> = SecondaryMap::new();
    for step in steps {
        let vm = &fleet.vms[step.vm];
        let count = census.group_mut(Group {
            pool: vm.pool,
            dc: vm.dc,
        });
        match step.action {
            Action::Drain => {
                drained[step.vm] = true;
                count.unavailable += 1;
            }
            Action::Return if vm.is_unavailable() && vm.seen == Seen::Live => {
                count.unavailable -= 1;
            }
            _ => {}
        }
    }
    for (id, vm) in fleet.vms.iter().filter(|(id, _)| drained[*id]) {
        let group = Group {
            pool: vm.pool,
            dc: vm.dc,
        };
        let unavailable = census.group(group).unavailable;
        let max = cat.pools[vm.pool].max_unavailable_vms.get();
        if unavailable > max {
            let detail =
                format!("{id} drained in {group}: {unavailable} unavailable, budget {max}");
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}

/// Checks that drains begin in one data centre only, and in none while another has VMs in maintenance.
pub fn one_domain(fleet: &Fleet, steps: &[Step], out: &mut Breaches) {
    let mut is_ended: SecondaryMap<VmId, bool> = SecondaryMap::new();
    for step in steps {
        is_ended[step.vm] = matches!(
            step.action,
            Action::Return | Action::MarkFailed | Action::Remove
        );
    }
    let begun = steps.iter().filter(|step| step.action == Action::Drain);
    let begun: Vec<DcId> = begun.map(|step| fleet.vms[step.vm].dc).collect();
    let Some(&domain) = begun.first() else {
        return;
    };
    if let Some(other) = begun.iter().find(|dc| **dc != domain) {
        let detail = format!("drains begin in {domain} and {other}: one failure domain at a time");
        out.push(Promise::AvailabilityBudget, detail);
    }
    for (id, vm) in fleet.vms.iter() {
        if vm.is_in_maintenance() && vm.dc != domain && !is_ended[id] {
            let detail = format!(
                "a drain begins in {domain} while {id} of {} is in work",
                vm.dc
            );
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}

/// Checks that no VM reboots while it serves or runs work.
pub fn graceful(fleet: &Fleet, steps: &[Step], out: &mut Breaches) {
    for step in steps {
        let vm = &fleet.vms[step.vm];
        let reboots = matches!(step.action, Action::Reboot | Action::Join(_));
        let is_out = matches!(
            vm.state,
            VmState::Draining | VmState::Moving(_) | VmState::Rebooting | VmState::Joining
        );
        let runs = vm.work.running;
        let is_drained = runs == 0 || matches!(vm.state, VmState::Rebooting | VmState::Joining);
        if reboots && !(is_out && is_drained) {
            let detail = format!(
                "{} reboots while {:?} with {runs} running",
                step.vm, vm.state
            );
            out.push(Promise::GracefulShutdown, detail);
        }
    }
}

/// Checks that no VM has two steps in one plan.
pub fn one_step(steps: &[Step], out: &mut Breaches) {
    let mut seen: SecondaryMap<VmId, bool> = SecondaryMap::new();
    for step in steps {
        if seen[step.vm] {
            out.push(
                Promise::OnePool,
                format!("{} has two steps in one plan", step.vm),
            );
        }
        seen[step.vm] = true;
    }
}

/// Returns the invariants that `moves` would violate in `fleet`.
#[must_use]
pub fn moves(fleet: &Fleet, cat: &Catalogue, moves: &[Move]) -> Breaches {
    let mut out = Breaches::new();
    one_pool(fleet, moves, &mut out);
    move_budget(fleet, cat, moves, &mut out);
    pool_bounds(fleet, cat, moves, &mut out);
    out
}

/// Checks that each VM serves and moves once, from the pool that it is in to another one.
pub fn one_pool(fleet: &Fleet, moves: &[Move], out: &mut Breaches) {
    let mut seen: SecondaryMap<VmId, bool> = SecondaryMap::new();
    for step in moves {
        let vm = &fleet.vms[step.vm];
        if seen[step.vm] || vm.state != VmState::Serving {
            let detail = format!("{} moves while it is already {:?}", step.vm, vm.state);
            out.push(Promise::OnePool, detail);
        }
        if vm.pool != step.from || step.from == step.to {
            let detail = format!(
                "{} is in {}, moves from {} to {}",
                step.vm, vm.pool, step.from, step.to
            );
            out.push(Promise::OnePool, detail);
        }
        seen[step.vm] = true;
    }
}

/// Checks that no move takes a VM out of service beyond the budget of its group.
pub fn move_budget(fleet: &Fleet, cat: &Catalogue, moves: &[Move], out: &mut Breaches) {
    let mut census = Census::new();
    census.take(fleet, cat.dcs.len(), cat.pools.len());
    for step in moves {
        let dc = fleet.vms[step.vm].dc;
        let group = Group {
            pool: step.from,
            dc,
        };
        let count = census.group_mut(group);
        count.unavailable += 1;
        let max = cat.pools[step.from].max_unavailable_vms.get();
        if count.unavailable > max {
            let detail = format!(
                "{} leaves {group}: {} unavailable, budget {max}",
                step.vm, count.unavailable
            );
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}

/// Checks that moves take no pool below its minimum or above its maximum size.
///
/// A pool that is outside its bounds already may stay there, but may not get further away from them.
pub fn pool_bounds(fleet: &Fleet, cat: &Catalogue, moves: &[Move], out: &mut Breaches) {
    for (id, pool) in cat.pools.iter() {
        let members = fleet.vms.values().filter(|vm| counts_for(vm) == Some(id));
        let before = members.count();
        let departures = moves.iter().filter(|step| step.from == id).count();
        let arrivals = moves.iter().filter(|step| step.to == id).count();
        let after = before + arrivals - departures.min(before);
        let (min, max) = (pool.min_vms.get() as usize, pool.max_vms.get() as usize);
        let is_short = departures > arrivals && after < min;
        let is_long = arrivals > departures && after > max;
        if is_short || is_long {
            let detail = format!("{id} goes from {before} to {after} VMs, allowed {min} to {max}");
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}
