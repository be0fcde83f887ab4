//! The settings of pool sizing, and their checks.

use std::time::Duration;

use goldcrest_types::yaml::{LineError, Record};
use goldcrest_upkeep::sizing::MOVE_TIME;
use serde::{Deserialize, Serialize};

/// The least value of `look_ms`, in milliseconds. Each sample sends a request to every entry.
const LOOK_MIN_MS: u64 = 5_000;

/// The least number of samples within the duration of a move.
const SAMPLES_IN_MOVE: u32 = 2;

/// The settings of pool sizing, the `sizing` record of the settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SizingSettings {
    /// Whether VMs are moved between pools at all.
    pub enabled: bool,
    /// The time between two samples of the demand, in milliseconds.
    pub look_ms: u64,
    /// The greatest age of an entry's report, in milliseconds. No VM is moved unless every entry has a newer report.
    pub demand_age_max_ms: u64,
}

impl Default for SizingSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            look_ms: 30_000,
            demand_age_max_ms: 60_000,
        }
    }
}

impl SizingSettings {
    /// The time between two samples of the demand.
    #[must_use]
    pub const fn look(&self) -> Duration {
        Duration::from_millis(self.look_ms)
    }

    /// The greatest age of an entry's report.
    #[must_use]
    pub const fn demand_age_max(&self) -> Duration {
        Duration::from_millis(self.demand_age_max_ms)
    }

    /// Returns all errors of the settings, with the lines of their fields in `record`.
    #[must_use]
    pub fn check(&self, record: &Record) -> Vec<LineError> {
        let mut errors = Vec::new();
        let mut push = |field: &str, message: String| {
            let line = record.line_of(field);
            let message = message.into();
            errors.push(LineError { line, message });
        };
        if self.look_ms < LOOK_MIN_MS {
            let message =
                format!("look_ms is below {LOOK_MIN_MS} and every look asks every entry: raise it");
            push("look_ms", message);
        }
        let look_max = MOVE_TIME / SAMPLES_IN_MOVE;
        if self.look() > look_max {
            let look_max_ms = look_max.as_millis();
            let message = format!(
                "look_ms is above {look_max_ms} and a move would end before its effect is looked at: lower it"
            );
            push("look_ms", message);
        }
        if self.demand_age_max_ms < self.look_ms {
            let message = "demand_age_max_ms is below look_ms and a report that is lost once would stop all moves: raise it";
            push("demand_age_max_ms", message.into());
        }
        errors
    }
}
