//! The lease: its validity on the holder's clock, the event on its loss, and removal of the record on a planned stop.

use std::time::Duration;

use crate::common::{FakeStore, Faults, TokioClock};
use goldcrest_session::lease::{LeaseKeeper, LeaseState, SessionRecord};
use goldcrest_session::{Session, SessionConfig, keys};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::EntryId;
use tokio_util::sync::CancellationToken;

fn record(bits: u128) -> SessionRecord {
    SessionRecord {
        entry: EntryId::new(bits),
        dc: "lis-1".parse().expect("a name"),
        vm: "entry-1".parse().expect("a name"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn session(store: &FakeStore) -> Session<FakeStore, TokioClock> {
    let record = record(1);
    Session::new(
        store.clone(),
        TokioClock,
        SessionConfig::new(record.entry, record.dc),
    )
}

fn keep(session: &Session<FakeStore, TokioClock>) -> CancellationToken {
    let stop = CancellationToken::new();
    let keeper = LeaseKeeper::new(session.clone(), record(1));
    tokio::spawn(keeper.run(stop.clone()));
    stop
}

#[tokio::test(start_paused = true)]
async fn valid_until_counts_from_before_sending() {
    let store = FakeStore::default();
    store.set_faults(Faults {
        latency: Duration::from_millis(800),
        ..Faults::default()
    });
    let session = session(&store);
    let started = TokioClock.now();
    let stop = keep(&session);
    let mut lease = session.lease();
    lease.changed().await.expect("a session");
    let valid_until = session
        .valid_until(TokioClock.now())
        .expect("a valid lease");
    // The grant was sent at the start. The term of 10 s is shortened by the possible drift of 5 %.
    assert_eq!(valid_until, started + Duration::from_millis(9_500));
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn valid_until_renewed_while_kept() {
    let store = FakeStore::default();
    let session = session(&store);
    let stop = keep(&session);
    tokio::time::sleep(Duration::from_secs(100)).await;
    assert!(session.valid_until(TokioClock.now()).is_some());
    assert_eq!(session.sessions().await.expect("the list").len(), 1);
    assert!(session.counts().leases <= 32, "{:?}", session.counts());
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn valid_until_lapses_before_the_service_says_so() {
    let store = FakeStore::default();
    let session = session(&store);
    let stop = keep(&session);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut lease = session.lease();
    lease.mark_unchanged();
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    lease.changed().await.expect("an event");
    assert_eq!(*lease.borrow(), LeaseState::Absent);
    let key = keys::session(&record(1).dc, EntryId::new(1));
    assert!(
        store.peek(&key).is_some(),
        "the service still holds the session"
    );
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn run_takes_new_generation_after_lapse() {
    let store = FakeStore::default();
    let session = session(&store);
    let stop = keep(&session);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.expire_leases();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let held = session.lease().borrow().valid(TokioClock.now());
    assert_eq!(held.expect("a new lease").generation, 2);
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn valid_paused_holder() {
    // A paused process shows as a jump of the clock during which no task of the holder runs.
    let store = FakeStore::default();
    let session = session(&store);
    let stop = keep(&session);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lease = session.lease();
    tokio::time::advance(Duration::from_secs(12)).await;
    assert_eq!(lease.borrow().valid(TokioClock.now()), None);
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn run_withdraws_record_on_stop() {
    let store = FakeStore::default();
    let session = session(&store);
    let stop = CancellationToken::new();
    let keeper = tokio::spawn(LeaseKeeper::new(session.clone(), record(1)).run(stop.clone()));
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.cancel();
    keeper.await.expect("a clean end");
    assert!(session.sessions().await.expect("the list").is_empty());
    assert_eq!(*session.lease().borrow(), LeaseState::Absent);
}
