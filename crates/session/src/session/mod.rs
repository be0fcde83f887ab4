//! The handle through which every call of the key-value service goes.
//!
//! A [`Session`] takes a token for each call, bounds the call's time, and notes when the service last answered.
//! A call that is cut off by its bound counts as one without an answer.

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

/// What a session is set to.
#[derive(Debug, Clone)]
pub struct SessionConfig {
    /// This process.
    pub entry: EntryId,
    /// Its data centre.
    pub dc: DcName,
    /// Its part of the service's rate.
    pub rate: CallRate,
    /// How operations are tried again.
    pub retry: RetryPolicy,
    /// The longest wait for the answer to one call.
    pub call_timeout: Duration,
    /// The term of this entry's lease.
    pub lease_ttl: Duration,
    /// How far this entry's clock and the service's may drift apart, in thousandths of the time that passes.
    pub drift_permille: u32,
    /// The seed of the jitter.
    pub seed: u64,
}

impl SessionConfig {
    /// The usual settings for one process.
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

/// What is known of the service's reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// When the last call that was answered had been sent.
    pub answered: Option<Instant>,
    /// When the first of the calls without an answer since then had been sent.
    pub lost_since: Option<Instant>,
    /// How often contact was lost.
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
    /// The generation of the last lease.
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
    /// A session over `store`. It holds no lease until a [`LeaseKeeper`](crate::lease::LeaseKeeper) runs.
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

    /// What the session is set to.
    #[must_use]
    pub fn cfg(&self) -> &SessionConfig {
        &self.inner.cfg
    }

    /// The present moment of the session's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// The calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.inner.counters.counts()
    }

    /// What is known of the service's reach.
    #[must_use]
    pub fn contact(&self) -> Contact {
        *lock(&self.inner.contact)
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn get(&self, key: &StoreKey) -> Result<Option<Versioned>, StoreError> {
        let read = self.inner.store.get(key);
        let found = self.call(CallKind::Read, Duration::ZERO, read).await?;
        self.count_received(found.as_ref());
        Ok(found)
    }

    /// Replaces a value once, without trying again.
    ///
    /// # Errors
    ///
    /// Why there is no new version.
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

    /// Removes a value of a known version.
    ///
    /// # Errors
    ///
    /// Why the value may still be there.
    pub async fn remove(&self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        let remove = self.inner.store.remove(key, version);
        self.call(CallKind::Change, Duration::ZERO, remove).await
    }

    /// Waits until a value has a version above `after`, or until `wait` has passed.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
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

    /// The keys below `prefix`.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
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

    /// Whether this version is known to lose nothing of `key` at `version` when it writes it back.
    pub(crate) fn is_writable(&self, key: &StoreKey, version: StoreVersion) -> bool {
        lock(&self.inner.writable).get(key) == Some(&version)
    }

    pub(crate) fn note_writable(&self, key: &StoreKey, version: StoreVersion) {
        lock(&self.inner.writable).insert(key.clone(), version);
    }

    /// Draws the id of a new edit.
    #[must_use]
    pub fn draw_edit(&self) -> EditId {
        EditId::new(lock(&self.inner.rng).random())
    }

    /// The jittered wait before try number `tries`.
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
        let counted = Counted::new(&self.inner.counters, kind);
        let limit = self.inner.cfg.call_timeout + wait;
        let answer = match tokio::time::timeout(limit, call).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::OutcomeUnknown),
        };
        drop(counted);
        self.note(sent, answer.as_ref().err());
        answer
    }

    /// Waits for a token, for as long as one call may take.
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

    fn note(&self, sent: Instant, error: Option<&StoreError>) {
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

/// Counts a call as ended also when its future is dropped.
struct Counted<'a> {
    counters: &'a CallCounters,
    kind: CallKind,
}

impl<'a> Counted<'a> {
    fn new(counters: &'a CallCounters, kind: CallKind) -> Self {
        counters.begin(kind);
        Self { counters, kind }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.counters.end(self.kind);
    }
}
