//! Sizes the pools: plans the moves of VMs between pools and commands them.

use std::collections::{BTreeMap, BTreeSet};

use futures_util::future::join_all;
use goldcrest_jobs::id::VmId;
use goldcrest_jobs::size::{PoolLoad, SizeInputs, SizePlan};
use goldcrest_jobs::upkeep::Vm;
use goldcrest_types::names::PoolName;

use crate::fleet::{COMMAND_TIMEOUT, Fleet};
use crate::keys;
use crate::ports::{CallError, Committed, Item, Platform, Put, Txn, VmCommandError};

/// Logs the counts from which the moves were planned, for the pools that release or receive VMs.
fn log_sizes(plan: &SizePlan, vms: &BTreeMap<VmId, Vm>) {
    if plan.moves.is_empty() {
        return;
    }
    let from = plan.moves.iter().filter_map(|(vm, _)| vms.get(vm));
    let mut concerned: BTreeSet<&PoolName> = from.map(|vm| &vm.pool).collect();
    concerned.extend(plan.moves.iter().map(|(_, to)| to));
    let counts = plan.counts.iter();
    let counts = counts.filter(|count| concerned.contains(&count.pool));
    let pools: Vec<_> = counts.map(ToString::to_string).collect();
    log::info!(target: "sizing", moves = plan.moves.len(), leaving = plan.evacuate.len(), pools = pools.join("; "); "Pools sized.");
}

impl<P: Platform> Fleet<P> {
    /// Whether a move may be due: a pool has a backlog or is busy, VMs may be outside their home pools, or the home
    /// pools are not known yet.
    pub(super) fn may_need_moves(&self) -> bool {
        if self.spare().is_none() {
            return false;
        }
        let sizes = self.sizes.borrow();
        let statuses = self.statuses.borrow();
        sizes.homes.is_empty()
            || sizes.has_displaced_vms()
            || statuses
                .values()
                .any(|status| status.backlog > 0 || status.is_busy())
    }

    pub(super) fn plan_sizes(
        &self,
        vms: &BTreeMap<VmId, Vm>,
        empty: &BTreeSet<VmId>,
        in_waves: &BTreeSet<VmId>,
        cordoned: &BTreeSet<VmId>,
    ) -> SizePlan {
        let Some(spare) = self.spare() else {
            return SizePlan::default();
        };
        let loads: BTreeMap<PoolName, PoolLoad> = self
            .statuses
            .borrow()
            .iter()
            .map(|(pool, status)| {
                let load = PoolLoad {
                    capacity_millis: status.capacity.cpu_millis,
                    used_millis: status.used.cpu_millis,
                    demand_millis: status.demand_millis,
                    backlog: status.backlog,
                    lightly_loaded: status.light.clone(),
                };
                (pool.clone(), load)
            })
            .collect();
        let inputs = SizeInputs {
            vms,
            empty,
            in_waves,
            cordoned,
            loads: &loads,
            spare: &spare,
        };
        let mut sizes = self.sizes.borrow_mut();
        let plan = sizes.plan(&inputs, self.entry.now());
        for (pool, change) in sizes.take_changes() {
            let vms = vms.values().filter(|vm| vm.pool == pool).count();
            log::info!(target: "sizing", pool:%, vms, change:?; "Pool's turn.");
            self.busy_periods_changed.set(true);
        }
        log_sizes(&plan, vms);
        plan
    }

    /// Sends the moves of a cycle concurrently, as a pool that is short of VMs waits for the last of them.
    pub(super) async fn send_moves(&self, moves: Vec<(VmId, PoolName)>) {
        let orders = moves
            .into_iter()
            .filter(|(vm, _)| self.may_send_command(vm))
            .map(|(vm, pool)| self.send_move(vm, pool));
        join_all(orders).await;
    }

    async fn send_move(&self, vm: VmId, pool: PoolName) {
        let Some(holder) = self.holder() else {
            return;
        };
        let platform = &self.entry.platform;
        let pending = self.begin_command(&vm);
        let result = platform.move_vm(&holder, &vm, &pool, COMMAND_TIMEOUT).await;
        drop(pending);
        log::info!(target: "sizing", vm:% = vm, to:% = pool, token:% = self.held.token(), result:?; "VM ordered to another pool.");
        match result {
            // A command without an answer may have been carried out; the list of VMs shows it.
            Ok(()) | Err(VmCommandError::Unknown(_)) => {
                let now = self.entry.now();
                self.sizes.borrow_mut().record_move(&vm, &pool, now);
            }
            Err(VmCommandError::Fenced) => self.step_down(),
            Err(VmCommandError::Busy | VmCommandError::Invalid | VmCommandError::NotDone(_)) => {}
        }
    }

    pub(super) fn ingest_homes(&self, item: &Item) {
        match keys::decode(&item.key, &item.value) {
            Ok(homes) => {
                self.sizes.borrow_mut().homes = homes;
                self.homes_revision.set(item.revision);
            }
            Err(error) => log::error!(target: "sizing", error:%; "Ignoring malformed home pools."),
        }
    }

    /// Stores the home pool of each VM that was not listed before, which is the pool that it is in now.
    pub(super) async fn store_homes(&self, vms: &BTreeMap<VmId, Vm>) -> Result<(), CallError> {
        if !self.sizes.borrow_mut().record_homes(vms) {
            return Ok(());
        }
        let homes = keys::encode(&self.sizes.borrow().homes);
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (keys::HOMES.into(), self.homes_revision.get()),
            ],
            puts: vec![Put {
                key: keys::HOMES.into(),
                value: homes,
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => self.homes_revision.set(revision),
            Committed::Conflict(conflict) => {
                self.check_role(&conflict);
                for item in &conflict.items {
                    if item.key.as_ref() == keys::HOMES {
                        self.ingest_homes(item);
                    }
                }
            }
        }
        Ok(())
    }
}
