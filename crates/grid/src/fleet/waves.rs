//! A round of maintenance: empty what is next, take down what is empty, and say what is done.

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::upkeep::UpkeepPlan;

use crate::fleet::{Fleet, ORDER_TIMEOUT};
use crate::keys;
use crate::ports::{CallError, Committed, Platform, Put, Revision, Txn, VmOrderError};

impl<P: Platform> Fleet<P> {
    pub(super) async fn round(&self) -> Result<(), CallError> {
        self.show_new().await?;
        let vms = self.vms().await?;
        let empty = self.emptied(&vms).await?;
        let plan: UpkeepPlan = self.upkeep.borrow().plan(&vms, &empty);
        self.order_evacuations(&vms, &plan.evacuate).await?;
        for (vm, wave) in plan.take_down {
            if self.may_order() && self.take_down(&vm, wave).await {
                self.begun(vm, wave).await?;
            }
        }
        for wave in plan.completed {
            self.complete(wave).await?;
        }
        Ok(())
    }

    /// Shows the operators that waves have been taken up.
    async fn show_new(&self) -> Result<(), CallError> {
        let new: Vec<u64> = {
            let (upkeep, stored) = (self.upkeep.borrow(), self.stored.borrow());
            let numbers = upkeep.waves.keys();
            numbers
                .filter(|number| !stored.contains_key(number))
                .copied()
                .collect()
        };
        for wave in new {
            self.save(wave).await?;
        }
        Ok(())
    }

    /// Orders a VM's maintenance; returns whether that is confirmed.
    async fn take_down(&self, vm: &VmId, wave: u64) -> bool {
        let holder = self.holder();
        let platform = &self.entry.platform;
        let result = platform.maintain_vm(&holder, vm, wave, ORDER_TIMEOUT).await;
        log::info!(target: "maintenance", vm:% = vm, wave, token:% = self.held.token(), result:?; "VM ordered down for maintenance.");
        let now = self.entry.now();
        match result {
            Ok(()) => {
                self.ordered.borrow_mut().insert(vm.clone(), now);
                true
            }
            Err(VmOrderError::Unknown(_)) => {
                // It may be down. Repeating the order is harmless, and confirms it.
                self.ordered.borrow_mut().insert(vm.clone(), now);
                false
            }
            Err(VmOrderError::Fenced) => {
                self.lose();
                false
            }
            Err(VmOrderError::Busy | VmOrderError::Invalid | VmOrderError::NotDone(_)) => false,
        }
    }

    /// Stores that a VM's maintenance has begun.
    async fn begun(&self, vm: VmId, wave: u64) -> Result<(), CallError> {
        if let Some(running) = self.upkeep.borrow_mut().waves.get_mut(&wave) {
            running.progress.begun.insert(vm);
        }
        self.save(wave).await
    }

    async fn complete(&self, wave: u64) -> Result<(), CallError> {
        if let Some(running) = self.upkeep.borrow_mut().waves.get_mut(&wave) {
            running.progress.is_completed = true;
        }
        let saved = self.save(wave).await;
        if saved.is_ok() {
            log::info!(target: "maintenance", wave; "Wave completed.");
        } else if let Some(running) = self.upkeep.borrow_mut().waves.get_mut(&wave) {
            running.progress.is_completed = false;
        }
        saved
    }

    /// Stores a wave's progress, and shows the operators how far it is.
    async fn save(&self, wave: u64) -> Result<(), CallError> {
        let Some(progress) = self
            .upkeep
            .borrow()
            .waves
            .get(&wave)
            .map(|running| running.progress.clone())
        else {
            return Ok(());
        };
        let key = keys::wave(wave);
        let revision = self
            .stored
            .borrow()
            .get(&wave)
            .copied()
            .unwrap_or(Revision::ABSENT);
        let shown = self.entry.platform.wave_status(wave, progress.is_completed);
        let txn = Txn {
            expect: vec![self.held.guard(), (key.clone(), revision)],
            put: vec![
                Put {
                    key: key.clone(),
                    value: keys::encode(&progress),
                    lease: None,
                },
                shown,
            ],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.stored.borrow_mut().insert(wave, revision);
                Ok(())
            }
            Committed::Conflict(conflict) => {
                let (role, held) = self.held.guard();
                let is_held = conflict
                    .items
                    .iter()
                    .any(|item| item.key == role && item.revision == held);
                if !is_held {
                    self.lose();
                }
                for item in conflict.items {
                    if item.key == key {
                        self.stored.borrow_mut().insert(wave, item.revision);
                    }
                }
                Err(CallError::NotDone("the wave's progress has changed".into()))
            }
        }
    }
}
