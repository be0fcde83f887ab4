//! A pool's scheduler: the decisions of [`goldcrest_jobs::pool`] joined to the store and the workers.
//!
//! [`Scheduler`] is what its tasks share. [`load`] takes over from an earlier scheduler; then one task each follows the
//! inbox ([`inbox`]), the registry and the workers' reports ([`reports`]), plans and sends orders ([`orders`]), saves
//! what has changed ([`save`]), publishes the pool's status ([`status`]) and keeps the teams' shares
//! ([`crate::shares`]). All of them end with the role.

mod events;
mod inbox;
mod load;
mod orders;
mod reports;
mod save;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, VmId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::Pool;
use goldcrest_types::names::PoolName;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;
use crate::members::Held;
use crate::ports::{Platform, Recipient};
use crate::{registry, shares};

pub use save::Stored;

/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a scheduler that hands over may take to save its last changes.
const LAST_SAVE: Duration = Duration::from_secs(1);

/// A pool's scheduler.
pub struct Scheduler<P: Platform> {
    pub(crate) entry: Rc<Entry<P>>,
    pub(crate) name: PoolName,
    pub(crate) held: Held,
    pub(crate) pool: RefCell<Pool>,
    /// Something has changed that a plan should see.
    pub(crate) replan: Notify,
    /// Something has changed that is to be stored.
    unsaved: Notify,
    /// What the store holds of this pool's keys, as far as it was written or read here.
    stored: RefCell<HashMap<Box<str>, Stored>>,
    /// The workers of each job that are stored with it.
    noted_workers: RefCell<HashMap<JobId, BTreeSet<WorkerId>>>,
    /// Jobs whose removal has been saved, and when.
    closed: RefCell<BTreeMap<JobId, Instant>>,
    /// Counts the requests to save, and those that were met.
    save_wanted: Cell<u64>,
    saved: watch::Sender<u64>,
    /// Some jobs have been saved.
    batch_saved: Notify,
    /// The crew as stored, and as it is to be.
    crew: RefCell<BTreeSet<WorkerId>>,
    /// VMs that are to be emptied, with the worker of each.
    evacuating: RefCell<BTreeMap<WorkerId, VmId>>,
    /// A team could use more than its share here.
    pub(crate) share_needed: Notify,
    /// The pool's status should be published soon.
    status_changed: Notify,
    /// No more starts are sent: the role is handed over.
    is_leaving: Cell<bool>,
    /// The role is lost.
    lost: CancellationToken,
}

impl<P: Platform> Scheduler<P> {
    pub(crate) fn now(&self) -> Instant {
        self.entry.now()
    }

    /// Whether the role certainly still stands.
    pub(crate) fn holds_role(&self) -> bool {
        !self.lost.is_cancelled() && self.entry.valid_lease() == Some(self.held.lease)
    }

    /// Whether orders may be sent.
    pub(crate) fn may_order(&self) -> bool {
        !self.is_leaving.get() && self.holds_role()
    }

    /// Ends the role here, as another holder may have it.
    pub(crate) fn lose(&self, why: &'static str) {
        if !self.lost.is_cancelled() {
            log::warn!(target: "scheduler", pool:% = self.name, token:% = self.held.token(), why; "Role given up.");
            self.lost.cancel();
        }
    }

    fn recipient(&self, worker: WorkerRef) -> Option<Recipient> {
        let pool = self.pool.borrow();
        let it = pool.worker(worker)?;
        (!it.is_gone).then(|| Recipient {
            worker: it.info.id.clone(),
            address: it.info.address.clone(),
            token: self.held.token(),
        })
    }

    /// Notes that facts have changed.
    fn changed(&self) {
        self.replan.notify_one();
        if !self.pool.borrow().unsaved().is_empty() {
            self.unsaved.notify_one();
        }
    }
}

/// Holds the role until it is lost or handed over.
pub async fn run<P: Platform>(
    entry: Rc<Entry<P>>,
    name: PoolName,
    held: Held,
    hand_over: CancellationToken,
) {
    let _registry = registry::Use::new(Rc::clone(&entry));
    let catalogue = entry.catalogue.borrow().clone();
    let Some(catalogue) = catalogue else {
        // A role is only wanted once there is a catalogue.
        return;
    };
    let pool = Pool::new(
        name.clone(),
        held.token(),
        entry.settings().pool,
        catalogue.catalogue,
    );
    let scheduler = Rc::new(Scheduler {
        entry,
        name,
        held,
        pool: RefCell::new(pool),
        replan: Notify::new(),
        unsaved: Notify::new(),
        stored: RefCell::default(),
        noted_workers: RefCell::default(),
        closed: RefCell::default(),
        save_wanted: Cell::new(0),
        saved: watch::Sender::new(0),
        batch_saved: Notify::new(),
        crew: RefCell::default(),
        evacuating: RefCell::default(),
        share_needed: Notify::new(),
        status_changed: Notify::new(),
        is_leaving: Cell::new(false),
        lost: CancellationToken::new(),
    });
    scheduler.hold(hand_over).await;
}

impl<P: Platform> Scheduler<P> {
    async fn hold(self: Rc<Self>, hand_over: CancellationToken) {
        let after = loop {
            match self.load().await {
                Ok(revision) => break revision,
                Err(error) => {
                    log::warn!(target: "scheduler", pool:% = self.name, error:%; "The pool's jobs can't be loaded yet.");
                    tokio::time::sleep(RETRY_AFTER).await;
                }
            }
        };
        let mut tasks = JoinSet::new();
        tasks.spawn_local(Rc::clone(&self).follow_inbox(after));
        tasks.spawn_local(Rc::clone(&self).follow_workers());
        tasks.spawn_local(Rc::clone(&self).follow_catalogue());
        tasks.spawn_local(Rc::clone(&self).follow_settings());
        tasks.spawn_local(Rc::clone(&self).plan_orders());
        tasks.spawn_local(Rc::clone(&self).keep_saving());
        tasks.spawn_local(Rc::clone(&self).publish_status());
        tasks.spawn_local(shares::run(Rc::clone(&self)));
        tokio::select! {
            () = self.lost.cancelled() => {}
            () = hand_over.cancelled() => self.leave().await,
            ended = tasks.join_next() => {
                if let Some(Err(error)) = ended {
                    log::error!(target: "scheduler", pool:% = self.name, error:%; "A part of the scheduler has ended.");
                }
            }
        }
    }

    /// Stops ordering and waits until what has changed is saved.
    async fn leave(&self) {
        self.is_leaving.set(true);
        if !self.wait_saved(LAST_SAVE).await {
            log::warn!(target: "scheduler", pool:% = self.name; "The last changes were not saved; the workers' lists hold them.");
        }
    }

    async fn follow_settings(self: Rc<Self>) {
        let mut settings = self.entry.settings.subscribe();
        while settings.changed().await.is_ok() {
            let bounds = settings.borrow_and_update().pool;
            self.pool.borrow_mut().set_bounds(bounds);
        }
    }

    async fn follow_catalogue(self: Rc<Self>) {
        let mut catalogue = self.entry.catalogue.subscribe();
        while catalogue.changed().await.is_ok() {
            let stored = catalogue.borrow_and_update().clone();
            if let Some(stored) = stored {
                self.pool.borrow_mut().set_catalogue(stored.catalogue);
                self.replan.notify_one();
            }
        }
    }
}
