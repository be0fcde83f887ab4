//! Decoding of documents that a newer or an older version has written.

use ciborium::Value;
use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{CatalogueEdit, Head, diff};
use goldcrest_ledger::fleet::FleetDoc;
use goldcrest_ledger::jobs::JobsDoc;
use goldcrest_ledger::quota::{DcQuota, FleetQuota};
use goldcrest_ledger::role::RoleDoc;
use goldcrest_types::catalogue::{CatalogueSpec, parse};
use goldcrest_types::names::EditId;

const CATALOGUE: &str = "
data_centres: [{name: lis-a, region: lisboa}]
pools: [{name: web, kind: upstreams, max_unavailable_vms: 1}]
teams: [{name: guides, share: 2, upper_limit_slots: 40}]
queues: [{name: plans, owner: guides, class: interactive, pool: web, access: open, limits: {waiting_slots: 7}}]
keys:
  - {name: guides-1, team: guides, digest: '0000000000000000000000000000000000000000000000000000000000000001'}
";

fn head() -> Head {
    let mut head = Head::empty();
    let spec = parse(CATALOGUE).expect("a valid catalogue");
    // Edit ids use all 128 bits, which CBOR encodes as a tagged byte string.
    let edit = CatalogueEdit {
        id: EditId::new(u128::MAX - 7),
        operator: "ana".parse().expect("a name"),
        changes: diff(&CatalogueSpec::default(), &spec),
    };
    head.apply(&edit).expect("an accepted edit");
    head
}

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a value");
    bytes
}

/// Returns the encoded document with its map at `path` changed. `path` leads through the first item of a list.
fn changed<D: Document>(
    doc: &D,
    path: &[&str],
    change: impl FnOnce(&mut Vec<(Value, Value)>),
) -> Vec<u8> {
    let bytes = doc.encode().expect("a document");
    let mut value: Value = ciborium::from_reader(bytes.as_slice()).expect("a value");
    let mut at = &mut value;
    for name in path {
        let pairs = at.as_map_mut().expect("a map");
        let found = pairs
            .iter_mut()
            .find(|(key, _)| key.as_text() == Some(name));
        at = &mut found.expect("a field").1;
        if at.is_array() {
            at = &mut at.as_array_mut().expect("a list")[0];
        }
    }
    change(at.as_map_mut().expect("a map"));
    bytes_of(&value)
}

fn put(pairs: &mut Vec<(Value, Value)>) {
    pairs.push((Value::from("newer"), Value::from("x")));
}

#[test]
fn decode_newer_head_at_any_depth() {
    let head = head();
    let paths: [&[&str]; 7] = [
        &[],
        &["spec"],
        &["spec", "teams"],
        &["spec", "queues"],
        &["spec", "queues", "limits"],
        &["spec", "keys"],
        &["accepted"],
    ];
    for path in paths {
        let bytes = changed(&head, path, put);
        let read = Head::decode(&bytes).expect("a head with an unknown field");
        assert_eq!(read, head, "{path:?}");
        let mut field = path.to_vec();
        field.push("newer");
        assert_eq!(read.lost_field(&bytes), Some(field.join(".").into()));
    }
}

#[test]
fn decode_older_head_may_be_written() {
    let head = head();
    let without = |name: &'static str| {
        move |pairs: &mut Vec<(Value, Value)>| pairs.retain(|(key, _)| key.as_text() != Some(name))
    };
    let cases: [(&[&str], &'static str); 3] = [
        (&["spec"], "maintenance"),
        (&["spec", "pools"], "min_vms"),
        (&["spec", "queues", "limits"], "retry_percent"),
    ];
    for (path, name) in cases {
        let bytes = changed(&head, path, without(name));
        let read = Head::decode(&bytes).expect("a head without a field");
        assert_eq!(read, head, "{name} has its default");
        assert_eq!(read.lost_field(&bytes), None, "{name}");
    }
}

#[test]
fn decode_own_head_loses_nothing() {
    let bytes = head().encode().expect("a document");
    let read = Head::decode(&bytes).expect("a head");
    assert_eq!(read.lost_field(&bytes), None);
}

fn ignores_unknown<D: Document + std::fmt::Debug + PartialEq>() {
    let bytes = changed(&D::empty(), &[], put);
    let read = D::decode(&bytes).expect("a document with an unknown field");
    assert_eq!(read, D::empty());
    assert_eq!(read.lost_field(&bytes).as_deref(), Some("newer"));
}

#[test]
fn decode_newer_of_every_kind() {
    ignores_unknown::<Head>();
    ignores_unknown::<FleetDoc>();
    ignores_unknown::<JobsDoc>();
    ignores_unknown::<DcQuota>();
    ignores_unknown::<FleetQuota>();
    ignores_unknown::<RoleDoc>();
}

#[test]
fn decode_rubbish_is_refused() {
    assert!(Head::decode(b"rubbish").is_err());
    assert!(Head::decode(&bytes_of(&Value::from(7))).is_err());
    // A known field with a malformed value does not come from a newer version.
    let bytes = changed(&head(), &["spec", "teams"], Vec::clear);
    assert!(Head::decode(&bytes).is_err());
}
