//! Whether every entry has seen that a VM drains.
//!
//! An entry that can't read the fleet documents goes on routing work by its last known versions. So a VM counts as idle
//! only once every entry has confirmed that it routes by a document in which the VM drains. An entry that does not
//! answer may be partitioned and still routing; it counts until its VM is off the platform's list.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use futures_util::future::join_all;
use goldcrest_peer::message::FleetSeen;
use goldcrest_ports::fleet::VmRole;
use goldcrest_types::names::DcName;
use goldcrest_types::units::StoreVersion;

use super::PART;
use super::view::View;
use crate::world::{Fleets, World};

/// Returns the data centres with idle draining VMs whose fleet document some entry has not confirmed yet.
pub async fn unseen(world: &World, fleets: &Fleets, view: &View) -> BTreeSet<DcName> {
    let idle = view.idle_dcs();
    if idle.is_empty() {
        return idle;
    }
    let entries = entries(world);
    let answers = join_all(entries.iter().map(|entry| world.peers.fleet_seen(*entry))).await;
    let mut unseen = BTreeSet::new();
    for dc in idle {
        let entries = lagging(&answers, &dc, fleets.version(&dc));
        if entries > 0 {
            log::info!(target: PART, dc:%, entries; "Draining VMs count as busy until all entries confirm the fleet document.");
            unseen.insert(dc);
        }
    }
    unseen
}

/// Returns how many of the queried entries route by a version of a data centre's document below `required`. An entry
/// that did not answer (none) counts as lagging.
#[must_use]
pub fn lagging(answers: &[Option<Vec<FleetSeen>>], dc: &DcName, required: StoreVersion) -> usize {
    let confirmed = |answer: &Option<Vec<FleetSeen>>| {
        let of_dc = answer.iter().flatten().filter(|seen| seen.dc == *dc);
        of_dc.map(|seen| seen.version).max()
    };
    let is_lagging = |answer: &&Option<Vec<FleetSeen>>| confirmed(answer) < Some(required);
    answers.iter().filter(is_lagging).count()
}

/// Returns the addresses of the entries that the platform lists, and of this one.
fn entries(world: &World) -> BTreeSet<SocketAddr> {
    let listing = world.listing.borrow();
    let entries = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let own = std::iter::once(world.peers.hello().member.address);
    entries.map(|vm| vm.address).chain(own).collect()
}
