//! A platform for entries of `goldcrest-grid`, in memory and on the runtime's clock.
//!
//! A [`World`] holds the store, the workers and the list of VMs. Each entry sees it through a [`Gate`] of its own, so a test
//! can cut one entry off or lose the answers to it. With the runtime's clock paused a test takes no real time.

mod gate;
mod permits;
mod store;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use goldcrest_grid::ports::StoredCatalogue;
use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::{Vm, Wave};
use goldcrest_types::clock::Clock;

pub use gate::Gate;
pub use permits::PermitOffice;
pub use store::Table;
pub use workers::{Crew, Ended, Start};

/// What is wrong between an entry and the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Calls are refused.
    Refuses,
    /// Calls are not answered and not carried out.
    Silent,
    /// Transactions are carried out and not answered.
    LosesAnswers,
    /// Transactions are carried out after this time and not answered.
    CarriesOutLate(Duration),
}

/// All that is outside the entries.
#[derive(Default)]
pub struct World {
    /// The store's keys and leases.
    pub table: RefCell<Table>,
    /// A key has changed.
    pub(crate) changed: tokio::sync::Notify,
    /// The workers.
    pub crew: RefCell<Crew>,
    /// The list of VMs.
    pub vms: RefCell<BTreeMap<VmId, Vm>>,
    /// Placement permits.
    pub permits: PermitOffice,
    /// VMs whose maintenance was ordered, in order.
    pub maintained: RefCell<Vec<(VmId, u64)>>,
    /// The waves that the operators have ordered, with the revision of each order.
    pub(crate) waves: RefCell<Vec<(u64, Wave)>>,
    pub(crate) catalogue: RefCell<Option<StoredCatalogue>>,
    faults: RefCell<BTreeMap<Box<str>, StoreFault>>,
    unreachable: RefCell<BTreeSet<(Box<str>, WorkerId)>>,
    /// How long a call to the store takes.
    pub(crate) delay: Cell<Duration>,
}

impl World {
    /// A world without catalogue and workers.
    #[must_use]
    pub fn new() -> Rc<Self> {
        let world = Self::default();
        world.delay.set(Duration::from_millis(4));
        Rc::new(world)
    }

    /// The view of an entry.
    #[must_use]
    pub fn gate(self: &Rc<Self>, entry: &str) -> Gate {
        Gate::new(Rc::clone(self), entry.into())
    }

    /// The operators put a catalogue in force.
    pub fn set_catalogue(&self, catalogue: Catalogue) {
        let revision = self.table.borrow_mut().step();
        *self.catalogue.borrow_mut() = Some(StoredCatalogue {
            catalogue: Arc::new(catalogue),
            revision,
        });
        self.changed.notify_waiters();
    }

    /// The operators order a wave.
    pub fn order_wave(&self, wave: Wave) {
        let revision = self.table.borrow_mut().step();
        self.waves.borrow_mut().push((revision.0, wave));
        self.changed.notify_waiters();
    }

    /// Sets what is wrong between an entry and the store.
    pub fn set_fault(&self, entry: &str, fault: StoreFault) {
        self.faults.borrow_mut().insert(entry.into(), fault);
    }

    pub(crate) fn fault(&self, entry: &str) -> StoreFault {
        let faults = self.faults.borrow();
        faults.get(entry).copied().unwrap_or_default()
    }

    /// Cuts an entry off from a worker, or joins them again.
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

/// The runtime's clock, as a process reads it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        // Only differences count: the steady time stands for the time of day.
        let origin = ORIGIN.get_or_init(|| self.now());
        UNIX_EPOCH + WALL_AT_ORIGIN + self.now().saturating_duration_since(*origin)
    }
}

static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

/// The time of day at the first reading.
const WALL_AT_ORIGIN: Duration = Duration::from_secs(1_000_000);
