//! The catalogue follower: outages, heads from peers, concurrent edits and lost answers.

use std::time::Duration;

use bytes::Bytes;
use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{CatalogueEdit, Change, Delta, Head};
use goldcrest_ledger::freshness::Proof;
use goldcrest_session::{FollowConfig, Follower, Session, SessionConfig, Updated, keys};
use goldcrest_types::catalogue::DcSpec;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{EditId, EntryId};
use goldcrest_types::units::{Revision, StoreVersion};
use tokio_util::sync::CancellationToken;

use crate::common::{FakeStore, Faults, TokioClock};

struct Entry {
    store: FakeStore,
    follower: Follower<FakeStore, TokioClock>,
    session: Session<FakeStore, TokioClock>,
    stop: CancellationToken,
}

impl Entry {
    /// Starts an entry with a client of its own, so that its faults are its own too.
    fn start(store: &FakeStore, bits: u128) -> Self {
        let store = store.client();
        let dc = "lis-1".parse().expect("a name");
        let cfg = SessionConfig::new(EntryId::new(bits), dc);
        let session = Session::new(store.clone(), TokioClock, cfg);
        let follower = Follower::new(session.clone(), FollowConfig::default());
        let stop = CancellationToken::new();
        tokio::spawn(follower.clone().run(stop.clone()));
        Self {
            store,
            follower,
            session,
            stop,
        }
    }

    fn revision(&self) -> u64 {
        self.follower.revision().get()
    }

    fn proof_age(&self) -> Duration {
        let proof = self.follower.proof().expect("a proof");
        TokioClock.now() - proof.at
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn edit(id: u128) -> CatalogueEdit {
    let spec = DcSpec {
        name: format!("dc-{id}").parse().expect("a name"),
        region: "pt".parse().expect("a name"),
    };
    CatalogueEdit {
        id: EditId::new(id),
        operator: "ana".parse().expect("a name"),
        changes: vec![Change::Dc(Delta::put(spec))],
    }
}

async fn accept(entry: &Entry, id: u128) {
    let updated = entry.follower.edit(&edit(id)).await;
    assert!(
        matches!(updated, Ok(Updated::Applied { .. })),
        "{updated:?}"
    );
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

async fn pass(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

#[tokio::test(start_paused = true)]
async fn run_watcher_sees_edit_at_once() {
    let store = FakeStore::default();
    let (writer, watcher) = (Entry::start(&store, 1), Entry::start(&store, 2));
    watcher.follower.set_watcher(true);
    accept(&writer, 1).await;
    pass(2_000).await;
    assert_eq!(watcher.revision(), 1);
    accept(&writer, 2).await;
    assert_eq!(writer.revision(), 2);
    pass(1).await;
    assert_eq!(watcher.revision(), 2);
}

#[tokio::test(start_paused = true)]
async fn run_others_read_without_proofs_from_peers() {
    let store = FakeStore::default();
    let (writer, other) = (Entry::start(&store, 1), Entry::start(&store, 2));
    accept(&writer, 1).await;
    pass(10_000).await;
    accept(&writer, 2).await;
    pass(3_100).await;
    assert_eq!(other.revision(), 2);
    assert!(other.proof_age() <= Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn run_reads_nothing_while_peers_send_proofs() {
    let store = FakeStore::default();
    let (writer, other) = (Entry::start(&store, 1), Entry::start(&store, 2));
    accept(&writer, 1).await;
    pass(5_000).await;
    let before = other.session.counts().total();
    for _ in 0..60 {
        let proof = Proof {
            at: TokioClock.now(),
            revision: Revision::new(1),
        };
        other.follower.record_peer_proof(Some(proof));
        pass(1_000).await;
    }
    assert!(other.session.counts().total() - before <= 1);
}

#[tokio::test(start_paused = true)]
async fn run_reads_when_peers_are_ahead() {
    let store = FakeStore::default();
    let (writer, other) = (Entry::start(&store, 1), Entry::start(&store, 2));
    accept(&writer, 1).await;
    pass(5_000).await;
    accept(&writer, 2).await;
    for _ in 0..5 {
        let proof = Proof {
            at: TokioClock.now(),
            revision: Revision::new(2),
        };
        other.follower.record_peer_proof(Some(proof));
        pass(1_000).await;
    }
    assert_eq!(other.revision(), 2);
}

#[tokio::test(start_paused = true)]
async fn run_idle_watch_moves_no_bytes() {
    let store = FakeStore::default();
    let (writer, watcher) = (Entry::start(&store, 1), Entry::start(&store, 2));
    watcher.follower.set_watcher(true);
    accept(&writer, 1).await;
    pass(2_000).await;
    let before = watcher.session.counts();
    let idle_ms = 100_000;
    pass(idle_ms).await;
    let after = watcher.session.counts();
    assert_eq!(after.received_bytes, before.received_bytes);
    // One watch at a time, and the next one only after the previous one has waited its full time.
    let wait_ms = FollowConfig::default().watch_wait.as_millis();
    let watches_max = u128::from(idle_ms) / wait_ms + 1;
    assert!(u128::from(after.watches - before.watches) <= watches_max);
}

#[tokio::test(start_paused = true)]
async fn adopt_lower_revision_is_passed_over() {
    let store = FakeStore::default();
    let writer = Entry::start(&store, 1);
    accept(&writer, 1).await;
    let old = store.peek(&keys::catalogue_head()).expect("a head");
    accept(&writer, 2).await;
    let adopted = writer.follower.adopt(&old.value, old.version);
    assert_eq!(adopted, Ok(Revision::new(2)));
    assert_eq!(writer.revision(), 2);
}

#[tokio::test(start_paused = true)]
async fn adopt_rubbish_leaves_the_catalogue() {
    let store = FakeStore::default();
    let writer = Entry::start(&store, 1);
    accept(&writer, 1).await;
    let rubbish = Bytes::from_static(b"rubbish");
    let adopted = writer.follower.adopt(&rubbish, StoreVersion::new(99));
    assert!(adopted.is_err());
    assert_eq!(writer.revision(), 1);
}

#[tokio::test(start_paused = true)]
async fn adopt_from_peer_while_service_is_down() {
    let store = FakeStore::default();
    let writer = Entry::start(&store, 1);
    accept(&writer, 1).await;
    let late = Entry::start(&store, 2);
    late.store.set_faults(down());
    pass(10_000).await;
    assert_eq!(late.revision(), 0);
    let copy = writer.follower.head().borrow().clone().expect("a head");
    let adopted = late.follower.adopt(&copy.bytes, copy.version);
    assert_eq!(adopted, Ok(Revision::new(1)));
    // It has the catalogue, but no proof of its own that it is the last one.
    assert_eq!(late.follower.proof(), None);
}

#[tokio::test(start_paused = true)]
async fn proof_grows_old_without_contact() {
    let store = FakeStore::default();
    let watcher = Entry::start(&store, 1);
    watcher.follower.set_watcher(true);
    accept(&watcher, 1).await;
    pass(5_000).await;
    assert_eq!(watcher.follower.no_contact(), None);
    watcher.store.set_faults(down());
    pass(20_000).await;
    assert!(watcher.proof_age() >= Duration::from_secs(19));
    let report = watcher.follower.no_contact().expect("a report");
    assert_eq!(report.revision, Revision::new(1));
    watcher.store.set_faults(Faults::default());
    pass(3_000).await;
    assert_eq!(watcher.follower.no_contact(), None);
    assert!(watcher.proof_age() <= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn edit_is_in_force_here_when_it_returns() {
    let store = FakeStore::default();
    let writer = Entry::start(&store, 1);
    accept(&writer, 1).await;
    // The answer to the swap is lost, and another edit is applied before the document is read back.
    writer.store.set_faults(Faults {
        answers_lost: 1,
        ..Faults::default()
    });
    let other = Entry::start(&store, 2);
    let second = edit(2);
    let (mine, theirs) = tokio::join!(writer.follower.edit(&second), async {
        while store.peek(&keys::catalogue_head()).is_some_and(|head| {
            Head::decode(&head.value).is_ok_and(|head| head.revision() < Revision::new(2))
        }) {
            tokio::time::sleep(Duration::from_micros(100)).await;
        }
        other.follower.edit(&edit(3)).await
    });
    assert!(mine.is_ok() && theirs.is_ok());
    assert!(writer.revision() >= 2);
    writer.follower.set_watcher(true);
    pass(1_500).await;
    assert_eq!(writer.revision(), 3);
}

#[tokio::test(start_paused = true)]
async fn edit_accepted_earlier_is_in_force_when_it_returns() {
    let store = FakeStore::default();
    let (first, second) = (Entry::start(&store, 1), Entry::start(&store, 2));
    accept(&first, 1).await;
    pass(5_000).await;
    accept(&first, 2).await;
    let again = second.follower.edit(&edit(2)).await;
    assert_eq!(again, Ok(Updated::AppliedEarlier));
    assert_eq!(second.revision(), 2);
}
