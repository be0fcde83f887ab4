//! Until when keyed work may be taken: proof that no withdrawal of a key was missed.
//!
//! A proof is an instant at which the catalogue of some revision is known to have been the accepted one. There are
//! three kinds: the entry's own read of the head; a peer's fresher read; and, when the service is down for all, a report
//! from every data centre that it has no contact either, since then nobody can have accepted a withdrawal. The youngest
//! proof of a revision that the entry has is good for [`Bound::age_max`].
//!
//! All instants are on the entry's own monotonic clock. What a peer tells is an age, and it counts from the moment when
//! the peer was asked, so a late answer makes a proof older and never younger.

use std::time::{Duration, Instant};

use goldcrest_types::entity::{DcId, EntityRef, SecondaryMap};
use goldcrest_types::units::Revision;

/// How old a proof may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// The largest age of a proof.
    pub age_max: Duration,
    /// What clocks may drift apart in that time.
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

/// A moment at which a revision was the accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The moment: for an own read, when the call was sent.
    pub at: Instant,
    /// The revision.
    pub revision: Revision,
}

impl Proof {
    /// A proof that a peer told when asked at `asked_at`; none if it is older than this clock can tell.
    #[must_use]
    pub fn told(asked_at: Instant, age: Duration, revision: Revision) -> Option<Self> {
        let at = asked_at.checked_sub(age)?;
        Some(Self { at, revision })
    }
}

/// What the entry knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The revision that the entry works by.
    pub revision: Revision,
    /// Its own last read of the head.
    pub own: Option<Proof>,
    /// The freshest read that a peer has told of.
    pub peer: Option<Proof>,
    /// For each data centre, the last report that none of its entries has contact with the service, with the highest
    /// revision that they know.
    pub outages: SecondaryMap<DcId, Option<Proof>>,
    /// How many data centres there are.
    pub dc_count: usize,
}

/// What a proof rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProofKind {
    /// The entry's own read.
    OwnRead,
    /// A peer's read.
    PeerRead,
    /// Reports from all data centres that none has contact.
    OutageForAll,
}

/// Why there is no proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StaleReason {
    /// No catalogue was ever read.
    NoCatalogue,
    /// A peer knows a higher revision, which has not yet come.
    Behind,
    /// The service can't be reached, and this data centre does not say that it can't either.
    NoReport(DcId),
    /// There are reports from all data centres, but one of them is too old.
    OldReport(DcId),
}

/// Whether keyed work may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It may be taken.
    Fresh {
        /// Until when.
        until: Instant,
        /// What this rests on.
        kind: ProofKind,
    },
    /// It is refused as not run. Queues open to all are served.
    Stale(StaleReason),
}

impl Freshness {
    /// Whether keyed work may be taken at `now`. It is asked right before each admission.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        match self {
            Self::Fresh { until, .. } => now < *until,
            Self::Stale(_) => false,
        }
    }
}

/// Weighs the evidence at `now`.
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

/// The moment of a proof, if the entry has the revision that it is for.
fn usable(evidence: &Evidence, proof: Option<Proof>) -> Option<Instant> {
    let proof = proof?;
    (proof.revision <= evidence.revision).then_some(proof.at)
}

fn dcs(evidence: &Evidence) -> impl Iterator<Item = DcId> + use<> {
    (0..evidence.dc_count).map(DcId::new)
}

/// The moment until which no data centre had contact, if all of them say so.
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
