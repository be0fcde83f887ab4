//! Updates with lost answers, late swaps and concurrent edits.

use std::time::Duration;

use bytes::Bytes;
use ciborium::Value;
use goldcrest_ledger::catalogue::{Accepted, CatalogueEdit, Change, Delta, EditRefusal, Head};
use goldcrest_ledger::{Document, DocumentError};
use goldcrest_ports::store::{Expect, StoreError};
use goldcrest_session::{Session, SessionConfig, UpdateError, Updated, keys};
use goldcrest_types::catalogue::TeamSpec;
use goldcrest_types::names::{EditId, EntryId};
use goldcrest_types::units::{Revision, Share, Slots};

use crate::common::{FakeStore, Faults, TokioClock};

type Outcome = Result<Updated<Accepted, EditRefusal>, UpdateError>;

fn session(store: &FakeStore, entry: u128) -> Session<FakeStore, TokioClock> {
    let dc = "lis-1".parse().expect("a name");
    Session::new(
        store.clone(),
        TokioClock,
        SessionConfig::new(EntryId::new(entry), dc),
    )
}

fn team(name: &str, share: u32) -> TeamSpec {
    TeamSpec {
        name: name.parse().expect("a name"),
        share: Share::new(share),
        upper_limit_slots: Slots::new(10),
    }
}

fn edit(id: u128, delta: Delta<TeamSpec>) -> CatalogueEdit {
    CatalogueEdit {
        id: EditId::new(id),
        operator: "ana".parse().expect("a name"),
        changes: vec![Change::Team(delta)],
    }
}

/// A store whose catalogue is at revision 1 with one data centre.
async fn store() -> FakeStore {
    let store = FakeStore::default();
    let spec = goldcrest_types::catalogue::DcSpec {
        name: "lis-1".parse().expect("a name"),
        region: "pt".parse().expect("a name"),
    };
    let first = CatalogueEdit {
        id: EditId::new(1),
        operator: "ana".parse().expect("a name"),
        changes: vec![Change::Dc(Delta::put(spec))],
    };
    let updated = apply(&session(&store, 99), &first).await;
    assert!(
        matches!(updated, Ok(Updated::Applied { .. })),
        "{updated:?}"
    );
    store
}

async fn apply(session: &Session<FakeStore, TokioClock>, edit: &CatalogueEdit) -> Outcome {
    let change = |head: &mut Head| head.apply(edit);
    session
        .update(&keys::catalogue_head(), edit.id, change)
        .await
}

fn head(store: &FakeStore) -> Head {
    let found = store.peek(&keys::catalogue_head()).expect("a head");
    Head::decode(&found.value).expect("a whole head")
}

fn revision(outcome: &Outcome) -> Revision {
    match outcome {
        Ok(Updated::Applied { value, .. }) => value.revision,
        other => panic!("not applied: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn update_answer_lost() {
    let store = store().await;
    store.set_faults(Faults {
        answers_lost: 1,
        ..Faults::default()
    });
    let updated = apply(&session(&store, 1), &edit(2, Delta::put(team("guides", 1)))).await;
    assert_eq!(revision(&updated), Revision::new(2));
    assert_eq!(head(&store).revision(), Revision::new(2));
}

#[tokio::test(start_paused = true)]
async fn update_answer_lost_and_other_edit_between() {
    let store = store().await;
    let (ana, rui) = (store.client(), store.client());
    ana.set_faults(Faults {
        answers_lost: 1,
        ..Faults::default()
    });
    let grant = edit(2, Delta::put(team("guides", 1)));
    let withdraw = edit(3, Delta::remove(team("guides", 1)));
    let (ana, rui) = (session(&ana, 1), session(&rui, 2));
    let later = async {
        while head(&store).revision() < Revision::new(2) {
            tokio::time::sleep(Duration::from_micros(100)).await;
        }
        apply(&rui, &withdraw).await
    };
    let (first, second) = tokio::join!(apply(&ana, &grant), later);
    assert_eq!(revision(&first), Revision::new(2));
    assert_eq!(revision(&second), Revision::new(3));
    assert!(
        head(&store).spec().teams.is_empty(),
        "the withdrawal was undone"
    );
}

#[tokio::test(start_paused = true)]
async fn update_change_lost_on_the_way() {
    let store = store().await;
    store.set_faults(Faults {
        changes_lost: 3,
        ..Faults::default()
    });
    let updated = apply(&session(&store, 1), &edit(2, Delta::put(team("guides", 1)))).await;
    assert_eq!(revision(&updated), Revision::new(2));
}

#[tokio::test(start_paused = true)]
async fn update_change_arrives_late() {
    for late_ms in [1, 10, 40, 200] {
        let store = store().await;
        store.set_faults(Faults {
            changes_late: 2,
            late_by: Duration::from_millis(late_ms),
            ..Faults::default()
        });
        let updated = apply(&session(&store, 1), &edit(2, Delta::put(team("guides", 1)))).await;
        assert_eq!(revision(&updated), Revision::new(2), "late by {late_ms} ms");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            head(&store).revision(),
            Revision::new(2),
            "late by {late_ms} ms"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn update_retried_through_another_entry() {
    let store = store().await;
    let grant = edit(2, Delta::put(team("guides", 1)));
    revision(&apply(&session(&store, 1), &grant).await);
    let again = apply(&session(&store, 2), &grant).await;
    assert_eq!(again, Ok(Updated::AppliedEarlier));
    assert_eq!(head(&store).revision(), Revision::new(2));
}

#[tokio::test(start_paused = true)]
async fn update_races_of_different_records_both_take() {
    let store = store().await;
    let edits: Vec<_> = (2..18)
        .map(|id| edit(id, Delta::put(team(&format!("team-{id}"), 1))))
        .collect();
    let sessions: Vec<_> = (2..18).map(|id| session(&store.client(), id)).collect();
    let pairs = edits.iter().zip(&sessions);
    let updates = pairs.map(|(edit, session)| apply(session, edit));
    let ended = futures_util::future::join_all(updates).await;
    assert!(ended.iter().all(Result::is_ok), "{ended:?}");
    assert_eq!(head(&store).spec().teams.len(), 16);
}

#[tokio::test(start_paused = true)]
async fn update_race_of_one_record_is_refused_with_difference() {
    let store = store().await;
    let put = edit(2, Delta::put(team("guides", 1)));
    revision(&apply(&session(&store, 1), &put).await);
    let one = edit(3, Delta::replace(team("guides", 1), team("guides", 2)));
    let other = edit(4, Delta::replace(team("guides", 1), team("guides", 3)));
    revision(&apply(&session(&store, 1), &one).await);
    let refused = apply(&session(&store, 2), &other).await;
    let Ok(Updated::Refused(EditRefusal::Conflicts(found))) = &refused else {
        panic!("not refused: {refused:?}");
    };
    assert_eq!(found.len(), 1);
    assert_eq!(head(&store).spec().teams, vec![team("guides", 2)]);
}

#[tokio::test(start_paused = true)]
async fn update_service_down_changes_nothing() {
    let store = store().await;
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let updated = apply(&session(&store, 1), &edit(2, Delta::put(team("guides", 1)))).await;
    assert_eq!(
        updated,
        Err(UpdateError::NotApplied(StoreError::Unreachable))
    );
    assert_eq!(head(&store).revision(), Revision::new(1));
}

#[tokio::test(start_paused = true)]
async fn update_service_lost_after_sending_stays_unresolved() {
    let store = store().await;
    store.set_faults(Faults {
        calls_left: Some(2),
        changes_late: 1,
        late_by: Duration::from_secs(20),
        ..Faults::default()
    });
    let grant = edit(2, Delta::put(team("guides", 1)));
    let updated = apply(&session(&store, 1), &grant).await;
    assert_eq!(updated, Err(UpdateError::Unresolved(grant.id)));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(head(&store).revision(), Revision::new(2));
    store.set_faults(Faults::default());
    let again = apply(&session(&store, 2), &grant).await;
    assert_eq!(again, Ok(Updated::AppliedEarlier));
}

/// Adds a field to the stored catalogue that only a newer version of the software knows.
async fn write_newer(store: &FakeStore) -> Bytes {
    let found = store.peek(&keys::catalogue_head()).expect("a head");
    let mut value: Value = ciborium::from_reader(found.value.as_ref()).expect("a value");
    let fields = value.as_map_mut().expect("a map");
    fields.push((Value::from("newer"), Value::from(7)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).expect("a value");
    let bytes = Bytes::from(bytes);
    write_over(store, Expect::Version(found.version), bytes.clone()).await;
    bytes
}

async fn write_over(store: &FakeStore, at: Expect, bytes: Bytes) {
    let (other, key) = (session(store, 50), keys::catalogue_head());
    let swapped = other.swap(&key, at, bytes, None).await;
    assert!(swapped.is_ok(), "{swapped:?}");
}

#[tokio::test(start_paused = true)]
async fn update_of_newer_document_loses_nothing() {
    let store = store().await;
    let older = session(&store, 1);
    let first = apply(&older, &edit(2, Delta::put(team("guides", 1)))).await;
    assert_eq!(revision(&first), Revision::new(2));
    let bytes = write_newer(&store).await;
    assert_eq!(head(&store).revision(), Revision::new(2), "it can be read");
    let refused = apply(&older, &edit(3, Delta::put(team("agencies", 1)))).await;
    let newer = DocumentError::Newer("newer".into());
    assert_eq!(refused, Err(UpdateError::Document(newer)));
    let stored = store.peek(&keys::catalogue_head()).expect("a head");
    assert_eq!(stored.value, bytes);
    // Without the unknown field the document can be edited again.
    let plain = Bytes::from(head(&store).encode().expect("a document"));
    write_over(&store, Expect::Version(stored.version), plain).await;
    let taken = apply(&older, &edit(3, Delta::put(team("agencies", 1)))).await;
    assert_eq!(revision(&taken), Revision::new(3));
}
