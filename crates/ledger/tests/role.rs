//! Acquisition and release of a role, with expired and renewed sessions, repeated edits and earlier holders.

use goldcrest_ledger::Document;
use goldcrest_ledger::quota::SessionId;
use goldcrest_ledger::role::{Holder, RoleDoc, RoleEdit, RoleRefusal};
use goldcrest_ledger::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{EditId, EntryId};
use goldcrest_types::units::Epoch;
use quickcheck::{Gen, QuickCheck};

fn take(entry: u8, session: u8, gone: Option<u8>) -> RoleEdit {
    RoleEdit::Take {
        holder: Holder {
            entry: EntryId::new(u128::from(entry)),
            session: SessionId::new(u64::from(session)),
        },
        gone: gone.map(|gone| SessionId::new(u64::from(gone))),
    }
}

#[test]
fn take_held_role() {
    let mut doc = RoleDoc::empty();
    let first = doc.apply(EditId::new(1), take(1, 1, None));
    assert_eq!(first, Ok(Epoch::new(1)));
    let refusal = doc.apply(EditId::new(2), take(2, 2, None));
    let held = RoleRefusal::Held(EntryId::new(1), SessionId::new(1));
    assert_eq!(refusal, Err(held));
    let second = doc.apply(EditId::new(3), take(2, 2, Some(1)));
    assert_eq!(second, Ok(Epoch::new(2)));
    assert_eq!(doc.epoch_of(EntryId::new(1)), None);
}

#[test]
fn take_after_renewed_session() {
    let mut doc = RoleDoc::empty();
    doc.apply(EditId::new(1), take(1, 1, None))
        .expect("acquired");
    doc.apply(EditId::new(2), take(1, 3, None))
        .expect("renewed");
    let late = doc.apply(EditId::new(3), take(2, 2, Some(1)));
    assert!(
        late.is_err(),
        "the expired session no longer holds the role"
    );
}

#[test]
fn release_by_earlier_holder() {
    let mut doc = RoleDoc::empty();
    doc.apply(EditId::new(1), take(1, 1, None))
        .expect("acquired");
    doc.apply(EditId::new(2), take(2, 2, Some(1)))
        .expect("acquired");
    let release = RoleEdit::Release {
        entry: EntryId::new(1),
        epoch: Epoch::new(1),
    };
    let refusal = doc.apply(EditId::new(3), release);
    assert_eq!(refusal, Err(RoleRefusal::NotHolder(Epoch::new(2))));
}

fn epochs_only_rise(edits: Vec<(u8, u8, Option<u8>)>) -> bool {
    let mut doc = RoleDoc::empty();
    let mut found = Breaches::new();
    for (index, (entry, session, gone)) in (0..).zip(edits) {
        let before = doc.clone();
        let edit = match session % 4 {
            0 => RoleEdit::Release {
                entry: EntryId::new(u128::from(entry % 3)),
                epoch: doc.epoch(),
            },
            _ => take(entry % 3, session % 4, gone.map(|gone| gone % 4)),
        };
        let _ = doc.apply(EditId::new(index / 2), edit);
        verify::role_step(&before, &doc, &mut found);
    }
    found.is_empty()
}

#[test]
fn epochs_any_edits() {
    QuickCheck::new()
        .tests(1_000)
        .rng(Gen::from_size_and_seed(60, 6))
        .quickcheck(epochs_only_rise as fn(Vec<(u8, u8, Option<u8>)>) -> bool);
}
