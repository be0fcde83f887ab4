//! Detects that the store is unresponsive, from the calls that it answers.
//!
//! A single lost call means nothing while other calls are answered. If no call at all is answered for a while after one
//! was sent, the next one would most likely time out too. The session's renewals send a call at least every 500 ms, so
//! both the start and the end of an outage are noticed soon.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The store is unresponsive if no call is answered for this long after one was sent. A slow store answers within about
/// 250 ms.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(800);

/// Tracks for how long the store has left calls unanswered.
#[derive(Debug, Default)]
pub struct Responsiveness {
    /// When the first call after the last answer was sent; `None` if no call was sent since that answer.
    unanswered_since: Cell<Option<Instant>>,
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
        self.unresponsive_for(now) >= UNRESPONSIVE_AFTER
    }
}
