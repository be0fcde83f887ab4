//! A pool's scheduler: connects the decisions of [`goldcrest_jobs::pool`] to the store and the workers.
//!
//! [`Scheduler`] is the state that the scheduler's local tasks share. [`load`] takes over from the previous holder by
//! what is stored, and by what is in force after the last read. Then one task each watches the inbox ([`inbox`]),
//! follows the registry and the workers' reports ([`reports`]), plans and sends commands ([`commands`]), saves changed
//! jobs ([`save`]), publishes the pool's status ([`status`]) and adjusts the teams' shares ([`crate::shares`]). All
//! tasks end with the role.

mod commands;
mod events;
mod inbox;
mod load;
mod reports;
mod save;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, VmId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::Pool;
use goldcrest_types::names::{DcName, PoolName};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::entry::{Entry, Settings};
use crate::keys::AssignedWorkers;
use crate::latest::Follower;
use crate::members::HeldRole;
use crate::ports::{Platform, Recipient, Revision, StoredCatalogue};
use crate::{registry, shares};

use save::RecordedStarts;

pub use save::Stored;

/// The delay before a failed store call is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The time limit for the last save of a scheduler that hands its role over.
const FINAL_SAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The shared state of a pool's scheduler while it holds the pool's role.
pub struct Scheduler<P: Platform> {
    pub(crate) entry: Rc<Entry<P>>,
    pub(crate) name: PoolName,
    pub(crate) held: HeldRole,
    pub(crate) pool: RefCell<Pool>,
    /// Wakes the planner: facts that affect the plan have changed.
    pub(crate) replan: Notify,
    /// Wakes the task that saves: a job or the set of assigned workers has unsaved changes.
    unsaved: Notify,
    /// The last content of this pool's keys that this scheduler read or wrote. A key that is absent here counts as
    /// absent in the store.
    stored: RefCell<HashMap<Box<str>, Stored>>,
    /// For each open job, what is stored of its starts. No start is sent before it is recorded here.
    recorded_starts: RefCell<HashMap<JobId, RecordedStarts>>,
    /// Stored unreported runs of jobs that are not open, with their revisions. They are removed with the next save.
    orphans: RefCell<Vec<(Box<str>, Revision)>>,
    /// Jobs whose removal from the store is committed, with the time and the revision of the commit.
    closed: RefCell<BTreeMap<JobId, (Instant, Revision)>>,
    /// The number of the latest save request; `saved` holds the number of the latest one that is done.
    saves_requested: Cell<u64>,
    saved: watch::Sender<u64>,
    /// Wakes the task that follows the workers: some have got their fencing tokens.
    tokens_set: Notify,
    /// Wakes starts that wait to be recorded with the job.
    batch_saved: Notify,
    /// The assigned workers and their longest lease, as they are stored.
    assigned_workers: RefCell<AssignedWorkers>,
    /// VMs to evacuate, by the worker on each.
    evacuating: RefCell<BTreeMap<WorkerId, VmId>>,
    /// Wakes the share task: a team could use more than its row of this pool allows.
    pub(crate) share_needed: Notify,
    /// Wakes the task that publishes the pool's status.
    status_changed: Notify,
    /// Set when the role is being handed over; no commands are sent after that.
    is_leaving: Cell<bool>,
    /// Cancelled when the role is lost or may be held by another entry.
    lost: CancellationToken,
}

impl<P: Platform> Scheduler<P> {
    pub(crate) fn now(&self) -> Instant {
        self.entry.now()
    }

    /// Whether this entry certainly still holds the role: its lease is valid and no other holder was noticed.
    pub(crate) fn holds_role(&self) -> bool {
        !self.lost.is_cancelled() && self.entry.valid_lease() == Some(self.held.lease)
    }

    /// Whether commands may be sent to workers.
    pub(crate) fn may_send_commands(&self) -> bool {
        !self.is_leaving.get() && self.holds_role() && self.entry.has_fresh_cordons()
    }

    /// Stops acting in the role, as another entry may hold it.
    pub(crate) fn step_down(&self, why: &'static str) {
        if !self.lost.is_cancelled() {
            log::warn!(target: "scheduler", pool:% = self.name, token:% = self.held.token(), why; "Role given up.");
            self.lost.cancel();
        }
    }

    /// The recipient of a command to a worker. `None` if the worker has departed or nothing may be sent to it yet.
    fn recipient(&self, worker: WorkerRef) -> Option<Recipient> {
        let pool = self.pool.borrow();
        let known = pool.worker(worker)?;
        let token = known.token.filter(|_| !known.has_departed)?;
        Some(Recipient {
            worker: known.info.id.clone(),
            address: known.info.address.clone(),
            token,
        })
    }

    /// The id of a worker, for logs. Empty if the worker has been removed.
    fn worker_name(&self, worker: WorkerRef) -> Box<str> {
        let pool = self.pool.borrow();
        let known = pool.worker(worker);
        known.map_or_else(Box::default, |known| known.info.id.as_str().into())
    }

    /// Requests a new plan, and a save if any job has unsaved changes.
    fn mark_changed(&self) {
        self.replan.notify_one();
        if !self.pool.borrow().unsaved().is_empty() {
            self.unsaved.notify_one();
        }
    }
}

/// Runs the scheduler of a pool until the role is lost or handed over.
pub async fn run<P: Platform>(
    entry: Rc<Entry<P>>,
    name: PoolName,
    held: HeldRole,
    hand_over: CancellationToken,
) {
    let _registry = registry::UseGuard::new(Rc::clone(&entry));
    let catalogue = entry.catalogue.get();
    let Some(catalogue) = catalogue else {
        // Roles are acquired only once a catalogue is in force.
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
        recorded_starts: RefCell::default(),
        orphans: RefCell::default(),
        closed: RefCell::default(),
        saves_requested: Cell::new(0),
        saved: watch::Sender::new(0),
        tokens_set: Notify::new(),
        batch_saved: Notify::new(),
        assigned_workers: RefCell::default(),
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
        let stored = loop {
            match self.read_stored().await {
                Ok(stored) => break stored,
                Err(error) => {
                    log::warn!(target: "scheduler", pool:% = self.name, error:%; "Loading the pool's jobs failed; trying again.");
                    tokio::time::sleep(RETRY_AFTER).await;
                }
            }
        };
        // Nothing is awaited from here until the tasks are spawned, so the first plan is made by what is in force now.
        let (catalogue, catalogues) = self.entry.catalogue.follow();
        let (cordoned, cordons) = self.entry.cordoned.follow();
        let (settings, newer_settings) = self.entry.settings.follow();
        self.apply_catalogue(catalogue);
        self.apply_cordons(&cordoned);
        self.apply_settings(&settings);
        let after = self.take_over(stored);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(Rc::clone(&self).follow_inbox(after));
        tasks.spawn_local(Rc::clone(&self).follow_workers());
        tasks.spawn_local(Rc::clone(&self).follow_catalogue(catalogues));
        tasks.spawn_local(Rc::clone(&self).follow_cordons(cordons));
        tasks.spawn_local(Rc::clone(&self).follow_settings(newer_settings));
        tasks.spawn_local(Rc::clone(&self).plan_and_send());
        tasks.spawn_local(Rc::clone(&self).keep_saving());
        tasks.spawn_local(Rc::clone(&self).publish_status());
        tasks.spawn_local(shares::run(Rc::clone(&self)));
        tokio::select! {
            () = self.lost.cancelled() => {}
            () = hand_over.cancelled() => self.leave().await,
            ended = tasks.join_next() => {
                if let Some(Err(error)) = ended {
                    log::error!(target: "scheduler", pool:% = self.name, error:%; "A task of the scheduler ended with an error.");
                }
            }
        }
    }

    /// Stops sending commands and waits until all changes are saved, for at most [`FINAL_SAVE_TIMEOUT`].
    async fn leave(&self) {
        self.is_leaving.set(true);
        if !self.wait_saved(FINAL_SAVE_TIMEOUT).await {
            log::warn!(target: "scheduler", pool:% = self.name; "The last changes were not saved before the hand-over; the next holder reads them from the workers' reports.");
        }
    }

    fn apply_settings(&self, settings: &Settings) {
        self.pool.borrow_mut().set_bounds(settings.pool, self.now());
    }

    async fn follow_settings(self: Rc<Self>, mut newer: Follower<Rc<Settings>>) {
        while let Some(settings) = newer.next().await {
            self.apply_settings(&settings);
        }
    }

    fn apply_cordons(&self, cordoned: &BTreeSet<DcName>) {
        self.pool.borrow_mut().set_cordoned(cordoned);
        self.log_events();
    }

    async fn follow_cordons(self: Rc<Self>, mut newer: Follower<Rc<BTreeSet<DcName>>>) {
        while let Some(cordoned) = newer.next().await {
            self.apply_cordons(&cordoned);
            self.status_changed.notify_one();
            self.replan.notify_one();
        }
    }

    fn apply_catalogue(&self, stored: Option<StoredCatalogue>) {
        let Some(stored) = stored else { return };
        log::info!(target: "scheduler", pool:% = self.name, version = stored.catalogue.version; "Pool scheduled by catalogue.");
        self.pool.borrow_mut().set_catalogue(stored.catalogue);
    }

    async fn follow_catalogue(self: Rc<Self>, mut newer: Follower<Option<StoredCatalogue>>) {
        while let Some(catalogue) = newer.next().await {
            self.apply_catalogue(catalogue);
            self.replan.notify_one();
        }
    }
}
