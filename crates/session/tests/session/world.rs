//! A small fleet over one in-memory store for tests: entries with a lease, roles, a quota row and a mover.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::quota::rebalance::Demand;
use goldcrest_ledger::quota::{DcQuota, Grants};
use goldcrest_session::lease::{LeaseKeeper, SessionRecord};
use goldcrest_session::quota::{DcDemand, Gate, Mover, MoverHost, QuotaKeeper, RowOwner};
use goldcrest_session::role::{Role, RoleName, Roles};
use goldcrest_session::{Session, SessionConfig, keys};
use goldcrest_types::catalogue::{Catalogue, CatalogueSpec, DcSpec, TeamSpec};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EntryId, TeamName};
use goldcrest_types::units::{Revision, Share, Slots};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::common::{FakeStore, TokioClock};

/// The maximum age of another entry's demand: it is passed to the peer connections every 250 ms, sent to the relay of
/// its data centre with the next heartbeat after at most 1.1 s, and to its recipients with another one.
const DEMAND_DELAY: Duration = Duration::from_millis(2_450);

/// The time for a notification from the mover to reach an entry.
const NOTIFY_DELAY: Duration = Duration::from_millis(50);

/// The demand, the running slots and the grants of an entry for the one team.
#[derive(Default)]
struct Load {
    /// Each demand with the time from which it applies.
    history: Vec<(Instant, u32)>,
    demand_slots: u32,
    running: u32,
    grants: Grants,
}

impl Load {
    /// Returns the demand that other entries know.
    fn known_to_peers(&self) -> Slots {
        let now = TokioClock.now();
        let is_known = |(at, _): &&(Instant, u32)| now.duration_since(*at) >= DEMAND_DELAY;
        let known_to_peers = self.history.iter().rev().find(is_known);
        Slots::new(known_to_peers.map_or(0, |(_, demand_slots)| *demand_slots))
    }
}

/// The state that all entries of a test share: the load of each and the catalogue.
#[derive(Default)]
pub struct Fleet {
    loads: Mutex<BTreeMap<EntryId, Load>>,
    dcs: Mutex<BTreeMap<EntryId, DcName>>,
    notifies: Mutex<BTreeMap<EntryId, Arc<Notify>>>,
    catalogue: Mutex<Option<Arc<Catalogue>>>,
}

pub fn team() -> TeamName {
    "guides".parse().expect("a name")
}

pub fn dc(number: usize) -> DcName {
    format!("lis-{number}").parse().expect("a name")
}

impl Fleet {
    /// Creates a fleet of `dcs` data centres whose team may run `limit` slots.
    pub fn new(dcs: usize, limit: u32) -> Arc<Self> {
        let fleet = Arc::new(Self::default());
        fleet.set_limit(dcs, limit, 1);
        fleet
    }

    /// Puts a catalogue with this limit in force at all entries.
    pub fn set_limit(&self, dcs: usize, limit: u32, revision: u64) {
        let data_centres = (0..dcs).map(|number| DcSpec {
            name: dc(number),
            region: "pt".parse().expect("a name"),
        });
        let spec = CatalogueSpec {
            data_centres: data_centres.collect(),
            teams: vec![TeamSpec {
                name: team(),
                share: Share::new(1),
                upper_limit_slots: Slots::new(limit),
            }],
            ..CatalogueSpec::default()
        };
        let cat = Catalogue::resolve(&spec, Revision::new(revision)).expect("a valid catalogue");
        *self.catalogue.lock().expect("a lock") = Some(Arc::new(cat));
    }

    pub fn set_demand(&self, entry: EntryId, demand_slots: u32) {
        let mut loads = self.loads.lock().expect("a lock");
        let load = loads.entry(entry).or_default();
        load.demand_slots = demand_slots;
        load.history.push((TokioClock.now(), demand_slots));
    }

    /// Starts as much of the demand as the grants allow, and ends work above the demand.
    pub fn admit(&self) {
        let cat = self.catalogue.lock().expect("a lock").clone();
        let cat = cat.expect("a catalogue");
        let id = cat.team("guides").expect("the team");
        for load in self.loads.lock().expect("a lock").values_mut() {
            let usable = load.grants.usable(id, TokioClock.now()).get();
            let may_run = load.demand_slots.min(usable);
            load.running = load.running.min(load.demand_slots).max(may_run);
        }
    }

    pub fn running(&self) -> u32 {
        let loads = self.loads.lock().expect("a lock");
        loads.values().map(|load| load.running).sum()
    }

    pub fn running_at(&self, entry: EntryId) -> u32 {
        let loads = self.loads.lock().expect("a lock");
        loads.get(&entry).map_or(0, |load| load.running)
    }
}

/// One entry's admission and inputs, backed by the shared fleet.
pub struct EntryGate {
    fleet: Arc<Fleet>,
    entry: EntryId,
}

impl Gate for EntryGate {
    fn install(&self, grants: &Grants) -> BTreeMap<TeamName, Slots> {
        let mut loads = self.fleet.loads.lock().expect("a lock");
        let load = loads.entry(self.entry).or_default();
        load.grants = grants.clone();
        BTreeMap::from([(team(), Slots::new(load.running))])
    }

    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.fleet.catalogue.lock().expect("a lock").clone()
    }

    fn demand(&self) -> Demand {
        let mut demand = Demand::new();
        for (entry, load) in self.fleet.loads.lock().expect("a lock").iter() {
            let is_own = *entry == self.entry;
            let demand_slots = if is_own {
                Slots::new(load.demand_slots)
            } else {
                load.known_to_peers()
            };
            demand.set(*entry, &team(), demand_slots);
        }
        demand
    }
}

impl MoverHost for EntryGate {
    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        Gate::catalogue(self)
    }

    fn demand(&self) -> Vec<DcDemand> {
        let loads = self.fleet.loads.lock().expect("a lock");
        let dcs = self.fleet.dcs.lock().expect("a lock");
        let mut sums: BTreeMap<DcName, Slots> = BTreeMap::new();
        for (entry, load) in loads.iter() {
            *sums.entry(dcs[entry].clone()).or_default() += load.known_to_peers();
        }
        let demand = sums.into_iter().map(|(dc, slots)| DcDemand {
            dc,
            team: team(),
            slots,
        });
        demand.collect()
    }

    fn notify_changed(&self, dc: &DcName) {
        let dcs = self.fleet.dcs.lock().expect("a lock");
        for (entry, notify) in self.fleet.notifies.lock().expect("a lock").iter() {
            if dcs[entry] == *dc {
                let notify = Arc::clone(notify);
                tokio::spawn(async move {
                    tokio::time::sleep(NOTIFY_DELAY).await;
                    notify.notify_one();
                });
            }
        }
    }
}

/// An entry with its lease, roles, row and mover.
pub struct Entry {
    pub id: EntryId,
    pub store: FakeStore,
    pub session: Session<FakeStore, TokioClock>,
    pub roles: Roles<FakeStore, TokioClock>,
    stop: CancellationToken,
    lease_stop: CancellationToken,
}

pub fn quota_role() -> RoleName {
    "quota".parse().expect("a name")
}

/// A seed that differs between the entries of a test, whose ids differ in one half.
fn seed_of(bits: u128) -> u64 {
    let folded = (bits ^ (bits >> 64)) & u128::from(u64::MAX);
    u64::try_from(folded).expect("64 bits")
}

impl Entry {
    pub fn start(store: &FakeStore, fleet: &Arc<Fleet>, bits: u128, dc_number: usize) -> Self {
        let (id, dc) = (EntryId::new(bits), dc(dc_number));
        fleet.dcs.lock().expect("a lock").insert(id, dc.clone());
        fleet.set_demand(id, 0);
        let store = store.client();
        let session = Session::new(
            store.clone(),
            TokioClock,
            SessionConfig {
                // Ids of edits are drawn with this seed, and no two entries may draw the same.
                seed: seed_of(bits),
                ..SessionConfig::new(id, dc.clone())
            },
        );
        let vm: goldcrest_types::names::VmName = format!("vm-{bits}").parse().expect("a name");
        let record = SessionRecord {
            entry: id,
            dc,
            vm: vm.clone(),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
        };
        let roles = Roles::new(session.clone());
        roles.set_roles(BTreeSet::from([Role::new(quota_role())]));
        let gate = Arc::new(EntryGate {
            fleet: Arc::clone(fleet),
            entry: id,
        });
        let (stop, lease_stop) = (CancellationToken::new(), CancellationToken::new());
        tokio::spawn(LeaseKeeper::new(session.clone(), record).run(lease_stop.clone()));
        tokio::spawn(roles.clone().run(stop.clone()));
        let owner = RowOwner { vm, boots: 1 };
        let notify = Arc::new(Notify::new());
        let mut all_notifies = fleet.notifies.lock().expect("a lock");
        all_notifies.insert(id, Arc::clone(&notify));
        drop(all_notifies);
        let keeper =
            QuotaKeeper::new(session.clone(), owner, Arc::clone(&gate)).with_change_notify(notify);
        tokio::spawn(keeper.run(stop.clone()));
        let mover = Mover::new(session.clone(), roles.clone(), quota_role(), gate);
        tokio::spawn(mover.run(stop.clone()));
        Self {
            id,
            store,
            session,
            roles,
            stop,
            lease_stop,
        }
    }

    /// Ends every part of the entry at once without a call to the service, as a crash does.
    pub fn crash(&self) {
        self.store.set_faults(crate::common::Faults {
            down: true,
            ..crate::common::Faults::default()
        });
        self.stop.cancel();
        self.lease_stop.cancel();
    }

    /// Shuts the entry down in order: its parts first, its lease 1 s later.
    pub async fn stop(&self) {
        self.stop.cancel();
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.lease_stop.cancel();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.cancel();
        self.lease_stop.cancel();
    }
}

/// The interval at which work is admitted.
const STEP: Duration = Duration::from_millis(100);

/// Lets `seconds` pass. Work is admitted ten times a second, the live sessions are refreshed every second, and the team
/// must never exceed `limit`.
pub async fn pass(fleet: &Arc<Fleet>, entries: &[Entry], seconds: u32, limit: u32) {
    for step in 0..seconds * 10 {
        pass_step(fleet, entries, step, limit).await;
    }
}

/// Lets time pass in the same way until the team runs `target` slots, for at most `seconds`. Returns the time taken.
pub async fn pass_until(
    fleet: &Arc<Fleet>,
    entries: &[Entry],
    seconds: u32,
    limit: u32,
    target: u32,
) -> Duration {
    let mut step = 0;
    while step < seconds * 10 && fleet.running() < target {
        pass_step(fleet, entries, step, limit).await;
        step += 1;
    }
    STEP * step
}

async fn pass_step(fleet: &Arc<Fleet>, entries: &[Entry], step: u32, limit: u32) {
    if step.is_multiple_of(10) {
        for entry in entries {
            if let Ok(live) = entry.session.sessions().await {
                entry.roles.set_live(live);
            }
        }
    }
    fleet.admit();
    let running = fleet.running();
    assert!(running <= limit, "{running} running, upper limit {limit}");
    tokio::time::sleep(STEP).await;
}

pub fn dc_quota(store: &FakeStore, number: usize) -> DcQuota {
    let found = store.peek(&keys::quota(&dc(number)));
    let found = found.expect("a quota document");
    DcQuota::decode(&found.value).expect("a whole document")
}
