//! The rate limit and the counters of calls to the key-value service.
//!
//! The service counts each call and each waiting watch as one. [`CallRate`] is this entry's part of the rate that the
//! service allows, and the [`Bucket`] enforces it. Lease calls may use the whole burst, changes of documents three
//! quarters of it, and reads and watches half of it, so that background reads never delay a renewal.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use goldcrest_ports::store::StoreError;
use goldcrest_types::units::PerSecond;

/// The purpose of a call. The variants are in order of precedence at the rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Requests or renews this entry's lease.
    Lease,
    /// Swaps or removes a value.
    Change,
    /// Reads a value or lists keys.
    Read,
    /// Waits for a change of a value.
    Watch,
}

/// This entry's part of the call rate that the service allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRate {
    /// Calls per second on average. Values below 1 count as 1.
    pub per_second: PerSecond,
    /// Calls that may be made at once when the bucket is full. Values below 4 count as 4.
    pub burst: u32,
}

impl Default for CallRate {
    fn default() -> Self {
        Self {
            per_second: PerSecond::new(20),
            burst: 20,
        }
    }
}

impl CallRate {
    fn interval(self) -> Duration {
        Duration::from_secs(1) / self.per_second.get().max(1)
    }

    fn burst_for(self, kind: CallKind) -> u32 {
        let burst = self.burst.max(4);
        match kind {
            CallKind::Lease => burst,
            CallKind::Change => burst - burst / 4,
            CallKind::Read | CallKind::Watch => burst - burst / 2,
        }
    }
}

/// A token bucket, stored as the instant at which it will be full.
#[derive(Debug)]
pub struct Bucket {
    rate: CallRate,
    full_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: CallRate, now: Instant) -> Self {
        Self { rate, full_at: now }
    }

    /// Takes a token for one call.
    ///
    /// # Errors
    ///
    /// Returns the wait until a token is available for this kind of call.
    pub fn take(&mut self, kind: CallKind, now: Instant) -> Result<(), Duration> {
        let interval = self.rate.interval();
        let full_at = self.full_at.max(now) + interval;
        let latest = now + interval * self.rate.burst_for(kind);
        if full_at > latest {
            return Err(full_at - latest);
        }
        self.full_at = full_at;
        Ok(())
    }

    /// Empties the bucket after the service has throttled a call.
    pub fn drain(&mut self, now: Instant) {
        let empty = now + self.rate.interval() * self.rate.burst.max(4);
        self.full_at = self.full_at.max(empty);
    }
}

/// The calls since the start of the process, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Swaps and removals.
    pub changes: u64,
    /// Reads and lists.
    pub reads: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that are waiting now.
    pub watches_waiting: u64,
    /// Bytes of values sent.
    pub sent_bytes: u64,
    /// Bytes of values received.
    pub received_bytes: u64,
    /// Calls that the service throttled.
    pub throttled: u64,
    /// Calls that never reached the service.
    pub unreachable: u64,
    /// Calls without an answer, which may have taken effect.
    pub outcomes_unknown: u64,
    /// Calls that this entry's rate limit delayed.
    pub delayed: u64,
}

impl CallCounts {
    /// Returns the number of all calls made.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.leases + self.changes + self.reads + self.watches
    }
}

/// The counters behind [`CallCounts`].
#[derive(Debug, Default)]
pub struct CallCounters {
    leases: AtomicU64,
    changes: AtomicU64,
    reads: AtomicU64,
    watches: AtomicU64,
    watches_waiting: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    throttled: AtomicU64,
    unreachable: AtomicU64,
    outcomes_unknown: AtomicU64,
    delayed: AtomicU64,
}

impl CallCounters {
    /// Counts a call that is about to be made.
    pub fn begin(&self, kind: CallKind) {
        match kind {
            CallKind::Lease => add(&self.leases, 1),
            CallKind::Change => add(&self.changes, 1),
            CallKind::Read => add(&self.reads, 1),
            CallKind::Watch => {
                add(&self.watches, 1);
                add(&self.watches_waiting, 1);
            }
        }
    }

    /// Counts the end of a call, whatever its result.
    pub fn end(&self, kind: CallKind) {
        if kind == CallKind::Watch {
            self.watches_waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Counts a failed call by its error.
    pub fn failed(&self, error: &StoreError) {
        match error {
            StoreError::Throttled => add(&self.throttled, 1),
            StoreError::Unreachable => add(&self.unreachable, 1),
            StoreError::OutcomeUnknown => add(&self.outcomes_unknown, 1),
            StoreError::Conflict | StoreError::LeaseGone | StoreError::Malformed(_) => {}
        }
    }

    /// Counts a call that this entry's rate limit delayed.
    pub fn delayed(&self) {
        add(&self.delayed, 1);
    }

    /// Adds the bytes of a value that is sent.
    pub fn sent(&self, bytes: usize) {
        add(&self.sent_bytes, bytes as u64);
    }

    /// Adds the bytes of a value or of listed keys that were received.
    pub fn received(&self, bytes: usize) {
        add(&self.received_bytes, bytes as u64);
    }

    /// Returns the current counts.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            leases: read(&self.leases),
            changes: read(&self.changes),
            reads: read(&self.reads),
            watches: read(&self.watches),
            watches_waiting: read(&self.watches_waiting),
            sent_bytes: read(&self.sent_bytes),
            received_bytes: read(&self.received_bytes),
            throttled: read(&self.throttled),
            unreachable: read(&self.unreachable),
            outcomes_unknown: read(&self.outcomes_unknown),
            delayed: read(&self.delayed),
        }
    }
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
