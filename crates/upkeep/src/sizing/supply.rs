//! Pass 1: counts the VMs that each pool has or is about to receive.

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef, PoolId};

use crate::fleet::{Fleet, Seen, Vm, VmState};

/// VMs of each pool in each data centre.
#[derive(Debug, Default)]
pub(super) struct Supply {
    vms: Vec<u32>,
    dcs: usize,
}

impl Supply {
    /// Recounts `fleet`.
    pub(super) fn count(&mut self, fleet: &Fleet, cat: &Catalogue) {
        self.dcs = cat.dcs.len();
        self.vms.clear();
        self.vms.resize(cat.pools.len() * self.dcs, 0);
        for vm in fleet.vms.values() {
            if let Some(pool) = counts_for(vm) {
                self.vms[pool.index() * self.dcs + vm.dc.index()] += 1;
            }
        }
    }

    /// Returns the VMs of `pool` in all data centres.
    pub(super) fn of(&self, pool: PoolId) -> u32 {
        let start = pool.index() * self.dcs;
        self.vms[start..start + self.dcs].iter().sum()
    }

    /// Returns the VMs of `pool` in one data centre.
    pub(super) fn at(&self, pool: PoolId, dc: DcId) -> u32 {
        self.vms[pool.index() * self.dcs + dc.index()]
    }

    /// Updates the counts for the move of one VM.
    pub(super) fn shift(&mut self, dc: DcId, from: PoolId, to: PoolId) {
        self.vms[from.index() * self.dcs + dc.index()] -= 1;
        self.vms[to.index() * self.dcs + dc.index()] += 1;
    }
}

/// Returns the pool whose size a VM counts towards; a moving VM counts towards its new pool.
///
/// A VM that failed or leaves counts towards none, so that a spare replaces it.
#[must_use]
pub fn counts_for(vm: &Vm) -> Option<PoolId> {
    match vm.state {
        VmState::Failed | VmState::Gone => None,
        VmState::Moving(pool) => Some(pool),
        VmState::Serving if matches!(vm.seen, Seen::Leaving | Seen::Absent) => None,
        VmState::Serving | VmState::Draining | VmState::Rebooting | VmState::Joining => {
            Some(vm.pool)
        }
    }
}
