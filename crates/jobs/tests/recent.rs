//! Commands about VMs around a change of their holder.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::recent::{CommandRecord, RecentCommands};

const GAP: Duration = Duration::from_secs(3);

fn vms(names: &[&str]) -> BTreeSet<VmId> {
    names.iter().map(|name| VmId::from(*name)).collect()
}

/// Stores the record for these VMs, as a holder does before it sends the commands.
fn order(orders: &mut RecentCommands, names: &[&str], now: Instant) -> CommandRecord {
    let record = orders
        .record(&vms(names), now, GAP)
        .expect("a record to store");
    orders.mark_stored(record.clone());
    record
}

/// Load pattern: a pool's busy period begins in the second in which the fleet's holder fails, just after many VMs moved
/// to the spare pool. The new holder waits for the rest of each VM's gap, not for a whole one.
#[test]
fn take_over_leaves_each_vm_alone_for_the_rest_of_its_gap() {
    let began_at = Instant::now();
    let mut first = RecentCommands::default();
    order(&mut first, &["early"], began_at);
    let lost_at = began_at + Duration::from_millis(2_500);
    let record = order(&mut first, &["late"], lost_at);
    let mut second = RecentCommands::default();
    let taken_at = lost_at + Duration::from_millis(1_500);
    second.take_over(&record, taken_at, GAP);
    order(&mut second, &["early", "late", "other"], taken_at);
    let may_command = |vm: &str, after_ms: u64| {
        let at = taken_at + Duration::from_millis(after_ms);
        second.may_command(&VmId::from(vm), at)
    };
    assert!(may_command("other", 0));
    assert!(!may_command("early", 499));
    assert!(may_command("early", 500));
    assert!(!may_command("late", 2_999));
    assert!(may_command("late", 3_000));
}

/// A second command about a VM restarts its gap: the stored age of the first one would end the gap too soon.
#[test]
fn record_repeated_order_is_stored_again() {
    let began_at = Instant::now();
    let mut orders = RecentCommands::default();
    order(&mut orders, &["a"], began_at);
    let later = began_at + Duration::from_secs(1);
    let record = order(&mut orders, &["b"], later);
    assert_eq!(record.ages_ms[&VmId::from("a")], 1_000);
    assert!(!orders.may_command(&VmId::from("a"), later));
    let record = order(&mut orders, &["a"], later);
    assert_eq!(record.ages_ms[&VmId::from("a")], 0);
    assert_eq!(orders.record(&vms(&["a"]), later, GAP), None);
}

/// A holder that fails before its predecessor's gaps are over passes them on.
#[test]
fn record_keeps_the_predecessors_gaps() {
    let began_at = Instant::now();
    let mut orders = RecentCommands::default();
    let record = CommandRecord {
        ages_ms: [(VmId::from("a"), 500)].into(),
    };
    orders.take_over(&record, began_at, GAP);
    let later = began_at + Duration::from_secs(1);
    let record = order(&mut orders, &["b"], later);
    assert_eq!(record.ages_ms[&VmId::from("a")], 1_500);
}

/// Load pattern: an outage of the store ends all leases in a busy period, and the holder takes its role again. It leaves
/// each VM alone until the gap after its own last command is over, and not until a gap after its new beginning.
#[test]
fn resume_counts_from_the_own_commands() {
    let began_at = Instant::now();
    let after = |ms: u64| began_at + Duration::from_millis(ms);
    let mut orders = RecentCommands::default();
    order(&mut orders, &["early", "late", "again"], began_at);
    // The command was on its way for a while.
    orders.mark_sent(&VmId::from("late"), after(700));
    orders.resume(GAP);
    let may_command =
        |orders: &RecentCommands, vm: &str, ms: u64| orders.may_command(&VmId::from(vm), after(ms));
    assert!(!may_command(&orders, "again", 3_500), "not stored again");
    order(&mut orders, &["early", "late", "other"], after(2_600));
    assert!(!may_command(&orders, "early", 2_999));
    assert!(may_command(&orders, "early", 3_000));
    assert!(!may_command(&orders, "late", 3_699));
    assert!(may_command(&orders, "late", 3_700));
    assert!(may_command(&orders, "other", 2_600));
    // Its successor learns of the gap that is left.
    let record = order(&mut orders, &["next"], after(2_700));
    assert_eq!(record.ages_ms[&VmId::from("again")], 2_700);
}

/// Another holder's record replaces what this one knows of its own earlier commands.
#[test]
fn take_over_forgets_the_own_commands() {
    let began_at = Instant::now();
    let mut orders = RecentCommands::default();
    order(&mut orders, &["a"], began_at);
    let later = began_at + Duration::from_secs(1);
    let record = CommandRecord {
        ages_ms: [(VmId::from("a"), 0), (VmId::from("b"), 0)].into(),
    };
    orders.take_over(&record, later, GAP);
    let stored = order(&mut orders, &["c"], later);
    assert_eq!(stored.ages_ms[&VmId::from("a")], 0);
    assert!(!orders.may_command(&VmId::from("a"), later));
}
