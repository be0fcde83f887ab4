//! The time source of a process.
//!
//! Decisions take an [`Instant`] as an argument. Only the parts at a process's edge hold a [`Clock`], so a test
//! sets the time by passing another clock in.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Where a process reads the time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time. Leases, deadlines and freshness are measured by it.
    fn now(&self) -> Instant;

    /// Wall time. It is only shown to people and never decides anything.
    fn wall(&self) -> SystemTime;
}

impl<C: Clock + ?Sized> Clock for Arc<C> {
    fn now(&self) -> Instant {
        (**self).now()
    }

    fn wall(&self) -> SystemTime {
        (**self).wall()
    }
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    passed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock that stands at the moment of the call.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            passed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        *passed += step;
    }

    fn passed(&self) -> Duration {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.passed()
    }
}
