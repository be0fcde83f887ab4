//! The upstreams as the serving path needs them.

use goldcrest_front::{UpstreamSet, UpstreamSpec};
use goldcrest_ledger::fleet::VmState;
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};

use crate::world::Fleets;

/// Joins the list of VMs with the pools they are in. A VM that either source shows as leaving takes nothing new; one
/// without a pool is left out.
#[must_use]
pub fn upstream_set(listing: &VmListing, fleets: &Fleets) -> UpstreamSet {
    let upstreams = listing
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Upstream)
        .filter_map(|vm| upstream(vm, fleets))
        .collect();
    UpstreamSet { upstreams }
}

fn upstream(vm: &VmRecord, fleets: &Fleets) -> Option<UpstreamSpec> {
    let record = fleets.get(&vm.data_centre)?.vms().get(&vm.name)?;
    let is_serving = record.state == VmState::Serving && vm.phase == VmPhase::Live;
    Some(UpstreamSpec {
        vm: vm.name.clone(),
        pool: record.pool.clone(),
        dc: vm.data_centre.clone(),
        address: vm.address,
        leaving: !is_serving,
    })
}
