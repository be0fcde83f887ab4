//! Random events against the wave planner: failures, crashes of the role's holder, joins, leaves and
//! work, with a list that lags.

use std::time::Duration;

use goldcrest_types::catalogue::PoolKind;
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_upkeep::fleet::{VmState, Work};
use goldcrest_upkeep::maintenance::{self, Hold};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::world::{Actual, World, WorldBuilder};

const SEED: u64 = 0x676f_6c64;
const RUNS: u64 = 300;
const EVENTS: usize = 120;

/// An event between two plans. The first number picks the VM, pool or data centre that it concerns, if any.
#[derive(Debug, Clone, Copy)]
enum Event {
    Pass(u8),
    Down(u8),
    RackDown(u8),
    Breaks(u8),
    Back(u8),
    Leaves(u8),
    Gone(u8),
    Joins(u8),
    Work(u8, u8, bool),
    Idle(u8),
    Demand(u8, u8),
    Crash,
    /// The holder crashes after this many steps of a plan (modulo their number) are stored; the last command is lost.
    CrashAfter(u8),
    Repeat,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 24 {
            0 => Self::Down(a),
            1 => Self::RackDown(a),
            2 => Self::Breaks(a),
            3 => Self::Back(a),
            4 => Self::Leaves(a),
            5 => Self::Gone(a),
            6 => Self::Joins(a),
            7 => Self::Work(a, b, b.is_multiple_of(2)),
            8 | 9 => Self::Idle(a),
            10 => Self::Demand(a, b),
            11 => Self::Crash,
            12 | 13 => Self::CrashAfter(a),
            14 => Self::Repeat,
            _ => Self::Pass(a),
        }
    }
}

fn world() -> World {
    let mut builder = WorldBuilder::new();
    for dc in ["a", "b", "c"] {
        builder.dc(dc);
    }
    builder.pool("web", PoolKind::Upstreams, (3, 30), 1);
    builder.pool("batch", PoolKind::Workers, (0, 40), 2);
    builder.pool("idle", PoolKind::Spare, (0, 40), 2);
    let mut world = builder.build();
    for dc in 0..3 {
        for place in 0..12 {
            let pool = PoolId::new(place / 4);
            world.add(pool, DcId::new(dc), RackId::new(place % 3));
        }
    }
    world
}

fn apply_event(world: &mut World, event: Event) {
    let vms = world.fleet.vms.len();
    let pick = |n: u8| VmId::new(usize::from(n) % vms);
    let is_there = |world: &World, vm: VmId| {
        !matches!(
            world.machines[vm.index()].state,
            Actual::Gone | Actual::Leaving
        )
    };
    match event {
        Event::Pass(secs) => world.pass(Duration::from_secs(u64::from(secs))),
        Event::Down(n) if is_there(world, pick(n)) => world.set_state(pick(n), Actual::Down),
        Event::RackDown(n) => {
            let (dc, rack) = (world.fleet.vms[pick(n)].dc, world.fleet.vms[pick(n)].rack);
            for vm in world.fleet.vms.keys().rev() {
                let record = &world.fleet.vms[vm];
                if record.dc == dc && record.rack == rack && is_there(world, vm) {
                    world.set_state(vm, Actual::Down);
                }
            }
        }
        Event::Breaks(n) => world.machine(pick(n)).fails_to_boot = true,
        Event::Back(n) if world.machine(pick(n)).state == Actual::Down => {
            world.machine(pick(n)).fails_to_boot = false;
            world.machine(pick(n)).boots += 1;
            world.set_state(pick(n), Actual::Live);
        }
        Event::Leaves(n) if is_there(world, pick(n)) => world.set_state(pick(n), Actual::Leaving),
        Event::Gone(n) if world.machine(pick(n)).state == Actual::Leaving => {
            world.set_state(pick(n), Actual::Gone);
        }
        Event::Joins(n) => {
            let pool = PoolId::new(usize::from(n) % 3);
            world.add(pool, DcId::new(usize::from(n / 3) % 3), RackId::new(0));
        }
        Event::Work(n, left, checkpointable) if is_there(world, pick(n)) => {
            let work = Work {
                running: 1,
                longest_left: Duration::from_secs(u64::from(left) * 10),
                checkpointable,
            };
            if world.fleet.vms[pick(n)].state == VmState::Serving {
                world.set_work(pick(n), work);
            }
        }
        Event::Idle(n) => world.set_work(pick(n), Work::default()),
        Event::Demand(n, vms) => {
            let pool = PoolId::new(usize::from(n) % 2);
            world.demand.vm_millis[pool] = u64::from(vms) * 50;
        }
        Event::Crash => world.waves = maintenance::Context::new(),
        Event::CrashAfter(n) => {
            let steps = world.plan();
            let stored = usize::from(n) % (steps.len() + 1);
            for (i, step) in steps.iter().take(stored).enumerate() {
                world.carry_out(step, i + 1 == stored);
            }
            world.waves = maintenance::Context::new();
        }
        Event::Repeat => {
            for step in world.plan_and_carry_out() {
                world.carry_out(&step, false);
            }
        }
        _ => {}
    }
}

/// Number of data centres with VMs in maintenance.
fn domains(world: &World) -> usize {
    let vms = world.fleet.vms.values();
    let mut dcs: Vec<DcId> = vms
        .filter(|vm| vm.is_in_maintenance())
        .map(|vm| vm.dc)
        .collect();
    dcs.sort_unstable();
    dcs.dedup();
    dcs.len()
}

fn keeps_invariants(events: Vec<Event>) -> TestResult {
    let mut world = world();
    for event in events {
        apply_event(&mut world, event);
        for step in world.plan_moves() {
            world.fleet.apply_move(&step, world.now);
        }
        world.plan_and_carry_out();
        if world.interrupted_work > 0 {
            return TestResult::error("work was cut by a reboot");
        }
        if domains(&world) > 1 {
            return TestResult::error("two data centres are worked on");
        }
    }
    TestResult::passed()
}

#[test]
fn plan_random_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(EVENTS, SEED))
        .tests(RUNS)
        .min_tests_passed(RUNS)
        .quickcheck(keeps_invariants as fn(Vec<Event>) -> TestResult);
}

/// Checks that a fleet whose VMs have all recovered is maintained to the last VM, whatever happened before.
fn completes_cycle(events: Vec<Event>) -> TestResult {
    let mut world = world();
    for event in events {
        apply_event(&mut world, event);
        world.plan_and_carry_out();
    }
    for vm in world.fleet.vms.keys() {
        world.machine(vm).fails_to_boot = false;
        world.set_work(vm, Work::default());
        if world.machine(vm).state == Actual::Down {
            world.machine(vm).boots += 1;
            world.set_state(vm, Actual::Live);
        }
        if world.machine(vm).state == Actual::Leaving {
            world.set_state(vm, Actual::Gone);
        }
    }
    for _ in 0..20_000 {
        world.pass(Duration::from_secs(10));
        world.plan_and_carry_out();
        if world.waves.status().hold == Some(Hold::CycleDone) {
            return TestResult::passed();
        }
    }
    TestResult::error(format!("stands still: {:?}", world.waves.status()))
}

#[test]
fn plan_ends_after_events() {
    let runs = RUNS / 10;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(EVENTS, SEED + 1))
        .tests(runs)
        .min_tests_passed(runs)
        .quickcheck(completes_cycle as fn(Vec<Event>) -> TestResult);
}

#[test]
fn plan_crash_at_each_step() {
    let mut whole = world();
    let mut rounds = 0;
    while whole.waves.status().hold != Some(Hold::CycleDone) {
        whole.plan_and_carry_out();
        whole.pass(Duration::from_secs(10));
        rounds += 1;
        assert!(rounds < 5_000, "{:?}", whole.waves.status());
    }
    assert_eq!(whole.done(), 36);
    for crash_at in (0..rounds).step_by(7) {
        let mut world = world();
        for round in 0..rounds * 3 {
            if round == crash_at {
                apply_event(&mut world, Event::CrashAfter(1));
            }
            world.plan_and_carry_out();
            world.pass(Duration::from_secs(10));
        }
        assert_eq!(world.done(), 36, "crash at round {crash_at}");
        assert_eq!(world.interrupted_work, 0);
    }
}

#[test]
fn status_switched_off() {
    let mut world = world();
    world.plan_and_carry_out();
    assert_eq!(world.count(VmState::Draining), 1);
    world.cat.maintenance.enabled = false;
    world.plan_and_carry_out();
    assert_eq!(world.count(VmState::Draining), 0);
    assert_eq!(world.waves.status().hold, Some(Hold::Disabled));
}
