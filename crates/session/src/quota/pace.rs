//! A rate limit on writes of quota documents.
//!
//! A [`WriteLimit`] is a token bucket: it holds up to a maximum number of writes and gains one in each interval. The
//! saved writes let a shift of demand be answered at once. Writes that have to be made may overdraw it; the debt is
//! refilled first, so the long-run rate is at most one write per interval.

use std::time::{Duration, Instant};

/// A token bucket for writes, stored as the instant at which it will be full.
#[derive(Debug, Clone)]
pub struct WriteLimit {
    interval: Duration,
    saved_max: u32,
    /// In the past if the bucket is full now; more than `interval * saved_max` ahead while it is in debt.
    full_at: Instant,
}

impl WriteLimit {
    /// Creates a limit of one write per `interval`, with `saved_max` writes available.
    #[must_use]
    pub const fn new(interval: Duration, saved_max: u32, now: Instant) -> Self {
        Self {
            interval,
            saved_max,
            full_at: now,
        }
    }

    /// Returns the number of writes available at `now`, zero while in debt.
    #[must_use]
    pub fn saved(&self, now: Instant) -> u32 {
        let used = self.full_at.saturating_duration_since(now);
        let used = used.as_nanos().div_ceil(self.interval.as_nanos().max(1));
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        self.saved_max.saturating_sub(used)
    }

    /// Takes `writes`, going into debt if fewer are available.
    pub fn take(&mut self, writes: u32, now: Instant) {
        self.full_at = self.full_at.max(now) + self.interval * writes;
    }
}
