//! What a queue states of the service that grants its placement permits.
//!
//! [`QueryTimes`] bounds a query by these figures: how many workers it names, how long its reply is awaited and until when
//! the permits in the reply are used.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The most workers named in a query. The objectives of jobs leave time for a query of about this size.
const WORKERS_MAX: usize = 30;

/// The share of a permit's validity during which it is used, in percent. The rest covers the delivery of the reply and
/// of the start.
const USED_PERCENT: u32 = 75;

/// Added to twice the stated time of a reply before the query is given up.
const REPLY_SLACK: Duration = Duration::from_secs(1);

/// The timeout of a query to a service that states no times.
const TIMEOUT_UNSTATED: Duration = Duration::from_secs(3);

/// The times that a queue states of its permit service. Zero if the queue does not state them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryTimes {
    /// The time until the reply to a query that names no worker.
    pub decision: Duration,
    /// The further time for each worker that a query names.
    pub per_worker: Duration,
    /// How long a permit is valid.
    pub validity: Duration,
}

impl QueryTimes {
    /// The stated time from a query of this many workers to its reply.
    #[must_use]
    pub fn reply_time(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.decision
            .saturating_add(self.per_worker.saturating_mul(workers))
    }

    /// The most workers that a query may name so that the reply comes in the first half of the time in which its permits
    /// are used. At least one.
    #[must_use]
    pub fn workers_max(&self) -> usize {
        if self.validity.is_zero() || self.per_worker.is_zero() {
            return WORKERS_MAX;
        }
        let for_workers = (used(self.validity) / 2).saturating_sub(self.decision);
        let workers = for_workers.as_nanos() / self.per_worker.as_nanos();
        usize::try_from(workers)
            .unwrap_or(WORKERS_MAX)
            .clamp(1, WORKERS_MAX)
    }

    /// How long a reply is awaited: for twice its stated time and some slack, but not once its permits are no longer used.
    #[must_use]
    pub fn timeout(&self, workers: usize) -> Duration {
        let stated = self.reply_time(workers);
        if stated.is_zero() {
            return TIMEOUT_UNSTATED;
        }
        let awaited = stated.saturating_mul(2).saturating_add(REPLY_SLACK);
        if self.validity.is_zero() {
            awaited
        } else {
            awaited.min(self.used_for(workers, self.validity))
        }
    }

    /// Until when the permits of a query that was sent at `sent_at` are used, if they are valid for `valid_for`.
    #[must_use]
    pub fn used_until(&self, sent_at: Instant, workers: usize, valid_for: Duration) -> Instant {
        sent_at + self.used_for(workers, valid_for)
    }

    /// The validity is counted from the query. A service whose replies take longer than its permits would last by that
    /// must count from the reply.
    fn used_for(&self, workers: usize, valid_for: Duration) -> Duration {
        let (stated, used) = (self.reply_time(workers), used(valid_for));
        if stated < used {
            used
        } else {
            stated.saturating_add(used)
        }
    }
}

fn used(validity: Duration) -> Duration {
    validity.saturating_mul(USED_PERCENT) / 100
}
