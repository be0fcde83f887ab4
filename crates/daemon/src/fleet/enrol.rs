//! The first pool of a VM that has no record, and the way into service of one that has joined.
//!
//! Any entry of the data centre may do this: the edit is refused for a VM that has a record, so two entries that race
//! can't give one VM two pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::fleet::{FleetDoc, FleetRefusal, VmEdit, VmState};
use goldcrest_obs::logs::Part;
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_session::{Updated, keys};
use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::names::{DcName, EditId, PoolName};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::world::World;

const PART: &str = Part::Fleet.as_str();

/// How often new VMs are looked for.
const INTERVAL: Duration = Duration::from_millis(500);

/// Gives new VMs of this data centre their first pool, and takes those that have joined into service.
pub async fn run(world: Arc<World>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
        let Some(cat) = world.cat() else {
            continue;
        };
        let listing = world.listing.borrow().clone();
        let dc = &world.settings.entry.data_centre;
        let fleets = world.fleets.borrow().clone();
        let empty = FleetDoc::default();
        let doc = fleets.get(dc).unwrap_or(&empty);
        if !steps(&cat, &listing, dc, doc).is_empty() {
            enrol(&world, &cat, &listing).await;
        }
    }
}

async fn enrol(world: &World, cat: &Catalogue, listing: &VmListing) {
    let dc = &world.settings.entry.data_centre;
    let edit = EditId::new(rand::random());
    let change = |doc: &mut FleetDoc| -> Result<usize, FleetRefusal> {
        let steps = steps(cat, listing, dc, doc);
        if !steps.is_empty() {
            doc.apply(edit, &steps)?;
        }
        Ok(steps.len())
    };
    match world.session.update(&keys::fleet(dc), edit, change).await {
        Ok(Updated::Applied { value: 0, .. } | Updated::AppliedEarlier) => {}
        Ok(Updated::Applied { value, .. }) => {
            log::info!(target: PART, vms = value; "VMs enrolled.");
        }
        Ok(Updated::Refused(refusal)) => log::warn!(target: PART, "Not enrolled: {refusal}."),
        Err(error) => log::warn!(target: PART, "Not enrolled: {error}."),
    }
}

/// The edits by which the VMs of `dc` that are new get a pool, and those that have joined go into service.
#[must_use]
pub fn steps(cat: &Catalogue, listing: &VmListing, dc: &DcName, doc: &FleetDoc) -> Vec<VmEdit> {
    let mut counts = count_by_pool(doc);
    let mut steps = Vec::new();
    let of_dc = listing.vms.iter().filter(|vm| vm.data_centre == *dc);
    for vm in of_dc.filter(|vm| vm.phase == VmPhase::Live) {
        match doc.vms().get(&vm.name) {
            Some(record) if record.state == VmState::Joining => steps.push(VmEdit::Serve {
                vm: vm.name.clone(),
                boots: vm.boots,
            }),
            Some(_) => {}
            None => {
                if let Some(pool) = first_pool(cat, vm, &counts) {
                    *counts.entry(pool.clone()).or_default() += 1;
                    steps.push(VmEdit::Enrol {
                        vm: vm.name.clone(),
                        pool,
                        rack: vm.rack.clone(),
                        boots: vm.boots,
                    });
                }
            }
        }
    }
    steps
}

fn count_by_pool(doc: &FleetDoc) -> BTreeMap<PoolName, u32> {
    let mut counts = BTreeMap::new();
    for vm in doc.vms().values() {
        *counts.entry(vm.pool.clone()).or_default() += 1;
    }
    counts
}

/// The pool of the VM's kind that lacks the most of its part of the fewest VMs, else the spare pool.
fn first_pool(
    cat: &Catalogue,
    vm: &VmRecord,
    counts: &BTreeMap<PoolName, u32>,
) -> Option<PoolName> {
    let kind = match vm.role {
        VmRole::Entry => return None,
        VmRole::Upstream => PoolKind::Upstreams,
        VmRole::Worker => PoolKind::Workers,
    };
    let dcs = u32::try_from(cat.dcs.len()).unwrap_or(u32::MAX).max(1);
    let lack = |pool: &PoolName, min_vms: u32| {
        let part = min_vms.div_ceil(dcs);
        part.saturating_sub(counts.get(pool).copied().unwrap_or(0))
    };
    let of_kind = cat.pools.values().filter(|pool| pool.kind == kind);
    let needy = of_kind
        .map(|pool| (lack(&pool.name, pool.min_vms.get()), &pool.name))
        .filter(|(lack, _)| *lack > 0)
        // Of equal ones the first in the catalogue.
        .reduce(|best, next| if next.0 > best.0 { next } else { best });
    let spare = cat.pools.values().find(|pool| pool.kind == PoolKind::Spare);
    let rest = cat.pools.values().find(|pool| pool.kind == kind);
    needy
        .map(|(_, name)| name.clone())
        .or_else(|| spare.or(rest).map(|pool| pool.name.clone()))
}
