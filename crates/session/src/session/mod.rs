//! The handle through which every call of the key-value service goes.
//!
//! A [`Session`] takes a token from the rate limit for each call, applies a timeout, and records when the service last
//! answered. A call that times out counts as one with an unknown outcome.

use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_ports::store::{Expect, LeaseId, Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EditId, EntryId};
use goldcrest_types::units::StoreVersion;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use crate::calls::{Bucket, CallCounters, CallCounts, CallKind, CallRate};
use crate::lease::LeaseState;
use crate::retry::RetryPolicy;

/// The settings of a session.
#[derive(Debug, Clone)]
pub struct SessionConfig {
    /// The id of this process.
    pub entry: EntryId,
    /// The data centre of this process.
    pub dc: DcName,
    /// This process's part of the call rate that the service allows.
    pub rate: CallRate,
    /// The backoff and the time budget of operations that are retried.
    pub retry: RetryPolicy,
    /// The timeout of one call. A watch may wait for its own time in addition.
    pub call_timeout: Duration,
    /// The term of this entry's lease.
    pub lease_ttl: Duration,
    /// The possible drift between this entry's clock and the service's, in thousandths of the elapsed time.
    pub drift_permille: u32,
    /// The seed for the jitter and the ids of edits. It must differ between processes, so that no two draw the same id.
    pub seed: u64,
}

impl SessionConfig {
    /// Returns the default settings, with a seed from the high bits of the entry's id.
    #[must_use]
    pub fn new(entry: EntryId, dc: DcName) -> Self {
        Self {
            entry,
            dc,
            rate: CallRate::default(),
            retry: RetryPolicy::default(),
            call_timeout: Duration::from_millis(1_500),
            lease_ttl: Duration::from_secs(10),
            drift_permille: 50,
            seed: u64::try_from(entry.bits() >> 64).unwrap_or_default(),
        }
    }
}

/// The reachability of the service according to the latest calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// When the latest answered call was sent, or `None` before the first answer.
    pub answered: Option<Instant>,
    /// When the first call was sent that got no answer since the last answered one, or `None` while there is contact.
    pub lost_since: Option<Instant>,
    /// The number of times that contact was lost.
    pub losses: u64,
}

pub(crate) struct Inner<S, C> {
    pub(crate) store: S,
    pub(crate) clock: C,
    pub(crate) cfg: SessionConfig,
    pub(crate) lease: watch::Sender<LeaseState>,
    bucket: Mutex<Bucket>,
    counters: CallCounters,
    contact: Mutex<Contact>,
    rng: Mutex<StdRng>,
    generation: AtomicU64,
    writable: Mutex<HashMap<StoreKey, StoreVersion>>,
}

impl<S, C> Inner<S, C> {
    /// The generation of the last lease, or 0 before the first.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    pub(crate) fn set_generation(&self, generation: u64) {
        self.generation.store(generation, Ordering::Relaxed);
    }
}

/// A handle to the key-value service, cheap to clone.
pub struct Session<S, C> {
    pub(crate) inner: Arc<Inner<S, C>>,
}

impl<S, C> Clone for Session<S, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Store, C: Clock> Session<S, C> {
    /// Creates a session over `store`. It holds no lease until a [`LeaseKeeper`](crate::lease::LeaseKeeper) runs.
    pub fn new(store: S, clock: C, cfg: SessionConfig) -> Self {
        let bucket = Bucket::new(cfg.rate, clock.now());
        let rng = StdRng::seed_from_u64(cfg.seed);
        let (lease, _) = watch::channel(LeaseState::Absent);
        let inner = Inner {
            store,
            clock,
            cfg,
            lease,
            bucket: Mutex::new(bucket),
            counters: CallCounters::default(),
            contact: Mutex::new(Contact::default()),
            rng: Mutex::new(rng),
            generation: AtomicU64::new(0),
            writable: Mutex::new(HashMap::new()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn cfg(&self) -> &SessionConfig {
        &self.inner.cfg
    }

    /// Returns the current time of the session's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// Returns the counters of all calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.inner.counters.counts()
    }

    /// Returns the reachability of the service according to the latest calls.
    #[must_use]
    pub fn contact(&self) -> Contact {
        *lock(&self.inner.contact)
    }

    /// Reads the value under `key`, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the call got no answer or was throttled.
    pub async fn get(&self, key: &StoreKey) -> Result<Option<Versioned>, StoreError> {
        let read = self.inner.store.get(key);
        let found = self.call(CallKind::Read, Duration::ZERO, read).await?;
        self.count_received(found.as_ref());
        Ok(found)
    }

    /// Replaces the value under `key` if its version is `expect`, and returns the new version. A failed call is not
    /// retried.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the version differs; after [`StoreError::OutcomeUnknown`] the swap may still take
    /// effect.
    pub async fn swap(
        &self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        self.inner.counters.sent(value.len());
        let swap = self.inner.store.swap(key, expect, value, lease);
        self.call(CallKind::Change, Duration::ZERO, swap).await
    }

    /// Removes the value under `key` if it is at `version`.
    ///
    /// # Errors
    ///
    /// After any error the value may still be there.
    pub async fn remove(&self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        let remove = self.inner.store.remove(key, version);
        self.call(CallKind::Change, Duration::ZERO, remove).await
    }

    /// Waits until the value under `key` has a version above `after` and returns it, or `None` after `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the call got no answer or was throttled.
    pub async fn watch(
        &self,
        key: &StoreKey,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let watch = self.inner.store.watch(key, after, wait);
        let found = self.call(CallKind::Watch, wait, watch).await?;
        self.count_received(found.as_ref());
        Ok(found)
    }

    /// Lists the keys below `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the call got no answer or was throttled.
    pub async fn list(&self, prefix: &StoreKey) -> Result<Vec<StoreKey>, StoreError> {
        let list = self.inner.store.list(prefix);
        let keys = self.call(CallKind::Read, Duration::ZERO, list).await?;
        let bytes = keys.iter().map(|key| key.as_str().len()).sum();
        self.inner.counters.received(bytes);
        Ok(keys)
    }

    pub(crate) async fn grant(&self) -> Result<LeaseId, StoreError> {
        let grant = self.inner.store.grant(self.inner.cfg.lease_ttl);
        self.call(CallKind::Lease, Duration::ZERO, grant).await
    }

    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let renew = self.inner.store.renew(lease);
        self.call(CallKind::Lease, Duration::ZERO, renew).await
    }

    /// Whether this software is known to lose no field of the document under `key` at `version` when it writes it back.
    pub(crate) fn is_writable(&self, key: &StoreKey, version: StoreVersion) -> bool {
        lock(&self.inner.writable).get(key) == Some(&version)
    }

    pub(crate) fn mark_writable(&self, key: &StoreKey, version: StoreVersion) {
        lock(&self.inner.writable).insert(key.clone(), version);
    }

    /// Draws a random id for a new edit.
    #[must_use]
    pub fn new_edit_id(&self) -> EditId {
        EditId::new(lock(&self.inner.rng).random())
    }

    /// Returns the jittered wait before try number `tries`.
    pub(crate) fn backoff(&self, tries: u32) -> Duration {
        self.inner
            .cfg
            .retry
            .wait(tries, &mut *lock(&self.inner.rng))
    }

    async fn call<T>(
        &self,
        kind: CallKind,
        wait: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.take_token(kind).await?;
        let sent = self.now();
        let guard = CallGuard::new(&self.inner.counters, kind);
        let limit = self.inner.cfg.call_timeout + wait;
        let answer = match tokio::time::timeout(limit, call).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::OutcomeUnknown),
        };
        drop(guard);
        self.record_result(sent, answer.as_ref().err());
        answer
    }

    /// Waits for a token, at most for the call timeout.
    async fn take_token(&self, kind: CallKind) -> Result<(), StoreError> {
        let last = self.now() + self.inner.cfg.call_timeout;
        let mut waited = false;
        loop {
            let now = self.now();
            let Err(wait) = lock(&self.inner.bucket).take(kind, now) else {
                return Ok(());
            };
            if !waited {
                self.inner.counters.delayed();
                waited = true;
            }
            if now + wait > last {
                return Err(StoreError::Throttled);
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn record_result(&self, sent: Instant, error: Option<&StoreError>) {
        if let Some(error) = error {
            self.inner.counters.failed(error);
        }
        let mut contact = lock(&self.inner.contact);
        match error {
            None | Some(StoreError::Conflict | StoreError::LeaseGone) => {
                contact.answered = contact.answered.max(Some(sent));
                contact.lost_since = None;
            }
            Some(StoreError::Unreachable | StoreError::OutcomeUnknown) => {
                if contact.lost_since.is_none() {
                    contact.lost_since = Some(sent);
                    contact.losses += 1;
                }
            }
            Some(StoreError::Throttled) => lock(&self.inner.bucket).drain(self.now()),
            Some(StoreError::Malformed(_)) => {}
        }
    }

    fn count_received(&self, found: Option<&Versioned>) {
        let bytes = found.map_or(0, |found| found.value.len());
        self.inner.counters.received(bytes);
    }
}

/// Counts a call as begun, and on drop as ended, so that a cancelled call is counted too.
struct CallGuard<'a> {
    counters: &'a CallCounters,
    kind: CallKind,
}

impl<'a> CallGuard<'a> {
    fn new(counters: &'a CallCounters, kind: CallKind) -> Self {
        counters.begin(kind);
        Self { counters, kind }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.counters.end(self.kind);
    }
}
