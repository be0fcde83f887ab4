//! Values, versions and leases of the key-value service.
//!
//! Versions come from one counter, so a value that is removed and put anew never gets a version it had before.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::store::{Expect, LeaseId, StoreError, StoreKey, VALUE_BYTES_MAX, Versioned};
use goldcrest_types::units::StoreVersion;
use tokio::time::Instant;

#[derive(Debug)]
struct Slot {
    held: Versioned,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// The values and leases.
#[derive(Debug, Default)]
pub struct Table {
    slots: BTreeMap<StoreKey, Slot>,
    leases: HashMap<LeaseId, Lease>,
    last_version: StoreVersion,
    last_lease: u64,
}

impl Table {
    /// The value at `key`.
    pub fn get(&self, key: &StoreKey) -> Option<Versioned> {
        self.slots.get(key).map(|slot| slot.held.clone())
    }

    /// The keys below `prefix`.
    pub fn keys_under(&self, prefix: &str) -> Vec<StoreKey> {
        let is_under = |key: &StoreKey| {
            key.as_str()
                .strip_prefix(prefix)
                .is_some_and(|rest| rest.starts_with('/'))
        };
        self.slots
            .keys()
            .filter(|key| is_under(key))
            .cloned()
            .collect()
    }

    /// Replaces the value at `key` if it is as expected.
    pub fn swap(
        &mut self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        if value.len() > VALUE_BYTES_MAX {
            return Err(StoreError::Malformed("value over 1 MB".into()));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseGone);
        }
        let found = self.slots.get(key).map(|slot| slot.held.version);
        let is_expected = match expect {
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
        };
        if !is_expected {
            return Err(StoreError::Conflict);
        }
        self.last_version = self.last_version.next();
        let version = self.last_version;
        let held = Versioned { version, value };
        self.slots.insert(key.clone(), Slot { held, lease });
        Ok(version)
    }

    /// Removes the value at `key` if it has this version.
    pub fn remove(&mut self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        let found = self.slots.get(key).map(|slot| slot.held.version);
        if found != Some(version) {
            return Err(StoreError::Conflict);
        }
        self.slots.remove(key);
        Ok(())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId::new(self.last_lease);
        let ends = now + ttl;
        self.leases.insert(id, Lease { ttl, ends });
        id
    }

    /// Renews a lease for a full term.
    pub fn renew(&mut self, id: LeaseId, now: Instant) -> Result<(), StoreError> {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseGone)?;
        lease.ends = now + lease.ttl;
        Ok(())
    }

    /// Ends the leases that have lapsed, with their values. Returns whether a value vanished.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, lease| lease.ends > now);
        let before = self.slots.len();
        let leases = &self.leases;
        self.slots
            .retain(|_, slot| slot.lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.slots.len() != before
    }
}
