//! The time limit on sending a request.
//!
//! Between the decision to send and the first byte, the request passes through a channel to the connection's task, and
//! that task has to be scheduled. If the process is paused there, the request's claim may have passed to another entry
//! when it resumes. So the last check is made at the write: hyper queries the body for its end, its size and its frames
//! as it writes the head.

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use goldcrest_types::clock::Clock;

/// The times before which a request may start to leave and may continue to leave.
pub struct Fence {
    clock: Arc<dyn Clock>,
    begin_until: Instant,
    until: Instant,
    has_begun: bool,
}

impl Fence {
    /// Returns a fence for a request whose first frame may leave before `begin_until` and whose other frames may leave
    /// before `until`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, begin_until: Instant, until: Instant) -> Self {
        Self {
            clock,
            begin_until,
            until,
            has_begun: false,
        }
    }

    /// Returns whether the next frame may leave now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let until = if self.has_begun {
            self.until
        } else {
            self.begin_until
        };
        self.clock.now() < until
    }

    /// Returns whether the end may leave now. Once a frame has left, holding back the end would undo nothing.
    #[must_use]
    pub fn may_end(&self) -> bool {
        self.has_begun || self.is_open()
    }

    /// Returns whether the next frame may leave now, and records that the request has begun to leave if so.
    pub fn try_pass(&mut self) -> bool {
        let is_open = self.is_open();
        self.has_begun |= is_open;
        is_open
    }
}

impl fmt::Debug for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fence")
            .field("begin_until", &self.begin_until)
            .field("until", &self.until)
            .field("has_begun", &self.has_begun)
            .finish_non_exhaustive()
    }
}
