//! Freshness of the catalogue for each kind of proof, and the reason given when there is none.

use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::{
    Bound, Evidence, Freshness, Proof, ProofKind, StaleReason, evaluate,
};
use goldcrest_types::entity::{DcId, EntityRef};
use goldcrest_types::units::Revision;

const BOUND: Bound = Bound::DEFAULT;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn proof(at: Instant, revision: u64) -> Proof {
    let revision = Revision::new(revision);
    Proof { at, revision }
}

/// The evidence of an entry at revision 5, in one of two data centres, that read the head at `start`.
fn evidence(start: Instant) -> Evidence {
    Evidence {
        revision: Revision::new(5),
        own: Some(proof(start, 5)),
        dc_count: 2,
        ..Evidence::default()
    }
}

fn stale(evidence: &Evidence, now: Instant) -> Option<StaleReason> {
    match evaluate(evidence, BOUND, now) {
        Freshness::Fresh { .. } => None,
        Freshness::Stale(reason) => Some(reason),
    }
}

fn kind(evidence: &Evidence, now: Instant) -> Option<ProofKind> {
    match evaluate(evidence, BOUND, now) {
        Freshness::Fresh { kind, .. } => Some(kind),
        Freshness::Stale(_) => None,
    }
}

#[test]
fn evaluate_own_read_runs_out() {
    let start = Instant::now();
    let evidence = evidence(start);
    let fresh = evaluate(&evidence, BOUND, start);
    assert!(fresh.holds(start + secs(3)));
    assert!(!fresh.holds(start + BOUND.age_max));
    let reason = stale(&evidence, start + secs(4));
    assert_eq!(reason, Some(StaleReason::NoReport(DcId::new(0))));
}

#[test]
fn evaluate_peer_read() {
    let start = Instant::now();
    let mut evidence = evidence(start);
    evidence.peer = Proof::from_peer(start + secs(9), secs(1), Revision::new(5));
    assert_eq!(kind(&evidence, start + secs(10)), Some(ProofKind::PeerRead));
    evidence.peer = Proof::from_peer(start + secs(9), secs(6), Revision::new(5));
    assert_eq!(
        kind(&evidence, start + secs(10)),
        None,
        "a read older than the bound is no proof"
    );
}

#[test]
fn evaluate_peer_knows_more() {
    let start = Instant::now();
    let mut evidence = evidence(start);
    evidence.peer = Some(proof(start + secs(9), 6));
    let reason = stale(&evidence, start + secs(10));
    assert_eq!(reason, Some(StaleReason::Behind));
}

#[test]
fn evaluate_service_down_for_all() {
    let start = Instant::now();
    let hour = start + secs(3_600);
    let now = hour + secs(2);
    let mut evidence = evidence(start);
    evidence.outages[DcId::new(0)] = Some(proof(hour + secs(1), 5));
    let reason = stale(&evidence, now);
    assert_eq!(reason, Some(StaleReason::NoReport(DcId::new(1))));
    evidence.outages[DcId::new(1)] = Some(proof(hour, 4));
    assert_eq!(kind(&evidence, now), Some(ProofKind::OutageForAll));
    let later = now + secs(2);
    let reason = stale(&evidence, later);
    assert_eq!(reason, Some(StaleReason::OldReport(DcId::new(1))));
}

#[test]
fn evaluate_outage_after_unseen_revision() {
    let start = Instant::now();
    let now = start + secs(60);
    let mut evidence = evidence(start);
    evidence.outages[DcId::new(0)] = Some(proof(now, 5));
    evidence.outages[DcId::new(1)] = Some(proof(now, 6));
    assert_eq!(stale(&evidence, now), Some(StaleReason::Behind));
}

#[test]
fn evaluate_no_catalogue() {
    let start = Instant::now();
    let mut evidence = evidence(start);
    evidence.revision = Revision::ZERO;
    assert_eq!(stale(&evidence, start), Some(StaleReason::NoCatalogue));
}
