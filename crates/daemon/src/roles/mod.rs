//! The roles that are distributed over the entries.
//!
//! Each role is held by one entry at a time, with a fencing epoch. Roles are spread over all entries by rendezvous
//! hashing of the live sessions. The scheduler of a data centre is one of its own entries, which holds that data
//! centre's allocations of the teams' limits and reaches its workers also when the data centre is partitioned. The set
//! of roles follows from the catalogue.

use std::collections::BTreeSet;
use std::sync::Arc;

use goldcrest_session::role::{Role, RoleName};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::DcName;
use tokio_util::sync::CancellationToken;

use crate::world::World;

/// The role that moves quota allocations between data centres.
#[must_use]
pub fn quota_role() -> RoleName {
    role("quota")
}

/// The role that maintains and sizes the pools of all data centres.
#[must_use]
pub fn upkeep_role() -> RoleName {
    role("upkeep")
}

/// The role that schedules the tasks of a data centre.
#[must_use]
pub fn tasks_role(dc: &DcName) -> RoleName {
    role(&format!("tasks-{dc}"))
}

/// Parses a role name. It can't fail: `text` is made of names, whose characters a role name allows.
fn role(text: &str) -> RoleName {
    match text.parse() {
        Ok(role) => role,
        Err(error) => unreachable!("{error}"),
    }
}

fn roles(cat: &Catalogue) -> BTreeSet<Role> {
    let mut roles = BTreeSet::from([Role::new(quota_role()), Role::new(upkeep_role())]);
    let names = cat.dcs.values().map(|dc| dc.name.clone());
    roles.extend(names.map(|dc| Role::new(tasks_role(&dc)).with_data_centre(dc)));
    roles
}

/// Acquires and releases roles, and updates the set of roles whenever the catalogue changes.
pub async fn keep(world: Arc<World>, stop: CancellationToken) {
    let mut catalogue = world.catalogue.subscribe();
    catalogue.mark_changed();
    let follow = async {
        while catalogue.changed().await.is_ok() {
            let in_force = catalogue.borrow_and_update().clone();
            if let Some(in_force) = in_force {
                world.roles.set_roles(roles(&in_force.cat));
            }
        }
    };
    tokio::select! {
        () = world.roles.clone().run(stop.clone()) => {}
        () = follow => {}
    }
}
