//! When a request may be sent a second time.
//!
//! Three bounds hold together: a [`RetryBudget`] ties retries to recent successes, the deadline leaves no room for
//! a retry that cannot end in time, and [`backoff`] spreads retries out. Whether a request may be repeated at all
//! is not decided here: its [`Unsent`](crate::outcome::Unsent) token or its idempotency says so.

use std::time::{Duration, Instant};

use rand::Rng;

/// The most sends of one request, the first included.
pub const ATTEMPTS_MAX: u32 = 3;
/// Counts of successes and retries fall to 1/e in this time.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed without any success, so that a quiet queue can ride over one lost upstream.
const RETRIES_FLOOR: f64 = 3.0;
/// The longest pause before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// How many retries one queue may still make: a share of its recent successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    successes: f64,
    retries: f64,
    at: Option<Instant>,
}

impl RetryBudget {
    /// A budget with neither successes nor retries behind it.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            successes: 0.0,
            retries: 0.0,
            at: None,
        }
    }

    /// Counts a success.
    pub fn succeeded(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// Takes one retry from the budget, if `percent` of the recent successes leaves one.
    pub fn take(&mut self, percent: u32, now: Instant) -> bool {
        self.decay(now);
        let allowed = (self.successes * f64::from(percent) / 100.0).max(RETRIES_FLOOR);
        // Decay leaves fractions, so the next whole retry is compared as rounded.
        if percent == 0 || self.retries + 0.5 > allowed {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn decay(&mut self, now: Instant) {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
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

/// The pause before send number `attempt` (the first retry is 1): full jitter under a doubling bound.
///
/// None if the pause would reach past the deadline.
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
