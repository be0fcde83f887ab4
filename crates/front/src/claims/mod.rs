//! Claims on idempotency keys: a request that is not idempotent runs at most once over all entries.
//!
//! Before such a request with an `Idempotency-Key` is sent, its key is claimed. [`Claims`] is the interface to the
//! store of claims; [`LocalClaims`] is a bounded in-memory table for a single entry.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_types::clock::Clock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};

/// How long [`LocalClaims`] keeps a claim.
const LOCAL_WINDOW: Duration = Duration::from_mins(15);
/// The most claims that [`LocalClaims`] holds at one time.
const LOCAL_CLAIMS_MAX: usize = 100_000;

/// The result of claiming an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// The request may run: no other request with this key has run or will run until the claim expires.
    Granted {
        /// The least time for which the claim is kept, counted from when it was requested. Nothing is sent after it.
        keep: Duration,
    },
    /// An earlier request with this key was granted the claim.
    Seen,
    /// Whether an earlier request was granted the claim cannot be determined.
    Unknown,
    /// The store of claims does not answer for this key, or has no free capacity.
    Unavailable,
}

/// A store of claims on idempotency keys.
pub trait Claims: Send + Sync + 'static {
    /// Claims the key with the given digest for a request to `queue`.
    fn claim(
        &self,
        queue: &QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> impl Future<Output = Claim> + Send;

    /// Releases a granted claim. Called only if the request has certainly not run.
    fn release(
        &self,
        queue: &QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> impl Future<Output = ()> + Send;
}

type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// [`Claims`] with boxed futures, for use as a trait object.
pub(crate) trait AnyClaims: Send + Sync {
    fn claim<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> BoxFuture<'a, Claim>;

    fn release<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> BoxFuture<'a, ()>;
}

impl<T: Claims> AnyClaims for T {
    fn claim<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> BoxFuture<'a, Claim> {
        Box::pin(Claims::claim(self, queue, digest, request))
    }

    fn release<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> BoxFuture<'a, ()> {
        Box::pin(Claims::release(self, queue, digest, request))
    }
}

/// Granted claims by the prefix of their digest, and in the order in which they expire.
#[derive(Debug, Default)]
struct Table {
    granted: HashMap<u64, Vec<(KeyDigest, RequestId)>>,
    order: VecDeque<(Instant, KeyDigest, RequestId)>,
}

/// An in-memory store for a single entry. A claim expires after 15 minutes, and at most 100,000 are granted in that
/// time; beyond that the answer is [`Claim::Unavailable`].
pub struct LocalClaims {
    clock: Arc<dyn Clock>,
    table: Mutex<Table>,
}

impl fmt::Debug for LocalClaims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LocalClaims").finish_non_exhaustive()
    }
}

impl LocalClaims {
    /// Returns an empty store that reads the time from `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            table: Mutex::default(),
        }
    }

    fn claim_now(&self, digest: KeyDigest, request: RequestId) -> Claim {
        let now = self.clock.now();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.evict_expired(now);
        if table.is_granted(&digest) {
            return Claim::Seen;
        }
        if table.order.len() >= LOCAL_CLAIMS_MAX {
            return Claim::Unavailable;
        }
        table.order.push_back((now + LOCAL_WINDOW, digest, request));
        let bucket = table.granted.entry(digest.prefix()).or_default();
        bucket.push((digest, request));
        Claim::Granted { keep: LOCAL_WINDOW }
    }

    fn release_now(&self, digest: KeyDigest, request: RequestId) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.remove(digest, request);
    }
}

impl Table {
    fn is_granted(&self, digest: &KeyDigest) -> bool {
        let bucket = self.granted.get(&digest.prefix());
        bucket.is_some_and(|bucket| bucket.iter().any(|(known, _)| known == digest))
    }

    fn evict_expired(&mut self, now: Instant) {
        while let Some((until, digest, request)) = self.order.front().copied() {
            if now < until {
                return;
            }
            self.order.pop_front();
            self.remove(digest, request);
        }
    }

    fn remove(&mut self, digest: KeyDigest, request: RequestId) {
        let Some(bucket) = self.granted.get_mut(&digest.prefix()) else {
            return;
        };
        bucket.retain(|claim| *claim != (digest, request));
        if bucket.is_empty() {
            self.granted.remove(&digest.prefix());
        }
    }
}

impl Claims for LocalClaims {
    async fn claim(&self, _queue: &QueueName, digest: KeyDigest, request: RequestId) -> Claim {
        self.claim_now(digest, request)
    }

    async fn release(&self, _queue: &QueueName, digest: KeyDigest, request: RequestId) {
        self.release_now(digest, request);
    }
}
