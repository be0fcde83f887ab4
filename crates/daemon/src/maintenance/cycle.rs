//! The stored maintenance cycle: its number, and how much of it has passed.
//!
//! The holder of the upkeep role adds the time that it has measured on its monotonic clock. Time in which no holder
//! could write is not counted, so an outage of the key-value service can lengthen a cycle and never shorten it.

use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::document::RecentEdits;
use goldcrest_ports::store::StoreKey;
use goldcrest_session::{UpdateError, Updated};
use goldcrest_types::names::EditId;
use goldcrest_upkeep::fleet::Cycle;
use serde::{Deserialize, Serialize};

use crate::world::DaemonSession;

/// How often the passed time is stored.
pub const SAVE_INTERVAL: Duration = Duration::from_mins(10);

const KEY: &str = "maintenance/cycle";

/// The document `maintenance/cycle`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CycleDoc {
    edits: RecentEdits,
    number: u64,
    passed_ms: u64,
}

impl CycleDoc {
    /// Adds `more` to the time that has passed, and begins the next cycle once `period` has passed. Has no effect if
    /// the edit `id` was applied before.
    pub fn pass(&mut self, id: EditId, more: Duration, period: Duration) {
        if self.has_edit(id) {
            return;
        }
        self.number = self.number.max(1);
        let more_ms = u64::try_from(more.as_millis()).unwrap_or(u64::MAX);
        self.passed_ms = self.passed_ms.saturating_add(more_ms);
        if self.passed() >= period {
            self.number += 1;
            self.passed_ms = 0;
        }
        self.edits.push(id);
    }

    /// Returns the cycle, whose end is computed from `now` and the length `period`.
    #[must_use]
    pub fn at(&self, now: Instant, period: Duration) -> Cycle {
        Cycle {
            number: self.number.max(1),
            ends: now + period.saturating_sub(self.passed()),
        }
    }

    fn passed(&self) -> Duration {
        Duration::from_millis(self.passed_ms)
    }
}

impl Document for CycleDoc {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}

/// Stores that `more` of the cycle has passed, and returns the cycle. None if the edit had been applied before.
///
/// # Errors
///
/// The document can't be read or written.
pub async fn save(
    session: &DaemonSession,
    more: Duration,
    period: Duration,
) -> Result<Option<Cycle>, UpdateError> {
    let Ok(key) = KEY.parse::<StoreKey>() else {
        return Ok(None);
    };
    let edit = EditId::new(rand::random());
    let change = |doc: &mut CycleDoc| -> Result<CycleDoc, UpdateError> {
        doc.pass(edit, more, period);
        Ok(doc.clone())
    };
    let now = session.now();
    match session.update(&key, edit, change).await? {
        Updated::Applied { value, .. } => Ok(Some(value.at(now, period))),
        Updated::AppliedEarlier => Ok(None),
        Updated::Refused(error) => Err(error),
    }
}
