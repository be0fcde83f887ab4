//! How many writes may be made.
//!
//! A [`WritePace`] saves up so many writes and earns one in each interval. What is saved up answers a shift of demand at
//! once; in the long run no more is written than is earned, since a debt has to be earned back first.

use std::time::{Duration, Instant};

/// Writes that are saved up and earned.
#[derive(Debug, Clone)]
pub struct WritePace {
    interval: Duration,
    saved_max: u32,
    /// When all will be saved up again.
    full_at: Instant,
}

impl WritePace {
    /// A pace of one write in each `interval`, with all of `saved_max` saved up.
    #[must_use]
    pub const fn new(interval: Duration, saved_max: u32, now: Instant) -> Self {
        Self {
            interval,
            saved_max,
            full_at: now,
        }
    }

    /// How many writes are saved up.
    #[must_use]
    pub fn saved(&self, now: Instant) -> u32 {
        let missing = self.full_at.saturating_duration_since(now);
        let missing = missing.as_nanos().div_ceil(self.interval.as_nanos().max(1));
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        self.saved_max.saturating_sub(missing)
    }

    /// Counts `writes`, also into debt.
    pub fn take(&mut self, writes: u32, now: Instant) {
        self.full_at = self.full_at.max(now) + self.interval * writes;
    }
}
