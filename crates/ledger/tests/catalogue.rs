//! Racing, repeated and invalid edits of the catalogue head.

use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{CatalogueEdit, Change, Delta, EditRefusal, Head, diff};
use goldcrest_ledger::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::catalogue::{CatalogueSpec, parse};
use goldcrest_types::names::EditId;
use goldcrest_types::units::{Revision, Share, Slots};
use quickcheck::{Gen, QuickCheck};

const BASE: &str = "
data_centres:
  - {name: lis-a, region: lisboa}
teams:
  - {name: guides, share: 2, upper_limit_slots: 40}
  - {name: agencies, share: 1, upper_limit_slots: 20}
keys:
  - {name: guides-1, team: guides, digest: '0000000000000000000000000000000000000000000000000000000000000001'}
";

fn base() -> CatalogueSpec {
    parse(BASE).expect("a valid catalogue")
}

fn edit(id: u128, changes: Vec<Change>) -> CatalogueEdit {
    CatalogueEdit {
        id: EditId::new(id),
        operator: "ana".parse().expect("a name"),
        changes,
    }
}

fn head() -> Head {
    let mut head = Head::empty();
    let changes = diff(&CatalogueSpec::default(), &base());
    head.apply(&edit(1, changes)).expect("the first edit");
    head
}

/// Returns the change of a team's limit, based on the record in `spec`.
fn limit(spec: &CatalogueSpec, team: usize, slots: u32) -> Change {
    let before = spec.teams[team].clone();
    let mut after = before.clone();
    after.upper_limit_slots = Slots::new(slots);
    Change::Team(Delta::replace(before, after))
}

#[test]
fn apply_racing_edits_of_different_teams() {
    let mut head = head();
    let seen = head.spec().clone();
    let first = head.apply(&edit(2, vec![limit(&seen, 0, 41)]));
    let second = head.apply(&edit(3, vec![limit(&seen, 1, 21)]));
    assert_eq!(first.expect("taken").revision, Revision::new(2));
    assert_eq!(second.expect("taken").revision, Revision::new(3));
    let limits: Vec<u32> = head
        .spec()
        .teams
        .iter()
        .map(|t| t.upper_limit_slots.get())
        .collect();
    assert_eq!(limits, [41, 21]);
}

#[test]
fn apply_racing_edits_of_one_team() {
    let mut head = head();
    let seen = head.spec().clone();
    head.apply(&edit(2, vec![limit(&seen, 0, 41)]))
        .expect("taken");
    let before = head.clone();
    let refusal = head
        .apply(&edit(3, vec![limit(&seen, 0, 42)]))
        .expect_err("a conflict");
    assert_eq!(
        refusal.to_string(),
        "wanted: ~ team 'guides': upper_limit_slots 40 -> 42\n\
         changed meanwhile: ~ team 'guides': upper_limit_slots 40 -> 41\n\
         read the catalogue again and repeat the edit on it"
    );
    assert_eq!(head, before);
}

#[test]
fn apply_lost_answer() {
    let mut head = head();
    let seen = head.spec().clone();
    let lost = edit(2, vec![limit(&seen, 0, 41)]);
    let first = head.apply(&lost).expect("taken");
    let other = head.spec().clone();
    head.apply(&edit(3, vec![limit(&other, 0, 50)]))
        .expect("taken");
    assert!(head.has_edit(EditId::new(2)));
    assert_eq!(head.apply(&lost).expect("answered"), first);
    assert_eq!(head.spec().teams[0].upper_limit_slots, Slots::new(50));
    assert_eq!(head.revision(), Revision::new(3));
}

#[test]
fn apply_invalid_whole() {
    let mut head = head();
    let team = head.spec().teams[0].clone();
    let before = head.clone();
    let refusal = head
        .apply(&edit(2, vec![Change::Team(Delta::remove(team))]))
        .expect_err("the key's team is removed");
    assert!(matches!(refusal, EditRefusal::Invalid(_)));
    assert!(refusal.to_string().contains("add it under teams"));
    assert_eq!(head, before);
}

#[test]
fn withdraw_key() {
    let mut head = head();
    let name = "guides-1".parse().expect("a name");
    let change = Change::withdraw(head.spec(), &name).expect("granted");
    head.apply(&edit(2, vec![change.clone()])).expect("taken");
    assert!(head.spec().keys.is_empty());
    let again = head.apply(&edit(3, vec![change]));
    assert!(again.is_ok(), "withdrawing twice is no conflict");
}

#[test]
fn decode_whole_head() {
    let head = head();
    let bytes = head.encode().expect("small");
    assert_eq!(Head::decode(&bytes).expect("whole"), head);
    assert!(Head::decode(&bytes[..bytes.len() - 1]).is_err());
}

/// Returns a catalogue with up to two teams; a share of 0 leaves the team out.
fn spec_of(shares: (u8, u8)) -> CatalogueSpec {
    let mut spec = base();
    spec.keys.clear();
    for (team, share) in spec.teams.iter_mut().zip([shares.0, shares.1]) {
        team.share = Share::new(u32::from(share % 3));
    }
    spec.teams.retain(|team| !team.share.is_zero());
    spec
}

/// The changes from one catalogue to another, applied to the first, result in the second, whatever the order of
/// records.
fn diff_leads_there(from: (u8, u8), to: (u8, u8)) -> bool {
    let (from, to) = (spec_of(from), spec_of(to));
    let mut spec = from.clone();
    for change in diff(&from, &to) {
        if change.apply(&mut spec).is_err() {
            return false;
        }
    }
    diff(&spec, &to).is_empty()
}

/// Edits that are based on stale views, and are lost or repeated in any order, never lower the revision.
fn revision_only_rises(edits: Vec<(u8, u8, u8)>) -> bool {
    let mut head = head();
    let mut views = vec![head.spec().clone()];
    let mut found = Breaches::new();
    for (id, view, slots) in edits {
        let seen = views[usize::from(view) % views.len()].clone();
        let before = head.clone();
        let change = limit(&seen, usize::from(id) % 2, u32::from(slots));
        let _ = head.apply(&edit(u128::from(id), vec![change]));
        verify::revision_step(&before, &head, &mut found);
        views.push(head.spec().clone());
    }
    found.is_empty()
}

#[test]
fn diff_any_catalogues() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(diff_leads_there as fn((u8, u8), (u8, u8)) -> bool);
}

#[test]
fn revision_any_edits() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 2))
        .quickcheck(revision_only_rises as fn(Vec<(u8, u8, u8)>) -> bool);
}
