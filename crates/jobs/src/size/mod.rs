//! Sizes of pools: which VMs move between the spare pool and the others.
//!
//! Load pattern: demand turns from one pool to the next, each asking several times its mean for some seconds and little in between. A
//! pool whose backlog would take longer than [`HORIZON`] to work off lacks VMs; so does one that is nearly full, or to which
//! more work comes than it can do, as the next moment brings the backlog. It gets them at once from the spare
//! pool, then from pools that hold more than they need.
//!
//! A VM takes a second or two to move, so a pool whose load rises from little to [`BEGIN_PERCENT`] of its home size gets the VMs of a
//! whole turn before it needs them. In between a pool holds [`IDLE_HOME_PERCENT`] of its home size, and
//! [`REST_HOME_PERCENT`] while it rests after its turn ([`turns`]): the others are spare, for the pool whose turn it is. What a
//! pool holds beyond that and beyond [`KEPT_PERCENT`] of what it needs goes back once it is calm.

pub mod turns;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use goldcrest_types::names::PoolName;

use crate::id::{VmId, WorkerId};
use crate::size::turns::{TurnChange, Turns};
use crate::upkeep::{Vm, VmState};

/// A backlog that the pool's VMs work off within this time needs no more of them.
const HORIZON: Duration = Duration::from_millis(650);

/// A pool that needs this share of what it has is nearly full, in percent.
const FULL_PERCENT: u64 = 75;

/// What such a pool needs against what it uses, in percent.
const HEADROOM_PERCENT: u64 = 130;

/// What a pool keeps against what it needs when it gives VMs away, in percent.
const KEPT_PERCENT: u64 = 130;

/// A pool gives back what it holds beyond its home size once it has not needed it for this long.
const CALM: Duration = Duration::from_secs(1);

/// What a pool holds between turns of its home size, in percent. Its services and the little work in between need less; the first
/// work of its next turn needs more before VMs can arrive. Measured (docs/WORTH.md).
const IDLE_HOME_PERCENT: u64 = 60;

/// The same while the pool rests after its turn.
const REST_HOME_PERCENT: u64 = 50;

/// A pool whose load rises to this share of its home size is taken to begin its turn, in percent. Between turns a queue asks for a
/// twentieth of its mean.
const BEGIN_PERCENT: u64 = 20;

/// What a turn is expected to need of the pool's home size, in percent. The page on load says that it is more than the pool holds.
const TURN_PERCENT: u64 = 150;

/// How long a turn is held to begin. A VM takes most of this time to arrive.
const BEGINNING: Duration = Duration::from_millis(2_500);

/// How long a move that was ordered counts before the list shows it.
const ORDER_LAG: Duration = Duration::from_millis(2_500);

/// Whether a pool needs so much of what it has that its turn may have begun.
#[must_use]
pub fn may_begin(needed_millis: u64, capacity_millis: u64) -> bool {
    needed_millis * 100 >= capacity_millis * BEGIN_PERCENT
}

/// Whether a pool is so nearly full that the next moment brings a backlog.
fn is_nearly_full(needed_millis: u64, capacity_millis: u64) -> bool {
    needed_millis * 100 >= capacity_millis * FULL_PERCENT
}

/// What a pool's scheduler says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// The processors of its workers, in thousandths of a core.
    pub capacity_millis: u64,
    /// How much of these is in use.
    pub used_millis: u64,
    /// How much its services and the work that arrives need.
    pub demand_millis: u64,
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
    /// When the load of each pool rose, until it is little again.
    risen: BTreeMap<PoolName, Instant>,
    ordered: BTreeMap<VmId, (PoolName, Instant)>,
    leaving: BTreeSet<VmId>,
    /// The pools' turns and rests.
    pub turns: Turns,
    turn_changes: Vec<(PoolName, TurnChange)>,
    may_have_guests: bool,
}

/// What is to be done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SizePlan {
    /// VMs to move, and where.
    pub moves: Vec<(VmId, PoolName)>,
    /// VMs to empty, as they are to leave their pools.
    pub evacuate: BTreeSet<VmId>,
    /// What the plan was made for: each pool that has a load.
    pub counts: Vec<Count>,
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

/// A pool, counted in VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Count {
    /// The pool.
    pub pool: PoolName,
    /// What it holds at least: a share of what it had at first.
    pub floor: u64,
    /// What it has, and what is on its way to it.
    pub has: u64,
    /// How many of these take work: neither down nor being emptied for maintenance.
    pub serving: u64,
    /// What it needs for its load.
    pub needs: u64,
    /// What it has to give back, however much it needs: VMs that it has on loan from pools whose rest is over.
    pub owes: u64,
    /// It has not needed all of them for a while.
    pub is_calm: bool,
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            pool,
            floor,
            has,
            serving,
            needs,
            owes,
            ..
        } = self;
        write!(
            f,
            "{pool} has {has}, {serving} take work, needs {needs}, holds at least {floor}, owes {owes}"
        )
    }
}

impl Count {
    fn lacks(&self) -> u64 {
        self.needs.saturating_sub(self.serving)
    }

    /// What it can give to a pool that lacks VMs.
    fn can_give(&self) -> u64 {
        // Its load comes and goes, and a VM that is leaving takes no work.
        let with_margin = (self.needs * KEPT_PERCENT).div_ceil(100);
        let beyond_floor = self.has.saturating_sub(self.floor);
        beyond_floor.min(self.serving.saturating_sub(with_margin))
    }
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

    /// Whether a VM may be in another pool than its home, or may soon be.
    #[must_use]
    pub fn has_guests(&self) -> bool {
        self.may_have_guests || !self.ordered.is_empty() || self.turns.is_any()
    }

    /// Takes what changed of the pools' turns since the last call.
    pub fn take_turn_changes(&mut self) -> Vec<(PoolName, TurnChange)> {
        std::mem::take(&mut self.turn_changes)
    }

    /// A move was ordered.
    pub fn moved(&mut self, vm: &VmId, pool: &PoolName, now: Instant) {
        self.leaving.remove(vm);
        self.ordered.insert(vm.clone(), (pool.clone(), now));
    }

    /// Decides which VMs move.
    pub fn plan(&mut self, facts: &Facts<'_>, now: Instant) -> SizePlan {
        self.forget_arrived(facts, now);
        self.may_have_guests = facts
            .vms
            .values()
            .any(|vm| self.homes.get(&vm.id).is_some_and(|home| *home != vm.pool));
        let counts = self.counts(facts, now);
        let mut wanted = wanted(&counts);
        let mut plan = SizePlan::default();
        self.give_spare(facts, &mut wanted, &mut plan);
        self.give_spare(facts, &mut below_floor(&counts), &mut plan);
        self.choose_leaving(facts, &counts, &wanted);
        self.send_leaving(facts, &counts, &mut wanted, &mut plan);
        plan.counts = counts;
        plan
    }

    fn forget_arrived(&mut self, facts: &Facts<'_>, now: Instant) {
        self.ordered.retain(|vm, (pool, at)| {
            let has_arrived = facts
                .vms
                .get(vm)
                .is_some_and(|it| it.pool == *pool && it.state == VmState::Up);
            !has_arrived && now.saturating_duration_since(*at) < ORDER_LAG
        });
        self.leaving.retain(|vm| facts.vms.contains_key(vm));
    }

    /// Where a VM is, or is on its way to.
    fn place<'a>(&'a self, vm: &'a Vm) -> &'a PoolName {
        self.ordered.get(&vm.id).map_or(&vm.pool, |(to, _)| to)
    }

    fn counts(&mut self, facts: &Facts<'_>, now: Instant) -> Vec<Count> {
        let mut counts = Vec::new();
        let spares = count_of(self.homes.values().filter(|home| *home == facts.spare));
        for (pool, load) in facts.loads {
            if pool == facts.spare || load.capacity_millis == 0 {
                continue;
            }
            let of_pool = facts.vms.values().filter(|vm| self.place(vm) == pool);
            let has = count_of(of_pool.clone());
            let serving = count_of(of_pool.filter(|vm| is_serving(facts, vm)));
            let homes = self.homes.iter();
            let of_home = homes.filter(|(vm, home)| *home == pool && facts.vms.contains_key(vm));
            let home = count_of(of_home);
            let needs = self.needs(facts, pool, load, home, now);
            if let Some(change) = self.turns.observe(pool, needs >= home.max(1), now) {
                self.turn_changes.push((pool.clone(), change));
            }
            let kept_percent = if self.turns.is_resting(pool) {
                REST_HOME_PERCENT
            } else {
                IDLE_HOME_PERCENT
            };
            let floor = (home * kept_percent).div_ceil(100);
            let floor = floor.max(needs + 1).min(home);
            if needs >= has.max(home) {
                self.calm_since.remove(pool);
            }
            let since = if needs < serving {
                *self.calm_since.entry(pool.clone()).or_insert(now)
            } else {
                now
            };
            counts.push(Count {
                pool: pool.clone(),
                floor,
                has,
                serving,
                needs,
                owes: 0,
                is_calm: now.saturating_duration_since(since) >= CALM,
            });
        }
        note_loans(&mut counts, spares);
        counts
    }

    /// How many VMs a pool needs for its load.
    fn needs(
        &mut self,
        facts: &Facts<'_>,
        pool: &PoolName,
        load: &PoolLoad,
        home: u64,
        now: Instant,
    ) -> u64 {
        let vms = facts.vms.values();
        let up = count_of(vms.filter(|vm| vm.pool == *pool && vm.state == VmState::Up));
        let of_vm = (load.capacity_millis / up.max(1)).max(1);
        let horizon_ms = u64::try_from(HORIZON.as_millis()).unwrap_or(u64::MAX);
        let demand = load.used_millis + load.backlog / horizon_ms;
        let demand = demand.max(load.demand_millis);
        let demand = if is_nearly_full(demand, load.capacity_millis) {
            demand * HEADROOM_PERCENT / 100
        } else {
            demand
        };
        // Half a VM's work is not worth a move.
        let needs = (demand + of_vm / 2) / of_vm;
        if self.is_beginning(pool, demand, home * of_vm, now) {
            needs.max((home * TURN_PERCENT).div_ceil(100))
        } else {
            needs
        }
    }

    /// Whether the demand of a pool that was calm has just risen so far that its turn may have begun.
    fn is_beginning(&mut self, pool: &PoolName, demand: u64, home: u64, now: Instant) -> bool {
        if !may_begin(demand, home / 2) {
            self.risen.remove(pool);
        }
        may_begin(demand, home) && {
            let since = *self.risen.entry(pool.clone()).or_insert(now);
            now.saturating_duration_since(since) < BEGINNING
        }
    }

    fn is_free(&self, facts: &Facts<'_>, vm: &Vm) -> bool {
        vm.state == VmState::Up
            && !facts.in_waves.contains(&vm.id)
            && !self.ordered.contains_key(&vm.id)
    }

    fn give_spare(&self, facts: &Facts<'_>, wanted: &mut [(PoolName, u64)], plan: &mut SizePlan) {
        let spares = facts.vms.values();
        let taken: BTreeSet<VmId> = plan.moves.iter().map(|(vm, _)| vm.clone()).collect();
        let mut spares = spares.filter(|vm| {
            vm.pool == *facts.spare && self.is_free(facts, vm) && !taken.contains(&vm.id)
        });
        for (pool, count) in wanted {
            while *count > 0 {
                let Some(vm) = spares.next() else { return };
                plan.moves.push((vm.id.clone(), pool.clone()));
                *count -= 1;
            }
        }
    }

    /// Chooses the VMs that are to leave their pools: as many as others want, and what calm pools hold beyond their home size.
    fn choose_leaving(&mut self, facts: &Facts<'_>, counts: &[Count], wanted: &[(PoolName, u64)]) {
        let mut open: u64 = wanted.iter().map(|(_, count)| count).sum();
        for count in counts {
            let leaving = self.leaving.iter().filter_map(|vm| facts.vms.get(vm));
            let leaving_here = count_of(leaving.filter(|vm| vm.pool == count.pool));
            let beyond = if count.is_calm { count.can_give() } else { 0 };
            let for_others = count.can_give().min(open);
            let goal = beyond.max(for_others).max(count.owes);
            if (count.lacks() > 0 && count.owes == 0) || goal == 0 {
                self.leaving.retain(|vm| {
                    let vm = facts.vms.get(vm);
                    vm.is_none_or(|vm| vm.pool != count.pool)
                });
                continue;
            }
            open -= for_others;
            if let Some(load) = facts.loads.get(&count.pool) {
                self.add_leaving(facts, count, load, goal.saturating_sub(leaving_here));
            }
        }
    }

    fn add_leaving(&mut self, facts: &Facts<'_>, count: &Count, load: &PoolLoad, more: u64) {
        let by_worker: BTreeMap<&WorkerId, &Vm> = facts
            .vms
            .values()
            .filter(|vm| vm.pool == count.pool)
            .filter_map(|vm| Some((vm.worker.as_ref()?, vm)))
            .collect();
        let light = load.light.iter().filter_map(|worker| by_worker.get(worker));
        let chosen: Vec<VmId> = light
            .filter(|vm| self.is_free(facts, vm) && !self.leaving.contains(&vm.id))
            .take(usize::try_from(more).unwrap_or(usize::MAX))
            .map(|vm| vm.id.clone())
            .collect();
        self.leaving.extend(chosen);
    }

    /// Empties the VMs that are to leave, and moves those that are empty.
    fn send_leaving(
        &self,
        facts: &Facts<'_>,
        counts: &[Count],
        wanted: &mut [(PoolName, u64)],
        plan: &mut SizePlan,
    ) {
        let mut short_of_floor: Vec<(PoolName, u64)> = counts
            .iter()
            .map(|count| (count.pool.clone(), count.floor.saturating_sub(count.has)))
            .filter(|(_, count)| *count > 0)
            .collect();
        for id in &self.leaving {
            let Some(vm) = facts.vms.get(id).filter(|vm| self.is_free(facts, vm)) else {
                continue;
            };
            plan.evacuate.insert(id.clone());
            if !facts.empty.contains(id) {
                continue;
            }
            let mut from = counts.iter().filter(|count| count.pool == vm.pool);
            let to = if from.any(|count| count.owes > 0) {
                take_one(&mut short_of_floor, &vm.pool).or_else(|| take_one(wanted, &vm.pool))
            } else {
                take_one(wanted, &vm.pool).or_else(|| take_one(&mut short_of_floor, &vm.pool))
            };
            plan.moves
                .push((id.clone(), to.unwrap_or_else(|| facts.spare.clone())));
        }
    }
}

fn count_of(items: impl Iterator) -> u64 {
    u64::try_from(items.count()).unwrap_or(u64::MAX)
}

/// Whether a VM takes work, or soon will in the pool that it is on its way to.
fn is_serving(facts: &Facts<'_>, vm: &Vm) -> bool {
    matches!(vm.state, VmState::Up | VmState::Moving) && !facts.in_waves.contains(&vm.id)
}

/// Notes what pools owe to those that hold less than they should. The spare VMs are nobody's, and are not owed.
fn note_loans(counts: &mut [Count], spares: u64) {
    let mut open: u64 = counts
        .iter()
        .map(|count| count.floor.saturating_sub(count.has))
        .sum();
    for count in counts {
        count.owes = count.has.saturating_sub(count.floor + spares).min(open);
        open -= count.owes;
    }
}

/// The pools that lack VMs for their load, and how many; those that lack the most come first.
fn wanted(counts: &[Count]) -> Vec<(PoolName, u64)> {
    let mut wanted: Vec<(PoolName, u64)> = counts
        .iter()
        .map(|count| (count.pool.clone(), count.lacks()))
        .filter(|(_, lacks)| *lacks > 0)
        .collect();
    wanted.sort_by_key(|(_, lacks)| std::cmp::Reverse(*lacks));
    wanted
}

/// The pools that hold less than they should while they have enough for their load, and how many VMs.
fn below_floor(counts: &[Count]) -> Vec<(PoolName, u64)> {
    let open = counts.iter().map(|count| {
        let open = count.floor.saturating_sub(count.has.max(count.needs));
        (count.pool.clone(), open)
    });
    open.filter(|(_, open)| *open > 0).collect()
}

/// The first pool other than `from` that wants one more.
fn take_one(wanted: &mut [(PoolName, u64)], from: &PoolName) -> Option<PoolName> {
    let (pool, count) = wanted
        .iter_mut()
        .find(|(pool, count)| pool != from && *count > 0)?;
    *count -= 1;
    Some(pool.clone())
}
