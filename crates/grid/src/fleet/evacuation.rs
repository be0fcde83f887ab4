//! Publishes to each pool's scheduler the VMs to evacuate.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::Vm;
use goldcrest_types::names::PoolName;

use crate::fleet::Fleet;
use crate::keys::{self, Evacuation};
use crate::ports::{CallError, Committed, Platform, Put, Txn};

impl<P: Platform> Fleet<P> {
    /// Writes the lists of those pools whose VMs to evacuate have changed since they were last written.
    pub(super) async fn publish_evacuations(
        &self,
        vms: &BTreeMap<VmId, Vm>,
        requested: &BTreeSet<VmId>,
    ) -> Result<(), CallError> {
        let mut by_pool: BTreeMap<PoolName, BTreeMap<WorkerId, VmId>> = BTreeMap::new();
        for pool in self.evacuations.borrow().keys() {
            by_pool.insert(pool.clone(), BTreeMap::new());
        }
        for vm in requested.iter().filter_map(|vm| vms.get(vm)) {
            if let Some(worker) = &vm.worker {
                let of_pool = by_pool.entry(vm.pool.clone()).or_default();
                of_pool.insert(worker.clone(), vm.id.clone());
            }
        }
        for (pool, vms) in by_pool {
            let evacuation = Evacuation { vms };
            let is_known = self.evacuations.borrow().get(&pool) == Some(&evacuation);
            if !is_known {
                self.write_evacuation(pool, evacuation).await?;
            }
        }
        Ok(())
    }

    async fn write_evacuation(
        &self,
        pool: PoolName,
        evacuation: Evacuation,
    ) -> Result<(), CallError> {
        let txn = Txn {
            expect: vec![self.held.guard()],
            puts: vec![Put {
                key: keys::evacuation(&pool),
                value: keys::encode(&evacuation),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(_) => {
                log::info!(target: "maintenance", pool:% = pool, vms = evacuation.vms.len(); "VMs to empty ordered.");
                self.evacuations.borrow_mut().insert(pool, evacuation);
            }
            Committed::Conflict(_) => self.step_down(),
        }
        Ok(())
    }
}
