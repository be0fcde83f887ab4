//! Estimates of the time that a request would wait before it starts.
//!
//! The estimate is the mean run time of the lane (or of its pool while the lane has no sample) times the number of
//! requests ahead plus one, divided by the slots that they share. It is zero without a sample, so no request is
//! refused early without evidence.

use std::time::{Duration, Instant};

use super::{Admission, LaneId};
use goldcrest_types::entity::EntityRef;

/// Weight of a new sample in the exponential moving average of run times.
const RUN_TIME_SAMPLE_WEIGHT: f32 = 0.1;
/// Lower bound of `Retry-After`.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound of `Retry-After`.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

/// Exponential moving average of run times, in microseconds. Zero until the first sample.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanRunTime {
    micros: f32,
}

impl MeanRunTime {
    pub(super) fn record(&mut self, ran: Duration) {
        let sample = ran.as_secs_f32() * 1e6;
        if self.micros == 0.0 {
            self.micros = sample;
        } else {
            self.micros += (sample - self.micros) * RUN_TIME_SAMPLE_WEIGHT;
        }
    }
}

/// The limit that keeps a request from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Blocker {
    /// The entry runs `running_max` requests.
    Entry,
    /// The team uses its whole quota at this entry.
    Quota,
    /// The lane runs `running_max` requests.
    Lane,
    /// The pool runs `upstream_slots` requests for each upstream in service.
    Pool,
}

impl Admission {
    /// Returns the first limit that keeps `lane` from starting a request at `now`.
    pub(super) fn blocker(&self, lane: LaneId, now: Instant) -> Option<Blocker> {
        let lane = &self.lanes[lane.index()];
        let pool = &self.pools[lane.pool];
        if self.running >= self.cfg.running_max.get() {
            return Some(Blocker::Entry);
        }
        if self.teams[lane.team].running >= self.usable(lane.team, now).get() {
            return Some(Blocker::Quota);
        }
        if lane.running >= lane.running_max.get() {
            return Some(Blocker::Lane);
        }
        let slots = pool.in_service.saturating_mul(lane.upstream_slots.get());
        (pool.running >= slots).then_some(Blocker::Pool)
    }

    /// Estimates how long a request that joins `lane` at `now` would wait before it starts, given its `blocker`.
    pub(super) fn wait_estimate(&self, lane: LaneId, blocker: Blocker, now: Instant) -> Duration {
        let lane = &self.lanes[lane.index()];
        let pool = &self.pools[lane.pool];
        let (ahead, slots) = match blocker {
            Blocker::Entry => (self.waiting, self.cfg.running_max.get()),
            Blocker::Quota => {
                let usable = self.usable(lane.team, now);
                (self.teams[lane.team].waiting, usable.get())
            }
            Blocker::Lane => (lane.waiting_len(), lane.running_max.get()),
            Blocker::Pool => (pool.waiting, pool.in_service * lane.upstream_slots.get()),
        };
        let mean_run_time = if lane.mean_run_time.micros > 0.0 {
            lane.mean_run_time
        } else {
            pool.mean_run_time
        };
        let rounds = f64::from(ahead + 1) / f64::from(slots.max(1));
        Duration::from_secs_f64(f64::from(mean_run_time.micros) * 1e-6 * rounds)
    }
}

/// Converts an estimated wait to the value of `Retry-After`.
pub(super) fn retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
