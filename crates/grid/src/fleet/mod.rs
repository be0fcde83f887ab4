//! The fleet role: carries out maintenance waves and sizes the pools.
//!
//! The holder lists the VMs to evacuate for the pools' schedulers, and sends the command to maintain or move a VM once
//! the VM's scheduler has published that nothing runs there. All commands to VMs come from this one holder, so their
//! fencing tokens never decrease. The holder stores its progress after each confirmed command and reads everything else
//! from the platform's list of VMs and the pools' statuses, so another entry can take the role over at any time.

mod busy_periods;
mod evacuation;
mod moves;
mod recent;
mod sweep;
mod waves;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::size::Sizes;
use goldcrest_jobs::upkeep::{RunningWave, Upkeep, Vm, VmState, WaveProgress};
use goldcrest_types::names::PoolName;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::entry::{Entry, STORE_TIMEOUT};
use crate::keys::{self, PoolStatus};
use crate::members::HeldRole;
use crate::owned_key::OwnedKey;
use crate::ports::{CallError, Change, Conflict, Holder, Item, Platform, Revision};

/// The minimum time between two reconcile cycles.
const CYCLE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The maximum time between two cycles while a wave is open or VMs are being evacuated.
const CYCLE_INTERVAL_BUSY: Duration = Duration::from_millis(350);

/// The maximum time between two cycles otherwise.
const CYCLE_INTERVAL_IDLE: Duration = Duration::from_secs(2);

/// The delay before a failed store call is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The timeout of a command to a VM.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// The lag of the platform's list of VMs: added to the time for which a VM counts as down after its maintenance was
/// commanded, whatever the list shows.
const LIST_LAG: Duration = Duration::from_millis(700);

/// Added to the time within which two holders must not send commands to the same VM.
const COMMAND_GAP_MARGIN: Duration = Duration::from_millis(300);

/// How long a watch of the pools' statuses waits. Until a watch whose connection is dead is noticed, no pool is
/// assigned VMs.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The state of the holder of the fleet role.
pub struct Fleet<P: Platform> {
    entry: Rc<Entry<P>>,
    held: HeldRole,
    upkeep: RefCell<Upkeep>,
    sizes: RefCell<Sizes>,
    statuses: RefCell<BTreeMap<PoolName, PoolStatus>>,
    status_changed: Notify,
    /// Whether this holder has listed the pools' statuses.
    has_statuses: Cell<bool>,
    /// The stored progress of waves whose request this entry has not read. Nothing is decided about these waves.
    unread_waves: RefCell<BTreeMap<u64, WaveProgress>>,
    /// The key and the revision of the request by which each wave is planned.
    wave_requests: RefCell<BTreeMap<u64, (Box<str>, Revision)>>,
    /// The number of open waves in `unread_waves`, as of the last cycle.
    waves_waiting: Cell<usize>,
    /// The revision of each wave's stored progress. A wave that is absent here is not stored yet.
    wave_revisions: RefCell<BTreeMap<u64, Revision>>,
    homes_revision: Cell<Revision>,
    busy_periods_revision: Cell<Revision>,
    /// Whether a busy period or a cooldown has begun or ended since they were last stored.
    busy_periods_changed: Cell<bool>,
    /// The key of the list of VMs to evacuate of each pool that has one.
    evacuations: RefCell<BTreeMap<PoolName, Rc<OwnedKey>>>,
    /// VMs whose maintenance was confirmed or may have been carried out, with the time of the answer.
    maintenance_sent: RefCell<BTreeMap<VmId, Instant>>,
    /// The revision of the stored record of recent commands, which the next one replaces.
    recent_revision: Cell<Revision>,
    began_at: Instant,
    lost: CancellationToken,
}

/// Runs the fleet role until it is lost or handed over.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>, held: HeldRole, hand_over: CancellationToken) {
    let began_at = entry.now();
    let fleet = Fleet {
        entry,
        held,
        upkeep: RefCell::default(),
        sizes: RefCell::default(),
        statuses: RefCell::default(),
        status_changed: Notify::new(),
        has_statuses: Cell::new(false),
        unread_waves: RefCell::default(),
        wave_requests: RefCell::default(),
        waves_waiting: Cell::new(0),
        wave_revisions: RefCell::default(),
        homes_revision: Cell::new(Revision::ABSENT),
        busy_periods_revision: Cell::new(Revision::ABSENT),
        busy_periods_changed: Cell::new(false),
        evacuations: RefCell::default(),
        maintenance_sent: RefCell::default(),
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
            log::warn!(target: "maintenance", error:%; "Loading the progress of waves and moves failed; trying again.");
            tokio::time::sleep(RETRY_AFTER).await;
        }
        loop {
            self.ingest_waves();
            let result = self.run_cycle().await;
            if let Err(error) = &result {
                log::warn!(target: "maintenance", error:%; "A reconcile cycle of the fleet was aborted; trying again.");
                tokio::time::sleep(RETRY_AFTER).await;
            }
            let pause = if matches!(result, Ok(true)) {
                CYCLE_INTERVAL_BUSY
            } else {
                CYCLE_INTERVAL_IDLE
            };
            tokio::time::sleep(CYCLE_INTERVAL_MIN).await;
            tokio::select! {
                () = self.status_changed.notified() => {}
                () = self.entry.waves_changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Runs one reconcile cycle. Returns whether the next one is due after [`CYCLE_INTERVAL_BUSY`].
    async fn run_cycle(&self) -> Result<bool, CallError> {
        if !self.has_statuses.get() {
            // Without the pools' load a plan might take VMs from a pool in its busy period.
            return Ok(true);
        }
        self.publish_new_waves().await?;
        let has_waves = self.has_waves();
        if !has_waves && !self.may_need_moves() {
            self.publish_evacuations(&BTreeMap::new(), &BTreeSet::new())
                .await?;
            return Ok(false);
        }
        let vms = self.vms().await?;
        self.store_homes(&vms).await?;
        let empty = self.empty_vms(&vms);
        let cordoned = self.cordoned_vms(&vms);
        let waves = self.plan_waves(&vms, &empty, &cordoned);
        let sizes = self.plan_sizes(&vms, &empty, &waves.evacuate, &cordoned);
        self.store_busy_periods().await;
        let evacuate = &waves.evacuate | &sizes.evacuate;
        self.publish_evacuations(&vms, &evacuate).await?;
        // Moves go before maintenance, as the pools that receive these VMs have work waiting.
        let mut next: BTreeSet<VmId> = sizes.moves.iter().map(|(vm, _)| vm.clone()).collect();
        next.extend(waves.take_down.iter().map(|(vm, _)| vm.clone()));
        self.record_commands(next).await?;
        self.send_moves(sizes.moves).await;
        self.execute_waves(waves).await?;
        Ok(has_waves || !evacuate.is_empty())
    }

    /// Returns the sender of commands to VMs, or `None` unless this entry certainly still holds the role.
    fn holder(&self) -> Option<Holder> {
        let session = self.entry.session.get()?;
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
            self.ingest_progress(&item);
        }
        if let Some(item) = self.entry.read(keys::HOMES).await? {
            self.ingest_homes(&item);
        }
        if let Some(item) = self.entry.read(keys::BUSY_PERIODS).await? {
            self.ingest_busy_periods(&item);
        }
        self.load_evacuations().await?;
        self.load_recent_commands().await
    }

    fn ingest_progress(&self, item: &Item) {
        let number = item.key.strip_prefix(keys::WAVES);
        let Some(number) = number.and_then(|number| number.parse().ok()) else {
            return;
        };
        match keys::decode::<WaveProgress>(&item.key, &item.value) {
            Ok(progress) => {
                self.wave_revisions
                    .borrow_mut()
                    .insert(number, item.revision);
                self.unread_waves.borrow_mut().insert(number, progress);
            }
            Err(error) => {
                log::error!(target: "maintenance", error:%; "Ignoring a wave's stored progress that can't be decoded.");
            }
        }
    }

    /// Adds the waves whose requests this entry has read, with their stored progress, and updates those that the
    /// operators have changed.
    fn ingest_waves(&self) {
        let mut upkeep = self.upkeep.borrow_mut();
        let mut unread = self.unread_waves.borrow_mut();
        let mut requests = self.wave_requests.borrow_mut();
        for (number, stored) in self.entry.waves.borrow().iter() {
            let running = upkeep.waves.entry(*number).or_insert_with(|| {
                let progress = unread.remove(number).unwrap_or_else(|| WaveProgress {
                    taken_up_ms: self.entry.wall_ms(),
                    ..WaveProgress::default()
                });
                RunningWave::new(stored.wave.clone(), progress)
            });
            if running.wave != stored.wave {
                running.wave = stored.wave.clone();
            }
            requests.insert(*number, (stored.key.clone(), stored.revision));
        }
        let waiting = unread.values().filter(|progress| !progress.is_completed);
        let waiting = waiting.count();
        if waiting != self.waves_waiting.replace(waiting) && waiting > 0 {
            log::warn!(target: "maintenance", waves = waiting; "Waves wait until their requests are read.");
        }
    }

    /// Watches the statuses that the pools' schedulers publish.
    async fn follow_statuses(&self) {
        loop {
            let mut after = match self.entry.list(keys::POOL_STATUSES, false).await {
                Ok(page) => {
                    self.statuses.borrow_mut().clear();
                    for item in &page.items {
                        self.ingest_status(item);
                    }
                    self.has_statuses.set(true);
                    self.status_changed.notify_one();
                    page.revision
                }
                Err(error) => {
                    log::warn!(target: "maintenance", error:%; "Listing the pools' statuses failed; trying again.");
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
                                Change::Put(item) => self.ingest_status(&item),
                                Change::Removed { key, .. } => self.remove_status(&key),
                            }
                        }
                    }
                    Err(error) => {
                        log::info!(target: "maintenance", error:%; "Watching the pools' statuses failed; listing them again.");
                        tokio::time::sleep(RETRY_AFTER).await;
                        break;
                    }
                }
            }
        }
    }

    fn ingest_status(&self, item: &Item) {
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
                log::warn!(target: "maintenance", error:%; "Ignoring a pool's status that can't be decoded.");
            }
        }
    }

    /// Removes the status of a pool whose scheduler has gone. None of the pool's VMs counts as empty without it.
    fn remove_status(&self, key: &str) {
        let pool = key.strip_prefix(keys::POOL_STATUSES);
        if let Some(pool) = pool.and_then(|pool| pool.parse::<PoolName>().ok()) {
            self.statuses.borrow_mut().remove(&pool);
        }
    }

    /// The spare pool, if the catalogue has one.
    fn spare(&self) -> Option<PoolName> {
        let catalogue = self.entry.catalogue.get();
        let pools = catalogue.as_ref()?.catalogue.pools();
        let spare = pools.iter().find(|pool| pool.is_spare)?;
        Some(spare.name.clone())
    }

    /// VMs on which nothing runs and nothing will be started: evacuated VMs and those of the spare pool.
    fn empty_vms(&self, vms: &BTreeMap<VmId, Vm>) -> BTreeSet<VmId> {
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

    /// The VMs in cordoned data centres. One whose data centre is unknown counts as cordoned while any is.
    fn cordoned_vms(&self, vms: &BTreeMap<VmId, Vm>) -> BTreeSet<VmId> {
        let dcs = self.entry.cordoned.get();
        let is_cordoned = |vm: &&Vm| match &vm.dc {
            Some(dc) => dcs.contains(dc),
            None => !dcs.is_empty(),
        };
        let cordoned = vms.values().filter(is_cordoned);
        cordoned.map(|vm| vm.id.clone()).collect()
    }

    fn step_down(&self) {
        log::warn!(target: "maintenance", token:% = self.held.token(); "Fleet role given up: another entry may hold it.");
        self.lost.cancel();
    }

    /// Gives up the role if a conflict shows that the role's key was removed or replaced.
    fn check_role(&self, conflict: &Conflict) {
        if !self.held.is_held_in(conflict) {
            self.step_down();
        }
    }

    /// The platform's list of VMs, corrected for its lag: VMs that were just sent down for maintenance count as down.
    async fn vms(&self) -> Result<BTreeMap<VmId, Vm>, CallError> {
        let sent_at = self.entry.now();
        let listed = self.entry.platform.vms(STORE_TIMEOUT).await;
        let mut vms = self.entry.record_call("list VMs", sent_at, listed)?;
        let now = self.entry.now();
        let down_for = self.entry.settings().maintenance_time + LIST_LAG;
        self.maintenance_sent
            .borrow_mut()
            .retain(|_, at| now.saturating_duration_since(*at) < down_for);
        for vm in self.maintenance_sent.borrow().keys() {
            if let Some(vm) = vms.get_mut(vm) {
                vm.state = VmState::InMaintenance;
            }
        }
        Ok(vms)
    }
}
