//! Roles with a scope of one data centre.

use std::collections::BTreeSet;

use goldcrest_session::role::{Role, RoleName};

use crate::common::FakeStore;
use crate::world::{Entry, Fleet, dc, pass};

/// The number of data centres of the fleet, with two entries each.
const DCS: usize = 3;

fn tasks_role(number: usize) -> RoleName {
    format!("tasks-{}", dc(number)).parse().expect("a name")
}

fn start(store: &FakeStore, fleet: &std::sync::Arc<Fleet>, bits: u128, number: usize) -> Entry {
    let entry = Entry::start(store, fleet, bits, number);
    let roles = (0..DCS).map(|number| Role::new(tasks_role(number)).with_data_centre(dc(number)));
    entry.roles.set_roles(roles.collect::<BTreeSet<_>>());
    entry
}

/// Returns the indexes of the entries that hold a role.
fn holders(entries: &[Entry], role: &RoleName) -> Vec<usize> {
    let all = entries.iter().enumerate();
    let holding = all.filter(|(_, entry)| entry.roles.epoch(role).is_some());
    holding.map(|(number, _)| number).collect()
}

/// For any ids of the entries, each data centre's role is held by one of its own entries, by the other one after a
/// crash, and by none after both crashed.
#[tokio::test(start_paused = true)]
async fn epoch_role_of_data_centre() {
    for draw in 0..8_u128 {
        let (store, fleet) = (FakeStore::default(), Fleet::new(DCS, 6));
        let numbers = 0..2 * DCS;
        let id = |number: usize| (16 * draw + u128::try_from(number).expect("few") + 1) << 64;
        let entries: Vec<Entry> = numbers
            .map(|number| start(&store, &fleet, id(number), number / 2))
            .collect();
        pass(&fleet, &entries, 5, 6).await;
        for number in 0..DCS {
            let found = holders(&entries, &tasks_role(number));
            assert_eq!(found.len(), 1, "draw {draw}: one holder in {}", dc(number));
            assert_eq!(
                found[0] / 2,
                number,
                "draw {draw}: held in its own data centre"
            );
        }
        let first = holders(&entries, &tasks_role(0))[0];
        entries[first].crash();
        pass(&fleet, &entries, 40, 6).await;
        assert_eq!(holders(&entries, &tasks_role(0)), [1 - first]);
        entries[1 - first].crash();
        pass(&fleet, &entries, 40, 6).await;
        assert!(holders(&entries, &tasks_role(0)).is_empty());
        assert_eq!(holders(&entries, &tasks_role(1)).len(), 1);
    }
}
