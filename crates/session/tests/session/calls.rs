//! The rate limit of calls, and the precedence of call kinds under it.

use std::time::Duration;

use crate::common::{FakeStore, Faults, TokioClock};
use goldcrest_ports::store::StoreError;
use goldcrest_session::calls::{Bucket, CallKind, CallRate};
use goldcrest_session::{Session, SessionConfig, keys};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::EntryId;
use goldcrest_types::units::{PerSecond, StoreVersion};
use quickcheck::{Gen, QuickCheck};

fn rate(per_second: u32, burst: u32) -> CallRate {
    CallRate {
        per_second: PerSecond::new(per_second),
        burst,
    }
}

#[test]
fn take_reads_leave_room_for_renewals() {
    let now = TokioClock.now();
    let mut bucket = Bucket::new(rate(10, 8), now);
    let reads = (0..8).filter(|_| bucket.take(CallKind::Read, now).is_ok());
    assert_eq!(reads.count(), 4);
    let changes = (0..8).filter(|_| bucket.take(CallKind::Change, now).is_ok());
    assert_eq!(changes.count(), 2);
    let renewals = (0..8).filter(|_| bucket.take(CallKind::Lease, now).is_ok());
    assert_eq!(renewals.count(), 2);
}

fn is_within_rate(steps_ms: Vec<u16>, per_second: u8, burst: u8) -> bool {
    let rate = rate(u32::from(per_second).max(1), u32::from(burst).max(4));
    let start = TokioClock.now();
    let mut now = start;
    let mut bucket = Bucket::new(rate, now);
    let mut taken = 0;
    for step in steps_ms {
        now += Duration::from_millis(u64::from(step % 200));
        taken += u128::from(bucket.take(CallKind::Lease, now).is_ok());
        let allowed = u128::from(rate.burst)
            + (now - start).as_nanos() * u128::from(rate.per_second.get()) / 1_000_000_000;
        if taken > allowed + 1 {
            return false;
        }
    }
    true
}

#[test]
fn take_never_passes_rate() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .quickcheck(is_within_rate as fn(Vec<u16>, u8, u8) -> bool);
}

#[tokio::test(start_paused = true)]
async fn get_keeps_to_rate() {
    let store = FakeStore::default();
    let mut cfg = SessionConfig::new(EntryId::new(1), "lis-1".parse().expect("a name"));
    cfg.rate = rate(10, 4);
    let session = Session::new(store.clone(), TokioClock, cfg);
    let started = TokioClock.now();
    for _ in 0..102 {
        session
            .get(&keys::catalogue_head())
            .await
            .expect("an answer");
    }
    assert_eq!(TokioClock.now() - started, Duration::from_secs(10));
    assert_eq!(store.calls(), 102);
    assert_eq!(session.counts().total(), 102);
}

#[tokio::test(start_paused = true)]
async fn watch_counted_while_it_waits() {
    let store = FakeStore::default();
    let cfg = SessionConfig::new(EntryId::new(1), "lis-1".parse().expect("a name"));
    let session = Session::new(store, TokioClock, cfg);
    let waiting = session.clone();
    let watch = tokio::spawn(async move {
        let wait = Duration::from_secs(3);
        waiting
            .watch(&keys::catalogue_head(), StoreVersion::ZERO, wait)
            .await
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(session.counts().watches_waiting, 1);
    assert_eq!(watch.await.expect("an end"), Ok(None));
    assert_eq!(session.counts().watches_waiting, 0);
}

#[tokio::test(start_paused = true)]
async fn call_slow_service_is_cut_off() {
    let store = FakeStore::default();
    store.set_faults(Faults {
        latency: Duration::from_mins(1),
        ..Faults::default()
    });
    let cfg = SessionConfig::new(EntryId::new(1), "lis-1".parse().expect("a name"));
    let session = Session::new(store, TokioClock, cfg);
    let started = TokioClock.now();
    let answer = session.get(&keys::catalogue_head()).await;
    assert_eq!(answer, Err(StoreError::OutcomeUnknown));
    assert_eq!(session.contact().lost_since, Some(started));
}

#[tokio::test(start_paused = true)]
async fn call_throttled_service_is_spared() {
    let store = FakeStore::default();
    store.set_faults(Faults {
        throttled: true,
        ..Faults::default()
    });
    let mut cfg = SessionConfig::new(EntryId::new(1), "lis-1".parse().expect("a name"));
    cfg.rate = rate(10, 8);
    let session = Session::new(store.clone(), TokioClock, cfg);
    let started = TokioClock.now();
    for _ in 0..10 {
        let answer = session.get(&keys::catalogue_head()).await;
        assert_eq!(answer, Err(StoreError::Throttled));
    }
    // Each throttled call empties the bucket, so the next read waits until it is half full.
    assert!(TokioClock.now() - started >= Duration::from_secs(4));
}
