//! The longest lease that workers of a pool may hold.
//!
//! A lease outlives the scheduler that offered it, and a worker does not tell how long its lease is. So each scheduler
//! stores the longest lease that it offers, and its successor takes the stored one for what the workers may hold.
//! [`LeaseBound`] is what a scheduler stores. Invariants:
//!
//! - No command offers a longer lease than the stored one ([`LeaseBound::offer`]).
//! - The stored one becomes shorter only after every longer lease has expired ([`LeaseBound::longest_ms`]).

use std::time::{Duration, Instant};

use crate::pool::Bounds;
use crate::worker::{millis, with_drift};

/// The longest lease that a scheduler or its predecessors may have offered.
#[derive(Debug, Clone)]
pub struct LeaseBound {
    /// The longest lease of this scheduler's commands, by its present bounds.
    own: Duration,
    /// The longest lease that its predecessors may have offered.
    inherited: Duration,
    /// Leases from before that are longer than `own`.
    longer: Option<LongerLease>,
}

/// Leases that are longer than the present ones and may not have expired yet.
#[derive(Debug, Clone, Copy)]
struct LongerLease {
    lease: Duration,
    until: Instant,
}

impl LeaseBound {
    /// The bound of a scheduler without a predecessor.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        let own = bounds.offered_max();
        Self {
            own,
            inherited: own,
            longer: None,
        }
    }

    /// Adds what the predecessors may have offered until `now`. `None` if they did not store it: builds before the
    /// stored bound offered up to the longest lease that workers grant. Workers grant none that is longer.
    #[must_use]
    pub fn with_predecessor(
        mut self,
        stored: Option<Duration>,
        bounds: &Bounds,
        now: Instant,
    ) -> Self {
        self.inherited = stored.map_or(bounds.lease_max, |stored| stored.min(bounds.lease_max));
        self.keep(self.inherited, bounds, now);
        self
    }

    /// Applies changed bounds.
    pub fn set_bounds(&mut self, bounds: &Bounds, now: Instant) {
        let before = self.longest(now);
        self.own = bounds.offered_max();
        self.keep(before, bounds, now);
    }

    fn keep(&mut self, lease: Duration, bounds: &Bounds, now: Instant) {
        self.longer = (lease > self.own).then(|| LongerLease {
            lease,
            until: now + expiry(lease, bounds),
        });
    }

    /// The longest lease that the predecessors may have offered.
    #[must_use]
    pub fn inherited(&self) -> Duration {
        self.inherited
    }

    /// The longest lease that this scheduler or its predecessors may have offered to a worker that is heard at `now`.
    #[must_use]
    pub fn offered(&self, now: Instant) -> Duration {
        self.inherited.max(self.longest(now))
    }

    /// The longest lease that a worker may hold at `now`.
    fn longest(&self, now: Instant) -> Duration {
        let longer = self.longer.filter(|longer| now < longer.until);
        longer.map_or(self.own, |longer| longer.lease.max(self.own))
    }

    /// The longest lease that a worker may hold at `now`, in milliseconds, rounded up: the value to store.
    #[must_use]
    pub fn longest_ms(&self, now: Instant) -> u64 {
        millis(self.longest(now) + Duration::from_nanos(999_999))
    }

    /// Returns the lease to offer when `wanted` is wanted and `stored` is stored. A successor that finds nothing
    /// stored assumes the longest lease that workers grant, which covers every offer.
    #[must_use]
    pub fn offer(wanted: Duration, stored: Option<Duration>) -> Duration {
        stored.map_or(wanted, |stored| wanted.min(stored))
    }
}

/// The time within which every lease of this length has expired on its worker, which may first carry out a late start.
#[must_use]
pub fn expiry(lease: Duration, bounds: &Bounds) -> Duration {
    with_drift(lease) + bounds.start_window
}
