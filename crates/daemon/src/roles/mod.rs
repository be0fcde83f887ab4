//! The roles that entries share out among them.
//!
//! Each role is held by one entry at a time, with a fencing epoch; they spread over all entries by rendezvous hashing of
//! the live sessions. The scheduler of a data centre is one of its own entries, which has that data centre's part of the
//! teams' limits and reaches its workers when it is cut off. Which roles there are follows from the catalogue.

use std::collections::BTreeSet;
use std::sync::Arc;

use goldcrest_session::role::{Role, RoleName};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::DcName;
use tokio_util::sync::CancellationToken;

use crate::world::World;

/// The role of moving quota portions between data centres.
#[must_use]
pub fn quota_role() -> RoleName {
    role("quota")
}

/// The role of maintaining and sizing the pools of all data centres.
#[must_use]
pub fn upkeep_role() -> RoleName {
    role("upkeep")
}

/// The role of scheduling the tasks of a data centre.
#[must_use]
pub fn tasks_role(dc: &DcName) -> RoleName {
    role(&format!("tasks-{dc}"))
}

/// A role's name. It is made of names, whose characters a role allows.
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

/// Takes and releases roles.
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
