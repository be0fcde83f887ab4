//! How long a request would wait.
//!
//! The estimate is the decayed run time of the lane (or of its pool, as long as the lane has none) times the turns
//! ahead, over the slots that the turns share. With nothing measured it is zero, so nothing is refused early on a
//! guess.

use std::time::{Duration, Instant};

use super::{Admission, LaneId};
use goldcrest_types::entity::EntityRef;

/// The weight of one more run time.
const PACE_WEIGHT: f32 = 0.1;
/// The shortest time that a refused caller is told to stay away.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest time that a refused caller is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

/// A decayed run time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    run_us: f32,
}

impl Pace {
    pub(super) fn record(&mut self, ran: Duration) {
        let sample = ran.as_secs_f32() * 1e6;
        if self.run_us == 0.0 {
            self.run_us = sample;
        } else {
            self.run_us += (sample - self.run_us) * PACE_WEIGHT;
        }
    }
}

/// What keeps a request from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    /// The entry runs as much as it may.
    Entry,
    /// The team uses its whole quota here.
    Quota,
    /// The lane runs as much as it may.
    Lane,
    /// Every upstream of the pool has all it may have.
    Pool,
}

impl Admission {
    /// What keeps `lane` from starting a request at `now`, if anything.
    pub(super) fn hold(&self, lane: LaneId, now: Instant) -> Option<Hold> {
        let lane = &self.lanes[lane.index()];
        let pool = &self.pools[lane.pool];
        if self.running >= self.cfg.running_max.get() {
            return Some(Hold::Entry);
        }
        if self.teams[lane.team].running >= self.usable(lane.team, now).get() {
            return Some(Hold::Quota);
        }
        if lane.running >= lane.running_max.get() {
            return Some(Hold::Lane);
        }
        let room = pool.in_service.saturating_mul(lane.upstream_slots.get());
        (pool.running >= room).then_some(Hold::Pool)
    }

    /// How long a request that joins `lane` at `now` would wait for its turn.
    pub(super) fn wait_estimate(&self, lane: LaneId, hold: Hold, now: Instant) -> Duration {
        let lane = &self.lanes[lane.index()];
        let pool = &self.pools[lane.pool];
        let (ahead, slots) = match hold {
            Hold::Entry => (self.waiting, self.cfg.running_max.get()),
            Hold::Quota => {
                let usable = self.usable(lane.team, now);
                (self.teams[lane.team].waiting, usable.get())
            }
            Hold::Lane => (lane.waiting_len(), lane.running_max.get()),
            Hold::Pool => (pool.waiting, pool.in_service * lane.upstream_slots.get()),
        };
        let pace = if lane.pace.run_us > 0.0 {
            lane.pace
        } else {
            pool.pace
        };
        let turns = f64::from(ahead + 1) / f64::from(slots.max(1));
        Duration::from_secs_f64(f64::from(pace.run_us) * 1e-6 * turns)
    }
}

/// The time to name in `Retry-After` after an estimated wait.
pub(super) fn retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
