//! An in-memory platform for entries of `goldcrest-grid`, on the runtime's clock.
//!
//! A [`World`] holds the store, the workers and the list of VMs. Each entry accesses it through its own [`Gate`], so
//! that a test can disconnect one entry or drop the answers to it. With the runtime's clock paused a test takes no real
//! time.

mod direct;
mod gate;
mod permits;
mod store;
mod trips;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use goldcrest_grid::ports::{Put, StoredCatalogue, StoredWave, Txn};
use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::{Vm, Wave};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::DcName;

pub use gate::Gate;
pub use permits::PermitOffice;
pub use store::Table;
pub use trips::{CommandKind, Trip, Trips};
pub use workers::{Crash, Crew, Ended, Start};

/// A fault between an entry and the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls fail at once and are not carried out.
    Refuses,
    /// Calls time out and are not carried out.
    Silent,
    /// Calls are not carried out, and their connections are reset.
    Resets,
    /// Transactions are carried out, but their calls time out.
    LosesAnswers,
    /// Transactions are carried out after this delay, and their calls time out.
    CarriesOutLate(Duration),
}

/// The platform that all entries of a test share.
#[derive(Default)]
pub struct World {
    /// The store's keys and leases.
    pub table: RefCell<Table>,
    /// Wakes waiting calls: notified after changes of the store, of orders and of runs.
    pub(crate) changed: tokio::sync::Notify,
    /// The workers.
    pub crew: RefCell<Crew>,
    /// The platform's list of VMs.
    pub vms: RefCell<BTreeMap<VmId, Vm>>,
    /// The service that grants placement permits.
    pub permits: PermitOffice,
    /// The VMs whose maintenance was started, each with its wave, in order of time.
    pub maintained: RefCell<Vec<(VmId, u64)>>,
    /// The waves that the operators have ordered.
    pub(crate) waves: RefCell<Vec<StoredWave>>,
    /// The changes of cordons, each with its store revision and whether the data centre was cordoned by it.
    pub(crate) cordons: RefCell<Vec<(u64, DcName, bool)>>,
    pub(crate) catalogue: RefCell<Option<StoredCatalogue>>,
    faults: RefCell<BTreeMap<Box<str>, StoreFault>>,
    /// Entries whose readings of the operators' requests get no answer.
    without_requests: RefCell<BTreeSet<Box<str>>>,
    unreachable: RefCell<BTreeSet<(Box<str>, WorkerId)>>,
    /// Entries whose commands to workers get no answer and are carried out after this time.
    late_commands: RefCell<BTreeMap<Box<str>, Duration>>,
    /// How old the lists of workers are that an entry reads.
    list_ages: RefCell<BTreeMap<Box<str>, Duration>>,
    transport: trips::Transport,
    /// The latency of a call to the store, except for waiting watches.
    pub delay: Cell<Duration>,
}

impl World {
    /// Creates a world without catalogue, workers and VMs, whose store has a latency of 4 ms.
    #[must_use]
    pub fn new() -> Rc<Self> {
        let world = Self::default();
        world.delay.set(Duration::from_millis(4));
        Rc::new(world)
    }

    /// Returns the access of the entry named `entry`.
    #[must_use]
    pub fn gate(self: &Rc<Self>, entry: &str) -> Gate {
        Gate::new(Rc::clone(self), entry.into())
    }

    /// Puts a catalogue in force, as the operators do.
    pub fn set_catalogue(&self, catalogue: Catalogue) {
        let revision = self.table.borrow_mut().step();
        *self.catalogue.borrow_mut() = Some(StoredCatalogue {
            catalogue: Arc::new(catalogue),
            revision,
        });
        self.changed.notify_waiters();
    }

    /// Orders a wave, as the operators do.
    pub fn order_wave(&self, wave: Wave) {
        let key: Box<str> = format!("op/wave/{}", wave.number).into();
        let request = Txn {
            puts: vec![Put {
                key: key.clone(),
                value: Vec::new(),
                lease: None,
            }],
            ..Txn::default()
        };
        let now = tokio::time::Instant::now();
        let Ok(revision) = self.table.borrow_mut().commit(&request, now) else {
            // A transaction that expects nothing and needs no lease has no conflict.
            return;
        };
        self.waves.borrow_mut().push(StoredWave {
            wave,
            key,
            revision,
        });
        self.changed.notify_waiters();
    }

    /// Cordons a data centre or opens it again, as the operators do.
    ///
    /// # Panics
    ///
    /// `dc` is not the name of a data centre.
    pub fn set_cordoned(&self, dc: &str, is_cordoned: bool) {
        let revision = self.table.borrow_mut().step();
        let dc = dc.parse().expect("a name of a data centre");
        self.cordons
            .borrow_mut()
            .push((revision.0, dc, is_cordoned));
        self.changed.notify_waiters();
    }

    /// Sets the fault between an entry and the store.
    pub fn set_fault(&self, entry: &str, fault: StoreFault) {
        self.faults.borrow_mut().insert(entry.into(), fault);
    }

    pub(crate) fn fault(&self, entry: &str) -> StoreFault {
        let faults = self.faults.borrow();
        faults.get(entry).copied().unwrap_or_default()
    }

    /// Leaves an entry's readings of the operators' requests without an answer, or answers them again.
    pub fn lose_requests(&self, entry: &str, is_lost: bool) {
        let mut without_requests = self.without_requests.borrow_mut();
        if is_lost {
            without_requests.insert(entry.into());
        } else {
            without_requests.remove(entry);
        }
    }

    pub(crate) fn has_requests(&self, entry: &str) -> bool {
        !self.without_requests.borrow().contains(entry)
    }

    /// Leaves an entry's starts and requests for reports without an answer and carries them out after `delay`, or answers
    /// them again.
    pub fn set_late_commands(&self, entry: &str, delay: Option<Duration>) {
        let mut late = self.late_commands.borrow_mut();
        match delay {
            Some(delay) => late.insert(entry.into(), delay),
            None => late.remove(entry),
        };
    }

    pub(crate) fn command_delay(&self, entry: &str) -> Option<Duration> {
        self.late_commands.borrow().get(entry).copied()
    }

    /// Makes the lists of workers that an entry reads older than the present state by this time.
    pub fn set_list_age(&self, entry: &str, age: Duration) {
        self.list_ages.borrow_mut().insert(entry.into(), age);
    }

    pub(crate) fn list_age(&self, entry: &str) -> Duration {
        let ages = self.list_ages.borrow();
        ages.get(entry).copied().unwrap_or_default()
    }

    /// Disconnects an entry from a worker, or connects them again.
    pub fn set_reachable(&self, entry: &str, worker: &str, is_reachable: bool) {
        let key = (Box::from(entry), WorkerId::from(worker));
        let mut unreachable = self.unreachable.borrow_mut();
        if is_reachable {
            unreachable.remove(&key);
        } else {
            unreachable.insert(key);
        }
    }

    pub(crate) fn is_reachable(&self, entry: &str, worker: &WorkerId) -> bool {
        let key = (Box::from(entry), worker.clone());
        !self.unreachable.borrow().contains(&key)
    }
}

/// The runtime's clock; a paused runtime controls it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        // Callers use only differences of wall time, so the monotonic time is enough for it.
        let origin = ORIGIN.get_or_init(|| self.now());
        UNIX_EPOCH + WALL_AT_ORIGIN + self.now().saturating_duration_since(*origin)
    }
}

static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

/// The wall time, since 1970, at the first reading.
const WALL_AT_ORIGIN: Duration = Duration::from_secs(1_000_000);
