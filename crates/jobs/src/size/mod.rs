//! Sizes of pools: which VMs move between the spare pool and the others.
//!
//! [`Sizes`] keeps the home pool of each VM and the moves that the platform's list does not show yet; [`Count`] is a
//! pool's state in one plan.
//!
//! Load pattern: demand shifts from one pool to the next. Each needs several times its mean for some seconds, its busy
//! period, and little in between. A pool has a shortfall if its backlog would take longer than [`BACKLOG_HORIZON`] to
//! work off, and also if it is nearly full or more work arrives than it can do, because a backlog is then about to
//! form. It gets VMs at once from the spare pool, then from pools that hold more than they need.
//!
//! A VM takes a second or two to move, so a pool whose load rises from little to [`ONSET_PERCENT`] of its home size
//! gets the VMs for a whole busy period before it needs them. Between busy periods a pool holds [`IDLE_FLOOR_PERCENT`]
//! of its home size, and [`COOLDOWN_FLOOR_PERCENT`] during the cooldown after one ([`turns`]): the other VMs are spare,
//! for whichever pool is busy. What a pool holds beyond that and beyond [`MARGIN_PERCENT`] of its need is returned once
//! it has not been needed for a while.

pub mod turns;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use goldcrest_types::names::PoolName;

use crate::id::{VmId, WorkerId};
use crate::size::turns::{BusyPeriods, TurnChange};
use crate::upkeep::{Vm, VmState};

/// A backlog that the pool's VMs can work off within this time needs no more VMs.
const BACKLOG_HORIZON: Duration = Duration::from_millis(650);

/// A pool that needs this share of its capacity is nearly full, in percent.
const FULL_PERCENT: u64 = 75;

/// The need of a nearly full pool, in percent of its demand.
const HEADROOM_PERCENT: u64 = 130;

/// What a pool keeps when it gives VMs away, in percent of its need.
const MARGIN_PERCENT: u64 = 130;

/// A pool returns its surplus if the surplus began at least this long ago. A need of all its VMs, and at least its home
/// size, ends a surplus; a smaller rise of the need does not.
const SURPLUS_GRACE: Duration = Duration::from_secs(1);

/// What a pool holds between busy periods, in percent of its home size. Its services and the little work in between
/// need less, but the first work of its next busy period needs more before further VMs can arrive.
const IDLE_FLOOR_PERCENT: u64 = 60;

/// What a pool holds during its cooldown, the time after a busy period in which no other is expected, in percent of its
/// home size.
const COOLDOWN_FLOOR_PERCENT: u64 = 50;

/// A busy period is assumed to begin when a pool's load rises to this share of its home size, in percent. Between busy
/// periods a queue's demand is a twentieth of its mean.
const ONSET_PERCENT: u64 = 20;

/// The need expected of a busy period, in percent of the pool's home size. The documented load pattern exceeds what the
/// pool holds.
const BUSY_PERCENT: u64 = 150;

/// The time from an onset, the rise of a pool's load to [`ONSET_PERCENT`], in which the pool is given the VMs for a
/// whole busy period. A VM takes most of this time to arrive.
const ONSET_WINDOW: Duration = Duration::from_millis(2_500);

/// The time after which a commanded move that the platform's list does not show no longer counts as under way.
const LISTING_LAG: Duration = Duration::from_millis(2_500);

/// Whether a pool needs so much of its capacity that a busy period may have begun.
#[must_use]
pub fn may_be_busy_period(needed_millis: u64, capacity_millis: u64) -> bool {
    needed_millis * 100 >= capacity_millis * ONSET_PERCENT
}

/// Whether a pool is so full that a backlog is about to form.
fn is_nearly_full(needed_millis: u64, capacity_millis: u64) -> bool {
    needed_millis * 100 >= capacity_millis * FULL_PERCENT
}

/// The load of a pool, as its scheduler reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// The processors of its workers outside cordoned data centres, in thousandths of a core.
    pub capacity_millis: u64,
    /// How much of `capacity_millis` is in use.
    pub used_millis: u64,
    /// The processors that its services and arriving work need, in thousandths of a core.
    pub demand_millis: u64,
    /// The work of the tasks that could start if the pool had capacity, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// Workers that could leave the pool, the most lightly loaded first.
    pub lightly_loaded: Vec<WorkerId>,
}

/// The state kept from one plan to the next.
#[derive(Debug, Clone, Default)]
pub struct Sizes {
    /// The home of each VM: the pool in which it was first seen. A pool's home size is the number of listed VMs whose
    /// home it is.
    pub homes: BTreeMap<VmId, PoolName>,
    surplus_since: BTreeMap<PoolName, Instant>,
    /// When the load of each pool rose. Cleared once the load is low again.
    rising_since: BTreeMap<PoolName, Instant>,
    pending_moves: BTreeMap<VmId, (PoolName, Instant)>,
    leaving: BTreeSet<VmId>,
    /// The busy periods and cooldowns of the pools.
    pub busy_periods: BusyPeriods,
    changes: Vec<(PoolName, TurnChange)>,
    may_have_displaced: bool,
}

/// The moves and evacuations that a plan decided on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SizePlan {
    /// VMs to move, each with the pool that it should join.
    pub moves: Vec<(VmId, PoolName)>,
    /// VMs to evacuate, because they are to leave their pools.
    pub evacuate: BTreeSet<VmId>,
    /// The counts that the plan is based on, one for each pool with a load.
    pub counts: Vec<Count>,
}

/// The inputs of a plan.
#[derive(Debug)]
pub struct SizeInputs<'a> {
    /// The VMs in the platform's list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs on which nothing runs and nothing will be started.
    pub empty: &'a BTreeSet<VmId>,
    /// VMs that a maintenance wave is about to take down.
    pub in_waves: &'a BTreeSet<VmId>,
    /// VMs in cordoned data centres. They accept no work, whichever pool they are in, so they neither move nor count.
    pub cordoned: &'a BTreeSet<VmId>,
    /// The load of each pool.
    pub loads: &'a BTreeMap<PoolName, PoolLoad>,
    /// The name of the spare pool.
    pub spare: &'a PoolName,
}

/// The state of a pool in one plan, counted in VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Count {
    /// The pool's name.
    pub pool: PoolName,
    /// The fewest VMs that it should hold: a share of its home size or just above its need, up to its home size.
    pub floor: u64,
    /// The VMs outside cordoned data centres that it holds or that are on their way to it.
    pub assigned: u64,
    /// How many of these accept work: neither down nor being evacuated for maintenance.
    pub serving: u64,
    /// The VMs that its load needs.
    pub needs: u64,
    /// The VMs that it has to return whatever its need: borrowed from pools that hold less than their floor.
    pub must_return: u64,
    /// Whether it needs fewer VMs than accept work, and its surplus began at least [`SURPLUS_GRACE`] ago.
    pub has_lasting_surplus: bool,
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            pool,
            floor,
            assigned,
            serving,
            needs,
            must_return,
            ..
        } = self;
        write!(
            f,
            "{pool} has {assigned} VMs, {serving} accept work, needs {needs}, holds at least {floor}, must return {must_return}"
        )
    }
}

impl Count {
    fn shortfall(&self) -> u64 {
        self.needs.saturating_sub(self.serving)
    }

    /// The VMs that it can give to a pool with a shortfall.
    fn surplus(&self) -> u64 {
        // The load fluctuates, and a VM that is leaving accepts no work.
        let with_margin = (self.needs * MARGIN_PERCENT).div_ceil(100);
        let beyond_floor = self.assigned.saturating_sub(self.floor);
        beyond_floor.min(self.serving.saturating_sub(with_margin))
    }
}

impl Sizes {
    /// Records the home of each VM that was not seen before. Returns whether there was any.
    pub fn record_homes(&mut self, vms: &BTreeMap<VmId, Vm>) -> bool {
        let before = self.homes.len();
        for vm in vms.values() {
            if !self.homes.contains_key(&vm.id) {
                self.homes.insert(vm.id.clone(), vm.pool.clone());
            }
        }
        self.homes.len() != before
    }

    /// Whether a VM may be outside its home pool, or may soon be.
    #[must_use]
    pub fn has_displaced_vms(&self) -> bool {
        self.may_have_displaced || !self.pending_moves.is_empty() || self.busy_periods.is_any()
    }

    /// Takes the changes of busy periods and cooldowns since the last call.
    pub fn take_changes(&mut self) -> Vec<(PoolName, TurnChange)> {
        std::mem::take(&mut self.changes)
    }

    /// Records that the platform was commanded to move a VM to `pool`.
    pub fn record_move(&mut self, vm: &VmId, pool: &PoolName, now: Instant) {
        self.leaving.remove(vm);
        self.pending_moves.insert(vm.clone(), (pool.clone(), now));
    }

    /// Decides which VMs move.
    pub fn plan(&mut self, inputs: &SizeInputs<'_>, now: Instant) -> SizePlan {
        self.forget_arrived(inputs, now);
        self.may_have_displaced = inputs
            .vms
            .values()
            .any(|vm| self.homes.get(&vm.id).is_some_and(|home| *home != vm.pool))
            || !inputs.cordoned.is_empty();
        let counts = self.counts(inputs, now);
        let mut shortfalls = shortfalls(&counts);
        let mut plan = SizePlan::default();
        self.assign_spares(inputs, &mut shortfalls, &mut plan);
        self.assign_spares(inputs, &mut below_floor(&counts), &mut plan);
        self.choose_leaving(inputs, &counts, &shortfalls);
        self.move_leaving(inputs, &counts, &mut shortfalls, &mut plan);
        plan.counts = counts;
        plan
    }

    fn forget_arrived(&mut self, inputs: &SizeInputs<'_>, now: Instant) {
        self.pending_moves.retain(|vm, (pool, at)| {
            let has_arrived = inputs
                .vms
                .get(vm)
                .is_some_and(|listed| listed.pool == *pool && listed.state == VmState::Up);
            !has_arrived && now.saturating_duration_since(*at) < LISTING_LAG
        });
        self.leaving
            .retain(|vm| inputs.vms.contains_key(vm) && !inputs.cordoned.contains(vm));
    }

    /// The pool that a VM is in or on its way to.
    fn effective_pool<'a>(&'a self, vm: &'a Vm) -> &'a PoolName {
        self.pending_moves
            .get(&vm.id)
            .map_or(&vm.pool, |(to, _)| to)
    }

    fn counts(&mut self, inputs: &SizeInputs<'_>, now: Instant) -> Vec<Count> {
        let mut counts = Vec::new();
        let spares = count_of(self.homes.values().filter(|home| *home == inputs.spare));
        for (pool, load) in inputs.loads {
            if pool == inputs.spare || load.capacity_millis == 0 {
                continue;
            }
            let of_pool = inputs
                .vms
                .values()
                .filter(|vm| self.effective_pool(vm) == pool && !inputs.cordoned.contains(&vm.id));
            let assigned = count_of(of_pool.clone());
            let serving = count_of(of_pool.filter(|vm| is_serving(inputs, vm)));
            let homes = self.homes.iter();
            let of_home = homes.filter(|(vm, home)| *home == pool && inputs.vms.contains_key(vm));
            let home = count_of(of_home);
            let needs = self.needs(inputs, pool, load, home, now);
            if let Some(change) = self.busy_periods.observe(pool, needs >= home.max(1), now) {
                self.changes.push((pool.clone(), change));
            }
            let kept_percent = if self.busy_periods.is_cooling_down(pool) {
                COOLDOWN_FLOOR_PERCENT
            } else {
                IDLE_FLOOR_PERCENT
            };
            let floor = (home * kept_percent).div_ceil(100);
            let floor = floor.max(needs + 1).min(home);
            // A need between the two conditions keeps the time: a surplus that recurs below the first counts from its
            // earlier beginning, and is returned without another grace period.
            if needs >= assigned.max(home) {
                self.surplus_since.remove(pool);
            }
            let since = if needs < serving {
                *self.surplus_since.entry(pool.clone()).or_insert(now)
            } else {
                now
            };
            counts.push(Count {
                pool: pool.clone(),
                floor,
                assigned,
                serving,
                needs,
                must_return: 0,
                has_lasting_surplus: now.saturating_duration_since(since) >= SURPLUS_GRACE,
            });
        }
        mark_loans(&mut counts, spares);
        counts
    }

    /// How many VMs a pool needs for its load.
    fn needs(
        &mut self,
        inputs: &SizeInputs<'_>,
        pool: &PoolName,
        load: &PoolLoad,
        home: u64,
        now: Instant,
    ) -> u64 {
        let up = inputs.vms.values().filter(|vm| {
            vm.pool == *pool && vm.state == VmState::Up && !inputs.cordoned.contains(&vm.id)
        });
        let up = count_of(up);
        let millis_per_vm = (load.capacity_millis / up.max(1)).max(1);
        let horizon_ms = u64::try_from(BACKLOG_HORIZON.as_millis()).unwrap_or(u64::MAX);
        let demand = load.used_millis + load.backlog / horizon_ms;
        let demand = demand.max(load.demand_millis);
        let demand = if is_nearly_full(demand, load.capacity_millis) {
            demand * HEADROOM_PERCENT / 100
        } else {
            demand
        };
        // Half a VM's work is not worth a move.
        let needs = (demand + millis_per_vm / 2) / millis_per_vm;
        if self.is_onset(pool, demand, home * millis_per_vm, now) {
            needs.max((home * BUSY_PERCENT).div_ceil(100))
        } else {
            needs
        }
    }

    /// Whether the demand of a pool rose to the onset threshold within [`ONSET_WINDOW`]. Both amounts are in
    /// thousandths of a core. The load is low again below half of the threshold.
    fn is_onset(
        &mut self,
        pool: &PoolName,
        demand_millis: u64,
        home_millis: u64,
        now: Instant,
    ) -> bool {
        if !may_be_busy_period(demand_millis, home_millis / 2) {
            self.rising_since.remove(pool);
        }
        may_be_busy_period(demand_millis, home_millis) && {
            let since = *self.rising_since.entry(pool.clone()).or_insert(now);
            now.saturating_duration_since(since) < ONSET_WINDOW
        }
    }

    fn is_free(&self, inputs: &SizeInputs<'_>, vm: &Vm) -> bool {
        vm.state == VmState::Up
            && !inputs.in_waves.contains(&vm.id)
            && !inputs.cordoned.contains(&vm.id)
            && !self.pending_moves.contains_key(&vm.id)
    }

    fn assign_spares(
        &self,
        inputs: &SizeInputs<'_>,
        shortfalls: &mut [(PoolName, u64)],
        plan: &mut SizePlan,
    ) {
        let spares = inputs.vms.values();
        let taken: BTreeSet<VmId> = plan.moves.iter().map(|(vm, _)| vm.clone()).collect();
        let mut spares = spares.filter(|vm| {
            vm.pool == *inputs.spare && self.is_free(inputs, vm) && !taken.contains(&vm.id)
        });
        for (pool, count) in shortfalls {
            while *count > 0 {
                let Some(vm) = spares.next() else { return };
                plan.moves.push((vm.id.clone(), pool.clone()));
                *count -= 1;
            }
        }
    }

    /// Chooses the VMs that are to leave their pools: those that other pools need or that are on loan, and lasting
    /// surpluses.
    fn choose_leaving(
        &mut self,
        inputs: &SizeInputs<'_>,
        counts: &[Count],
        shortfalls: &[(PoolName, u64)],
    ) {
        let mut open: u64 = shortfalls.iter().map(|(_, count)| count).sum();
        for count in counts {
            let leaving = self.leaving.iter().filter_map(|vm| inputs.vms.get(vm));
            let leaving_here = count_of(leaving.filter(|vm| vm.pool == count.pool));
            let beyond = if count.has_lasting_surplus {
                count.surplus()
            } else {
                0
            };
            let for_others = count.surplus().min(open);
            let goal = beyond.max(for_others).max(count.must_return);
            if (count.shortfall() > 0 && count.must_return == 0) || goal == 0 {
                self.leaving.retain(|vm| {
                    let vm = inputs.vms.get(vm);
                    vm.is_none_or(|vm| vm.pool != count.pool)
                });
                continue;
            }
            open -= for_others;
            if let Some(load) = inputs.loads.get(&count.pool) {
                self.add_leaving(inputs, count, load, goal.saturating_sub(leaving_here));
            }
        }
    }

    fn add_leaving(&mut self, inputs: &SizeInputs<'_>, count: &Count, load: &PoolLoad, more: u64) {
        let by_worker: BTreeMap<&WorkerId, &Vm> = inputs
            .vms
            .values()
            .filter(|vm| vm.pool == count.pool)
            .filter_map(|vm| Some((vm.worker.as_ref()?, vm)))
            .collect();
        let lightly_loaded = load
            .lightly_loaded
            .iter()
            .filter_map(|worker| by_worker.get(worker));
        let chosen: Vec<VmId> = lightly_loaded
            .filter(|vm| self.is_free(inputs, vm) && !self.leaving.contains(&vm.id))
            .take(usize::try_from(more).unwrap_or(usize::MAX))
            .map(|vm| vm.id.clone())
            .collect();
        self.leaving.extend(chosen);
    }

    /// Evacuates the VMs that are to leave, and moves those that are empty.
    fn move_leaving(
        &self,
        inputs: &SizeInputs<'_>,
        counts: &[Count],
        shortfalls: &mut [(PoolName, u64)],
        plan: &mut SizePlan,
    ) {
        // Unlike `below_floor`, this includes VMs that the pool's load needs.
        let mut missing_to_floor: Vec<(PoolName, u64)> = counts
            .iter()
            .map(|count| {
                (
                    count.pool.clone(),
                    count.floor.saturating_sub(count.assigned),
                )
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        for id in &self.leaving {
            let Some(vm) = inputs.vms.get(id).filter(|vm| self.is_free(inputs, vm)) else {
                continue;
            };
            plan.evacuate.insert(id.clone());
            if !inputs.empty.contains(id) {
                continue;
            }
            let mut from = counts.iter().filter(|count| count.pool == vm.pool);
            let to = if from.any(|count| count.must_return > 0) {
                take_recipient(&mut missing_to_floor, &vm.pool)
                    .or_else(|| take_recipient(shortfalls, &vm.pool))
            } else {
                take_recipient(shortfalls, &vm.pool)
                    .or_else(|| take_recipient(&mut missing_to_floor, &vm.pool))
            };
            plan.moves
                .push((id.clone(), to.unwrap_or_else(|| inputs.spare.clone())));
        }
    }
}

fn count_of(items: impl Iterator) -> u64 {
    u64::try_from(items.count()).unwrap_or(u64::MAX)
}

/// Whether a VM accepts work, or soon will in the pool that it is on its way to.
fn is_serving(inputs: &SizeInputs<'_>, vm: &Vm) -> bool {
    matches!(vm.state, VmState::Up | VmState::Moving) && !inputs.in_waves.contains(&vm.id)
}

/// Sets how many VMs each pool has to return to pools below their floor. VMs from the spare pool belong to no other
/// pool and need not be returned.
fn mark_loans(counts: &mut [Count], spares: u64) {
    let mut open: u64 = counts
        .iter()
        .map(|count| count.floor.saturating_sub(count.assigned))
        .sum();
    for count in counts {
        count.must_return = count
            .assigned
            .saturating_sub(count.floor + spares)
            .min(open);
        open -= count.must_return;
    }
}

/// The pools that have too few VMs for their load, with their shortfalls, the largest first.
fn shortfalls(counts: &[Count]) -> Vec<(PoolName, u64)> {
    let mut shortfalls: Vec<(PoolName, u64)> = counts
        .iter()
        .map(|count| (count.pool.clone(), count.shortfall()))
        .filter(|(_, shortfall)| *shortfall > 0)
        .collect();
    shortfalls.sort_by_key(|(_, shortfall)| std::cmp::Reverse(*shortfall));
    shortfalls
}

/// The pools that have enough VMs for their load but fewer than their floor, with the VMs that they miss.
fn below_floor(counts: &[Count]) -> Vec<(PoolName, u64)> {
    let open = counts.iter().map(|count| {
        let open = count.floor.saturating_sub(count.assigned.max(count.needs));
        (count.pool.clone(), open)
    });
    open.filter(|(_, open)| *open > 0).collect()
}

/// Returns the first pool other than `from` that still needs a VM, and reduces its count by one.
fn take_recipient(shortfalls: &mut [(PoolName, u64)], from: &PoolName) -> Option<PoolName> {
    let (pool, count) = shortfalls
        .iter_mut()
        .find(|(pool, count)| pool != from && *count > 0)?;
    *count -= 1;
    Some(pool.clone())
}
