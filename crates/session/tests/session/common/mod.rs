//! An in-memory key-value service with faults that a test injects, and a clock that follows tokio's.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use goldcrest_ports::store::{Expect, LeaseId, Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::StoreVersion;
use tokio::sync::Notify;

/// The monotonic clock that tokio's timers follow, which a test may pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokioClock;

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// The faults injected into one client's calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// No call reaches the service.
    pub down: bool,
    /// The number of calls that still reach the service before it is down.
    pub calls_left: Option<u32>,
    /// Every call is throttled.
    pub throttled: bool,
    /// The number of changes that take effect while their answers are lost.
    pub answers_lost: u32,
    /// The number of changes that are lost before the service, reported with an unknown outcome.
    pub changes_lost: u32,
    /// The number of changes that take effect `late_by` after they were reported with an unknown outcome.
    pub changes_late: u32,
    /// The delay of late changes.
    pub late_by: Duration,
    /// The duration of each call.
    pub latency: Duration,
}

#[derive(Debug, Clone)]
struct Record {
    version: StoreVersion,
    value: Bytes,
    lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<StoreKey, Record>,
    leases: HashMap<LeaseId, (Duration, Instant)>,
    last_version: u64,
    last_lease: u64,
    calls: u64,
}

impl State {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (_, ends)| now < *ends);
        let leases = &self.leases;
        self.records
            .retain(|_, record| record.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn version(&self, key: &StoreKey) -> Expect {
        match self.records.get(key) {
            Some(record) => Expect::Version(record.version),
            None => Expect::Absent,
        }
    }

    fn swap(
        &mut self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        self.expire(TokioClock.now());
        if self.version(key) != expect {
            return Err(StoreError::Conflict);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseGone);
        }
        self.last_version += 1;
        let version = StoreVersion::new(self.last_version);
        let record = Record {
            version,
            value,
            lease,
        };
        self.records.insert(key.clone(), record);
        Ok(version)
    }

    fn find(&mut self, key: &StoreKey) -> Option<Versioned> {
        self.expire(TokioClock.now());
        let record = self.records.get(key)?;
        Some(Versioned {
            version: record.version,
            value: record.value.clone(),
        })
    }
}

/// A snapshot of all values of the service.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    records: BTreeMap<StoreKey, Record>,
    last_version: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// One client of the service. A clone shares its faults; [`FakeStore::client`] makes one with faults of its own.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    shared: Arc<Shared>,
    faults: Arc<Mutex<Faults>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeStore {
    /// Creates another client of the same service, without faults.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            faults: Arc::default(),
        }
    }

    /// Replaces the faults injected into this client's calls.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of calls from all clients that reached the service.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Reads the value under `key` without a call, so that no fault applies.
    #[must_use]
    pub fn peek(&self, key: &StoreKey) -> Option<Versioned> {
        lock(&self.shared.state).find(key)
    }

    /// Takes a snapshot of all values.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.shared.state);
        StoreCopy {
            records: state.records.clone(),
            last_version: state.last_version,
        }
    }

    /// Restores all values and their versions from a snapshot. All leases end.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.shared.state);
        state.records.clone_from(&copy.records);
        state.last_version = copy.last_version;
        state.leases.clear();
        state.expire(TokioClock.now());
        self.shared.changed.notify_waiters();
    }

    /// Ends every lease, as after an outage that outlasted them.
    pub fn expire_leases(&self) {
        let mut state = lock(&self.shared.state);
        state.leases.clear();
        state.expire(TokioClock.now());
        self.shared.changed.notify_waiters();
    }

    async fn arrive(&self) -> Result<(), StoreError> {
        let faults = *lock(&self.faults);
        tokio::time::sleep(faults.latency).await;
        if faults.down || !self.take_call() {
            return Err(StoreError::Unreachable);
        }
        lock(&self.shared.state).calls += 1;
        if faults.throttled {
            return Err(StoreError::Throttled);
        }
        Ok(())
    }

    fn take_call(&self) -> bool {
        let mut faults = lock(&self.faults);
        let Some(left) = faults.calls_left else {
            return true;
        };
        faults.calls_left = Some(left.saturating_sub(1));
        left > 0
    }

    fn take_fault(&self, pick: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let left = pick(&mut faults);
        let has_fault = *left > 0;
        *left = left.saturating_sub(1);
        has_fault
    }

    fn swap_now(
        &self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        let version = lock(&self.shared.state).swap(key, expect, value, lease)?;
        self.shared.changed.notify_waiters();
        Ok(version)
    }

    fn swap_late(&self, key: &StoreKey, expect: Expect, value: Bytes, lease: Option<LeaseId>) {
        let (store, key, late_by) = (self.clone(), key.clone(), lock(&self.faults).late_by);
        tokio::spawn(async move {
            tokio::time::sleep(late_by).await;
            // Nobody waits for the result: readers see whether the late swap took effect.
            drop(store.swap_now(&key, expect, value, lease));
        });
    }

    /// Returns when the next lease expires, since that may remove a watched value.
    fn next_expiry(&self) -> Option<Instant> {
        let state = lock(&self.shared.state);
        state.leases.values().map(|(_, ends)| *ends).min()
    }

    async fn await_change(
        &self,
        key: &StoreKey,
        after: StoreVersion,
    ) -> Result<Versioned, StoreError> {
        loop {
            let changed = self.shared.changed.notified();
            if lock(&self.faults).down {
                return Err(StoreError::OutcomeUnknown);
            }
            if let Some(found) = self.peek(key).filter(|found| found.version > after) {
                return Ok(found);
            }
            match self.next_expiry() {
                Some(at) => drop(tokio::time::timeout_at(at.into(), changed).await),
                None => changed.await,
            }
        }
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &StoreKey) -> Result<Option<Versioned>, StoreError> {
        self.arrive().await?;
        Ok(self.peek(key))
    }

    async fn swap(
        &self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        self.arrive().await?;
        if self.take_fault(|faults| &mut faults.changes_lost) {
            return Err(StoreError::OutcomeUnknown);
        }
        if self.take_fault(|faults| &mut faults.changes_late) {
            self.swap_late(key, expect, value, lease);
            return Err(StoreError::OutcomeUnknown);
        }
        let swapped = self.swap_now(key, expect, value, lease);
        if self.take_fault(|faults| &mut faults.answers_lost) {
            return Err(StoreError::OutcomeUnknown);
        }
        swapped
    }

    async fn remove(&self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        self.arrive().await?;
        let mut state = lock(&self.shared.state);
        if state.version(key) != Expect::Version(version) {
            return Err(StoreError::Conflict);
        }
        state.records.remove(key);
        self.shared.changed.notify_waiters();
        Ok(())
    }

    async fn watch(
        &self,
        key: &StoreKey,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.arrive().await?;
        match tokio::time::timeout(wait, self.await_change(key, after)).await {
            Ok(found) => found.map(Some),
            Err(_) => Ok(None),
        }
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Vec<StoreKey>, StoreError> {
        self.arrive().await?;
        let mut state = lock(&self.shared.state);
        state.expire(TokioClock.now());
        let below = format!("{prefix}/");
        let keys = state.records.keys();
        Ok(keys
            .filter(|key| key.as_str().starts_with(&below))
            .cloned()
            .collect())
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.arrive().await?;
        let mut state = lock(&self.shared.state);
        state.last_lease += 1;
        let lease = LeaseId::new(state.last_lease);
        state.leases.insert(lease, (ttl, TokioClock.now() + ttl));
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.arrive().await?;
        let now = TokioClock.now();
        let mut state = lock(&self.shared.state);
        state.expire(now);
        let Some((ttl, ends)) = state.leases.get_mut(&lease) else {
            return Err(StoreError::LeaseGone);
        };
        *ends = now + *ttl;
        Ok(())
    }
}
