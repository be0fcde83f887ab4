//! The parts of a process, and what they share.
//!
//! [`Entry`] holds what all parts read: the catalogue and when it was last known to be current, the session with the store,
//! and the registry of workers. The supervisor tree is flat: [`run`] starts each part as a local task and ends the process if
//! one of them panics; the platform starts it again.

pub mod silence;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use goldcrest_jobs::upkeep::Wave;
use goldcrest_jobs::worker::{WorkerInfo, millis};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::PoolName;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::entry::silence::Silence;
use crate::metrics::Metrics;
use crate::ports::{
    CallError, Committed, Item, LeaseId, Page, Platform, Revision, StoredCatalogue, Txn, Watched,
};
use crate::{members, operators, registry, session};

/// A call to the store that has no answer after this time is given up. Answers take milliseconds, and a few hundred while
/// the store is slow.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much longer than it was asked to wait a watch may take. A slow store answers within some 250 ms.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// After the store has been silent this long, calls are refused at once instead of being held for another timeout.
const STORE_SILENT: Duration = Duration::from_millis(2_500);

/// What the platform sets for an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The entry's name.
    pub name: Box<str>,
    /// The processor time that it may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// A withdrawn key must not be taken any more after this time.
    pub key_withdrawal: Duration,
    /// How long a stop may take before the process is killed.
    pub stop_grace: Duration,
    /// Times of pools and workers.
    pub pool: goldcrest_jobs::pool::Bounds,
    /// Two holders of a role may not give orders about one VM within this time.
    pub vm_order_gap: Duration,
    /// How long a VM is down for maintenance.
    pub maintenance: Duration,
    /// How long callers may ask for a job that has ended.
    pub status_kept: Duration,
}

/// The session with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Session {
    /// What this entry's keys end with.
    pub lease: LeaseId,
    /// Until then the lease certainly lasts.
    pub valid_until: Instant,
}

/// What the parts of a process share.
pub struct Entry<P: Platform> {
    /// The outside.
    pub platform: P,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// What is set from outside. It may change while the entry runs.
    pub(crate) settings: watch::Sender<Rc<Settings>>,
    /// The metrics.
    pub metrics: Metrics,
    /// The catalogue in force.
    pub catalogue: watch::Sender<Option<StoredCatalogue>>,
    /// Since this time nothing newer than the catalogue in force can have been missed.
    pub current_at: Cell<Option<Instant>>,
    /// The maintenance waves that were ordered.
    pub waves: RefCell<BTreeMap<u64, Wave>>,
    /// Another wave was ordered.
    pub waves_changed: Notify,
    /// The session with the store.
    pub session: watch::Sender<Option<Session>>,
    /// All workers with their pools, as last read.
    pub workers: watch::Sender<Rc<[(PoolName, WorkerInfo)]>>,
    /// How many parts need the registry.
    pub registry_users: Cell<usize>,
    /// A pool that is scheduled here has more work than room, so that workers may be on their way to it.
    pub is_awaiting_workers: Cell<bool>,
    /// A part has begun to need the registry.
    pub registry_needed: Notify,
    /// The entry is to stop.
    pub stopping: CancellationToken,
    failed_since: Cell<Option<Instant>>,
    /// Whether the store answers.
    pub silence: Silence,
}

impl<P: Platform> Entry<P> {
    /// An entry that has not started.
    pub fn new(platform: P, clock: Arc<dyn Clock>, settings: Settings) -> Self {
        Self {
            platform,
            clock,
            settings: watch::Sender::new(Rc::new(settings)),
            metrics: Metrics::new(),
            catalogue: watch::Sender::new(None),
            current_at: Cell::new(None),
            waves: RefCell::default(),
            waves_changed: Notify::new(),
            session: watch::Sender::new(None),
            workers: watch::Sender::new(Rc::from([])),
            registry_users: Cell::new(0),
            is_awaiting_workers: Cell::new(false),
            registry_needed: Notify::new(),
            stopping: CancellationToken::new(),
            failed_since: Cell::new(None),
            silence: Silence::default(),
        }
    }

    /// What is set from outside, as of now.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes changed settings; returns whether they differ from those before. An entry keeps its name while it runs.
    pub fn set_settings(&self, changed: &Settings) -> bool {
        let before = self.settings();
        let settings = Settings {
            name: before.name.clone(),
            ..changed.clone()
        };
        let is_changed = *before != settings;
        if is_changed {
            self.settings.send_replace(Rc::new(settings));
        }
        is_changed
    }

    /// The steady time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The time of day, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        let wall: SystemTime = self.clock.wall();
        // A clock before 1970 is a clock that is not set.
        wall.duration_since(UNIX_EPOCH).map_or(0, millis)
    }

    /// The lease of a session that certainly lasts.
    pub fn valid_lease(&self) -> Option<LeaseId> {
        let session = (*self.session.borrow())?;
        (self.now() < session.valid_until).then_some(session.lease)
    }

    /// Whether the catalogue in force was current so recently that no withdrawn key is taken for too long.
    pub fn has_fresh_keys(&self) -> bool {
        // A fifth of the time is left for the answer to be carried out.
        let most = self.settings().key_withdrawal * 4 / 5;
        self.current_at
            .get()
            .is_some_and(|at| self.now().saturating_duration_since(at) < most)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.catalogue.borrow().is_some()
            && self.has_fresh_keys()
            && !self.is_store_silent()
    }

    /// Whether the store has given no answer for so long that another call would be held in vain.
    pub fn is_store_silent(&self) -> bool {
        if self.silence.is_silent(self.now()) {
            return true;
        }
        self.failed_since
            .get()
            .is_some_and(|since| self.now().saturating_duration_since(since) >= STORE_SILENT)
    }

    /// How long the store has carried nothing out here.
    pub fn store_out_for(&self) -> Duration {
        let now = self.now();
        let failing = self
            .failed_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        failing.max(self.silence.lasts(now))
    }

    /// Counts and logs the outcome of a call to the store.
    ///
    /// # Errors
    ///
    /// As the call's.
    pub fn note<T>(
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
        if !matches!(result, Err(CallError::Unknown(_))) {
            self.silence.answered();
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

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The store gave no answer that can be used.
    pub async fn read(&self, key: &str) -> Result<Option<Item>, CallError> {
        let sent_at = self.now();
        self.silence.sent(sent_at);
        let result = self.platform.read(key, STORE_TIMEOUT).await;
        self.note("read", sent_at, result)
    }

    /// Lists all keys with a prefix. The revision is that of the first page: changes since then are seen by a watch that
    /// continues from it.
    ///
    /// # Errors
    ///
    /// The store gave no answer that can be used.
    pub async fn list(&self, prefix: &str, is_stale: bool) -> Result<Page, CallError> {
        let mut all = Page::default();
        let mut after: Option<Box<str>> = None;
        loop {
            let sent_at = self.now();
            self.silence.sent(sent_at);
            let result = self
                .platform
                .list(prefix, after.as_deref(), is_stale, STORE_TIMEOUT)
                .await;
            let page = self.note("list", sent_at, result)?;
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

    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// The store gave no answer that can be used, or the history is gone.
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
        self.note("watch", sent_at, result)
    }

    /// Makes a transaction.
    ///
    /// # Errors
    ///
    /// The store refused it, or gave no answer.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, CallError> {
        self.commit_within(txn, STORE_TIMEOUT).await
    }

    /// Makes a transaction within a time.
    ///
    /// # Errors
    ///
    /// The store refused it, or gave no answer.
    pub async fn commit_within(
        &self,
        txn: &Txn,
        timeout: Duration,
    ) -> Result<Committed, CallError> {
        let sent_at = self.now();
        self.silence.sent(sent_at);
        let result = self.platform.commit(txn, timeout).await;
        self.note("commit", sent_at, result)
    }
}

/// Runs the parts of an entry until it is told to stop, and then stops them. Calls are served by the caller of this
/// function.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let mut parts = JoinSet::new();
    parts.spawn_local(operators::run(Rc::clone(&entry)));
    parts.spawn_local(session::run(Rc::clone(&entry)));
    parts.spawn_local(registry::run(Rc::clone(&entry)));
    let members = AbortOnDropHandle::new(tokio::task::spawn_local(members::run(Rc::clone(&entry))));
    tokio::select! {
        ended = parts.join_next() => {
            if let Some(Err(error)) = ended {
                log::error!(target: "main", error:%; "A part has ended.");
            }
        }
        ended = members => {
            if let Err(error) = ended {
                log::error!(target: "main", error:%; "The part that holds the roles has ended.");
            }
        }
    }
}
