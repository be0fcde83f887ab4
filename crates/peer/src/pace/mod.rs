//! Rate limit of the calls on one link.

use std::time::{Duration, Instant};

use goldcrest_types::units::PerSecond;

/// A token bucket, represented by the instant at which it would be full again.
#[derive(Debug)]
pub struct RateLimiter {
    interval: Duration,
    burst: u32,
    full_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket for `rate` calls per second and `burst` calls at once.
    #[must_use]
    pub fn new(rate: PerSecond, burst: u32, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.get().max(1),
            burst: burst.max(1),
            full_at: now,
        }
    }

    /// Returns whether one more call may be made at `now`; if so, takes a token for it.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let full_at = self.full_at.max(now) + self.interval;
        if full_at > now + self.interval * self.burst {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
