//! Until when a request may leave.
//!
//! Between the decision to send and the first byte lie the channel to the connection's task and that task's turn. A
//! process that is paused there wakes up with a request whose claim may have gone to another entry. So the last look is
//! taken by whoever writes: hyper asks the body for its end, its size and its frames as it writes the head.

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use goldcrest_types::clock::Clock;

/// Until when a request may begin to leave, and until when it may go on.
pub struct Fence {
    clock: Arc<dyn Clock>,
    begin_until: Instant,
    until: Instant,
    has_begun: bool,
}

impl Fence {
    /// A fence for a request that begins before `begin_until` and goes on before `until`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, begin_until: Instant, until: Instant) -> Self {
        Self {
            clock,
            begin_until,
            until,
            has_begun: false,
        }
    }

    /// Whether the next part may leave now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let until = if self.has_begun {
            self.until
        } else {
            self.begin_until
        };
        self.clock.now() < until
    }

    /// Whether the end may leave now. Once a part has left, holding the end back takes nothing back.
    #[must_use]
    pub fn may_end(&self) -> bool {
        self.has_begun || self.is_open()
    }

    /// Lets the next part leave, if it may.
    pub fn pass(&mut self) -> bool {
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
