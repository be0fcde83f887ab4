//! Moves between pools.

use std::time::Duration;

use goldcrest_types::catalogue::PoolKind;
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId};
use goldcrest_types::units::VmCount;
use goldcrest_upkeep::fleet::VmState;
use goldcrest_upkeep::sizing::{self, Move, Policy, Reason};
use goldcrest_upkeep::verify;

use crate::world::{World, WorldBuilder};

const TICK: Duration = Duration::from_secs(10);

fn world(policy: Policy) -> World {
    let mut builder = WorldBuilder::new();
    builder.dc("a");
    builder.dc("b");
    builder.pool("web", PoolKind::Upstreams, (2, 12), 2);
    builder.pool("idle", PoolKind::Spare, (0, 99), 9);
    let mut world = builder.build();
    for place in 0..16 {
        let pool = PoolId::new(usize::from(place >= 4));
        world.add(pool, DcId::new(place % 2), RackId::new(0));
    }
    world.sizes = sizing::Context::new(policy);
    world
}

fn web(world: &World) -> usize {
    let vms = world.fleet.vms.values();
    vms.filter(|vm| vm.is_member() && vm.pool == PoolId::new(0))
        .count()
}

fn run(world: &mut World, millis: u64, minutes: u64) -> usize {
    world.cat.maintenance.enabled = false;
    world.demand.vm_millis[PoolId::new(0)] = millis;
    let mut moves = 0;
    for _ in 0..minutes * 6 {
        for step in world.plan_moves() {
            world.fleet.apply_move(&step, world.now);
            moves += 1;
        }
        world.plan_and_carry_out();
        world.pass(TICK);
    }
    moves
}

#[test]
fn plan_follows_demand() {
    for policy in Policy::ALL {
        let mut world = world(policy);
        run(&mut world, 7_800, 120);
        assert!((8..=12).contains(&web(&world)), "{policy}: {}", web(&world));
        run(&mut world, 2_500, 180);
        assert!((3..=5).contains(&web(&world)), "{policy}: {}", web(&world));
        assert_eq!(world.interrupted_work, 0);
    }
}

/// Demand rises by one VM in twenty minutes, with a swing that lasts two minutes: the pool grows ahead of the rise and
/// does not follow the swing.
#[test]
fn plan_rise_with_swing() {
    const MINUTES: u64 = 160;
    const LEARN_MINUTES: u64 = 40;
    let mut world = world(Policy::Forecast);
    let mut moves = 0;
    for minute in 0..MINUTES {
        let swing = if minute % 4 < 2 { 0 } else { 400 };
        let demand = 2_000 + minute * 50 + swing;
        moves += run(&mut world, demand, 1);
        let has = web(&world) as u64 * 1_000;
        assert!(
            minute < LEARN_MINUTES || has >= demand.min(12_000),
            "{has} for {demand} in minute {minute}"
        );
    }
    assert!(moves <= 12, "{moves} moves");
}

#[test]
fn plan_bounds_hold() {
    for policy in Policy::ALL {
        let mut world = world(policy);
        run(&mut world, 90_000, 120);
        assert_eq!(web(&world), 12, "{policy}");
        run(&mut world, 0, 300);
        assert_eq!(web(&world), 2, "{policy}");
    }
}

#[test]
fn plan_below_least_size() {
    let mut world = world(Policy::Lazy);
    for vm in world.fleet.vms.keys().take(4) {
        world.fleet.vms[vm].state = VmState::Failed;
    }
    let moves = world.plan_moves();
    assert_eq!(moves.len(), 2);
    assert!(moves.iter().all(|step| step.reason == Reason::Bounds));
}

#[test]
fn plan_burst_of_seconds() {
    let mut world = world(Policy::Lazy);
    run(&mut world, 4_000, 30);
    let before = web(&world);
    world.demand.vm_millis[PoolId::new(0)] = 20_000;
    assert_eq!(world.plan_moves(), []);
    assert_eq!(run(&mut world, 200, 1), 0);
    assert_eq!(web(&world), before);
}

#[test]
fn plan_lazy_stays_between() {
    let mut world = world(Policy::Lazy);
    run(&mut world, 6_000, 60);
    let mut moves = 0;
    for round in 0..40 {
        moves += run(&mut world, if round % 2 == 0 { 5_400 } else { 6_000 }, 5);
    }
    assert_eq!(moves, 0);
}

#[test]
fn moves_broken_reported() {
    let world = world(Policy::Lazy);
    let (web, idle) = (PoolId::new(0), PoolId::new(1));
    let reason = Reason::Bounds;
    let vms: Vec<_> = world.fleet.vms.keys().collect();
    let leave = |place: usize| Move {
        vm: vms[place],
        from: web,
        to: idle,
        reason,
    };
    let wrong_pool = Move {
        vm: vms[9],
        ..leave(0)
    };
    assert_eq!(
        verify::moves(&world.fleet, &world.cat, &[leave(0)])
            .iter()
            .count(),
        0
    );
    let twice = [leave(0), leave(0)];
    assert_eq!(
        verify::moves(&world.fleet, &world.cat, &twice)
            .iter()
            .count(),
        1
    );
    let broken = verify::moves(&world.fleet, &world.cat, &[wrong_pool]);
    assert!(broken.to_string().contains("vm9 is in pool1"), "{broken}");
    let below = [leave(0), leave(1), leave(2)];
    let broken = verify::moves(&world.fleet, &world.cat, &below);
    assert!(
        broken.to_string().contains("pool0 goes from 4 to 1"),
        "{broken}"
    );
    let mut tight = world;
    tight.cat.pools[web].max_unavailable_vms = VmCount::ZERO;
    let broken = verify::moves(&tight.fleet, &tight.cat, &[leave(0)]);
    assert!(broken.to_string().contains("budget 0"), "{broken}");
}

#[test]
fn apply_move_repeated_late() {
    let mut world = world(Policy::Lazy);
    let vm = world.fleet.vms.keys().next().expect("a VM");
    let step = Move {
        vm,
        from: PoolId::new(0),
        to: PoolId::new(1),
        reason: Reason::Bounds,
    };
    world.fleet.apply_move(&step, world.now);
    assert_eq!(world.fleet.vms[vm].state, VmState::Moving(step.to));
    world.fleet.vms[vm].enter(VmState::Failed, world.now);
    world.fleet.apply_move(&step, world.now);
    assert_eq!(world.fleet.vms[vm].state, VmState::Failed);
}
