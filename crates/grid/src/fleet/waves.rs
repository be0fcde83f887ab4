//! Maintenance waves: takes evacuated VMs down and reports the progress of waves to the operators.

use std::collections::{BTreeMap, BTreeSet};

use futures_util::future::join_all;
use goldcrest_jobs::id::VmId;
use goldcrest_jobs::upkeep::{UpkeepPlan, Vm, WaveInputs};
use goldcrest_types::names::PoolName;

use crate::fleet::{COMMAND_TIMEOUT, Fleet};
use crate::keys;
use crate::ports::{CallError, Committed, Platform, Put, Revision, Txn, VmCommandError};

impl<P: Platform> Fleet<P> {
    /// Whether any wave is not completed.
    pub(super) fn has_waves(&self) -> bool {
        let upkeep = self.upkeep.borrow();
        let mut waves = upkeep.waves.values();
        waves.any(|wave| !wave.progress.is_completed)
    }

    pub(super) fn plan_waves(
        &self,
        vms: &BTreeMap<VmId, Vm>,
        empty: &BTreeSet<VmId>,
        cordoned: &BTreeSet<VmId>,
    ) -> UpkeepPlan {
        // The load of each pool, in thousandths of its capacity.
        let mut load_milli: BTreeMap<PoolName, u64> = self
            .statuses
            .borrow()
            .iter()
            .map(|(pool, status)| {
                let capacity = status.capacity.cpu_millis.max(1);
                // Adds the processors that work off the backlog within 1 s. Its unit is a thousandth of a core times a
                // millisecond.
                let needed = status.used.cpu_millis + status.backlog / 1_000;
                (pool.clone(), needed.saturating_mul(1_000) / capacity)
            })
            .collect();
        // The spare pool gets the load of the busiest pool, because its VMs may be about to move there.
        let most = load_milli.values().max().copied().unwrap_or_default();
        load_milli.extend(self.spare().map(|spare| (spare, most)));
        let inputs = WaveInputs {
            vms,
            empty,
            cordoned,
            load_milli: &load_milli,
            wall_ms: self.entry.wall_ms(),
        };
        self.upkeep.borrow_mut().plan(&inputs)
    }

    /// Sends the commands of a cycle concurrently and stores their outcomes afterwards. Sent one by one, those of a
    /// large wave would hold up the moves of VMs to a busy pool for too long.
    pub(super) async fn execute_waves(&self, plan: UpkeepPlan) -> Result<(), CallError> {
        let orders = plan
            .take_down
            .into_iter()
            .filter(|(vm, _)| self.may_send_command(vm))
            .map(|(vm, wave)| async move {
                let is_confirmed = self.begin_maintenance(&vm, wave).await;
                is_confirmed.then_some((vm, wave))
            });
        let begun: Vec<(VmId, u64)> = join_all(orders).await.into_iter().flatten().collect();
        for wave in self.mark_begun(begun) {
            self.save(wave).await?;
        }
        for wave in plan.completed {
            self.complete(wave).await?;
        }
        Ok(())
    }

    /// Stores the progress of new waves, which shows the operators that the waves were accepted.
    pub(super) async fn publish_new_waves(&self) -> Result<(), CallError> {
        let new: Vec<u64> = {
            let (upkeep, wave_revisions) = (self.upkeep.borrow(), self.wave_revisions.borrow());
            let numbers = upkeep.waves.keys();
            numbers
                .filter(|number| !wave_revisions.contains_key(number))
                .copied()
                .collect()
        };
        for wave in new {
            self.save(wave).await?;
        }
        Ok(())
    }

    /// Sends the command to take a VM down for maintenance. Returns whether the platform has confirmed it.
    async fn begin_maintenance(&self, vm: &VmId, wave: u64) -> bool {
        let Some(holder) = self.holder() else {
            return false;
        };
        let platform = &self.entry.platform;
        let pending = self.begin_command(vm);
        let result = platform
            .maintain_vm(&holder, vm, wave, COMMAND_TIMEOUT)
            .await;
        drop(pending);
        log::info!(target: "maintenance", vm:% = vm, wave, token:% = self.held.token(), result:?; "Maintenance command for VM sent.");
        let now = self.entry.now();
        match result {
            Ok(()) => {
                self.maintenance_sent.borrow_mut().insert(vm.clone(), now);
                true
            }
            Err(VmCommandError::Unknown(_)) => {
                // The VM may be down. The command is idempotent; the next cycle repeats it to have it confirmed.
                self.maintenance_sent.borrow_mut().insert(vm.clone(), now);
                false
            }
            Err(VmCommandError::Fenced) => {
                self.step_down();
                false
            }
            Err(VmCommandError::Busy | VmCommandError::Invalid | VmCommandError::NotDone(_)) => {
                false
            }
        }
    }

    /// Records the VMs whose maintenance has begun. Returns their waves.
    fn mark_begun(&self, begun: Vec<(VmId, u64)>) -> BTreeSet<u64> {
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

    /// Stores a wave's progress together with the row that shows it to the operators.
    async fn save(&self, wave: u64) -> Result<(), CallError> {
        let progress = {
            let upkeep = self.upkeep.borrow();
            upkeep
                .waves
                .get(&wave)
                .map(|running| running.progress.clone())
        };
        let Some(progress) = progress else {
            return Ok(());
        };
        let key = keys::wave(wave);
        let known = self.wave_revisions.borrow().get(&wave).copied();
        let status_row = self.entry.platform.wave_status(wave, progress.is_completed);
        let mut expect = vec![
            self.held.guard(),
            (key.clone(), known.unwrap_or(Revision::ABSENT)),
        ];
        if progress.is_completed {
            // The operators may have changed the wave, and this entry may not have read it yet.
            expect.extend(self.wave_requests.borrow().get(&wave).cloned());
        }
        let txn = Txn {
            expect,
            puts: vec![
                Put {
                    key: key.clone(),
                    value: keys::encode(&progress),
                    lease: None,
                },
                status_row,
            ],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.wave_revisions.borrow_mut().insert(wave, revision);
                Ok(())
            }
            Committed::Conflict(conflict) => {
                self.check_role(&conflict);
                for item in conflict.items {
                    if item.key == key {
                        self.wave_revisions.borrow_mut().insert(wave, item.revision);
                    }
                }
                Err(CallError::NotDone(
                    "a row of the transaction has changed: the wave's progress or the role".into(),
                ))
            }
        }
    }
}
