//! Sizes of pools: which VMs move between the spare pool and the others.
//!
//! Load pattern: demand turns from one pool to the next, each asking several times its mean for some seconds and little in between. A
//! pool whose backlog would take longer than [`HORIZON`] to work off gets VMs from the spare pool at once; a VM beyond a
//! pool's home size goes back, or on to another pool that lacks VMs, once the pool has been calm for [`CALM`].
//! A pool is not shrunk below its home size: an idle VM costs little against the work that is late when the next turn begins without
//! it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_types::names::PoolName;

use crate::id::{VmId, WorkerId};
use crate::upkeep::{Vm, VmState};

/// A backlog that the pool's VMs work off within this time needs no more of them.
const HORIZON: Duration = Duration::from_millis(1_500);

/// A pool that has used less than it has for this long gives back VMs beyond its home size.
const CALM: Duration = Duration::from_millis(1_200);

/// A pool below this share of its processors in use, without a backlog, is calm; in thousandths.
const CALM_MILLI: u64 = 700;

/// How long a move that was ordered counts before the list shows it.
const ORDER_LAG: Duration = Duration::from_millis(2_500);

/// What a pool's scheduler says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// The processors of its workers, in thousandths of a core.
    pub capacity_millis: u64,
    /// How much of these is in use.
    pub used_millis: u64,
    /// The work of tasks that could start if there were room, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// Workers that could leave, those with the least to lose first.
    pub light: Vec<WorkerId>,
}

/// What is kept from one plan to the next.
#[derive(Debug, Clone, Default)]
pub struct Sizes {
    /// The pool of each VM when it was first seen.
    pub homes: BTreeMap<VmId, PoolName>,
    calm_since: BTreeMap<PoolName, Instant>,
    ordered: BTreeMap<VmId, (PoolName, Instant)>,
    leaving: BTreeSet<VmId>,
    may_have_guests: bool,
}

/// What is to be done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SizePlan {
    /// VMs to move, and where.
    pub moves: Vec<(VmId, PoolName)>,
    /// VMs to empty, as they are to leave their pools.
    pub evacuate: BTreeSet<VmId>,
}

/// What a plan is made from.
#[derive(Debug)]
pub struct Facts<'a> {
    /// The platform's list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs on which nothing runs and nothing will be started.
    pub empty: &'a BTreeSet<VmId>,
    /// VMs that a maintenance wave is about to take down.
    pub in_waves: &'a BTreeSet<VmId>,
    /// The load of each pool.
    pub loads: &'a BTreeMap<PoolName, PoolLoad>,
    /// The spare pool.
    pub spare: &'a PoolName,
}

impl Sizes {
    /// Takes VMs that were not seen before; returns whether there were any.
    pub fn note_homes(&mut self, vms: &BTreeMap<VmId, Vm>) -> bool {
        let before = self.homes.len();
        for vm in vms.values() {
            if !self.homes.contains_key(&vm.id) {
                self.homes.insert(vm.id.clone(), vm.pool.clone());
            }
        }
        self.homes.len() != before
    }

    /// Whether a VM may be in another pool than its home.
    #[must_use]
    pub fn has_guests(&self) -> bool {
        self.may_have_guests || !self.ordered.is_empty()
    }

    /// A move was ordered.
    pub fn moved(&mut self, vm: &VmId, pool: &PoolName, now: Instant) {
        self.leaving.remove(vm);
        self.ordered.insert(vm.clone(), (pool.clone(), now));
    }

    /// Decides which VMs move.
    pub fn plan(&mut self, facts: &Facts<'_>, now: Instant) -> SizePlan {
        self.ordered.retain(|vm, (pool, at)| {
            let has_arrived = facts
                .vms
                .get(vm)
                .is_some_and(|it| it.pool == *pool && it.state == VmState::Up);
            !has_arrived && now.saturating_duration_since(*at) < ORDER_LAG
        });
        self.may_have_guests = facts
            .vms
            .values()
            .any(|vm| self.homes.get(&vm.id).is_some_and(|home| *home != vm.pool));
        let mut plan = SizePlan::default();
        let mut lacking = self.lacking(facts);
        self.give_spare(facts, &mut lacking, &mut plan);
        self.give_back(facts, &mut lacking, &mut plan, now);
        plan
    }

    /// How many VMs each pool lacks, beyond those that are on their way. The pool that lacks the most comes first.
    fn lacking(&self, facts: &Facts<'_>) -> Vec<(PoolName, u64)> {
        let mut lacking: Vec<(PoolName, u64)> = facts
            .loads
            .iter()
            .filter(|(pool, load)| *pool != facts.spare && load.capacity_millis > 0)
            .filter_map(|(pool, load)| {
                let count = self.count(facts, pool).max(1);
                let of_vm = (load.capacity_millis / count).max(1);
                let horizon_ms = u64::try_from(HORIZON.as_millis()).unwrap_or(u64::MAX);
                // Half a VM's work is not worth a move.
                let wanted = (load.backlog + of_vm * horizon_ms / 2) / (of_vm * horizon_ms);
                let coming = self.ordered.values().filter(|(to, _)| to == pool).count();
                let coming = u64::try_from(coming).unwrap_or(u64::MAX);
                let lacks = wanted.saturating_sub(coming);
                (lacks > 0).then(|| (pool.clone(), lacks))
            })
            .collect();
        lacking.sort_by_key(|(_, lacks)| std::cmp::Reverse(*lacks));
        lacking
    }

    fn count(&self, facts: &Facts<'_>, pool: &PoolName) -> u64 {
        let there = facts
            .vms
            .values()
            .filter(|vm| vm.pool == *pool && vm.state == VmState::Up)
            .count();
        u64::try_from(there).unwrap_or(u64::MAX)
    }

    /// VMs whose home is the pool, or that are in it, without those in neither sense.
    fn beyond_home(&self, facts: &Facts<'_>, pool: &PoolName) -> usize {
        let of_home = self
            .homes
            .iter()
            .filter(|(vm, home)| *home == pool && facts.vms.contains_key(vm));
        let there = facts.vms.values().filter(|vm| {
            let to = self.ordered.get(&vm.id).map_or(&vm.pool, |(to, _)| to);
            to == pool
        });
        there.count().saturating_sub(of_home.count())
    }

    fn is_free(&self, facts: &Facts<'_>, vm: &Vm) -> bool {
        vm.state == VmState::Up
            && !facts.in_waves.contains(&vm.id)
            && !self.ordered.contains_key(&vm.id)
    }

    fn give_spare(&self, facts: &Facts<'_>, lacking: &mut [(PoolName, u64)], plan: &mut SizePlan) {
        let spares = facts.vms.values();
        let mut spares = spares.filter(|vm| vm.pool == *facts.spare && self.is_free(facts, vm));
        for (pool, lacks) in lacking {
            while *lacks > 0 {
                let Some(vm) = spares.next() else { return };
                plan.moves.push((vm.id.clone(), pool.clone()));
                *lacks -= 1;
            }
        }
    }

    /// Empties the VMs beyond a calm pool's home size, and moves those that are empty to where they are lacking, or back.
    fn give_back(
        &mut self,
        facts: &Facts<'_>,
        lacking: &mut Vec<(PoolName, u64)>,
        plan: &mut SizePlan,
        now: Instant,
    ) {
        self.leaving.retain(|vm| facts.vms.contains_key(vm));
        for (pool, load) in facts.loads {
            if pool == facts.spare {
                continue;
            }
            let is_calm =
                load.backlog == 0 && load.used_millis * 1_000 < load.capacity_millis * CALM_MILLI;
            if !is_calm {
                self.calm_since.remove(pool);
                self.leaving
                    .retain(|vm| facts.vms.get(vm).is_none_or(|vm| vm.pool != *pool));
                continue;
            }
            let since = *self.calm_since.entry(pool.clone()).or_insert(now);
            let beyond = self.beyond_home(facts, pool);
            let leaving_here = self
                .leaving
                .iter()
                .filter(|vm| facts.vms.get(vm).is_some_and(|vm| vm.pool == *pool))
                .count();
            if now.saturating_duration_since(since) >= CALM && beyond > leaving_here {
                self.choose_leaving(facts, pool, load, beyond - leaving_here);
            }
        }
        for id in self.leaving.clone() {
            let Some(vm) = facts.vms.get(&id) else {
                continue;
            };
            if !self.is_free(facts, vm) {
                continue;
            }
            if facts.empty.contains(&id) {
                let to = next_pool(lacking, &vm.pool).unwrap_or_else(|| facts.spare.clone());
                plan.moves.push((id.clone(), to));
            } else {
                plan.evacuate.insert(id);
            }
        }
        // What is being moved stays empty until it is gone.
        plan.evacuate.extend(
            plan.moves
                .iter()
                .map(|(vm, _)| vm.clone())
                .filter(|vm| self.leaving.contains(vm)),
        );
    }

    fn choose_leaving(
        &mut self,
        facts: &Facts<'_>,
        pool: &PoolName,
        load: &PoolLoad,
        count: usize,
    ) {
        let by_worker: BTreeMap<&WorkerId, &Vm> = facts
            .vms
            .values()
            .filter(|vm| vm.pool == *pool)
            .filter_map(|vm| Some((vm.worker.as_ref()?, vm)))
            .collect();
        let light = load.light.iter().filter_map(|worker| by_worker.get(worker));
        let chosen: Vec<VmId> = light
            .filter(|vm| self.is_free(facts, vm) && !self.leaving.contains(&vm.id))
            .take(count)
            .map(|vm| vm.id.clone())
            .collect();
        self.leaving.extend(chosen);
    }
}

/// The pool that lacks VMs the most, other than `from`.
fn next_pool(lacking: &mut [(PoolName, u64)], from: &PoolName) -> Option<PoolName> {
    let (pool, lacks) = lacking
        .iter_mut()
        .find(|(pool, lacks)| pool != from && *lacks > 0)?;
    *lacks -= 1;
    Some(pool.clone())
}
