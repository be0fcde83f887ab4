//! Backoff between tries, with full jitter.

use std::time::Duration;

use rand::Rng;

/// How often and how fast to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The bound of the first wait.
    pub first: Duration,
    /// The bound of any wait.
    pub longest: Duration,
    /// The time that all tries of one operation may take together.
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
    /// The wait before try number `tries`, drawn evenly between nothing and a bound that doubles.
    pub fn wait(&self, tries: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1 << tries.min(16);
        let bound = (self.first * factor).min(self.longest);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }
}
