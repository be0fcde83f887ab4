//! Claims on idempotency keys: which request may run, if the same one comes twice.
//!
//! Each key has one home among the members, whose table says who claimed it first. The table is in memory, so a home
//! that has not been the key's home for as long as its queue keeps claims can't know the past, and answers that. A claim
//! is kept for the time that its request named; a full table answers "unknown" and forgets no claim.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use goldcrest_types::names::{QueueName, RequestId};

use crate::message::{ClaimAnswer, ClaimAsk, ClaimDigest};

/// The bounds of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimsConfig {
    /// The longest time for which a claim is kept, whatever its queue asks for.
    pub window: Duration,
    /// How many claims are kept at one time.
    pub claims_max: usize,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(5),
            claims_max: 100_000,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ClaimKey {
    queue: QueueName,
    digest: ClaimDigest,
}

/// The claims of which this entry is the home.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimsConfig,
    claimed_by: HashMap<ClaimKey, RequestId>,
    ends: BTreeSet<(Instant, ClaimKey)>,
}

impl Claims {
    /// An empty table.
    #[must_use]
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self {
            cfg,
            claimed_by: HashMap::new(),
            ends: BTreeSet::new(),
        }
    }

    /// How many claims are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claimed_by.len()
    }

    /// Whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claimed_by.is_empty()
    }

    /// Answers a claim at `now`. This entry has been the key's home since `home_since`, or is not known to be.
    pub fn claim(
        &mut self,
        ask: &ClaimAsk,
        home_since: Option<Instant>,
        now: Instant,
    ) -> ClaimAnswer {
        self.expire(now);
        let key = ClaimKey {
            queue: ask.queue.clone(),
            digest: ask.digest,
        };
        if let Some(by) = self.claimed_by.get(&key) {
            return seen(*by, ask);
        }
        let keep = Duration::from_millis(ask.keep_ms).min(self.cfg.window);
        let knows_past =
            home_since.is_some_and(|since| now.saturating_duration_since(since) >= keep);
        if !knows_past || self.claimed_by.len() >= self.cfg.claims_max {
            return ClaimAnswer::Unknown;
        }
        let by = ask.request;
        let until = now + keep;
        self.claimed_by.insert(key.clone(), by);
        self.ends.insert((until, key));
        ClaimAnswer::Granted
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, _)) = self.ends.first()
            && *until <= now
        {
            if let Some((_, key)) = self.ends.pop_first() {
                self.claimed_by.remove(&key);
            }
        }
    }
}

/// The answer to a claim on a key that `by` has claimed. The same request may ask again, since its answer was lost.
fn seen(by: RequestId, ask: &ClaimAsk) -> ClaimAnswer {
    if by == ask.request {
        ClaimAnswer::Granted
    } else {
        ClaimAnswer::AlreadySeen { by }
    }
}
