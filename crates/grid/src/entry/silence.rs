//! Whether the store has fallen silent, seen from the calls that it answers.
//!
//! A call that is lost says nothing while others are answered. A call after which nothing at all was answered for a while says
//! that the next one would wait in vain, too. The session's renewals make a call at least every half second, so this is known
//! soon after it begins, and as soon as it is over.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The store is silent if nothing was answered for this long after a call. A slow store answers within some 250 ms.
const SILENT_AFTER: Duration = Duration::from_millis(800);

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub struct Silence {
    /// When the first call since the last answer was sent.
    unanswered_since: Cell<Option<Instant>>,
}

impl Silence {
    /// A call is sent that is to be answered at once.
    pub fn sent(&self, now: Instant) {
        if self.unanswered_since.get().is_none() {
            self.unanswered_since.set(Some(now));
        }
    }

    /// An answer has arrived, whatever it says.
    pub fn answered(&self) {
        self.unanswered_since.set(None);
    }

    /// How long nothing has been answered since a call was sent.
    #[must_use]
    pub fn lasts(&self, now: Instant) -> Duration {
        let since = self.unanswered_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether a call that is sent now would probably have no answer.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        self.lasts(now) >= SILENT_AFTER
    }
}
