//! Deltas of the catalogue.

use bytes::Bytes;
use goldcrest_peer::delta::{DeltaError, pack, unpack};
use goldcrest_peer::message::CatalogueCopy;
use goldcrest_types::units::{Revision, StoreVersion};

/// A head of some 90 KB whose records differ, with one record changed in each revision.
fn copy(revision: u64) -> CatalogueCopy {
    let records = (0..900_u64).map(|index| {
        let value = if index == revision * 37 % 900 {
            revision
        } else {
            0
        };
        format!(
            "record {index:04} value {value:04} digest {:064x}\n",
            index * 7_919
        )
    });
    CatalogueCopy {
        revision: Revision::new(revision),
        version: StoreVersion::new(revision * 10),
        head: Bytes::from(records.collect::<String>()),
    }
}

#[test]
fn unpack_changes() {
    let (base, next) = (copy(1), copy(2));
    let delta = pack(&base, &next).expect("it is smaller");
    assert_eq!(unpack(&base, &delta), Ok(next.clone()));
    // The bound on a relay's bytes leaves 2 KB for one edit to each of five members.
    assert!(delta.packed.len() < 2_000, "{} bytes", delta.packed.len());
    assert!(next.head.len() > 80_000);
}

#[test]
fn unpack_other_base() {
    let (base, next) = (copy(1), copy(2));
    let delta = pack(&base, &next).expect("it is smaller");
    assert_eq!(unpack(&copy(3), &delta), Err(DeltaError::Base));
    // A base with the same revision but other bytes must not yield a wrong catalogue.
    let mut forged = copy(5);
    forged.revision = base.revision;
    assert_eq!(unpack(&forged, &delta), Err(DeltaError::Content));
}

#[test]
fn unpack_broken() {
    let (base, next) = (copy(1), copy(2));
    let mut delta = pack(&base, &next).expect("it is smaller");
    delta.packed = delta.packed.slice(..delta.packed.len() / 2);
    assert_eq!(unpack(&base, &delta), Err(DeltaError::Content));
}
