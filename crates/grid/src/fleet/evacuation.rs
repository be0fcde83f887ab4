//! Publishes to each pool's scheduler the VMs to evacuate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::Vm;
use goldcrest_types::names::PoolName;

use crate::fleet::Fleet;
use crate::keys::{self, Evacuation};
use crate::owned_key::{OwnedKey, Written};
use crate::ports::{CallError, Platform};

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
            self.write_evacuation(pool, Evacuation { vms }).await?;
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
            let mut evacuations = self.evacuations.borrow_mut();
            evacuations.insert(pool, Rc::new(OwnedKey::found(item)));
        }
        Ok(())
    }

    /// Writes a pool's list, unless the store certainly holds it.
    async fn write_evacuation(
        &self,
        pool: PoolName,
        evacuation: Evacuation,
    ) -> Result<(), CallError> {
        let value = keys::encode(&evacuation);
        let key = {
            let mut evacuations = self.evacuations.borrow_mut();
            let key = evacuations
                .entry(pool.clone())
                .or_insert_with(|| Rc::new(OwnedKey::new(keys::evacuation(&pool))));
            Rc::clone(key)
        };
        if key.holds(&value) {
            return Ok(());
        }
        match key.write(&self.entry, &self.held, value, None).await? {
            Written::Stored => {
                log::info!(target: "maintenance", pool:% = pool, vms = evacuation.vms.len(); "VMs to empty ordered.");
            }
            Written::RoleLost => self.step_down(),
        }
        Ok(())
    }
}
