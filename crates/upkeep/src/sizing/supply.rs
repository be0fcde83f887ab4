//! Pass 1: what each pool has, and what is on its way to it.

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
    /// Counts `fleet` anew.
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

    /// VMs of `pool` in all data centres.
    pub(super) fn of(&self, pool: PoolId) -> u32 {
        let start = pool.index() * self.dcs;
        self.vms[start..start + self.dcs].iter().sum()
    }

    /// VMs of `pool` in one data centre.
    pub(super) fn at(&self, pool: PoolId, dc: DcId) -> u32 {
        self.vms[pool.index() * self.dcs + dc.index()]
    }

    /// Takes in that a VM moves.
    pub(super) fn shift(&mut self, dc: DcId, from: PoolId, to: PoolId) {
        self.vms[from.index() * self.dcs + dc.index()] -= 1;
        self.vms[to.index() * self.dcs + dc.index()] += 1;
    }
}

/// The pool whose size a VM counts for. One that failed or leaves counts for none, so that a spare takes its place.
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
