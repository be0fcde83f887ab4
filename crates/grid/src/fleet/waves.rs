//! Maintenance waves: takes down what is empty, and says what is done.

use std::collections::{BTreeMap, BTreeSet};

use futures_util::future::join_all;
use goldcrest_jobs::id::VmId;
use goldcrest_jobs::upkeep::{Facts, UpkeepPlan, Vm};
use goldcrest_types::names::PoolName;

use crate::fleet::{Fleet, ORDER_TIMEOUT};
use crate::keys;
use crate::ports::{CallError, Committed, Platform, Put, Revision, Txn, VmOrderError};

impl<P: Platform> Fleet<P> {
    /// Whether a wave is under way.
    pub(super) fn has_waves(&self) -> bool {
        let upkeep = self.upkeep.borrow();
        let mut waves = upkeep.waves.values();
        waves.any(|wave| !wave.progress.is_completed)
    }

    pub(super) fn plan_waves(
        &self,
        vms: &BTreeMap<VmId, Vm>,
        empty: &BTreeSet<VmId>,
    ) -> UpkeepPlan {
        let mut load_milli: BTreeMap<PoolName, u64> = self
            .statuses
            .borrow()
            .iter()
            .map(|(pool, status)| {
                let has = status.capacity.cpu_millis.max(1);
                // The work that waits counts as if it were to be done in a second.
                let wanted = status.used.cpu_millis + status.backlog / 1_000;
                (pool.clone(), wanted.saturating_mul(1_000) / has)
            })
            .collect();
        // Spare VMs are about to move to a pool in its turn.
        let most = load_milli.values().max().copied().unwrap_or_default();
        load_milli.extend(self.spare().map(|spare| (spare, most)));
        let facts = Facts {
            vms,
            empty,
            load_milli: &load_milli,
            wall_ms: self.entry.wall_ms(),
        };
        self.upkeep.borrow_mut().plan(&facts)
    }

    /// Sends the orders of a round together and stores their outcome at once: one after the other, the round of a large wave
    /// would last longer than a turn can wait for its VMs.
    pub(super) async fn carry_out_waves(&self, plan: UpkeepPlan) -> Result<(), CallError> {
        let orders = plan
            .take_down
            .into_iter()
            .filter(|(vm, _)| self.may_order(vm))
            .map(|(vm, wave)| async move {
                let is_confirmed = self.take_down(&vm, wave).await;
                is_confirmed.then_some((vm, wave))
            });
        let begun: Vec<(VmId, u64)> = join_all(orders).await.into_iter().flatten().collect();
        for wave in self.note_begun(begun) {
            self.save(wave).await?;
        }
        for wave in plan.completed {
            self.complete(wave).await?;
        }
        Ok(())
    }

    /// Shows the operators that waves have been taken up.
    pub(super) async fn show_new_waves(&self) -> Result<(), CallError> {
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
        let Some(holder) = self.holder() else {
            return false;
        };
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

    /// Notes the VMs whose maintenance has begun; returns their waves.
    fn note_begun(&self, begun: Vec<(VmId, u64)>) -> BTreeSet<u64> {
        let mut upkeep = self.upkeep.borrow_mut();
        let mut waves = BTreeSet::new();
        for (vm, wave) in begun {
            if let Some(running) = upkeep.waves.get_mut(&wave) {
                running.chosen.remove(&vm);
                running.progress.begun.insert(vm);
                waves.insert(wave);
            }
        }
        waves
    }

    async fn complete(&self, wave: u64) -> Result<(), CallError> {
        self.set_completed(wave, true);
        let saved = self.save(wave).await;
        if saved.is_ok() {
            log::info!(target: "maintenance", wave; "Wave completed.");
        } else {
            self.set_completed(wave, false);
        }
        saved
    }

    fn set_completed(&self, wave: u64, is_completed: bool) {
        if let Some(running) = self.upkeep.borrow_mut().waves.get_mut(&wave) {
            running.progress.is_completed = is_completed;
        }
    }

    /// Stores a wave's progress, and shows the operators how far it is.
    async fn save(&self, wave: u64) -> Result<(), CallError> {
        let progress = {
            let upkeep = self.upkeep.borrow();
            upkeep.waves.get(&wave).map(|it| it.progress.clone())
        };
        let Some(progress) = progress else {
            return Ok(());
        };
        let key = keys::wave(wave);
        let known = self.stored.borrow().get(&wave).copied();
        let shown = self.entry.platform.wave_status(wave, progress.is_completed);
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (key.clone(), known.unwrap_or(Revision::ABSENT)),
            ],
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
                self.check_held(&conflict);
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
