//! Values, versions and leases of the key-value service.
//!
//! One counter issues all versions, so a value that is removed and put again never gets an earlier version.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::store::{Expect, LeaseId, StoreError, StoreKey, VALUE_BYTES_MAX, Versioned};
use goldcrest_types::units::StoreVersion;
use tokio::time::Instant;

#[derive(Debug)]
struct Slot {
    stored: Versioned,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The values by key, and the leases. A value may be bound to a lease, with which it is removed.
#[derive(Debug, Default)]
pub struct Table {
    slots: BTreeMap<StoreKey, Slot>,
    leases: HashMap<LeaseId, Lease>,
    last_version: StoreVersion,
    last_lease: u64,
}

impl Table {
    /// Returns the value at `key`.
    pub fn get(&self, key: &StoreKey) -> Option<Versioned> {
        self.slots.get(key).map(|slot| slot.stored.clone())
    }

    /// Returns the keys that consist of `prefix`, a slash and more, in order.
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

    /// Replaces the value at `key` if its present version is as expected, and binds it to `lease`.
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
        let found = self.slots.get(key).map(|slot| slot.stored.version);
        let is_expected = match expect {
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
        };
        if !is_expected {
            return Err(StoreError::Conflict);
        }
        self.last_version = self.last_version.next();
        let version = self.last_version;
        let stored = Versioned { version, value };
        self.slots.insert(key.clone(), Slot { stored, lease });
        Ok(version)
    }

    /// Removes the value at `key` if it has this version; else [`StoreError::Conflict`].
    pub fn remove(&mut self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        let found = self.slots.get(key).map(|slot| slot.stored.version);
        if found != Some(version) {
            return Err(StoreError::Conflict);
        }
        self.slots.remove(key);
        Ok(())
    }

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId::new(self.last_lease);
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease for its full term; [`StoreError::LeaseGone`] if it has expired.
    pub fn renew(&mut self, id: LeaseId, now: Instant) -> Result<(), StoreError> {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseGone)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Removes expired leases and the values bound to them. Returns whether a value was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let before = self.slots.len();
        let leases = &self.leases;
        self.slots
            .retain(|_, slot| slot.lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.slots.len() != before
    }
}
