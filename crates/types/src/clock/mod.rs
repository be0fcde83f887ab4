//! The time source of a process.
//!
//! Functions that decide take an [`Instant`] as an argument. Only the components that do I/O hold a [`Clock`], so a
//! test controls the time by passing another clock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall time.
pub trait Clock: Send + Sync + 'static {
    /// Returns monotonic time. Leases, deadlines and freshness are measured with it.
    fn now(&self) -> Instant;

    /// Returns wall time. It is shown to people and decides when a scheduled job is due; no lease or deadline depends
    /// on it.
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

/// The operating system's clocks. The monotonic time leaves out the time for which the VM was suspended.
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

/// The operating system's clocks, including the time for which the VM was suspended.
///
/// [`Instant::now`] leaves that time out, so a holder that was suspended would take an expired lease for valid.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Instant,
    booted_at_origin: Duration,
}

impl BootClock {
    /// Returns a clock whose monotonic time begins at [`Instant::now`].
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

/// A clock for tests, which advances only by [`ManualClock::advance`]. Its wall time begins at 1970.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    passed: Mutex<Duration>,
}

impl ManualClock {
    /// Returns a clock whose monotonic time is [`Instant::now`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            passed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances both times by `step`.
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
