//! Whether every entry knows of the VMs that drain.
//!
//! An entry that can't read the fleet documents goes on sending work by what it knows. So a VM's work is known to have
//! ended only once every entry has said that it sends work by a document in which the VM drains. An entry that does not
//! answer may be cut off and at work; its VM must be off the platform's list before it no longer counts.

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

/// The data centres with VMs that drain and have no work left, whose documents some entry does not work by yet.
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
            log::info!(target: PART, dc:%, entries; "Some entries have not yet seen the drain.");
            unseen.insert(dc);
        }
    }
    unseen
}

/// How many of the entries that were asked do not work by `wanted` of a data centre's document. One that did not answer
/// may work by any.
#[must_use]
pub fn lagging(answers: &[Option<Vec<FleetSeen>>], dc: &DcName, wanted: StoreVersion) -> usize {
    let works_by = |answer: &Option<Vec<FleetSeen>>| {
        let of_dc = answer.iter().flatten().filter(|seen| seen.dc == *dc);
        of_dc.map(|seen| seen.version).max()
    };
    let is_lagging = |answer: &&Option<Vec<FleetSeen>>| works_by(answer) < Some(wanted);
    answers.iter().filter(is_lagging).count()
}

/// The entries that the platform lists, this one among them.
fn entries(world: &World) -> BTreeSet<SocketAddr> {
    let listing = world.listing.borrow();
    let entries = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let own = std::iter::once(world.peers.hello().member.address);
    entries.map(|vm| vm.address).chain(own).collect()
}
