//! The workers of a data centre in the form that the scheduler takes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use goldcrest_ledger::fleet::VmState;
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_sched::{Availability, WorkerSpec};
use goldcrest_types::names::{DcName, VmName};

use crate::world::Fleets;

/// The workers of a data centre and their addresses.
#[derive(Debug, Default)]
pub struct WorkerSet {
    /// The workers, in the order of the platform's list.
    pub specs: Vec<WorkerSpec>,
    /// The address of each worker in `specs`.
    pub addresses: BTreeMap<VmName, SocketAddr>,
}

/// Joins the platform's list of VMs with the fleet documents. A worker that either source shows as out of service gets
/// no new task; a worker without a record in its fleet document is left out.
#[must_use]
pub fn worker_set(listing: &VmListing, fleets: &Fleets, dc: &DcName) -> WorkerSet {
    let mut set = WorkerSet::default();
    let workers = listing.vms.iter().filter(|vm| vm.role == VmRole::Worker);
    for vm in workers.filter(|vm| vm.data_centre == *dc) {
        if let Some(spec) = worker(vm, fleets) {
            set.addresses.insert(vm.name.clone(), vm.address);
            set.specs.push(spec);
        }
    }
    set
}

fn worker(vm: &VmRecord, fleets: &Fleets) -> Option<WorkerSpec> {
    let record = fleets.get(&vm.data_centre)?.vms().get(&vm.name)?;
    let availability = match (record.state, vm.phase) {
        (VmState::Serving, VmPhase::Live) => Availability::Open,
        (_, VmPhase::Leaving) => Availability::Leaving,
        (VmState::Draining, VmPhase::Live) => Availability::Draining,
        _ => Availability::Cordoned,
    };
    Some(WorkerSpec {
        name: vm.name.clone(),
        dc: vm.data_centre.clone(),
        rack: record.rack.clone(),
        pool: record.pool.clone(),
        capacity: vm.resources,
        availability,
    })
}
