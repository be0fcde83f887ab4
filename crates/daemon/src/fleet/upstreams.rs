//! The upstreams in the form that the serving path takes.

use goldcrest_front::{UpstreamSet, UpstreamSpec};
use goldcrest_ledger::fleet::VmState;
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};

use crate::world::Fleets;

/// Joins the platform's list of VMs with the fleet documents. An upstream that either source shows as out of service
/// gets no new requests; one without a record in its fleet document is left out.
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
