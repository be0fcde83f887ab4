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

    /// Loads the lists that an earlier holder has written. VMs on them that need not be evacuated any more would
    /// otherwise get no work until their pool's list changes.
    pub(super) async fn load_evacuations(&self) -> Result<(), CallError> {
        let pools: Vec<PoolName> = {
            let catalogue = self.entry.catalogue.get();
            let pools = catalogue.iter().flat_map(|stored| stored.catalogue.pools());
            pools.map(|pool| pool.name.clone()).collect()
        };
        for pool in pools {
            let Some(item) = self.entry.read(&keys::evacuation(&pool)).await? else {
                continue;
            };
            match keys::decode(&item.key, &item.value) {
                Ok(evacuation) => {
                    self.evacuations.borrow_mut().insert(pool, evacuation);
                }
                // The pool's scheduler ignores such a list too.
                Err(error) => {
                    log::error!(target: "maintenance", pool:%, error:%; "Ignoring a list of VMs to evacuate that can't be decoded.");
                }
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
