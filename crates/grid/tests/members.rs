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

fn held(role: &Role, name: &str, revision: u64) -> Item {
    Item {
        key: keys::role(role),
        value: keys::encode(&Box::<str>::from(name)),
        revision: Revision(revision),
        lease: Some(LeaseId(revision)),
    }
}

/// A fleet in which each role is held by the entry at its place in `holders`.
fn fleet_with(required: &[Role], holders: &[&str]) -> View {
    let roles = (200..).zip(required.iter().zip(holders));
    let roles = roles.map(|(revision, (role, name))| held(role, name, revision));
    View::new(&fleet().into_iter().chain(roles).collect::<Vec<_>>())
}

/// Load pattern: strong entries were the last ones back, and a weak one holds several roles. It hands them over one at
/// a time until each role is held by a strong entry, and then no role moves any more.
#[test]
fn role_to_hand_over_ends_with_the_strong() {
    let required = roles(4);
    let mut holders = vec!["w1", "w1", "w2", "s0", "s0"];
    for _ in 0..required.len() {
        let view = fleet_with(&required, &holders);
        let mut names = holders.clone();
        names.sort_unstable();
        names.dedup();
        let mut handing_over = names.into_iter().filter_map(|name| {
            let role = view.role_to_hand_over(name, &required)?;
            Some((name, role))
        });
        let Some((from, role)) = handing_over.next() else {
            break;
        };
        assert_eq!(handing_over.next(), None, "one at a time");
        let at = required.iter().position(|known| *known == role);
        let at = at.expect("a required role");
        assert_eq!(holders[at], from);
        let strong = ["s0", "s1", "s2", "s3", "s4", "s5"];
        let mut unloaded = strong.into_iter().filter(|name| !holders.contains(name));
        holders[at] = unloaded.next().expect("more strong entries than roles");
    }
    let view = fleet_with(&required, &holders);
    assert!(
        holders.iter().all(|name| name.starts_with('s')),
        "{holders:?}"
    );
    for name in &holders {
        assert_eq!(view.role_to_hand_over(name, &required), None);
    }
}

/// Nothing is handed over while a role is vacant, nor between entries that are alike and evenly loaded.
#[test]
fn role_to_hand_over_none_while_unsettled_or_even() {
    let required = roles(4);
    let view = fleet_with(&required[..4], &["w1", "w1", "w1", "w1"]);
    assert_eq!(view.role_to_hand_over("w1", &required), None);
    let even = fleet_with(&required, &["s0", "s1", "s2", "s3", "s4"]);
    assert_eq!(even.role_to_hand_over("s0", &required), None);
    // More roles than entries: two each is the most even.
    let few: Vec<Item> = (0..2)
        .map(|number| entry(&format!("s{number}"), STRONG, 1 + number))
        .chain((200..).zip(&required[..4]).map(|(revision, role)| {
            held(role, if revision % 2 == 0 { "s0" } else { "s1" }, revision)
        }))
        .collect();
    assert_eq!(
        View::new(&few).role_to_hand_over("s0", &required[..4]),
        None
    );
}
