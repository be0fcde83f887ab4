//! Assigns the first pool to a VM without a record, and puts a VM that has joined into service.
//!
//! Any entry of the data centre may do this: the edit is refused for a VM that has a record, so two racing entries
//! can't assign two pools to one VM.

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

/// How often the platform's list is checked for new VMs.
const INTERVAL: Duration = Duration::from_millis(500);

/// Assigns new VMs of this data centre their first pool, and puts those that have joined into service.
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
        Ok(Updated::Refused(refusal)) => log::warn!(target: PART, "VMs not enrolled: {refusal}."),
        Err(error) => log::warn!(target: PART, "VMs not enrolled: {error}."),
    }
}

/// Returns the edits that assign pools to the new VMs of `dc`, and put those that have joined into service.
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

/// Returns the pool of the VM's kind with the greatest shortfall to its data centre's part of `min_vms`; without a
/// shortfall the spare pool, else any pool of the kind. None for an entry, or if there is no such pool.
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
    let shortfall = |pool: &PoolName, min_vms: u32| {
        let part = min_vms.div_ceil(dcs);
        part.saturating_sub(counts.get(pool).copied().unwrap_or(0))
    };
    let of_kind = cat.pools.values().filter(|pool| pool.kind == kind);
    let shortest = of_kind
        .map(|pool| (shortfall(&pool.name, pool.min_vms.get()), &pool.name))
        .filter(|(shortfall, _)| *shortfall > 0)
        // With equal shortfalls, the first pool in the catalogue wins.
        .reduce(|best, next| if next.0 > best.0 { next } else { best });
    let spare = cat.pools.values().find(|pool| pool.kind == PoolKind::Spare);
    let any = cat.pools.values().find(|pool| pool.kind == kind);
    shortest
        .map(|(_, name)| name.clone())
        .or_else(|| spare.or(any).map(|pool| pool.name.clone()))
}
