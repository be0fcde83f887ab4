//! The HTTP client of the key-value service, run against the fake.

use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::http::HttpStore;
use goldcrest_ports::store::{Expect, Store, StoreError, StoreKey};
use goldcrest_standin::{KvFake, KvFault};
use goldcrest_types::names::DcName;
use goldcrest_types::units::StoreVersion;
use tokio_util::sync::CancellationToken;

struct Fixture {
    kv: KvFake,
    dc: DcName,
    store: HttpStore,
    key: StoreKey,
    stop: CancellationToken,
}

impl Fixture {
    async fn new() -> Self {
        let kv = KvFake::new();
        let dc: DcName = "a".parse().unwrap();
        let stop = CancellationToken::new();
        let address = kv.listen(dc.clone(), stop.clone()).await.unwrap();
        Self {
            kv,
            dc,
            store: HttpStore::new(address, Duration::from_secs(5)),
            key: "catalogue/head".parse().unwrap(),
            stop,
        }
    }

    async fn put(&self, expect: Expect, value: &'static str) -> Result<StoreVersion, StoreError> {
        let value = Bytes::from_static(value.as_bytes());
        self.store.swap(&self.key, expect, value, None).await
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[tokio::test]
async fn swap_version_matches() {
    let fix = Fixture::new().await;
    let first = fix.put(Expect::Absent, "one").await.unwrap();
    let second = fix.put(Expect::Version(first), "two").await.unwrap();
    assert!(second > first);
    let found = fix.store.get(&fix.key).await.unwrap().unwrap();
    assert_eq!(found.version, second);
    assert_eq!(&found.value[..], b"two");
}

#[tokio::test]
async fn swap_version_stale() {
    let fix = Fixture::new().await;
    let first = fix.put(Expect::Absent, "one").await.unwrap();
    fix.put(Expect::Version(first), "two").await.unwrap();
    let stale = fix.put(Expect::Version(first), "three").await;
    assert_eq!(stale, Err(StoreError::Conflict));
    let absent = fix.put(Expect::Absent, "three").await;
    assert_eq!(absent, Err(StoreError::Conflict));
}

#[tokio::test]
async fn swap_answer_lost() {
    let fix = Fixture::new().await;
    fix.kv.set_fault(&fix.dc, KvFault::AnswersLost);
    let lost = fix.put(Expect::Absent, "one").await;
    assert_eq!(lost, Err(StoreError::OutcomeUnknown));
    fix.kv.set_fault(&fix.dc, KvFault::None);
    let found = fix.store.get(&fix.key).await.unwrap().unwrap();
    assert_eq!(&found.value[..], b"one");
}

#[tokio::test]
async fn get_service_down() {
    let fix = Fixture::new().await;
    fix.kv.set_fault(&fix.dc, KvFault::Down);
    let found = fix.store.get(&fix.key).await;
    assert_eq!(found, Err(StoreError::Unreachable));
}

#[tokio::test]
async fn watch_value_changes() {
    let fix = Fixture::new().await;
    let first = fix.put(Expect::Absent, "one").await.unwrap();
    let store = fix.store.clone();
    let key = fix.key.clone();
    let wait = Duration::from_secs(4);
    let watch = tokio::spawn(async move { store.watch(&key, first, wait).await });
    let second = fix.put(Expect::Version(first), "two").await.unwrap();
    let changed = watch.await.unwrap().unwrap().unwrap();
    assert_eq!(changed.version, second);
}

#[tokio::test]
async fn renew_lease_unknown() {
    let fix = Fixture::new().await;
    let lease = fix.store.grant(Duration::from_mins(1)).await.unwrap();
    fix.store.renew(lease).await.unwrap();
    let value = Bytes::from_static(b"one");
    let put = fix.store.swap(&fix.key, Expect::Absent, value, Some(lease));
    put.await.unwrap();
    let other = goldcrest_ports::store::LeaseId::new(99);
    assert_eq!(fix.store.renew(other).await, Err(StoreError::LeaseGone));
}
