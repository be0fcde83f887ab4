//! The store's keys, leases and history.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_grid::ports::{Change, Item, LeaseId, Page, Revision, Txn, Watched};
use tokio::time::Instant;

/// Keys, leases and history. Leases that have ended take their keys with them before anything else is looked at.
#[derive(Debug, Default)]
pub struct Table {
    items: BTreeMap<Box<str>, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<(Revision, Change)>,
    revision: u64,
    /// History up to here is gone.
    compacted: u64,
    leases_made: u64,
}

impl Table {
    /// Counts a change that is made elsewhere.
    pub fn step(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }

    /// The store's revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// A key's content.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items with a prefix.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Page {
        let items = self.items.values();
        Page {
            items: items
                .filter(|item| item.key.starts_with(prefix))
                .cloned()
                .collect(),
            has_more: false,
            revision: self.revision(),
        }
    }

    /// The changes after a revision; `None` if they are gone.
    #[must_use]
    pub fn since(&self, prefix: &str, after: Revision) -> Option<Watched> {
        if after.0 < self.compacted {
            return None;
        }
        let changes = self.history.iter().filter(|(revision, change)| {
            let key = match change {
                Change::Put(item) => &item.key,
                Change::Removed { key, .. } => key,
            };
            *revision > after && key.starts_with(prefix)
        });
        Some(Watched {
            changes: changes.map(|(_, change)| change.clone()).collect(),
            revision: self.revision(),
        })
    }

    /// Makes a transaction; else what the expected keys hold.
    ///
    /// # Errors
    ///
    /// The present content of the expected keys, or `None` if a lease has ended.
    pub fn commit(&mut self, txn: &Txn, now: Instant) -> Result<Revision, Option<Vec<Item>>> {
        self.expire(now);
        let holds = |key: &str| self.items.get(key).map_or(0, |item| item.revision.0);
        if txn
            .expect
            .iter()
            .any(|(key, revision)| holds(key) != revision.0)
        {
            let expected = txn.expect.iter();
            return Err(Some(
                expected
                    .filter_map(|(key, _)| self.items.get(key).cloned())
                    .collect(),
            ));
        }
        let is_lease_over = |lease: &LeaseId| !self.leases.contains_key(&lease.0);
        if txn
            .put
            .iter()
            .any(|put| put.lease.as_ref().is_some_and(is_lease_over))
        {
            return Err(None);
        }
        let revision = self.step();
        for put in &txn.put {
            let item = Item {
                key: put.key.clone(),
                value: put.value.clone(),
                revision,
                lease: put.lease,
            };
            self.items.insert(put.key.clone(), item.clone());
            self.history.push((revision, Change::Put(item)));
        }
        for key in &txn.remove {
            self.remove(key, revision);
        }
        Ok(revision)
    }

    fn remove(&mut self, key: &str, revision: Revision) {
        if self.items.remove(key).is_some() {
            let key = key.into();
            self.history
                .push((revision, Change::Removed { key, revision }));
        }
    }

    /// Opens a lease.
    pub fn open_lease(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.leases_made += 1;
        self.leases.insert(self.leases_made, (now + ttl, ttl));
        LeaseId(self.leases_made)
    }

    /// Renews a lease; `None` if it has ended.
    pub fn renew_lease(&mut self, lease: LeaseId, now: Instant) -> Option<Duration> {
        self.expire(now);
        let (until, ttl) = self.leases.get_mut(&lease.0)?;
        *until = now + *ttl;
        Some(*ttl)
    }

    /// Ends a lease.
    pub fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease.0);
        self.drop_unleased();
    }

    /// Ends the leases that are over; returns whether any was.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, (until, _)| now < *until);
        self.drop_unleased();
        self.leases.len() != before
    }

    /// When the next lease ends.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|(until, _)| *until).min()
    }

    fn drop_unleased(&mut self) {
        let over: Vec<Box<str>> = self
            .items
            .values()
            .filter(|item| {
                item.lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease.0))
            })
            .map(|item| item.key.clone())
            .collect();
        for key in over {
            let revision = self.step();
            self.remove(&key, revision);
        }
    }
}
