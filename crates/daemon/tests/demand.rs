//! `Reports::sum` over entries with recent, outdated and no reports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use goldcrest_daemon::sizing::demand::{Entries, Reports};
use goldcrest_peer::message::PoolUsageTold;
use goldcrest_peer::peers::PoolUsageHeard;
use goldcrest_peer::usage::{Board, CELLS_MAX_WANTED, Usage};
use goldcrest_types::names::{DcName, EntryId, PoolName};
use goldcrest_types::units::Slots;

const AGE_MAX: Duration = Duration::from_mins(1);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn dc(name: &str) -> DcName {
    name.parse().expect("a name")
}

fn pool() -> PoolName {
    "web".parse().expect("a name")
}

fn usage(running: u32, waiting: u32) -> Usage {
    Usage {
        running: Slots::new(running),
        waiting: Slots::new(waiting),
    }
}

fn report(bits: u128, of_pool: Usage, requested_at: Instant) -> PoolUsageHeard {
    let entry = EntryId::new(bits);
    let mut board = Board::new();
    board.set(&entry, &pool(), of_pool);
    let delta = board.delta(0, None, CELLS_MAX_WANTED);
    let mut report = PoolUsageHeard::new();
    report.take(&PoolUsageTold { entry, delta }, requested_at);
    report
}

/// Two entries in one data centre and one in another.
fn entries() -> Entries {
    let all = [(1, "lis-1"), (2, "lis-1"), (3, "lis-2")];
    all.map(|(number, name)| (address(number), dc(name))).into()
}

#[test]
fn sum_all_entries() {
    let now = Instant::now() + Duration::from_secs(3);
    let mut reports = Reports::new();
    for number in 1..=3_u16 {
        let at = now.checked_sub(Duration::from_secs(u64::from(number)));
        let at = at.expect("an instant");
        let of_pool = usage(u32::from(number), 1);
        reports.set(address(number), report(u128::from(number), of_pool, at));
    }
    let summed = reports.sum(&entries(), now, AGE_MAX);
    assert_eq!(summed.usage[&pool()], usage(6, 3));
    assert_eq!(summed.age, Duration::from_secs(3));
    assert_eq!(summed.entries, 3);
    assert!(summed.missing.is_empty(), "{:?}", summed.missing);
}

#[test]
fn sum_data_centre_cut_off() {
    let then = Instant::now();
    let now = then + AGE_MAX + Duration::from_millis(1);
    let mut reports = Reports::new();
    reports.set(address(1), report(1, usage(5, 0), now));
    reports.set(address(2), report(2, usage(6, 0), now));
    reports.set(address(3), report(3, usage(7, 0), then));
    let summed = reports.sum(&entries(), now, AGE_MAX);
    assert_eq!(summed.usage[&pool()], usage(11, 0));
    assert_eq!(summed.missing, [(dc("lis-2"), 1)].into());
}

#[test]
fn sum_entry_that_never_answered() {
    let now = Instant::now();
    let mut reports = Reports::new();
    reports.set(address(1), report(1, usage(5, 0), now));
    reports.set(address(2), PoolUsageHeard::new());
    let summed = reports.sum(&entries(), now, AGE_MAX);
    let missing = [(dc("lis-1"), 1), (dc("lis-2"), 1)].into();
    assert_eq!(summed.missing, missing);
    assert_eq!(summed.entries, 1);
}
