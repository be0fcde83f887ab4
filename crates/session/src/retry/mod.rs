//! Exponential backoff between attempts, with full jitter.

use std::time::Duration;

use rand::Rng;

/// The backoff between the attempts of an operation, and the operation's time budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The upper bound of the first wait; it doubles with each attempt.
    pub first: Duration,
    /// The upper bound of every wait.
    pub longest: Duration,
    /// The total time for all attempts of one operation.
    pub budget: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(20),
            longest: Duration::from_secs(1),
            budget: Duration::from_secs(5),
        }
    }
}

impl RetryPolicy {
    /// Returns the wait before retry number `tries`, counted from 0: uniform between zero and a bound that doubles with
    /// each retry.
    pub fn wait(&self, tries: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1 << tries.min(16);
        let bound = (self.first * factor).min(self.longest);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }
}
