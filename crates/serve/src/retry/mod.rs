//! Limits on retries.
//!
//! Three limits apply together: a [`RetryBudget`] bounds retries by recent successes, the deadline excludes a retry
//! whose pause would reach past it, and [`backoff`] spreads retries over time. Whether a request may be repeated at all
//! is not decided here: its [`Unsent`](crate::outcome::Unsent) token or its idempotency decides.

use std::time::{Duration, Instant};

use rand::Rng;

/// Limit of sends of one request, the first included.
pub const ATTEMPTS_MAX: u32 = 3;
/// Time constant of the budget: counts of successes and retries decay to 1/e in this time.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed without any success, so that an idle queue survives the loss of one upstream.
const RETRIES_MIN: f64 = 3.0;
/// Upper bound of the pause before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Retry budget of one queue: a percentage of its recent successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    successes: f64,
    retries: f64,
    decayed_at: Option<Instant>,
}

impl RetryBudget {
    /// Creates a budget that has counted neither successes nor retries.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            successes: 0.0,
            retries: 0.0,
            decayed_at: None,
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// Takes one retry from the budget if `percent` of the recent successes, or [`RETRIES_MIN`] if that is more, leaves
    /// one. Returns false if not, and always if `percent` is 0.
    pub fn take(&mut self, percent: u32, now: Instant) -> bool {
        self.decay(now);
        let allowed = (self.successes * f64::from(percent) / 100.0).max(RETRIES_MIN);
        // Decay leaves fractions, so the count of retries is compared as rounded to a whole number.
        if percent == 0 || self.retries + 0.5 > allowed {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn decay(&mut self, now: Instant) {
        let passed = self.decayed_at.map_or(Duration::ZERO, |decayed_at| {
            now.saturating_duration_since(decayed_at)
        });
        self.decayed_at = Some(now);
        if passed.is_zero() {
            return;
        }
        let keep = (-passed.as_secs_f64() / BUDGET_WINDOW.as_secs_f64()).exp();
        self.successes *= keep;
        self.retries *= keep;
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the pause before retry number `attempt`, counted from 1: full jitter under a bound that doubles.
///
/// None if the pause would reach the deadline.
pub fn backoff(
    attempt: u32,
    now: Instant,
    deadline: Instant,
    rng: &mut impl Rng,
) -> Option<Duration> {
    let bound = BACKOFF_BASE * (1 << attempt.saturating_sub(1).min(8));
    let pause = bound.mul_f64(rng.random::<f64>());
    (now + pause < deadline).then_some(pause)
}
