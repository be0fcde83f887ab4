//! Claims on idempotency keys: they decide which request may run if the same one arrives twice.
//!
//! Each key has one home among the members, whose table records which request claimed it first. The table is in memory,
//! so an entry that has been the key's home for less than the claim's retention time cannot know the key's history, and
//! answers "unknown". A claim is kept for the time that its request named; a full table answers "unknown" and evicts no
//! claim.
//!
//! An entry that joins queries the former home of a key, which from then on no longer grants it. An entry that leaves
//! in order hands its claims to the next homes. Only the loss of an entry leaves a gap in what is known.

mod claiming;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use goldcrest_types::names::{QueueName, RequestId};

use crate::message::{ClaimAnswer, ClaimAsk, ClaimDigest, ClaimPast, HeldClaim};

pub use claiming::ClaimResolver;

/// Bounds of a table of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimsConfig {
    /// Upper bound on the retention of a claim, whatever its request names.
    pub window: Duration,
    /// Capacity in claims. At capacity, claims on new keys are answered with "unknown".
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

impl ClaimKey {
    fn of(claim: &ClaimAsk) -> Self {
        Self {
            queue: claim.queue.clone(),
            digest: claim.digest,
        }
    }
}

/// Claims on the keys whose home is this entry, in memory, with the instant at which each expires.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimsConfig,
    claimed_by: HashMap<ClaimKey, RequestId>,
    expiries: BTreeSet<(Instant, ClaimKey)>,
}

impl Claims {
    /// Creates an empty table.
    #[must_use]
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self {
            cfg,
            claimed_by: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Returns the number of claims, including expired ones that have not been removed yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claimed_by.len()
    }

    /// Returns whether the table holds no claim, not even an expired one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claimed_by.is_empty()
    }

    /// Answers a claim at `now`. `home_since` is when this entry became the key's home, or none if it is not known to
    /// be the home.
    pub fn claim(
        &mut self,
        claim: &ClaimAsk,
        home_since: Option<Instant>,
        now: Instant,
    ) -> ClaimAnswer {
        self.expire(now);
        let key = ClaimKey::of(claim);
        if let Some(by) = self.claimed_by.get(&key) {
            return seen(*by, claim);
        }
        let keep = Duration::from_millis(claim.keep_ms).min(self.cfg.window);
        let knows_past =
            home_since.is_some_and(|since| now.saturating_duration_since(since) >= keep);
        if !knows_past || self.claimed_by.len() >= self.cfg.claims_max {
            return ClaimAnswer::Unknown;
        }
        let by = claim.request;
        let until = now + keep;
        self.claimed_by.insert(key.clone(), by);
        self.expiries.insert((until, key));
        ClaimAnswer::Granted
    }

    /// Answers a claim on a key for which a former home has replied that no request had claimed it.
    pub fn claim_unseen(&mut self, claim: &ClaimAsk, now: Instant) -> ClaimAnswer {
        let keep = Duration::from_millis(claim.keep_ms).min(self.cfg.window);
        self.claim(claim, now.checked_sub(keep), now)
    }

    /// Records that `by` has claimed the claim's key, as a former home has replied. Returns the answer for the
    /// claimant.
    pub fn record_seen(&mut self, claim: &ClaimAsk, by: RequestId, now: Instant) -> ClaimAnswer {
        let left_ms = claim.keep_ms;
        let (queue, digest) = (claim.queue.clone(), claim.digest);
        self.take_over(
            &HeldClaim {
                queue,
                digest,
                by,
                left_ms,
            },
            now,
        );
        seen(by, claim)
    }

    /// Returns what this entry knows of a key whose home it has been since `home_since`.
    pub fn past(
        &mut self,
        claim: &ClaimAsk,
        home_since: Option<Instant>,
        now: Instant,
    ) -> ClaimPast {
        self.expire(now);
        let key = ClaimKey::of(claim);
        if let Some(by) = self.claimed_by.get(&key) {
            return ClaimPast::Seen { by: *by };
        }
        let keep = Duration::from_millis(claim.keep_ms).min(self.cfg.window);
        match home_since {
            Some(since) if now.saturating_duration_since(since) >= keep => ClaimPast::NotSeen,
            Some(_) | None => ClaimPast::Unknown,
        }
    }

    /// Removes a claim if the same request holds it. To be called only if the request certainly did not run.
    pub fn release(&mut self, claim: &ClaimAsk) {
        let key = ClaimKey::of(claim);
        if self.claimed_by.get(&key) == Some(&claim.request) {
            self.claimed_by.remove(&key);
            self.expiries.retain(|(_, held)| *held != key);
        }
    }

    /// Ingests a claim from an entry that leaves. A claim on the same key that is known here already stays as it is.
    pub fn take_over(&mut self, held: &HeldClaim, now: Instant) {
        let key = ClaimKey {
            queue: held.queue.clone(),
            digest: held.digest,
        };
        if self.claimed_by.contains_key(&key) {
            return;
        }
        let left = Duration::from_millis(held.left_ms).min(self.cfg.window);
        self.claimed_by.insert(key.clone(), held.by);
        self.expiries.insert((now + left, key));
    }

    /// Returns all claims that have not expired, with the time left of each.
    pub fn held(&mut self, now: Instant) -> Vec<HeldClaim> {
        self.expire(now);
        let expiries = self.expiries.iter();
        let held = expiries.filter_map(|(until, key)| {
            let left = until.saturating_duration_since(now).as_millis();
            Some(HeldClaim {
                queue: key.queue.clone(),
                digest: key.digest,
                by: *self.claimed_by.get(key)?,
                left_ms: u64::try_from(left).unwrap_or(u64::MAX),
            })
        });
        held.collect()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, _)) = self.expiries.first()
            && *until <= now
        {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.claimed_by.remove(&key);
            }
        }
    }
}

/// Returns the answer to a claim on a key that `by` has claimed. The same request is granted again, since it may be
/// retrying after its answer was lost.
fn seen(by: RequestId, claim: &ClaimAsk) -> ClaimAnswer {
    if by == claim.request {
        ClaimAnswer::Granted
    } else {
        ClaimAnswer::AlreadySeen { by }
    }
}
