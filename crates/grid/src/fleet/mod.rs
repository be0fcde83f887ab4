//! The fleet's holder: carries out maintenance waves and sizes the pools.
//!
//! It asks the pools' schedulers to empty the VMs that are next, and orders the maintenance or the move of a VM once its
//! scheduler has published that nothing runs there. All orders about VMs come from this one holder, so their tokens never
//! fall. Its own progress is stored after each confirmed order; all else is read from the platform's list and the pools'
//! statuses, so another holder can go on at any time.

mod evacuation;
mod moves;
mod recent;
mod sweep;
mod turns;
mod waves;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::recent::RecentOrders;
use goldcrest_jobs::size::Sizes;
use goldcrest_jobs::upkeep::{Running, Upkeep, Vm, VmState, Wave, WaveProgress};
use goldcrest_types::names::PoolName;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::entry::{Entry, STORE_TIMEOUT};
use crate::keys::{self, Evacuation, PoolStatus};
use crate::members::Held;
use crate::ports::{CallError, Change, Conflict, Holder, Item, Platform, Revision};

/// The least time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(50);

/// A round is due at least this often while VMs are on their way, empty or down.
const ROUND_BUSY: Duration = Duration::from_millis(350);

/// A round is due at least this often.
const ROUND_IDLE: Duration = Duration::from_secs(2);

/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long an order about a VM may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Added to the time that a VM is down before it is held to be back on the list's word alone.
const LIST_LAG: Duration = Duration::from_millis(700);

/// Added to the time within which two holders may not give orders about one VM.
const GAP_MARGIN: Duration = Duration::from_millis(300);

/// How long a watch of the pools' statuses waits. Until a silent one is noticed, no pool gets VMs.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// What the holder knows.
pub struct Fleet<P: Platform> {
    entry: Rc<Entry<P>>,
    held: Held,
    upkeep: RefCell<Upkeep>,
    sizes: RefCell<Sizes>,
    statuses: RefCell<BTreeMap<PoolName, PoolStatus>>,
    status_changed: Notify,
    /// The pools' statuses have been listed since this holder began.
    has_statuses: Cell<bool>,
    /// What the store holds of the waves' progress.
    stored: RefCell<BTreeMap<u64, Revision>>,
    homes_revision: Cell<Revision>,
    turns_revision: Cell<Revision>,
    /// A turn or a rest has begun or ended since they were stored.
    turns_changed: Cell<bool>,
    evacuations: RefCell<BTreeMap<PoolName, Evacuation>>,
    /// Maintenance that was confirmed or may have been carried out, and when.
    ordered: RefCell<BTreeMap<VmId, Instant>>,
    /// VMs about which orders were sent of late, here or by an earlier holder.
    recent: RefCell<RecentOrders>,
    recent_revision: Cell<Revision>,
    began_at: Instant,
    lost: CancellationToken,
}

/// Holds the role until it is lost or handed over.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>, held: Held, hand_over: CancellationToken) {
    let began_at = entry.now();
    let fleet = Fleet {
        entry,
        held,
        upkeep: RefCell::default(),
        sizes: RefCell::default(),
        statuses: RefCell::default(),
        status_changed: Notify::new(),
        has_statuses: Cell::new(false),
        stored: RefCell::default(),
        homes_revision: Cell::new(Revision::ABSENT),
        turns_revision: Cell::new(Revision::ABSENT),
        turns_changed: Cell::new(false),
        evacuations: RefCell::default(),
        ordered: RefCell::default(),
        recent: RefCell::default(),
        recent_revision: Cell::new(Revision::ABSENT),
        began_at,
        lost: CancellationToken::new(),
    };
    tokio::select! {
        () = fleet.lost.cancelled() => {}
        () = hand_over.cancelled() => {}
        () = fleet.hold() => {}
        () = fleet.follow_statuses() => {}
        () = fleet.keep_sweeping() => {}
    }
}

impl<P: Platform> Fleet<P> {
    async fn hold(&self) {
        while let Err(error) = self.load().await {
            log::warn!(target: "maintenance", error:%; "The fleet's progress can't be loaded yet.");
            tokio::time::sleep(RETRY_AFTER).await;
        }
        loop {
            self.take_waves();
            let result = self.round().await;
            if let Err(error) = &result {
                log::warn!(target: "maintenance", error:%; "A round was cut short.");
                tokio::time::sleep(RETRY_AFTER).await;
            }
            let pause = if matches!(result, Ok(true)) {
                ROUND_BUSY
            } else {
                ROUND_IDLE
            };
            tokio::time::sleep(ROUND_GAP).await;
            tokio::select! {
                () = self.status_changed.notified() => {}
                () = self.entry.waves_changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// One round; returns whether the next one is due soon.
    async fn round(&self) -> Result<bool, CallError> {
        if !self.has_statuses.get() {
            // A plan that knows no load would take VMs from a pool in its turn.
            return Ok(true);
        }
        self.show_new_waves().await?;
        let has_waves = self.has_waves();
        if !has_waves && !self.may_need_moves() {
            self.order_evacuations(&BTreeMap::new(), &BTreeSet::new())
                .await?;
            return Ok(false);
        }
        let vms = self.vms().await?;
        self.store_homes(&vms).await?;
        let empty = self.emptied(&vms);
        let waves = self.plan_waves(&vms, &empty);
        let sizes = self.plan_sizes(&vms, &empty, &waves.evacuate);
        self.store_turns().await;
        let evacuate = &waves.evacuate | &sizes.evacuate;
        self.order_evacuations(&vms, &evacuate).await?;
        // VMs leave their pools first: those that take work wait for them.
        let mut next: BTreeSet<VmId> = sizes.moves.iter().map(|(vm, _)| vm.clone()).collect();
        next.extend(waves.take_down.iter().map(|(vm, _)| vm.clone()));
        self.note_orders(next).await?;
        self.order_moves(sizes.moves).await;
        self.carry_out_waves(waves).await?;
        Ok(has_waves || !evacuate.is_empty())
    }

    /// The sender of orders, while the role certainly stands.
    fn holder(&self) -> Option<Holder> {
        let session = (*self.entry.session.borrow())?;
        let is_valid = session.lease == self.held.lease && self.entry.now() < session.valid_until;
        is_valid.then(|| Holder {
            entry: self.entry.settings().name.clone(),
            token: self.held.token(),
            valid_until: session.valid_until,
        })
    }

    async fn load(&self) -> Result<(), CallError> {
        let page = self.entry.list(keys::WAVES, false).await?;
        for item in page.items {
            self.take_progress(&item);
        }
        if let Some(item) = self.entry.read(keys::HOMES).await? {
            self.take_homes(&item);
        }
        if let Some(item) = self.entry.read(keys::TURNS).await? {
            self.take_turns(&item);
        }
        self.load_recent().await
    }

    fn take_progress(&self, item: &Item) {
        let number = item.key.strip_prefix(keys::WAVES);
        let Some(number) = number.and_then(|number| number.parse().ok()) else {
            return;
        };
        match keys::decode::<WaveProgress>(&item.key, &item.value) {
            Ok(progress) => {
                self.stored.borrow_mut().insert(number, item.revision);
                // Its order is read apart from this.
                let wave = Wave {
                    number,
                    vms: Vec::new(),
                    time: Duration::ZERO,
                    at_once: 0,
                };
                let mut upkeep = self.upkeep.borrow_mut();
                upkeep.waves.insert(number, Running::new(wave, progress));
            }
            Err(error) => {
                log::error!(target: "maintenance", error:%; "A wave's progress is skipped.");
            }
        }
    }

    /// Takes the waves that the operators have ordered.
    fn take_waves(&self) {
        let mut upkeep = self.upkeep.borrow_mut();
        for (number, wave) in self.entry.waves.borrow().iter() {
            let running = upkeep.waves.entry(*number).or_insert_with(|| {
                let progress = WaveProgress {
                    taken_up_ms: self.entry.wall_ms(),
                    ..WaveProgress::default()
                };
                Running::new(wave.clone(), progress)
            });
            if running.wave != *wave {
                running.wave = wave.clone();
            }
        }
    }

    /// Follows what the pools' schedulers publish.
    async fn follow_statuses(&self) {
        loop {
            let mut after = match self.entry.list(keys::POOL_STATUSES, false).await {
                Ok(page) => {
                    self.statuses.borrow_mut().clear();
                    for item in &page.items {
                        self.take_status(item);
                    }
                    self.has_statuses.set(true);
                    self.status_changed.notify_one();
                    page.revision
                }
                Err(error) => {
                    log::warn!(target: "maintenance", error:%; "The pools' statuses can't be listed.");
                    tokio::time::sleep(RETRY_AFTER).await;
                    continue;
                }
            };
            loop {
                match self
                    .entry
                    .watch(keys::POOL_STATUSES, after, WATCH_WAIT)
                    .await
                {
                    Ok(watched) => {
                        after = watched.revision;
                        for change in watched.changes {
                            match change {
                                Change::Put(item) => self.take_status(&item),
                                Change::Removed { key, .. } => self.drop_status(&key),
                            }
                        }
                    }
                    Err(error) => {
                        log::info!(target: "maintenance", error:%; "The pools' statuses are listed again.");
                        tokio::time::sleep(RETRY_AFTER).await;
                        break;
                    }
                }
            }
        }
    }

    fn take_status(&self, item: &Item) {
        let pool = item.key.strip_prefix(keys::POOL_STATUSES);
        let Some(pool) = pool.and_then(|pool| pool.parse::<PoolName>().ok()) else {
            return;
        };
        match keys::decode::<PoolStatus>(&item.key, &item.value) {
            Ok(status) => {
                self.statuses.borrow_mut().insert(pool, status);
                self.status_changed.notify_one();
            }
            Err(error) => {
                log::warn!(target: "maintenance", error:%; "A pool's status is skipped.");
            }
        }
    }

    /// Without a scheduler nothing is known of the pool: none of its VMs counts as empty.
    fn drop_status(&self, key: &str) {
        let pool = key.strip_prefix(keys::POOL_STATUSES);
        if let Some(pool) = pool.and_then(|pool| pool.parse::<PoolName>().ok()) {
            self.statuses.borrow_mut().remove(&pool);
        }
    }

    /// The spare pool, if the catalogue has one.
    fn spare(&self) -> Option<PoolName> {
        let catalogue = self.entry.catalogue.borrow();
        let pools = catalogue.as_ref()?.catalogue.pools();
        let spare = pools.iter().find(|pool| pool.is_spare)?;
        Some(spare.name.clone())
    }

    /// VMs on which nothing runs and nothing will be started.
    fn emptied(&self, vms: &BTreeMap<VmId, Vm>) -> BTreeSet<VmId> {
        let statuses = self.statuses.borrow();
        let mut empty: BTreeSet<VmId> = statuses
            .values()
            .flat_map(|status| status.evacuated.iter().cloned())
            .collect();
        let spare = self.spare();
        let idle = vms.values().filter(|vm| Some(&vm.pool) == spare.as_ref());
        empty.extend(idle.map(|vm| vm.id.clone()));
        empty
    }

    fn lose(&self) {
        log::warn!(target: "maintenance", token:% = self.held.token(); "Role given up: its key has ended.");
        self.lost.cancel();
    }

    /// Gives the role up if a refused transaction shows that its key has ended.
    fn check_held(&self, conflict: &Conflict) {
        if !self.held.stands_in(conflict) {
            self.lose();
        }
    }

    /// The list of VMs, with those that were just ordered down counted as down.
    async fn vms(&self) -> Result<BTreeMap<VmId, Vm>, CallError> {
        let sent_at = self.entry.now();
        let listed = self.entry.platform.vms(STORE_TIMEOUT).await;
        let mut vms = self.entry.note("list VMs", sent_at, listed)?;
        let now = self.entry.now();
        let down_for = self.entry.settings().maintenance + LIST_LAG;
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
