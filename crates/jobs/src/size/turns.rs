//! When a pool's turn began and ended, and how long the pool rests after it.
//!
//! Load pattern: a queue asks for about five times its mean during its turn and for a twentieth of it in between, so it is
//! busy for (1 - 0.05) / (5 - 0.05), a fifth, of the time: the calm after a turn lasts four times as long as the turn did. The
//! pool is held to rest for part of that time; a rest ends early when the pool is busy again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::PoolName;

/// A turn is over once the pool has not been busy for this long.
const CALM: Duration = Duration::from_secs(1);

/// Busy times shorter than this say nothing about what follows.
const TURN_MIN: Duration = Duration::from_millis(1_500);

/// How long a pool rests after a turn, in percent of the turn's length. The calm lasts 400 percent on average.
const REST_PERCENT: u32 = 250;

#[derive(Debug, Clone, Copy)]
struct Turn {
    began_at: Instant,
    busy_at: Instant,
}

/// What changed of a pool's turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnChange {
    /// The pool is busy.
    Began,
    /// It was too short to tell anything of what follows.
    EndedShort,
    /// It has ended, and the pool rests for this long from its end.
    Rests {
        /// The turn's length.
        length: Duration,
        /// The rest's length.
        rest: Duration,
    },
    /// The rest is over: the next turn may begin.
    RestOver,
}

/// The turns of all pools.
#[derive(Debug, Clone, Default)]
pub struct Turns {
    turns: BTreeMap<PoolName, Turn>,
    rests: BTreeMap<PoolName, Instant>,
}

impl Turns {
    /// Goes on from what an earlier holder has seen: when each turn began, and until when each rest lasts.
    #[must_use]
    pub fn new(
        began: BTreeMap<PoolName, Instant>,
        rests: BTreeMap<PoolName, Instant>,
        now: Instant,
    ) -> Self {
        let turn = |began_at| Turn {
            began_at,
            busy_at: now,
        };
        let turns = began.into_iter();
        Self {
            turns: turns.map(|(pool, at)| (pool, turn(at))).collect(),
            rests,
        }
    }

    /// When each turn that is under way began.
    #[must_use]
    pub fn began(&self) -> BTreeMap<PoolName, Instant> {
        let turns = self.turns.iter();
        turns
            .map(|(pool, turn)| (pool.clone(), turn.began_at))
            .collect()
    }

    /// Until when each resting pool rests.
    #[must_use]
    pub fn rests(&self) -> &BTreeMap<PoolName, Instant> {
        &self.rests
    }

    /// Takes whether a pool is busy now.
    pub fn observe(&mut self, pool: &PoolName, is_busy: bool, now: Instant) -> Option<TurnChange> {
        if is_busy {
            self.rests.remove(pool);
            if let Some(turn) = self.turns.get_mut(pool) {
                turn.busy_at = now;
                return None;
            }
            let turn = Turn {
                began_at: now,
                busy_at: now,
            };
            self.turns.insert(pool.clone(), turn);
            return Some(TurnChange::Began);
        }
        if let Some(turn) = self.turns.get(pool).copied() {
            if now.saturating_duration_since(turn.busy_at) < CALM {
                return None;
            }
            self.turns.remove(pool);
            let length = turn.busy_at.saturating_duration_since(turn.began_at);
            if length < TURN_MIN {
                return Some(TurnChange::EndedShort);
            }
            let rest = length * REST_PERCENT / 100;
            self.rests.insert(pool.clone(), turn.busy_at + rest);
            return Some(TurnChange::Rests { length, rest });
        }
        let is_over = self.rests.get(pool).is_some_and(|until| now >= *until);
        is_over.then(|| {
            self.rests.remove(pool);
            TurnChange::RestOver
        })
    }

    /// Whether the pool rests after its turn.
    #[must_use]
    pub fn is_resting(&self, pool: &PoolName) -> bool {
        self.rests.contains_key(pool)
    }

    /// Whether a turn or a rest is under way anywhere.
    #[must_use]
    pub fn is_any(&self) -> bool {
        !self.turns.is_empty() || !self.rests.is_empty()
    }
}
