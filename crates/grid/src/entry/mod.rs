//! The tasks of a process and the state that they share.
//!
//! [`Entry`] holds the shared state: the catalogue and the time for which it is known to be current, the session with
//! the store, and the registry of workers. The supervisor tree is flat: [`run`] starts each component as a local task
//! and ends the process if one of them panics; the platform restarts it.

pub mod silence;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use goldcrest_jobs::id::RouteId;
use goldcrest_jobs::recent::RecentCommands;
use goldcrest_jobs::worker::{WorkerInfo, millis};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, PoolName};
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::calls::names::{self, KnownNames};
use crate::entry::silence::Responsiveness;
use crate::latest::Latest;
use crate::metrics::Metrics;
use crate::ports::{
    CallError, Committed, Item, LeaseId, Page, Platform, Revision, StoredCatalogue, StoredWave,
    Txn, Watched,
};
use crate::{members, operators, registry, session};

/// The timeout of a call to the store. Answers take milliseconds, or a few hundred milliseconds while the store is
/// slow.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Added to the requested wait for the timeout of a watch. A slow store answers within about 250 ms.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Once every call to the store has failed for this long, callers are refused at once instead of being held for another
/// timeout.
const STORE_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2_500);

/// The settings of an entry, as the platform provides them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The entry's name.
    pub name: Box<str>,
    /// The processor time that the process may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// The longest time after its withdrawal for which a key may still be accepted.
    pub key_withdrawal_max: Duration,
    /// The time from the request to stop until the platform kills the process.
    pub stop_grace: Duration,
    /// Timeouts and limits of the pools' schedulers.
    pub pool: goldcrest_jobs::pool::Bounds,
    /// The time within which two holders of the fleet role must not send commands to the same VM.
    pub vm_command_gap: Duration,
    /// How long a VM is down for maintenance.
    pub maintenance_time: Duration,
    /// How long the status of a job is kept after its end.
    pub status_retention: Duration,
    /// The longest time after an operator cordons a data centre for which a task may still be started there.
    pub cordon_delay_max: Duration,
}

/// A session with the store: a lease and the time until which it is certainly valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Session {
    /// The lease to which this entry's keys are bound: the store removes them when it ends.
    pub lease: LeaseId,
    /// The end of the time for which the lease is certainly valid, on the monotonic clock.
    pub valid_until: Instant,
}

/// The state that the tasks of a process share.
pub struct Entry<P: Platform> {
    /// The connections to the store, the operators, the workers and the other services of the platform.
    pub platform: P,
    /// The source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// The settings in effect. They may change while the entry runs.
    pub(crate) settings: Latest<Rc<Settings>>,
    /// The metrics that this process exports.
    pub metrics: Metrics,
    /// The newest catalogue that was received; `None` before the first one.
    pub catalogue: Latest<Option<StoredCatalogue>>,
    /// The latest time at which the catalogue in force and the known cordons were certainly the newest; `None` before
    /// the first catalogue.
    pub catalogue_current_at: Cell<Option<Instant>>,
    /// The data centres in which no task may be started.
    pub cordoned: Latest<Rc<BTreeSet<DcName>>>,
    /// The maintenance waves that the operators have requested, by number.
    pub waves: RefCell<BTreeMap<u64, StoredWave>>,
    /// Notified when a wave is added.
    pub waves_changed: Notify,
    /// Recent commands about VMs by this entry as the holder of the fleet role, and by the holder before it. Kept when
    /// the role is lost, as this entry may be its own successor.
    pub(crate) recent_commands: RefCell<RecentCommands>,
    /// The revision of the last record of `recent_commands` that this entry has certainly stored.
    pub(crate) recent_commands_revision: Cell<Revision>,
    /// The current session with the store; `None` while there is none.
    pub session: Latest<Option<Session>>,
    /// All workers with their pools, as last read from the registry. Empty until it was read for a role that is held.
    pub workers: Latest<Rc<[(PoolName, WorkerInfo)]>>,
    /// The number of roles that need the registry.
    pub registry_users: Cell<usize>,
    /// Whether a pool that is scheduled here has a backlog, so that workers may be about to join it.
    pub is_awaiting_workers: Cell<bool>,
    /// Notified when a role begins to need the registry.
    pub registry_needed: Notify,
    /// Notified when a worker has restarted whose new entry was not read yet.
    pub registry_stale: Notify,
    /// The names of routes, as far as they were read.
    pub(crate) route_names: RefCell<HashMap<RouteId, KnownNames>>,
    /// Held while a query for placement permits is pending.
    pub(crate) permit_turn: Mutex<()>,
    /// Cancelled to stop the entry.
    pub stopping: CancellationToken,
    failed_since: Cell<Option<Instant>>,
    /// Detects that the store is unresponsive.
    pub responsiveness: Responsiveness,
}

impl<P: Platform> Entry<P> {
    /// Creates the state of an entry. [`run`] starts it.
    pub fn new(platform: P, clock: Arc<dyn Clock>, settings: Settings) -> Self {
        Self {
            platform,
            clock,
            settings: Latest::new(Rc::new(settings)),
            metrics: Metrics::new(),
            catalogue: Latest::new(None),
            catalogue_current_at: Cell::new(None),
            cordoned: Latest::default(),
            waves: RefCell::default(),
            waves_changed: Notify::new(),
            recent_commands: RefCell::default(),
            recent_commands_revision: Cell::new(Revision::ABSENT),
            session: Latest::new(None),
            workers: Latest::new(Rc::from([])),
            registry_users: Cell::new(0),
            is_awaiting_workers: Cell::new(false),
            registry_needed: Notify::new(),
            registry_stale: Notify::new(),
            route_names: RefCell::default(),
            permit_turn: Mutex::default(),
            stopping: CancellationToken::new(),
            failed_since: Cell::new(None),
            responsiveness: Responsiveness::default(),
        }
    }

    /// The settings in effect now.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.get()
    }

    /// Replaces the settings, except for the name, which stays while the entry runs. Returns whether they have changed.
    pub fn set_settings(&self, changed: &Settings) -> bool {
        let before = self.settings();
        let settings = Settings {
            name: before.name.clone(),
            ..changed.clone()
        };
        let is_changed = *before != settings;
        if is_changed {
            self.settings.set(Rc::new(settings));
        }
        is_changed
    }

    /// The current monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The current wall-clock time, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        let wall: SystemTime = self.clock.wall();
        // A wall clock before 1970 has not been set; its time counts as 0.
        wall.duration_since(UNIX_EPOCH).map_or(0, millis)
    }

    /// Returns the lease of the current session if it is certainly still valid.
    pub fn valid_lease(&self) -> Option<LeaseId> {
        let session = self.session.get()?;
        (self.now() < session.valid_until).then_some(session.lease)
    }

    /// Whether the catalogue in force was current so recently that no key is accepted longer than
    /// [`Settings::key_withdrawal_max`] after its withdrawal.
    pub fn has_fresh_keys(&self) -> bool {
        // A fifth of the time is kept for carrying out the call.
        let most = self.settings().key_withdrawal_max * 4 / 5;
        self.catalogue_current_at
            .get()
            .is_some_and(|at| self.now().saturating_duration_since(at) < most)
    }

    /// Whether the cordons were read so recently that no task is started in a data centre longer than
    /// [`Settings::cordon_delay_max`] after it was cordoned.
    pub fn has_fresh_cordons(&self) -> bool {
        // A fifth of the time is kept for sending the start.
        let most = self.settings().cordon_delay_max * 4 / 5;
        self.catalogue_current_at
            .get()
            .is_some_and(|at| self.now().saturating_duration_since(at) < most)
    }

    /// Whether this entry should receive calls.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.catalogue.get().is_some()
            && self.has_fresh_keys()
            && !self.is_store_unresponsive()
    }

    /// Whether the store has been unresponsive for so long that another call would most likely time out.
    pub fn is_store_unresponsive(&self) -> bool {
        if self.responsiveness.is_unresponsive(self.now()) {
            return true;
        }
        self.failed_since.get().is_some_and(|since| {
            self.now().saturating_duration_since(since) >= STORE_UNRESPONSIVE_AFTER
        })
    }

    /// How long the store has carried out no call of this entry. Zero while it does.
    pub fn store_outage(&self) -> Duration {
        let now = self.now();
        let failing = self
            .failed_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        failing.max(self.responsiveness.unresponsive_for(now))
    }

    /// Records the outcome of a call to the store in the metrics, the log and the detection of outages; returns
    /// `result`.
    ///
    /// # Errors
    ///
    /// Returns the error of `result`.
    pub fn record_call<T>(
        &self,
        call: &'static str,
        sent_at: Instant,
        result: Result<T, CallError>,
    ) -> Result<T, CallError> {
        let now = self.now();
        let outcome = match &result {
            Ok(_) => "done",
            Err(CallError::NotDone(_)) => "refused",
            Err(CallError::Unknown(_)) => "no answer",
            Err(CallError::LeaseEnded) => "lease ended",
            Err(CallError::HistoryGone) => "history gone",
            Err(CallError::Malformed(_)) => "malformed",
        };
        self.metrics
            .store_call(call, outcome, now.saturating_duration_since(sent_at));
        if matches!(result, Err(CallError::Unknown(_))) {
            self.responsiveness.lost();
        } else {
            self.responsiveness.answered();
        }
        if let Err(error @ (CallError::NotDone(_) | CallError::Unknown(_))) = &result {
            if self.failed_since.get().is_none() {
                self.failed_since.set(Some(now));
                log::warn!(target: "store", call, error:%; "The store did not carry out a call.");
            }
        } else if let Some(since) = self.failed_since.take() {
            let ms = millis(now.saturating_duration_since(since));
            log::info!(target: "store", call, for_ms = ms; "The store answers again.");
        }
        result
    }

    /// Reads a key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refuses the call or gives no usable answer within [`STORE_TIMEOUT`].
    pub async fn read(&self, key: &str) -> Result<Option<Item>, CallError> {
        let sent_at = self.now();
        self.responsiveness.sent(sent_at);
        let result = self.platform.read(key, STORE_TIMEOUT).await;
        self.record_call("read", sent_at, result)
    }

    /// Lists all keys with a prefix, page by page. The revision is that of the first page, so a watch that continues
    /// from it returns all later changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refuses a page or gives no usable answer within [`STORE_TIMEOUT`] for each.
    pub async fn list(&self, prefix: &str, is_stale: bool) -> Result<Page, CallError> {
        let mut all = Page::default();
        let mut after: Option<Box<str>> = None;
        loop {
            let sent_at = self.now();
            self.responsiveness.sent(sent_at);
            let result = self
                .platform
                .list(prefix, after.as_deref(), is_stale, STORE_TIMEOUT)
                .await;
            let page = self.record_call("list", sent_at, result)?;
            if after.is_none() {
                all.revision = page.revision;
            }
            after = page.items.last().map(|item| item.key.clone());
            all.items.extend(page.items);
            if !page.has_more || after.is_none() {
                return Ok(all);
            }
        }
    }

    /// Waits for changes of keys with a prefix after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::HistoryGone`] if the store no longer has the changes after `after`, and another error if it
    /// gives no usable answer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, CallError> {
        let sent_at = self.now();
        let waited =
            tokio::time::timeout(wait + WATCH_SLACK, self.platform.watch(prefix, after, wait));
        let result = waited
            .await
            .unwrap_or_else(|_| Err(CallError::Unknown("the watch timed out".into())));
        self.record_call("watch", sent_at, result)
    }

    /// Commits a transaction, with [`STORE_TIMEOUT`]. A conflict is not an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refuses the call or gives no answer; [`CallError::Unknown`] leaves open whether
    /// the transaction was or will be carried out.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, CallError> {
        self.commit_within(txn, STORE_TIMEOUT).await
    }

    /// Commits a transaction with a given timeout.
    ///
    /// # Errors
    ///
    /// As [`Self::commit`].
    pub async fn commit_within(
        &self,
        txn: &Txn,
        timeout: Duration,
    ) -> Result<Committed, CallError> {
        let sent_at = self.now();
        self.responsiveness.sent(sent_at);
        let result = self.platform.commit(txn, timeout).await;
        self.record_call("commit", sent_at, result)
    }
}

/// Runs the tasks of an entry until [`Entry::stopping`] is cancelled and the roles are handed over. The caller of this
/// function serves the calls.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let mut parts = JoinSet::new();
    parts.spawn_local(operators::run(Rc::clone(&entry)));
    parts.spawn_local(names::run(Rc::clone(&entry)));
    parts.spawn_local(session::run(Rc::clone(&entry)));
    parts.spawn_local(registry::run(Rc::clone(&entry)));
    let members = AbortOnDropHandle::new(tokio::task::spawn_local(members::run(Rc::clone(&entry))));
    tokio::select! {
        ended = parts.join_next() => {
            if let Some(Err(error)) = ended {
                log::error!(target: "main", error:%; "A task of the entry ended with an error; stopping the process.");
            }
        }
        ended = members => {
            if let Err(error) = ended {
                log::error!(target: "main", error:%; "The task that holds the roles ended with an error; stopping the process.");
            }
        }
    }
}
