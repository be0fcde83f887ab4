//! The sizing driver's decisions on fleet documents, with failures in the middle of moves.

mod bed;

use std::collections::BTreeSet;
use std::time::Duration;

use goldcrest_daemon::sizing::driver::obstacle;
use goldcrest_daemon::sizing::reason::Hold;
use goldcrest_daemon::sizing::settings::SizingSettings;
use goldcrest_daemon::world::Fleets;
use goldcrest_ledger::fleet::{FleetRefusal, VmState as Stored};
use goldcrest_ports::fleet::VmPhase;
use goldcrest_upkeep::maintenance::{Action, Reason as StepReason};
use goldcrest_upkeep::sizing::Reason;

use bed::{Bed, DRAIN, LOOK, SLOTS, dc};

/// Demand for nine VMs, three more than the pool has.
const FULL: u32 = 9 * SLOTS;

#[test]
fn look_grows_pool_from_spares() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.pass(Duration::from_mins(20));
    assert!(bed.size("web") >= 8, "{} VMs", bed.size("web"));
    let (vm, record) = bed.move_records().first_key_value().expect("a move");
    assert!(matches!(record.reason, Reason::UnmetOutweighsMove { .. }));
    let text = bed.explain(vm).expect("an explanation");
    assert!(
        text.contains("moved from pool spare to pool web: unmet demand"),
        "{text}"
    );
}

#[test]
fn look_worker_never_joins_upstreams() {
    let mut bed = Bed::new();
    bed.set_demand("web", 100 * SLOTS);
    bed.pass(Duration::from_hours(2));
    let workers = bed.vms_of("web").filter(|vm| vm.contains("worker"));
    assert_eq!(workers.count(), 0);
}

#[test]
fn look_holds_without_demand_of_a_data_centre() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.cut_off("b");
    bed.pass(Duration::from_mins(20));
    assert_eq!(bed.moves(), 0);
    let (dc, entries) = (dc("b"), 1);
    assert_eq!(bed.hold(), Some(Hold::DemandMissing { dc, entries }));
    bed.heal("b");
    bed.pass(Duration::from_mins(20));
    assert!(bed.moves() > 0);
    assert_eq!(bed.hold(), None);
}

/// The demand during an outage is unknown, so the first sample after it must not count for the whole outage.
#[test]
fn look_after_outage_makes_no_moves_at_once() {
    let mut bed = Bed::new();
    bed.set_demand("web", 5 * SLOTS);
    bed.pass(Duration::from_mins(20));
    let before = bed.moves();
    bed.cut_off("b");
    bed.pass(Duration::from_hours(3));
    bed.heal("b");
    bed.set_demand("web", 7 * SLOTS);
    bed.pass(LOOK);
    assert_eq!(bed.moves(), before);
}

#[test]
fn obstacle_store_down_or_unread() {
    let bed = Bed::new();
    let on = SizingSettings {
        enabled: true,
        ..SizingSettings::default()
    };
    let lease = Duration::from_secs(1);
    let found = |settings, fleets: &Fleets, lease| obstacle(&bed.cat, settings, fleets, lease);
    assert_eq!(found(&on, &bed.fleets, lease), None);
    assert_eq!(
        found(&on, &bed.fleets, Duration::ZERO),
        Some(Hold::StoreDown)
    );
    let dc = dc("a");
    let unread = found(&on, &Fleets::default(), lease);
    assert_eq!(unread, Some(Hold::DocumentMissing { dc }));
    let off = SizingSettings::default();
    assert_eq!(found(&off, &bed.fleets, lease), Some(Hold::Disabled));
}

#[test]
fn take_over_mid_move_carries_it_on() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.pass_until_moving();
    let moving = bed.moving();
    let old = bed.editor;
    bed.take_over();
    bed.pass(DRAIN + Duration::from_mins(1));
    for vm in &moving {
        assert_eq!(bed.record(vm).pool.as_str(), "web");
        assert_eq!(bed.record(vm).state, Stored::Serving);
    }
    let late = bed.begin_move_as(old);
    assert!(matches!(late, Err(FleetRefusal::Fenced(..))), "{late:?}");
}

#[test]
fn vm_fails_mid_move_and_another_takes_its_place() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.pass_until_moving();
    let lost = bed.moving().remove(0);
    bed.list(&lost, None);
    bed.pass(Duration::from_mins(20));
    assert_eq!(bed.record(&lost).state, Stored::Failed);
    assert!(bed.size("web") >= 8, "{} VMs", bed.size("web"));
    assert_eq!(bed.pools_of(&lost), 1);
}

/// The fleet document of a partitioned data centre can still be written, but its entries do not confirm the drain. The
/// VM stays in its pool until they do.
#[test]
fn data_centre_cut_off_mid_move_holds_the_vm() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.pass_until_moving();
    let moving = bed.moving();
    let places: Vec<String> = moving.iter().map(|vm| vm[..1].to_owned()).collect();
    for place in &places {
        bed.cut_off(place);
    }
    bed.pass(DRAIN + Duration::from_mins(5));
    for vm in &moving {
        assert_eq!(bed.record(vm).state, Stored::Draining);
        assert_eq!(bed.record(vm).pool.as_str(), "spare");
    }
    for place in &places {
        bed.heal(place);
    }
    bed.pass(Duration::from_mins(2));
    for vm in &moving {
        assert_eq!(bed.record(vm).pool.as_str(), "web");
    }
}

#[test]
fn maintenance_wave_and_moves_never_take_the_same_vm() {
    let mut bed = Bed::with_maintenance();
    bed.set_demand("web", FULL);
    // Each cycle checks that no VM has two edits and that no budget is exceeded.
    bed.pass(Duration::from_hours(4));
    assert!(bed.moves() > 0);
    let waves = bed.all_vms().filter(|vm| bed.record(vm).wave == 1);
    assert_eq!(waves.count(), bed.all_vms().count());
}

#[test]
fn move_given_up_leaves_the_vm_for_a_while() {
    let mut bed = Bed::new();
    bed.set_demand("web", FULL);
    bed.pass_until_moving();
    let vm = bed.moving().remove(0);
    bed.keep_busy(&vm);
    bed.pass(bed.cat.maintenance.drain_max() + Duration::from_secs(5));
    let given_up = bed.steps_of(&vm).iter().any(|step| {
        step.action == Action::Return && matches!(step.reason, StepReason::DrainTimedOut { .. })
    });
    assert!(given_up);
    bed.pass(bed.cat.maintenance.drain_max() / 2);
    assert_eq!(bed.record(&vm).pool.as_str(), "spare");
    assert_eq!(bed.record(&vm).state, Stored::Serving);
}

#[test]
fn leaving_vm_is_not_moved() {
    let mut bed = Bed::new();
    for vm in bed.vms_of("spare").collect::<Vec<_>>() {
        bed.list(&vm, Some(VmPhase::Leaving));
    }
    bed.set_demand("web", FULL);
    bed.pass(Duration::from_mins(20));
    assert_eq!(bed.moves(), 0);
}

/// Each pool in turn has a burst of five times its mean demand for 10 s, beyond its supply, and a twentieth of the mean
/// between bursts.
#[test]
fn bursts_of_seconds_cause_no_moves_to_and_fro() {
    const POOLS: [&str; 5] = ["p0", "p1", "p2", "p3", "p4"];
    const MEAN: u32 = 2 * SLOTS;
    const SPARES: usize = 6;
    const BURST: Duration = Duration::from_secs(10);
    let mut bed = Bed::build(&POOLS, false);
    let turns = Duration::from_hours(4).as_secs() / BURST.as_secs();
    for turn in 0..turns {
        if turn == turns / 2 {
            bed.take_over();
        }
        let busy = usize::try_from(turn).expect("a small number") % POOLS.len();
        for (at, pool) in POOLS.iter().enumerate() {
            let slots = if at == busy { 5 * MEAN } else { MEAN / 20 };
            bed.set_demand(pool, slots);
        }
        bed.pass(BURST);
    }
    let log = bed.log();
    let left: BTreeSet<_> = log.iter().map(|step| (step.vm, step.from)).collect();
    let back = log.iter().filter(|step| left.contains(&(step.vm, step.to)));
    let (moves, back) = (log.len(), back.count());
    println!("{moves} moves, {back} of them back");
    assert_eq!(back, 0);
    assert!(moves <= SPARES, "{moves} moves of {SPARES} spares");
}
