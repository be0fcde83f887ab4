//! Which entry takes a vacant role, and which one hands a role over. No network and no clock.

use std::time::{Duration, Instant};

use goldcrest_grid::keys::{self, Member, Role};
use goldcrest_grid::members::view::View;
use goldcrest_grid::ports::{Change, Item, LeaseId, Revision};

/// The processor time of a strong and of a weak entry, in thousandths of a core.
const STRONG: u64 = 500;
const WEAK: u64 = 120;

fn entry(name: &str, cpu_millis: u64, revision: u64) -> Item {
    Item {
        key: keys::entry(name),
        value: keys::encode(&Member { cpu_millis }),
        revision: Revision(revision),
        lease: Some(LeaseId(revision)),
    }
}

fn roles(pools: u32) -> Vec<Role> {
    let pool = |number| Role::Pool(format!("p{number}").parse().expect("a name"));
    (0..pools).map(pool).chain([Role::Fleet]).collect()
}

/// Six strong entries and thirty weak ones.
fn fleet() -> Vec<Item> {
    let strong = (0..6).map(|number| entry(&format!("s{number}"), STRONG, 1 + number));
    let weak = (0..30).map(|number| entry(&format!("w{number}"), WEAK, 10 + number));
    strong.chain(weak).collect()
}

/// The view of an entry to which an outage of all leases came as removals, and which has registered again as the first.
fn first_back(name: &str, cpu_millis: u64, now: Instant) -> View {
    let mut view = View::new(&fleet());
    let removals = fleet().into_iter().map(|item| Change::Removed {
        key: item.key,
        revision: Revision(100),
    });
    view.apply(removals.collect(), now);
    let listed = [entry(name, cpu_millis, 101)];
    View::after_outage(&listed, &view, now + Duration::from_millis(300))
}

/// Load pattern: the leases of all entries end in an outage, and a weak entry is the first one back.
#[test]
fn ranks_weak_entry_first_back_lets_strong_ones_go_first() {
    let required = roles(4);
    let view = first_back("w7", WEAK, Instant::now());
    let ranks = view.ranks(("w7", WEAK), &required);
    assert_eq!(ranks.len(), required.len());
    assert!(ranks.values().all(|rank| *rank >= 4), "{ranks:?}");
}

/// Load pattern: as above, with a strong entry as the first one back. It takes no more than its part at once.
#[test]
fn ranks_strong_entry_first_back_takes_its_part() {
    let required = roles(4);
    let now = Instant::now();
    let mut first = 0;
    for number in 0..6 {
        let name = format!("s{number}");
        let view = first_back(&name, STRONG, now);
        let ranks = view.ranks((&name, STRONG), &required);
        let at_once = ranks.values().filter(|rank| **rank == 0).count();
        assert!(at_once <= 1, "{name}: {ranks:?}");
        first += at_once;
    }
    assert_eq!(first, required.len());
}

/// Entries that don't come back are forgotten, and those that left long before the outage don't count.
#[test]
fn ranks_entries_that_stay_away_are_forgotten() {
    let required = roles(4);
    let now = Instant::now();
    let mut view = first_back("w7", WEAK, now);
    view.forget_returning();
    let ranks = view.ranks(("w7", WEAK), &required);
    assert!(ranks.values().all(|rank| *rank == 0));

    let mut view = View::new(&fleet());
    let removal = Change::Removed {
        key: keys::entry("s0"),
        revision: Revision(100),
    };
    view.apply(vec![removal], now);
    let rest: Vec<Item> = fleet().into_iter().skip(1).collect();
    let view = View::after_outage(&rest, &view, now + Duration::from_secs(30));
    let of_strong = view.ranks(("s1", STRONG), &required);
    let fresh = View::new(&rest).ranks(("s1", STRONG), &required);
    assert_eq!(of_strong, fresh);
}
