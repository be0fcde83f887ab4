//! VMs follow demand that shifts from pool to pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::size::turns::{BusyPeriods, TurnChange};
use goldcrest_jobs::size::{PoolLoad, SizeInputs, SizePlan, Sizes};
use goldcrest_jobs::upkeep::{Vm, VmState};
use goldcrest_types::names::PoolName;

/// The processors of a VM, in thousandths of a core.
const VM_MILLIS: u64 = 16_000;

struct Fleet {
    vms: BTreeMap<VmId, Vm>,
    loads: BTreeMap<PoolName, PoolLoad>,
    empty: BTreeSet<VmId>,
    in_waves: BTreeSet<VmId>,
    cordoned: BTreeSet<VmId>,
    sizes: Sizes,
    now: Instant,
}

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
}

impl Fleet {
    /// Pools `a` and `b` of four VMs each, and four spare VMs.
    fn new() -> Self {
        let mut fleet = Self {
            vms: BTreeMap::new(),
            loads: BTreeMap::new(),
            empty: BTreeSet::new(),
            in_waves: BTreeSet::new(),
            cordoned: BTreeSet::new(),
            sizes: Sizes::default(),
            now: Instant::now(),
        };
        for name in ["a", "b", "spare"] {
            for number in 0..4 {
                let id = VmId::from(&*format!("{name}{number}"));
                let vm = Vm {
                    id: id.clone(),
                    pool: pool(name),
                    state: VmState::Up,
                    worker: Some(WorkerId::from(id.as_str())),
                    dc: None,
                };
                fleet.vms.insert(id, vm);
            }
        }
        fleet.sizes.record_homes(&fleet.vms);
        fleet
    }

    fn count(&self, name: &str) -> usize {
        self.vms.values().filter(|vm| vm.pool == pool(name)).count()
    }

    /// Sets what a pool uses, in VMs, and its backlog, in seconds of a VM.
    fn load(&mut self, name: &str, used_vms: u64, backlog_s: u64) {
        let of_pool = self.vms.values().filter(|vm| vm.pool == pool(name));
        let lightly_loaded = of_pool.filter_map(|vm| vm.worker.clone()).collect();
        let load = PoolLoad {
            capacity_millis: VM_MILLIS * u64::try_from(self.count(name)).unwrap_or(0),
            used_millis: VM_MILLIS * used_vms,
            demand_millis: 0,
            backlog: VM_MILLIS * 1_000 * backlog_s,
            lightly_loaded,
        };
        self.loads.insert(pool(name), load);
    }

    /// Plans, and executes the moves at once.
    fn plan(&mut self) -> SizePlan {
        let spare = pool("spare");
        let inputs = SizeInputs {
            vms: &self.vms,
            empty: &self.empty,
            in_waves: &self.in_waves,
            cordoned: &self.cordoned,
            loads: &self.loads,
            spare: &spare,
        };
        let plan = self.sizes.plan(&inputs, self.now);
        for (vm, to) in &plan.moves {
            self.sizes.record_move(vm, to, self.now);
            if let Some(vm) = self.vms.get_mut(vm) {
                vm.pool = to.clone();
            }
        }
        self.empty.clone_from(&plan.evacuate);
        plan
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }
}

#[test]
fn plan_busy_pool_gets_spare_vms_at_once() {
    let mut fleet = Fleet::new();
    fleet.load("a", 2, 2);
    fleet.load("b", 0, 0);
    fleet.plan();
    assert_eq!((fleet.count("a"), fleet.count("spare")), (7, 1));
    // VMs that are on their way are not moved again.
    fleet.load("a", 2, 2);
    assert_eq!(fleet.plan().moves, Vec::new());
}

#[test]
fn plan_next_busy_pool_gets_vms_of_the_last() {
    let mut fleet = Fleet::new();
    fleet.load("a", 4, 4);
    fleet.load("b", 0, 0);
    fleet.plan();
    assert_eq!(fleet.count("a"), 8);
    fleet.advance(3_000);
    fleet.load("a", 1, 0);
    fleet.load("b", 2, 2);
    // The VMs are evacuated first.
    let plan = fleet.plan();
    assert_eq!((plan.moves.len(), plan.evacuate.len()), (0, 3));
    fleet.plan();
    assert_eq!((fleet.count("a"), fleet.count("b")), (5, 7));
}

#[test]
fn plan_calm_pool_gives_back_to_spare() {
    let mut fleet = Fleet::new();
    fleet.load("a", 4, 4);
    fleet.load("b", 0, 0);
    fleet.plan();
    for _ in 0..4 {
        fleet.advance(1_200);
        fleet.load("a", 0, 0);
        fleet.plan();
    }
    // A pool keeps a share of its home size, however long it is idle, also before its first busy period.
    assert_eq!((fleet.count("a"), fleet.count("b")), (3, 3));
    assert_eq!(fleet.count("spare"), 6);
}

#[test]
fn plan_little_load_moves_nothing() {
    let mut fleet = Fleet::new();
    fleet.load("a", 0, 0);
    fleet.load("b", 0, 0);
    let plan = fleet.plan();
    assert_eq!((plan.moves, plan.evacuate), (Vec::new(), BTreeSet::new()));
}

/// Load pattern: a busy period begins. The pool gets the VMs for all of it while a quarter of its own are in use.
#[test]
fn plan_first_rise_gets_vms_of_whole_turn() {
    let mut fleet = Fleet::new();
    fleet.load("a", 0, 0);
    fleet.load("b", 0, 0);
    fleet.plan();
    fleet.advance(500);
    fleet.load("a", 1, 0);
    fleet.plan();
    assert_eq!((fleet.count("a"), fleet.count("b")), (6, 4));
}

/// Load pattern: a load that rises a little and stays there is no busy period. The VMs are returned, and none are moved
/// again.
#[test]
fn plan_rise_that_is_no_turn_gives_vms_back() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    for _ in 0..10 {
        fleet.load("a", 1, 0);
        fleet.plan();
        fleet.advance(1_000);
    }
    assert_eq!((fleet.count("a"), fleet.count("b")), (3, 3));
}

#[test]
fn plan_nearly_full_pool_gets_headroom_before_its_backlog() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    fleet.load("a", 1, 0);
    fleet.plan();
    // What the busy period was expected to need is in use once it has begun.
    fleet.advance(3_000);
    fleet.load("a", 6, 0);
    fleet.plan();
    assert_eq!(fleet.count("a"), 8);
}

/// Load pattern: the load fluctuates at the end of a busy period. A pool keeps a margin when it gives VMs away, as a VM
/// that is leaving accepts no work.
#[test]
fn plan_falling_load_keeps_margin() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    fleet.load("a", 4, 4);
    fleet.plan();
    assert_eq!(fleet.count("a"), 8);
    for _ in 0..4 {
        fleet.advance(1_000);
        fleet.load("a", 5, 0);
        fleet.plan();
    }
    assert_eq!(fleet.count("a"), 7);
}

/// Load pattern: a wave evacuates VMs of a pool at the end of its busy period. The remaining work needs the other VMs.
#[test]
fn plan_vms_in_wave_are_not_counted_on() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    fleet.load("a", 4, 4);
    fleet.plan();
    assert_eq!(fleet.count("a"), 8);
    fleet.in_waves = BTreeSet::from(["a0", "a1"].map(VmId::from));
    for _ in 0..4 {
        fleet.advance(1_000);
        fleet.load("a", 5, 0);
        fleet.plan();
    }
    // Six accept work. Without the wave, one of the eight would be given away.
    assert_eq!(fleet.count("a"), 8);
}

/// A busy period of pool `a` that lasts `ms`, and 1.5 s without load.
fn busy_period_of_a(fleet: &mut Fleet, ms: u64) {
    for _ in 0..ms / 500 {
        fleet.load("a", 4, 4);
        fleet.plan();
        fleet.advance(500);
    }
    for _ in 0..3 {
        fleet.load("a", 0, 0);
        fleet.plan();
        fleet.advance(500);
    }
}

#[test]
fn plan_pool_cools_down_after_busy_period() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    busy_period_of_a(&mut fleet, 4_000);
    fleet.plan();
    // The pool keeps half of its home size, and the other VMs are spare.
    assert_eq!((fleet.count("a"), fleet.count("spare")), (2, 7));
    // The busy period was observed for 3.5 s, so the cooldown lasts 8.75 s from its end.
    fleet.advance(6_000);
    fleet.load("a", 0, 0);
    assert_eq!(fleet.plan().moves, Vec::new());
    fleet.advance(2_500);
    fleet.load("a", 0, 0);
    fleet.plan();
    assert_eq!((fleet.count("a"), fleet.count("spare")), (3, 6));
}

#[test]
fn plan_cooldown_ends_once_the_pool_is_busy() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    busy_period_of_a(&mut fleet, 4_000);
    fleet.plan();
    assert_eq!(fleet.count("a"), 2);
    fleet.load("a", 2, 2);
    fleet.plan();
    assert!(fleet.count("a") >= 5);
    fleet.advance(3_000);
    fleet.load("a", 0, 0);
    for _ in 0..3 {
        fleet.advance(1_200);
        fleet.load("a", 0, 0);
        fleet.plan();
    }
    // The second busy period was short: no cooldown follows it.
    assert_eq!(fleet.count("a"), 3);
}

#[test]
fn plan_pool_in_cooldown_serves_next_busy_pool() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    busy_period_of_a(&mut fleet, 4_000);
    fleet.load("b", 4, 4);
    fleet.plan();
    // The busy pool gets all VMs but those that the pool in its cooldown keeps.
    assert_eq!((fleet.count("a"), fleet.count("b")), (2, 10));
}

#[test]
fn turns_survive_a_change_of_holder() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let name = pool("a");
    let mut first = BusyPeriods::default();
    assert_eq!(first.observe(&name, true, at(0)), Some(TurnChange::Began));
    first.observe(&name, true, at(3_000));
    let mut second = BusyPeriods::new(first.began(), first.cooldowns().clone(), at(4_000));
    assert_eq!(second.observe(&name, false, at(4_500)), None);
    let rests = TurnChange::Rests {
        length: Duration::from_secs(4),
        rest: Duration::from_secs(10),
    };
    assert_eq!(second.observe(&name, false, at(5_000)), Some(rests));
    let mut third = BusyPeriods::new(second.began(), second.cooldowns().clone(), at(6_000));
    assert!(third.is_cooling_down(&name));
    assert_eq!(third.observe(&name, false, at(13_999)), None);
    assert_eq!(
        third.observe(&name, false, at(14_000)),
        Some(TurnChange::RestOver)
    );
}

#[test]
fn turns_short_busy_period_no_cooldown() {
    let start = Instant::now();
    let mut busy_periods = BusyPeriods::default();
    busy_periods.observe(&pool("a"), true, start);
    busy_periods.observe(&pool("a"), true, start + Duration::from_secs(1));
    let after = start + Duration::from_secs(3);
    assert_eq!(
        busy_periods.observe(&pool("a"), false, after),
        Some(TurnChange::EndedShort)
    );
    assert!(!busy_periods.is_any());
}

/// A pool's cooldown ends while another pool's busy period uses its VMs: they are returned, so that they are there for
/// its own next busy period.
#[test]
fn plan_loans_returned_after_cooldown() {
    let mut fleet = Fleet::new();
    fleet.load("b", 0, 0);
    busy_period_of_a(&mut fleet, 4_000);
    fleet.load("b", 4, 8);
    fleet.plan();
    assert_eq!((fleet.count("a"), fleet.count("b")), (2, 10));
    for _ in 0..4 {
        fleet.advance(2_500);
        fleet.load("a", 0, 0);
        fleet.load("b", 10, 10);
        fleet.plan();
    }
    // VMs from the spare pool stay where they are needed.
    assert_eq!((fleet.count("a"), fleet.count("b")), (3, 9));
}

/// Load pattern: more work arrives than the pool can do, while most of the pool is still free.
#[test]
fn plan_arriving_work_gets_spare_vms_before_a_backlog() {
    let mut fleet = Fleet::new();
    fleet.load("a", 1, 0);
    fleet.load("b", 0, 0);
    let arriving = fleet.loads.get_mut(&pool("a")).expect("a load");
    arriving.demand_millis = VM_MILLIS * 5;
    fleet.plan();
    // Five VMs and some headroom.
    assert_eq!(fleet.count("a"), 7);
}

/// The load of a busy period while a third of the pool and of the spare pool is in a cordoned data centre.
#[test]
fn plan_cordoned_vms_neither_count_nor_move() {
    let mut fleet = Fleet::new();
    fleet.cordoned = ["a0", "a1", "spare0"].map(VmId::from).into();
    // The scheduler reports the capacity and the use of the workers outside the cordon only.
    fleet.load("a", 2, 2);
    if let Some(load) = fleet.loads.get_mut(&pool("a")) {
        load.capacity_millis = VM_MILLIS * 2;
    }
    fleet.load("b", 0, 0);
    let plan = fleet.plan();
    let count = plan.counts.iter().find(|count| count.pool == pool("a"));
    assert_eq!(
        count.map(|count| (count.assigned, count.serving)),
        Some((2, 2))
    );
    assert!(!plan.moves.is_empty());
    let moved = plan.moves.iter().map(|(vm, _)| vm);
    assert!(
        moved
            .chain(&plan.evacuate)
            .all(|vm| !fleet.cordoned.contains(vm))
    );
}

/// VMs that were to leave their pool stay when their data centre is cordoned.
#[test]
fn plan_cordoned_vms_stop_leaving() {
    let mut fleet = Fleet::new();
    fleet.load("a", 0, 0);
    fleet.load("b", 0, 0);
    fleet.plan();
    fleet.advance(1_500);
    let leaving = fleet.plan().evacuate;
    assert!(!leaving.is_empty());
    fleet.cordoned.clone_from(&leaving);
    let plan = fleet.plan();
    assert!(plan.evacuate.is_disjoint(&leaving));
    assert!(plan.moves.iter().all(|(vm, _)| !leaving.contains(vm)));
}
