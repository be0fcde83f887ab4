//! Busy periods of pools, and the cooldowns that follow them.
//!
//! [`BusyPeriods`] holds at most one of the two for each pool.
//!
//! Load pattern: a queue's demand is about five times its mean during a busy period and a twentieth of it in between,
//! so it is busy for (1 - 0.05) / (5 - 0.05), a fifth, of the time: the idle time after a busy period lasts four times
//! as long as the busy period. The cooldown covers part of that time and ends early when the pool is busy again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::PoolName;

/// A busy period has ended once the pool has not been busy for this long.
const END_DELAY: Duration = Duration::from_secs(1);

/// Busy periods shorter than this don't predict the idle time that follows, and cause no cooldown.
const LENGTH_MIN: Duration = Duration::from_millis(1_500);

/// The length of a cooldown, in percent of the busy period before it. The idle time lasts 400 percent on average.
const COOLDOWN_PERCENT: u32 = 250;

#[derive(Debug, Clone, Copy)]
struct BusyPeriod {
    began_at: Instant,
    busy_at: Instant,
}

/// A change of a pool's busy period or cooldown. Its names appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnChange {
    /// A busy period has begun.
    Began,
    /// A busy period has ended that was too short to predict the idle time that follows.
    EndedShort,
    /// A busy period has ended, and a cooldown counts from its end.
    Rests {
        /// The length of the busy period.
        length: Duration,
        /// The length of the cooldown.
        rest: Duration,
    },
    /// The cooldown is over: the next busy period may begin.
    RestOver,
}

/// The busy periods and cooldowns of all pools.
#[derive(Debug, Clone, Default)]
pub struct BusyPeriods {
    busy_periods: BTreeMap<PoolName, BusyPeriod>,
    cooldowns: BTreeMap<PoolName, Instant>,
}

impl BusyPeriods {
    /// Continues from an earlier holder's state: when each busy period began, and when each cooldown ends.
    #[must_use]
    pub fn new(
        began: BTreeMap<PoolName, Instant>,
        cooldowns: BTreeMap<PoolName, Instant>,
        now: Instant,
    ) -> Self {
        let period = |began_at| BusyPeriod {
            began_at,
            busy_at: now,
        };
        let busy_periods = began.into_iter();
        Self {
            busy_periods: busy_periods.map(|(pool, at)| (pool, period(at))).collect(),
            cooldowns,
        }
    }

    /// When each pool that is in a busy period entered it.
    #[must_use]
    pub fn began(&self) -> BTreeMap<PoolName, Instant> {
        let busy_periods = self.busy_periods.iter();
        busy_periods
            .map(|(pool, period)| (pool.clone(), period.began_at))
            .collect()
    }

    /// When the cooldown of each pool that is in one ends.
    #[must_use]
    pub fn cooldowns(&self) -> &BTreeMap<PoolName, Instant> {
        &self.cooldowns
    }

    /// Records whether a pool is busy now, and returns the change that follows, if any.
    pub fn observe(&mut self, pool: &PoolName, is_busy: bool, now: Instant) -> Option<TurnChange> {
        if is_busy {
            self.cooldowns.remove(pool);
            if let Some(period) = self.busy_periods.get_mut(pool) {
                period.busy_at = now;
                return None;
            }
            let period = BusyPeriod {
                began_at: now,
                busy_at: now,
            };
            self.busy_periods.insert(pool.clone(), period);
            return Some(TurnChange::Began);
        }
        if let Some(period) = self.busy_periods.get(pool).copied() {
            if now.saturating_duration_since(period.busy_at) < END_DELAY {
                return None;
            }
            self.busy_periods.remove(pool);
            let length = period.busy_at.saturating_duration_since(period.began_at);
            if length < LENGTH_MIN {
                return Some(TurnChange::EndedShort);
            }
            let rest = length * COOLDOWN_PERCENT / 100;
            self.cooldowns.insert(pool.clone(), period.busy_at + rest);
            return Some(TurnChange::Rests { length, rest });
        }
        let has_ended = self.cooldowns.get(pool).is_some_and(|until| now >= *until);
        has_ended.then(|| {
            self.cooldowns.remove(pool);
            TurnChange::RestOver
        })
    }

    /// Whether the pool is in a cooldown.
    #[must_use]
    pub fn is_cooling_down(&self, pool: &PoolName) -> bool {
        self.cooldowns.contains_key(pool)
    }

    /// Whether any pool is in a busy period or a cooldown.
    #[must_use]
    pub fn is_any(&self) -> bool {
        !self.busy_periods.is_empty() || !self.cooldowns.is_empty()
    }
}
