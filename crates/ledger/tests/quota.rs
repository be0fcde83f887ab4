//! Edits of a data centre's rows: which ones are refused, and when rows are reclaimed.

use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::quota::reclaim::{
    ObservedState, ReclaimBounds, ReclaimContext, plan_reclaim,
};
use goldcrest_ledger::quota::{
    DcEdit, DcQuota, GoneProof, Grants, Moved, Part, QuotaRefusal, RowId, Session, SessionId,
    TeamPart, Transfer,
};
use goldcrest_types::catalogue::{Catalogue, CatalogueSpec, DcSpec, TeamSpec};
use goldcrest_types::entity::{EntityRef, TeamId};
use goldcrest_types::names::{EditId, EntryId, TeamName, TransferId};
use goldcrest_types::units::{Revision, Share, Slots};

const ROW: RowId = RowId::new(0);
const BOUND_MS: u64 = 5_000;

fn team() -> TeamName {
    "t".parse().expect("a name")
}

fn owner(index: u128) -> EntryId {
    EntryId::new(index)
}

fn apply(doc: &mut DcQuota, step: DcEdit) -> Result<(), QuotaRefusal> {
    let edit = EditId::new(u128::from(doc.recent().total()) + 1);
    doc.apply(edit, &[step])
}

fn join(index: u128) -> DcEdit {
    DcEdit::Join {
        owner: owner(index),
        vm: format!("vm{index}").parse().expect("a name"),
        boots: 1,
        session: SessionId::new(1),
    }
}

fn set(index: u128, floor: u32, lent: u32) -> DcEdit {
    DcEdit::Set {
        owner: owner(index),
        session: SessionId::new(1),
        parts: vec![TeamPart {
            team: team(),
            part: Part::new(Slots::new(floor), Slots::new(lent)),
        }],
    }
}

/// An allocation of 10 slots; entry 1 has a floor of 2 and is lent 3, entry 2 holds none.
fn quota() -> DcQuota {
    let moved = Moved {
        slots: Slots::new(10),
        limit: Slots::new(10),
    };
    let raise = Transfer {
        id: TransferId::new(1),
        seq: 1,
        teams: [(team(), moved)].into(),
    };
    let mut doc = DcQuota::empty();
    for step in [DcEdit::Raise(raise), join(1), join(2), set(1, 2, 3)] {
        apply(&mut doc, step).expect("a quota");
    }
    doc
}

fn lapse(session: u64) -> DcEdit {
    DcEdit::Lapse {
        row: ROW,
        session: SessionId::new(session),
    }
}

fn wait(doc: &DcQuota, by_ms: u64) -> DcEdit {
    DcEdit::Wait {
        row: ROW,
        seen: doc.rows()[&ROW].waited(),
        by_ms,
    }
}

fn reclaim() -> DcEdit {
    DcEdit::Reclaim {
        row: ROW,
        run_bound_ms: BOUND_MS,
    }
}

fn renew(session: u64) -> DcEdit {
    DcEdit::Renew {
        owner: owner(1),
        session: SessionId::new(session),
    }
}

fn part(doc: &DcQuota) -> Part {
    doc.teams()[&team()].part(ROW)
}

fn catalogue() -> Catalogue {
    let spec = CatalogueSpec {
        data_centres: vec![DcSpec {
            name: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
        }],
        teams: vec![TeamSpec {
            name: team(),
            share: Share::new(1),
            upper_limit_slots: Slots::new(10),
        }],
        ..CatalogueSpec::default()
    };
    Catalogue::resolve(&spec, Revision::new(1)).expect("a valid catalogue")
}

fn usable(doc: &DcQuota, session: u64, after: Duration) -> Slots {
    let now = Instant::now();
    let session = Session {
        id: SessionId::new(session),
        until: now + Duration::from_secs(3),
    };
    let grants = Grants::of(doc, owner(1), &catalogue(), Some(session));
    grants.usable(TeamId::new(0), now + after)
}

#[test]
fn usable_lapsed_session() {
    let doc = quota();
    assert_eq!(usable(&doc, 1, Duration::from_secs(2)), Slots::new(5));
    assert_eq!(usable(&doc, 1, Duration::from_secs(3)), Slots::new(2));
}

#[test]
fn usable_new_session_old_document() {
    // The lent part may have been reclaimed since the document was read.
    assert_eq!(usable(&quota(), 2, Duration::ZERO), Slots::new(2));
}

#[test]
fn set_above_allocation() {
    let mut doc = quota();
    let refusal = apply(&mut doc, set(2, 6, 0));
    let expected = QuotaRefusal::Allocation(team(), Slots::new(10), Slots::new(11));
    assert_eq!(refusal, Err(expected));
    apply(&mut doc, set(2, 5, 0)).expect("the remaining slots");
}

#[test]
fn reclaim_before_run_bound() {
    let mut doc = quota();
    apply(&mut doc, lapse(1)).expect("lapsed");
    let early = wait(&doc, BOUND_MS - 1);
    apply(&mut doc, early).expect("waited");
    let refusal = apply(&mut doc, reclaim());
    assert!(matches!(refusal, Err(QuotaRefusal::RunBound(..))));
    let rest = wait(&doc, 1);
    apply(&mut doc, rest).expect("waited");
    apply(&mut doc, reclaim()).expect("reclaimed");
    assert_eq!(part(&doc), Part::new(Slots::new(2), Slots::ZERO));
}

#[test]
fn wait_counted_twice() {
    let mut doc = quota();
    apply(&mut doc, lapse(1)).expect("lapsed");
    let (one, other) = (wait(&doc, 3_000), wait(&doc, 3_000));
    apply(&mut doc, one).expect("waited");
    let refusal = apply(&mut doc, other);
    assert_eq!(refusal, Err(QuotaRefusal::Waited(ROW, 3_000)));
}

#[test]
fn wait_measured_in_earlier_lapse() {
    let mut doc = quota();
    apply(&mut doc, lapse(1)).expect("lapsed");
    let late = wait(&doc, BOUND_MS);
    apply(&mut doc, renew(2)).expect("renewed");
    apply(&mut doc, lapse(2)).expect("lapsed again");
    assert_eq!(apply(&mut doc, late), Err(QuotaRefusal::Phase(ROW)));
}

#[test]
fn lapse_after_renewal() {
    let mut doc = quota();
    apply(&mut doc, renew(2)).expect("renewed");
    let refusal = apply(&mut doc, lapse(1));
    let expected = QuotaRefusal::Session(ROW, SessionId::new(2));
    assert_eq!(refusal, Err(expected));
}

#[test]
fn orphan_without_proof() {
    let mut doc = quota();
    let orphan = |proof| DcEdit::Orphan { row: ROW, proof };
    let proofs = [
        GoneProof::OffList { lag_max_ms: 1 },
        GoneProof::Rebooted { boots: 1 },
        GoneProof::Successor { row: RowId::new(1) },
    ];
    for proof in proofs {
        let refusal = apply(&mut doc, orphan(proof));
        assert_eq!(refusal, Err(QuotaRefusal::Proof(ROW)), "{proof:?}");
    }
    apply(&mut doc, DcEdit::Listed { row: ROW }).expect("listed");
    apply(&mut doc, orphan(proofs[0])).expect("off the list");
    assert_eq!(apply(&mut doc, renew(2)), Err(QuotaRefusal::Orphaned(ROW)));
}

#[test]
fn adopt_running_tasks_of_orphan() {
    let mut doc = quota();
    let adopt = |slots| DcEdit::Adopt {
        from: ROW,
        owner: owner(2),
        team: team(),
        slots: Slots::new(slots),
    };
    let refusal = apply(&mut doc, adopt(4));
    assert_eq!(refusal, Err(QuotaRefusal::Phase(ROW)));
    let proof = GoneProof::Rebooted { boots: 2 };
    apply(&mut doc, DcEdit::Orphan { row: ROW, proof }).expect("orphaned");
    apply(&mut doc, adopt(4)).expect("adopted");
    let quota = &doc.teams()[&team()];
    assert_eq!(quota.part(RowId::new(1)).floor, Slots::new(4));
    assert_eq!(quota.held(), Slots::new(5));
    let done = wait(&doc, BOUND_MS);
    apply(&mut doc, done).expect("waited");
    apply(&mut doc, reclaim()).expect("reclaimed");
    assert_eq!(doc.teams()[&team()].held(), Slots::new(4));
}

const BOUNDS: ReclaimBounds = ReclaimBounds {
    run_max: Duration::from_millis(BOUND_MS),
    list_lag_max: Duration::from_secs(2),
};

#[test]
fn tend_row_lapsed_after_now() {
    let mut doc = quota();
    let mut ctx = ReclaimContext::new();
    let (start, nothing) = (Instant::now(), ObservedState::default());
    // The read took as long as the run bound, and the row lapsed right before the reply.
    apply(&mut doc, lapse(1)).expect("lapsed");
    assert_eq!(plan_reclaim(&mut ctx, &doc, &nothing, BOUNDS, start), []);
    let bound = Duration::from_millis(BOUND_MS);
    let now = start + bound;
    assert_eq!(plan_reclaim(&mut ctx, &doc, &nothing, BOUNDS, now), []);
    let edits = plan_reclaim(&mut ctx, &doc, &nothing, BOUNDS, now + bound);
    assert_eq!(edits, [wait(&doc, BOUND_MS), reclaim()]);
}

#[test]
fn tend_list_older_than_row() {
    let mut doc = quota();
    // Another observer has read a newer list, which contains the VMs.
    for row in doc.rows().clone().into_keys() {
        apply(&mut doc, DcEdit::Listed { row }).expect("listed");
    }
    let mut ctx = ReclaimContext::new();
    let start = Instant::now();
    let observed = ObservedState {
        listed: Some([].into()),
        ..ObservedState::default()
    };
    let mut edits = |after| {
        let now = start + Duration::from_secs(after);
        plan_reclaim(&mut ctx, &doc, &observed, BOUNDS, now).len()
    };
    assert_eq!([edits(0), edits(1), edits(2), edits(3)], [0, 0, 0, 2]);
}
