//! The fleet's holder: carries out maintenance waves.
//!
//! It asks the pools' schedulers to empty the VMs that are next, and orders the maintenance of a VM once its scheduler has
//! published that nothing runs there. Its own progress is stored after each confirmed order; all else is read from the
//! platform's list and the pools' statuses, so another holder can go on at any time.

mod waves;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::{Running, Upkeep, Vm, VmState, WaveProgress};
use goldcrest_types::names::PoolName;
use tokio_util::sync::CancellationToken;

use crate::entry::{Entry, STORE_TIMEOUT};
use crate::keys::{self, Evacuation, PoolStatus};
use crate::members::Held;
use crate::ports::{CallError, Committed, Holder, Platform, Put, Revision, Txn};

/// The time between two rounds while a wave is under way.
const ROUND: Duration = Duration::from_millis(350);

/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long an order about a VM may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Added to the time that a VM is down before it is held to be back on the list's word alone.
const LIST_LAG: Duration = Duration::from_millis(700);

/// What the holder knows.
pub struct Fleet<P: Platform> {
    entry: Rc<Entry<P>>,
    held: Held,
    upkeep: RefCell<Upkeep>,
    /// What the store holds of the waves' progress.
    stored: RefCell<BTreeMap<u64, Revision>>,
    evacuations: RefCell<BTreeMap<PoolName, (Evacuation, Revision)>>,
    /// Orders that were confirmed or may have been carried out, and when.
    ordered: RefCell<BTreeMap<VmId, Instant>>,
    /// No order is sent before this time: an earlier holder may have sent one just before.
    quiet_until: Instant,
    lost: CancellationToken,
}

/// Holds the role until it is lost or handed over.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>, held: Held, hand_over: CancellationToken) {
    let quiet_until = entry.now() + entry.settings.vm_order_gap + LIST_LAG;
    let fleet = Fleet {
        entry,
        held,
        upkeep: RefCell::default(),
        stored: RefCell::default(),
        evacuations: RefCell::default(),
        ordered: RefCell::default(),
        quiet_until,
        lost: CancellationToken::new(),
    };
    tokio::select! {
        () = fleet.lost.cancelled() => {}
        () = hand_over.cancelled() => {}
        () = fleet.hold() => {}
    }
}

impl<P: Platform> Fleet<P> {
    async fn hold(&self) {
        while let Err(error) = self.load().await {
            log::warn!(target: "maintenance", error:%; "The waves' progress can't be loaded yet.");
            tokio::time::sleep(RETRY_AFTER).await;
        }
        loop {
            self.take_waves();
            let is_under_way = self
                .upkeep
                .borrow()
                .waves
                .values()
                .any(|wave| !wave.progress.is_completed);
            if !is_under_way {
                let ordered = self.entry.waves_changed.notified();
                // A wave may have been ordered while this round was under way.
                let _ = tokio::time::timeout(Duration::from_secs(1), ordered).await;
                continue;
            }
            if let Err(error) = self.round().await {
                log::warn!(target: "maintenance", error:%; "A round of maintenance was cut short.");
                tokio::time::sleep(RETRY_AFTER).await;
            }
            tokio::time::sleep(ROUND).await;
        }
    }

    /// Whether orders may be sent.
    fn may_order(&self) -> bool {
        self.entry.valid_lease() == Some(self.held.lease) && self.entry.now() >= self.quiet_until
    }

    fn holder(&self) -> Holder {
        Holder {
            entry: self.entry.settings.name.clone(),
            token: self.held.token(),
        }
    }

    async fn load(&self) -> Result<(), CallError> {
        let page = self.entry.list(keys::WAVES, false).await?;
        for item in page.items {
            let number = item
                .key
                .strip_prefix(keys::WAVES)
                .and_then(|number| number.parse().ok());
            let progress = keys::decode::<WaveProgress>(&item.key, &item.value);
            match (number, progress) {
                (Some(number), Ok(progress)) => {
                    self.stored.borrow_mut().insert(number, item.revision);
                    self.upkeep.borrow_mut().waves.insert(
                        number,
                        Running {
                            wave: goldcrest_jobs::upkeep::Wave {
                                number,
                                vms: Vec::new(),
                                time: Duration::ZERO,
                                at_once: 0,
                            },
                            progress,
                        },
                    );
                }
                (_, Err(error)) => {
                    log::error!(target: "maintenance", error:%; "A wave's progress is skipped.");
                }
                (None, Ok(_)) => {}
            }
        }
        Ok(())
    }

    /// Takes the waves that the operators have ordered.
    fn take_waves(&self) {
        let mut upkeep = self.upkeep.borrow_mut();
        for (number, wave) in self.entry.waves.borrow().iter() {
            let running = upkeep.waves.entry(*number).or_insert_with(|| Running {
                wave: wave.clone(),
                progress: WaveProgress::default(),
            });
            if running.wave != *wave {
                running.wave = wave.clone();
            }
        }
    }

    /// Reads what the pools' schedulers have published.
    async fn emptied(&self, vms: &BTreeMap<VmId, Vm>) -> Result<BTreeSet<VmId>, CallError> {
        let page = self.entry.list(keys::POOL_STATUSES, false).await?;
        let mut empty = BTreeSet::new();
        for item in page.items {
            match keys::decode::<PoolStatus>(&item.key, &item.value) {
                Ok(status) => empty.extend(status.evacuated),
                Err(error) => {
                    log::warn!(target: "maintenance", error:%; "A pool's status is skipped.");
                }
            }
        }
        let catalogue = self.entry.catalogue.borrow();
        let pools = catalogue.as_ref().map(|stored| stored.catalogue.pools());
        let spare: BTreeSet<&PoolName> = pools
            .into_iter()
            .flatten()
            .filter(|pool| pool.is_spare)
            .map(|pool| &pool.name)
            .collect();
        // Nothing runs on the VMs of a spare pool.
        let idle = vms.values().filter(|vm| spare.contains(&vm.pool));
        empty.extend(idle.map(|vm| vm.id.clone()));
        Ok(empty)
    }

    /// Hands each pool's scheduler the VMs that it is to empty.
    async fn order_evacuations(
        &self,
        vms: &BTreeMap<VmId, Vm>,
        wanted: &BTreeSet<VmId>,
    ) -> Result<(), CallError> {
        let mut by_pool: BTreeMap<PoolName, BTreeMap<WorkerId, VmId>> = BTreeMap::new();
        for pool in self.evacuations.borrow().keys() {
            by_pool.insert(pool.clone(), BTreeMap::new());
        }
        for vm in wanted.iter().filter_map(|vm| vms.get(vm)) {
            if let Some(worker) = &vm.worker {
                by_pool
                    .entry(vm.pool.clone())
                    .or_default()
                    .insert(worker.clone(), vm.id.clone());
            }
        }
        for (pool, vms) in by_pool {
            let evacuation = Evacuation { vms };
            let known = self.evacuations.borrow().get(&pool).cloned();
            if known.as_ref().is_some_and(|(it, _)| *it == evacuation) {
                continue;
            }
            self.write_evacuation(pool, evacuation).await?;
        }
        Ok(())
    }

    async fn write_evacuation(
        &self,
        pool: PoolName,
        evacuation: Evacuation,
    ) -> Result<(), CallError> {
        let key = keys::evacuation(&pool);
        let txn = Txn {
            expect: vec![self.held.guard()],
            put: vec![Put {
                key,
                value: keys::encode(&evacuation),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                log::info!(target: "maintenance", pool:% = pool, vms = evacuation.vms.len(); "VMs to empty ordered.");
                self.evacuations
                    .borrow_mut()
                    .insert(pool, (evacuation, revision));
            }
            Committed::Conflict(_) => self.lose(),
        }
        Ok(())
    }

    fn lose(&self) {
        log::warn!(target: "maintenance", token:% = self.held.token(); "Role given up: its key has ended.");
        self.lost.cancel();
    }

    /// The list of VMs, with those that were just ordered down counted as down.
    async fn vms(&self) -> Result<BTreeMap<VmId, Vm>, CallError> {
        let mut vms = self.entry.platform.vms(STORE_TIMEOUT).await?;
        let now = self.entry.now();
        let down_for = self.entry.settings.maintenance + LIST_LAG;
        self.ordered
            .borrow_mut()
            .retain(|_, at| now.saturating_duration_since(*at) < down_for);
        for vm in self.ordered.borrow().keys() {
            if let Some(vm) = vms.get_mut(vm) {
                vm.state = VmState::Maintained;
            }
        }
        Ok(vms)
    }
}
