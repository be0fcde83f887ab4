//! Freshness of the catalogue: until when keyed work may be admitted without missing the withdrawal of a key.
//!
//! A proof is an instant at which the catalogue of some revision is known to have been the accepted one. There are
//! three kinds: the entry's own read of the catalogue head; a peer's fresher read; and, when no entry can reach the
//! key-value service, a report of the outage from every data centre, since then no entry can have accepted a
//! withdrawal. The latest proof of a revision that the entry has is valid for [`Bound::age_max`].
//!
//! All instants are on the entry's own monotonic clock. A peer reports the age of its read, which is subtracted from
//! the instant at which the request was sent, so a delayed reply makes a proof older, never younger.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{DcId, EntityRef, SecondaryMap};
use goldcrest_types::units::Revision;

/// The largest age of a valid proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// The largest age of a proof, clock drift included.
    pub age_max: Duration,
    /// The largest drift between two clocks within `age_max`. Shortens the validity of a proof.
    pub drift_margin: Duration,
}

impl Bound {
    /// Four seconds, with a tenth of a second for drift.
    pub const DEFAULT: Self = Self {
        age_max: Duration::from_secs(4),
        drift_margin: Duration::from_millis(100),
    };
}

impl Default for Bound {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// An instant at which a revision was the accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The instant on the own clock; for an own read, the one at which the call was sent.
    pub at: Instant,
    /// The revision that was the accepted one.
    pub revision: Revision,
}

impl Proof {
    /// Returns the proof that a peer reported in reply to a request sent at `requested_at`, or `None` if the clock
    /// can't represent an instant that old.
    #[must_use]
    pub fn from_peer(requested_at: Instant, age: Duration, revision: Revision) -> Option<Self> {
        let at = requested_at.checked_sub(age)?;
        Some(Self { at, revision })
    }
}

/// The proofs that an entry has, as input of [`evaluate`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The catalogue revision by which the entry admits work; zero before any was read.
    pub revision: Revision,
    /// Its own last read of the head.
    pub own: Option<Proof>,
    /// The latest read of the head that a peer has reported.
    pub peer: Option<Proof>,
    /// For each data centre, the last report that none of its entries can reach the key-value service, with the highest
    /// revision that they know.
    pub outages: SecondaryMap<DcId, Option<Proof>>,
    /// Number of data centres in the catalogue.
    pub dc_count: usize,
}

/// The source of a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProofKind {
    /// The entry's own read of the head.
    OwnRead,
    /// A peer's read of the head.
    PeerRead,
    /// Reports from all data centres that none of them can reach the key-value service.
    OutageForAll,
}

/// The reason for which there is no valid proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StaleReason {
    /// No catalogue was ever read.
    NoCatalogue,
    /// A higher revision is known than the one that the entry has received.
    Behind,
    /// The key-value service can't be reached, and this data centre has not reported that it can't reach it either.
    NoReport(DcId),
    /// All data centres have reported the outage, but the report of this one is too old.
    OldReport(DcId),
}

/// Whether keyed work may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Keyed work may be admitted.
    Fresh {
        /// The instant from which it may no longer be admitted.
        until: Instant,
        /// The source of the latest proof.
        kind: ProofKind,
    },
    /// Keyed work is refused as not run. Open queues are still served.
    Stale(StaleReason),
}

impl Freshness {
    /// Returns whether keyed work may be admitted at `now`. To be checked right before each admission.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        match self {
            Self::Fresh { until, .. } => now < *until,
            Self::Stale(_) => false,
        }
    }
}

/// Returns whether, and until when, the evidence proves the revision to be fresh at `now`.
#[must_use]
pub fn evaluate(evidence: &Evidence, bound: Bound, now: Instant) -> Freshness {
    if evidence.revision == Revision::ZERO {
        return Freshness::Stale(StaleReason::NoCatalogue);
    }
    let candidates = [
        (ProofKind::OwnRead, usable(evidence, evidence.own)),
        (ProofKind::PeerRead, usable(evidence, evidence.peer)),
        (ProofKind::OutageForAll, outage_for_all(evidence).ok()),
    ];
    let proofs = candidates
        .into_iter()
        .filter_map(|(kind, at)| at.map(|at| (at, kind)));
    let term = bound.age_max.saturating_sub(bound.drift_margin);
    let freshest = proofs.max_by_key(|(at, _)| *at);
    match freshest.map(|(at, kind)| (at + term, kind)) {
        Some((until, kind)) if now < until => Freshness::Fresh { until, kind },
        _ => Freshness::Stale(stale_reason(evidence, now, term)),
    }
}

/// Returns the instant of a proof, if the entry has the revision that it is for.
fn usable(evidence: &Evidence, proof: Option<Proof>) -> Option<Instant> {
    let proof = proof?;
    (proof.revision <= evidence.revision).then_some(proof.at)
}

fn dcs(evidence: &Evidence) -> impl Iterator<Item = DcId> + use<> {
    (0..evidence.dc_count).map(DcId::new)
}

/// Returns the last instant at which all data centres are known to have had no contact, or the reason for which there
/// is none.
fn outage_for_all(evidence: &Evidence) -> Result<Instant, StaleReason> {
    let mut oldest: Option<Instant> = None;
    for dc in dcs(evidence) {
        let Some(report) = evidence.outages[dc] else {
            return Err(StaleReason::NoReport(dc));
        };
        if report.revision > evidence.revision {
            return Err(StaleReason::Behind);
        }
        oldest = Some(oldest.map_or(report.at, |at| at.min(report.at)));
    }
    oldest.ok_or(StaleReason::NoCatalogue)
}

fn stale_reason(evidence: &Evidence, now: Instant, term: Duration) -> StaleReason {
    let is_behind = |proof: Option<Proof>| proof.is_some_and(|p| p.revision > evidence.revision);
    if is_behind(evidence.own) || is_behind(evidence.peer) {
        return StaleReason::Behind;
    }
    if let Err(reason) = outage_for_all(evidence) {
        return reason;
    }
    let is_old = |dc: &DcId| evidence.outages[*dc].is_some_and(|report| now >= report.at + term);
    let old = dcs(evidence).find(is_old);
    old.map_or(StaleReason::NoCatalogue, StaleReason::OldReport)
}
