//! Claims on idempotency keys: a request that is not idempotent runs at most once over all entries.
//!
//! Before such a request with an `Idempotency-Key` is sent, its key is claimed. [`Claims`] is the edge towards
//! whatever keeps the claims; [`LocalClaims`] is a bounded table for a single entry.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_types::clock::Clock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};

/// How long a local claim is kept.
const LOCAL_WINDOW: Duration = Duration::from_mins(15);
/// The most local claims.
const LOCAL_CLAIMS_MAX: usize = 100_000;

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// The request may run; no other with this key has or will, until the claim is forgotten.
    Granted {
        /// How long the claim is kept at least, from when it was asked for. Nothing is sent after it.
        keep: Duration,
    },
    /// A request with this key was granted before.
    Seen,
    /// Whether one was granted before cannot be known.
    Unknown,
    /// Nobody answers for this key now.
    Unavailable,
}

/// Whoever keeps the claims.
pub trait Claims: Send + Sync + 'static {
    /// Claims the key with this digest for a request to `queue`.
    fn claim(
        &self,
        queue: &QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> impl Future<Output = Claim> + Send;

    /// Gives a granted claim back, since the request did certainly not run.
    fn release(
        &self,
        queue: &QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> impl Future<Output = ()> + Send;
}

type Answer<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The same edge in a form that can be held without its type.
pub(crate) trait AnyClaims: Send + Sync {
    fn claim<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> Answer<'a, Claim>;

    fn release<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> Answer<'a, ()>;
}

impl<T: Claims> AnyClaims for T {
    fn claim<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> Answer<'a, Claim> {
        Box::pin(Claims::claim(self, queue, digest, request))
    }

    fn release<'a>(
        &'a self,
        queue: &'a QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> Answer<'a, ()> {
        Box::pin(Claims::release(self, queue, digest, request))
    }
}

#[derive(Debug, Default)]
struct Table {
    granted: HashMap<u64, Vec<(KeyDigest, RequestId)>>,
    order: VecDeque<(Instant, KeyDigest, RequestId)>,
}

/// Claims of a single entry, in memory. It forgets a claim after 15 minutes and grants no more than 100,000 in
/// that time.
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
    /// An empty table.
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
        table.forget(now);
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

    fn forget(&mut self, now: Instant) {
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
