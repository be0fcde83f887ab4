//! Runs the text cases of `tests/cases`.
//!
//! A case begins with the fleet, one line each: `dc NAME`, `pool NAME KIND MIN MAX BUDGET`, `set WHAT NUMBER`,
//! `vm COUNT POOL DC RACK`. Events follow, each after `> `, and below each event the steps and reasons that result.
//! Setting `GOLDCREST_BLESS` writes the actual output into the files; review the difference before committing it.

use std::fmt::Write as _;
use std::time::Duration;

use goldcrest_cases::Cases;
use goldcrest_types::catalogue::PoolKind;
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_types::units::VmCount;
use goldcrest_upkeep::fleet::Work;
use goldcrest_upkeep::maintenance;
use goldcrest_upkeep::sizing;

use crate::world::{Actual, World, WorldBuilder};

/// Time between the plans of `> run` and `> size`.
const TICK: Duration = Duration::from_secs(5);

#[test]
fn cases_as_recorded() {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(8)
        .check(run);
}

fn run(text: &str) -> String {
    let mut out = String::new();
    let mut builder = WorldBuilder::new();
    let mut vms = Vec::new();
    let mut lines = text.lines().peekable();
    while let Some(line) = lines.next_if(|line| !line.starts_with("> ")) {
        writeln!(out, "{line}").expect("text");
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["dc", name] => builder.dc(name),
            ["pool", name, kind, min, max, budget] => {
                let sizes = (number(min), number(max));
                builder.pool(name, kind_of(kind), sizes, number(budget));
            }
            ["set", what, value] => set(&mut builder, what, number(value)),
            ["vm", count, pool, dc, rack] => vms.push((number(count), *pool, *dc, *rack)),
            [] | ["#", ..] => {}
            _ => panic!("no such line: {line}"),
        }
    }
    let mut world = builder.build();
    for (count, pool, dc, rack) in vms {
        let pool = world.cat.pool(pool).expect("a pool of the case");
        let dc = world.cat.dc(dc).expect("a data centre of the case");
        for _ in 0..count {
            world.add(pool, dc, RackId::new(number(rack) as usize));
        }
    }
    for line in lines.filter(|line| line.starts_with("> ")) {
        writeln!(out, "{line}").expect("text");
        let words: Vec<&str> = line[2..].split_whitespace().collect();
        event(&mut world, &words, &mut out);
    }
    out
}

fn number(word: &str) -> u32 {
    word.parse().expect("a number")
}

fn kind_of(word: &str) -> PoolKind {
    match word {
        "upstreams" => PoolKind::Upstreams,
        "workers" => PoolKind::Workers,
        "spare" => PoolKind::Spare,
        _ => panic!("no such kind: {word}"),
    }
}

fn set(builder: &mut WorldBuilder, what: &str, value: u32) {
    let spec = &mut builder.spec.maintenance;
    match what {
        "enabled" => spec.enabled = value > 0,
        "first_batch" => spec.first_batch_vms = VmCount::new(value),
        "stop_after" => spec.stop_after_failed_vms = VmCount::new(value),
        "drain_max_s" => spec.drain_max_ms = u64::from(value) * 1_000,
        "period_hours" => spec.period_hours = value,
        _ => panic!("no such setting: {what}"),
    }
}

fn vm(word: &str) -> VmId {
    let index = word.strip_prefix("vm").expect("a VM");
    VmId::new(number(index) as usize)
}

fn event(world: &mut World, words: &[&str], out: &mut String) {
    match words {
        ["pass", secs] => world.pass(Duration::from_secs(u64::from(number(secs)))),
        ["plan"] => plan(world, out, false),
        ["plan", "lost"] => plan(world, out, true),
        ["run", secs] => run_for(world, number(secs), out),
        ["status"] => status(world, out),
        ["crash"] => world.waves = maintenance::Context::new(),
        ["policy", name] => {
            let mut all = sizing::Policy::ALL.into_iter();
            let policy = all.find(|policy| policy.to_string() == *name);
            world.sizes = sizing::Context::new(policy.expect("a policy"));
        }
        ["breaks", id] => world.machine(vm(id)).fails_to_boot = true,
        ["down", id] => world.set_state(vm(id), Actual::Down),
        ["back", id] => {
            world.machine(vm(id)).boots += 1;
            world.machine(vm(id)).fails_to_boot = false;
            world.set_state(vm(id), Actual::Live);
        }
        ["leaves", id] => world.set_state(vm(id), Actual::Leaving),
        ["gone", id] => world.set_state(vm(id), Actual::Gone),
        ["work", id, running, left_s] => work(world, id, running, left_s, false),
        ["work", id, running, left_s, "checkpointable"] => work(world, id, running, left_s, true),
        ["joins", pool, dc] => {
            let (pool, dc) = (world.cat.pool(pool), world.cat.dc(dc));
            world.add(pool.expect("a pool"), dc.expect("a dc"), RackId::new(0));
        }
        ["demand", pool, millis] => {
            let pool = world.cat.pool(pool).expect("a pool");
            world.demand.vm_millis[pool] = u64::from(number(millis));
        }
        ["size", secs] => size_for(world, number(secs), out),
        _ => panic!("no such event: {}", words.join(" ")),
    }
}

fn work(world: &mut World, id: &str, running: &str, left_s: &str, checkpointable: bool) {
    let work = Work {
        running: number(running),
        longest_left: Duration::from_secs(u64::from(number(left_s))),
        checkpointable,
    };
    world.set_work(vm(id), work);
}

fn plan(world: &mut World, out: &mut String, is_lost: bool) {
    for step in world.plan() {
        writeln!(out, "{step}").expect("text");
        world.carry_out(&step, is_lost);
    }
}

fn run_for(world: &mut World, secs: u32, out: &mut String) {
    let start = world.now;
    let end = start + Duration::from_secs(u64::from(secs));
    while world.now < end {
        for step in world.plan_and_carry_out() {
            let at = world.now.duration_since(start).as_secs();
            writeln!(out, "{at:>5} s {step}").expect("text");
        }
        world.pass(TICK);
    }
}

fn size_for(world: &mut World, secs: u32, out: &mut String) {
    let start = world.now;
    let end = start + Duration::from_secs(u64::from(secs));
    while world.now < end {
        for step in world.plan_moves() {
            let at = world.now.duration_since(start).as_secs();
            writeln!(out, "{at:>5} s {step}").expect("text");
            world.fleet.apply_move(&step, world.now);
        }
        world.pass(TICK);
        world.plan_and_carry_out();
    }
    for pool in world.cat.pools.keys() {
        writeln!(out, "{pool}: {} VMs", members(world, pool)).expect("text");
    }
}

fn members(world: &World, pool: PoolId) -> usize {
    let vms = world.fleet.vms.values();
    vms.filter(|vm| vm.is_member() && vm.pool == pool).count()
}

fn status(world: &World, out: &mut String) {
    let status = world.waves.status();
    let domain = status
        .domain
        .map_or("none".into(), |dc: DcId| dc.to_string());
    writeln!(
        out,
        "cycle {}: {} done, {} due, {} in work, {} failed, domain {domain}, pace {:?}",
        status.cycle, status.done, status.due, status.in_work, status.failed, status.width
    )
    .expect("text");
    if let Some(hold) = status.hold {
        writeln!(out, "hold: {hold}").expect("text");
    }
}
