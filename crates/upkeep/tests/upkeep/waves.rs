//! Waves under random failures, crashes, lag, joins and leaves.

use std::time::Duration;

use goldcrest_types::catalogue::PoolKind;
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_upkeep::fleet::{VmState, Work};
use goldcrest_upkeep::maintenance::{self, Hold};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::world::{Shape, Truth, World};

const SEED: u64 = 0x676f_6c64;
const RUNS: u64 = 300;
const EVENTS: usize = 120;

/// What happens between two plans.
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
    /// Only so many steps are stored, and the last command is lost with its holder.
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
    let mut shape = Shape::new();
    for dc in ["a", "b", "c"] {
        shape.dc(dc);
    }
    shape.pool("web", PoolKind::Upstreams, (3, 30), 1);
    shape.pool("batch", PoolKind::Workers, (0, 40), 2);
    shape.pool("idle", PoolKind::Spare, (0, 40), 2);
    let mut world = shape.build();
    for dc in 0..3 {
        for place in 0..12 {
            let pool = PoolId::new(place / 4);
            world.add(pool, DcId::new(dc), RackId::new(place % 3));
        }
    }
    world
}

fn happen(world: &mut World, event: Event) {
    let vms = world.fleet.vms.len();
    let pick = |n: u8| VmId::new(usize::from(n) % vms);
    let is_there = |world: &World, vm: VmId| {
        !matches!(
            world.machines[vm.index()].truth,
            Truth::Gone | Truth::Leaving
        )
    };
    match event {
        Event::Pass(secs) => world.pass(Duration::from_secs(u64::from(secs))),
        Event::Down(n) if is_there(world, pick(n)) => world.set_truth(pick(n), Truth::Down),
        Event::RackDown(n) => {
            let (dc, rack) = (world.fleet.vms[pick(n)].dc, world.fleet.vms[pick(n)].rack);
            for vm in world.fleet.vms.keys().rev() {
                let record = &world.fleet.vms[vm];
                if record.dc == dc && record.rack == rack && is_there(world, vm) {
                    world.set_truth(vm, Truth::Down);
                }
            }
        }
        Event::Breaks(n) => world.machine(pick(n)).breaks = true,
        Event::Back(n) if world.machine(pick(n)).truth == Truth::Down => {
            world.machine(pick(n)).breaks = false;
            world.machine(pick(n)).boots += 1;
            world.set_truth(pick(n), Truth::Live);
        }
        Event::Leaves(n) if is_there(world, pick(n)) => world.set_truth(pick(n), Truth::Leaving),
        Event::Gone(n) if world.machine(pick(n)).truth == Truth::Leaving => {
            world.set_truth(pick(n), Truth::Gone);
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
            for step in world.round() {
                world.carry_out(&step, false);
            }
        }
        _ => {}
    }
}

/// Data centres that maintenance works on.
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

fn holds_promises(events: Vec<Event>) -> TestResult {
    let mut world = world();
    for event in events {
        happen(&mut world, event);
        for step in world.plan_moves() {
            world.fleet.apply_move(&step, world.now);
        }
        world.round();
        if world.cut_work > 0 {
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
        .quickcheck(holds_promises as fn(Vec<Event>) -> TestResult);
}

/// Whatever happened, a fleet that is whole again is maintained to the last VM.
fn comes_to_an_end(events: Vec<Event>) -> TestResult {
    let mut world = world();
    for event in events {
        happen(&mut world, event);
        world.round();
    }
    for vm in world.fleet.vms.keys() {
        world.machine(vm).breaks = false;
        world.set_work(vm, Work::default());
        if world.machine(vm).truth == Truth::Down {
            world.machine(vm).boots += 1;
            world.set_truth(vm, Truth::Live);
        }
        if world.machine(vm).truth == Truth::Leaving {
            world.set_truth(vm, Truth::Gone);
        }
    }
    for _ in 0..20_000 {
        world.pass(Duration::from_secs(10));
        world.round();
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
        .quickcheck(comes_to_an_end as fn(Vec<Event>) -> TestResult);
}

#[test]
fn plan_crash_at_each_step() {
    let mut whole = world();
    let mut rounds = 0;
    while whole.waves.status().hold != Some(Hold::CycleDone) {
        whole.round();
        whole.pass(Duration::from_secs(10));
        rounds += 1;
        assert!(rounds < 5_000, "{:?}", whole.waves.status());
    }
    assert_eq!(whole.done(), 36);
    for crash_at in (0..rounds).step_by(7) {
        let mut world = world();
        for round in 0..rounds * 3 {
            if round == crash_at {
                happen(&mut world, Event::CrashAfter(1));
            }
            world.round();
            world.pass(Duration::from_secs(10));
        }
        assert_eq!(world.done(), 36, "crash at round {crash_at}");
        assert_eq!(world.cut_work, 0);
    }
}

#[test]
fn status_switched_off() {
    let mut world = world();
    world.round();
    assert_eq!(world.count(VmState::Draining), 1);
    world.cat.maintenance.enabled = false;
    world.round();
    assert_eq!(world.count(VmState::Draining), 0);
    assert_eq!(world.waves.status().hold, Some(Hold::Disabled));
}
