//! The VMs of one data centre: each one's pool, its state, and the permit under which it is out of service.
//!
//! Invariants, kept by every edit: a VM has one record and so one pool; a permit is given only while the VMs of the
//! pool that are out of service, failed ones included, stay within the budget; an edit of a pool is refused if a holder
//! with a newer epoch has edited the pool.
//!
//! - [`vm`]: a VM's record and state.

pub mod vm;

use std::collections::BTreeMap;

use goldcrest_types::names::{EditId, EntryId, PoolName, RackName, VmName};
use goldcrest_types::units::{Epoch, VmCount};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use vm::{FleetVm, Permit, Purpose, VmState};

use crate::document::{Document, RecentEdits};

/// One step of an edit of a data centre's fleet document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmEdit {
    /// Adds the record of a VM that joins a pool. Refused if the VM has a record.
    Enrol {
        /// The VM's name on the platform's list.
        vm: VmName,
        /// The pool that it joins.
        pool: PoolName,
        /// The rack of its host.
        rack: RackName,
        /// Number of starts so far.
        boots: u64,
    },
    /// Removes the record of a VM that is no longer on the platform's list.
    Remove {
        /// The VM to remove.
        vm: VmName,
    },
    /// Marks a VM as failed.
    Fail {
        /// The VM that failed.
        vm: VmName,
    },
    /// Puts a joining, rebooting or failed VM into service. Refused after a requested reboot until the VM has started
    /// once more.
    Serve {
        /// The VM that is ready.
        vm: VmName,
        /// Number of starts so far.
        boots: u64,
    },
    /// Begins to take a VM out of service. Refused if the pool's availability budget is used up.
    Drain {
        /// The VM in service.
        vm: VmName,
        /// The permit that the VM gets: the holder, its epoch and the purpose.
        permit: Permit,
        /// Number of VMs of its pool that may be out of service, including this one.
        budget: VmCount,
    },
    /// Returns a draining VM to service and ends its permit.
    Cancel {
        /// The draining VM.
        vm: VmName,
        /// The epoch in which the editor holds the pool's role.
        epoch: Epoch,
    },
    /// Marks a drained VM as rebooting.
    Reboot {
        /// The VM, which drains for maintenance.
        vm: VmName,
        /// The epoch in which the editor holds the pool's role.
        epoch: Epoch,
    },
    /// Moves a drained VM to the pool that its permit names, where it joins.
    Move {
        /// The VM, which drains for a move.
        vm: VmName,
        /// The epoch in which the editor holds the role of the pool that the VM leaves.
        epoch: Epoch,
    },
    /// Assigns the permits of a pool to the new holder of its role.
    TakeOver {
        /// The pool whose permits are taken over.
        pool: PoolName,
        /// The entry that holds the pool's role.
        holder: EntryId,
        /// The epoch in which it holds the role.
        epoch: Epoch,
    },
}

quick_error! {
    /// Why an edit of a fleet document was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FleetRefusal {
        /// The VM has a record already.
        Enrolled(vm: VmName, pool: PoolName) {
            display("VM '{vm}' is in pool '{pool}' already: move it instead")
        }
        /// The VM has no record.
        NoVm(vm: VmName) {
            display("VM '{vm}' has no record: enrol it first")
        }
        /// The VM's state, or the purpose of its permit, does not allow the step.
        State(vm: VmName, state: VmState) {
            display("VM '{vm}' is {state}: read the value again")
        }
        /// As many VMs of the pool are out of service as the budget allows.
        Budget(pool: PoolName, unavailable: VmCount, budget: VmCount) {
            display("pool '{pool}': {unavailable} VMs are out of service of {budget} allowed: wait until one is back")
        }
        /// A holder with a newer epoch has edited the pool.
        Fenced(pool: PoolName, found: Epoch, current: Epoch) {
            display("pool '{pool}': epoch {found} is older than {current}: give up the role and acquire it again")
        }
        /// The VM has not started since its reboot was requested.
        NotRebooted(vm: VmName, boots: u64) {
            display("VM '{vm}' has still started {boots} times: wait for its reboot")
        }
    }
}

/// The VMs of one data centre, as stored under `fleet/<data centre>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDoc {
    edits: RecentEdits,
    vms: BTreeMap<VmName, FleetVm>,
    epochs: BTreeMap<PoolName, Epoch>,
}

impl FleetDoc {
    /// Returns the records of all enrolled VMs.
    #[must_use]
    pub const fn vms(&self) -> &BTreeMap<VmName, FleetVm> {
        &self.vms
    }

    /// Returns the highest epoch of a holder that has edited `pool`, or zero.
    #[must_use]
    pub fn epoch(&self, pool: &PoolName) -> Epoch {
        self.epochs.get(pool).copied().unwrap_or(Epoch::ZERO)
    }

    /// Returns the number of VMs of `pool` that are out of service, by permit or after a failure.
    #[must_use]
    pub fn unavailable(&self, pool: &PoolName) -> VmCount {
        self.count(pool, |vm| vm.state.is_unavailable())
    }

    /// Returns the number of VMs of `pool` that are out of service by permit.
    #[must_use]
    pub fn permitted(&self, pool: &PoolName) -> VmCount {
        self.count(pool, |vm| vm.permit.is_some())
    }

    fn count(&self, pool: &PoolName, is_counted: impl Fn(&FleetVm) -> bool) -> VmCount {
        let vms = self.vms.values();
        let found = vms.filter(|vm| vm.pool == *pool && is_counted(vm)).count();
        VmCount::new(u32::try_from(found).unwrap_or(u32::MAX))
    }

    /// Applies all steps of an edit, or none. An edit that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the first step that is refused.
    pub fn apply(&mut self, id: EditId, steps: &[VmEdit]) -> Result<(), FleetRefusal> {
        if self.has_edit(id) {
            return Ok(());
        }
        let mut next = self.clone();
        for step in steps {
            next.step(step)?;
        }
        next.edits.push(id);
        *self = next;
        Ok(())
    }

    fn step(&mut self, step: &VmEdit) -> Result<(), FleetRefusal> {
        match step {
            VmEdit::Enrol {
                vm,
                pool,
                rack,
                boots,
            } => self.enrol(vm, FleetVm::new(pool.clone(), rack.clone(), *boots)),
            VmEdit::Remove { vm } => self.remove(vm),
            VmEdit::Fail { vm } => {
                self.vm_mut(vm)?.fail();
                Ok(())
            }
            VmEdit::Serve { vm, boots } => self.vm_mut(vm)?.serve(vm, *boots),
            VmEdit::Drain { vm, permit, budget } => self.drain(vm, permit, *budget),
            VmEdit::Cancel { vm, epoch } => self.fenced(vm, *epoch)?.cancel(vm),
            VmEdit::Reboot { vm, epoch } => self.fenced(vm, *epoch)?.reboot(vm),
            VmEdit::Move { vm, epoch } => self.fenced(vm, *epoch)?.change_pool(vm),
            VmEdit::TakeOver {
                pool,
                holder,
                epoch,
            } => self.take_over(pool, *holder, *epoch),
        }
    }

    fn vm_mut(&mut self, vm: &VmName) -> Result<&mut FleetVm, FleetRefusal> {
        let found = self.vms.get_mut(vm);
        found.ok_or_else(|| FleetRefusal::NoVm(vm.clone()))
    }

    fn fence(&mut self, pool: &PoolName, epoch: Epoch) -> Result<(), FleetRefusal> {
        let current = self.epoch(pool);
        if epoch < current {
            return Err(FleetRefusal::Fenced(pool.clone(), epoch, current));
        }
        self.epochs.insert(pool.clone(), epoch);
        Ok(())
    }

    /// Returns the VM's record, unless a holder with a newer epoch has edited its pool.
    fn fenced(&mut self, vm: &VmName, epoch: Epoch) -> Result<&mut FleetVm, FleetRefusal> {
        let pool = self.vm_mut(vm)?.pool.clone();
        self.fence(&pool, epoch)?;
        self.vm_mut(vm)
    }

    fn enrol(&mut self, vm: &VmName, record: FleetVm) -> Result<(), FleetRefusal> {
        if let Some(known) = self.vms.get(vm) {
            return Err(FleetRefusal::Enrolled(vm.clone(), known.pool.clone()));
        }
        self.vms.insert(vm.clone(), record);
        Ok(())
    }

    fn remove(&mut self, vm: &VmName) -> Result<(), FleetRefusal> {
        let removed = self.vms.remove(vm);
        removed
            .map(|_| ())
            .ok_or_else(|| FleetRefusal::NoVm(vm.clone()))
    }

    fn drain(&mut self, vm: &VmName, permit: &Permit, budget: VmCount) -> Result<(), FleetRefusal> {
        let record = self.fenced(vm, permit.epoch)?;
        if record.state != VmState::Serving {
            return Err(FleetRefusal::State(vm.clone(), record.state));
        }
        let pool = record.pool.clone();
        let unavailable = self.unavailable(&pool);
        if unavailable >= budget {
            return Err(FleetRefusal::Budget(pool, unavailable, budget));
        }
        let record = self.vm_mut(vm)?;
        record.state = VmState::Draining;
        record.permit = Some(permit.clone());
        Ok(())
    }

    fn take_over(
        &mut self,
        pool: &PoolName,
        holder: EntryId,
        epoch: Epoch,
    ) -> Result<(), FleetRefusal> {
        self.fence(pool, epoch)?;
        let of_pool = self.vms.values_mut().filter(|vm| vm.pool == *pool);
        for permit in of_pool.filter_map(|vm| vm.permit.as_mut()) {
            permit.holder = holder;
            permit.epoch = epoch;
        }
        Ok(())
    }
}

impl Document for FleetDoc {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
