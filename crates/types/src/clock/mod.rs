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

    /// Wall time. It is shown to people, and says when a scheduled job is due; no lease or deadline depends on it.
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

/// The operating system's clocks, with the time that the VM was suspended.
///
/// [`Instant::now`] leaves that time out, so a lease would seem to last longer than it does.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Instant,
    booted_at_origin: Duration,
}

impl BootClock {
    /// A clock that begins at the moment of the call.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            booted_at_origin: since_boot(),
        }
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.booted_at_origin)
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
