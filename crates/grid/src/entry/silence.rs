//! Detects that the store is unresponsive, from the calls that it answers.
//!
//! A single lost call means nothing while other calls are answered. If no call at all is answered for a while after one
//! was sent, the next one would most likely time out too. The session's renewals send a call at least every 500 ms, so
//! both the start and the end of an outage are noticed soon.
//!
//! Load pattern: the store resets all connections for seconds. Each call then fails at once without a certain outcome, and
//! a caller whose submission was sent may not try again. After a few lost calls in a row callers are therefore refused,
//! which is certain, and only the renewals probe the store.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The store is unresponsive if no call is answered for this long after one was sent. A slow store answers within about
/// 250 ms.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(800);

/// The store is unresponsive if this many calls in a row got no answer. While some answers are lost and others are not,
/// so many in a row are rare.
const LOST_IN_A_ROW: u32 = 3;

/// Tracks for how long the store has left calls unanswered.
#[derive(Debug, Default)]
pub struct Responsiveness {
    /// When the first call after the last answer was sent; `None` if no call was sent since that answer.
    unanswered_since: Cell<Option<Instant>>,
    /// The number of calls since the last answer that have failed without one.
    lost: Cell<u32>,
}

impl Responsiveness {
    /// Records that a call was sent. Not for watches, which the store may leave unanswered for their wait.
    pub fn sent(&self, now: Instant) {
        if self.unanswered_since.get().is_none() {
            self.unanswered_since.set(Some(now));
        }
    }

    /// Records that an answer has arrived, of whatever outcome.
    pub fn answered(&self) {
        self.unanswered_since.set(None);
        self.lost.set(0);
    }

    /// Records that a call has failed without an answer.
    pub fn lost(&self) {
        self.lost.set(self.lost.get().saturating_add(1));
    }

    /// The time since the first unanswered call was sent; zero if there is none.
    #[must_use]
    pub fn unresponsive_for(&self, now: Instant) -> Duration {
        let since = self.unanswered_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether a call that is sent now would probably get no answer.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.lost.get() >= LOST_IN_A_ROW || self.unresponsive_for(now) >= UNRESPONSIVE_AFTER
    }
}
