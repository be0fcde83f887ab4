//! The example catalogues for operators must be valid and have the expected sizes.

use std::fs;
use std::path::PathBuf;

use goldcrest_types::catalogue::{Catalogue, PoolKind, parse};
use goldcrest_types::units::Revision;

fn example(name: &str) -> Catalogue {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = fs::read_to_string(dir.join(name)).unwrap();
    let spec = parse(&text).unwrap_or_else(|findings| panic!("{name}:\n{findings}"));
    Catalogue::resolve(&spec, Revision::new(1)).unwrap()
}

fn check_sizes(cat: &Catalogue, dcs: usize) {
    assert_eq!(cat.dcs.len(), dcs);
    assert_eq!(cat.teams.len(), 6);
    let of_kind = |kind| cat.pools.values().filter(|pool| pool.kind == kind).count();
    assert_eq!(of_kind(PoolKind::Upstreams), 5);
    assert_eq!(of_kind(PoolKind::Workers), 1);
    assert_eq!(of_kind(PoolKind::Spare), 1);
}

#[test]
fn resolve_lisbon() {
    check_sizes(&example("catalogue-lisbon.yaml"), 3);
}

#[test]
fn resolve_vestland() {
    check_sizes(&example("catalogue-vestland.yaml"), 4);
}
