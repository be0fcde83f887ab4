//! The in-memory store: keys, leases and the history of changes.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_grid::ports::{Change, Item, LeaseId, Page, Revision, Txn, Watched};
use tokio::time::Instant;

/// Keys, leases and history. Commits and renewals first remove expired leases together with their
/// keys; before a read the caller does so by [`Table::expire`].
#[derive(Debug, Default)]
pub struct Table {
    items: BTreeMap<Box<str>, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<(Revision, Change)>,
    revision: u64,
    /// The revision up to which the history was removed.
    compacted: u64,
    last_lease: u64,
}

impl Table {
    /// Increments the revision, also for changes that are kept outside this table, and returns it.
    pub fn step(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// Removes the history, so that watches from an older revision fail.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Whether the history no longer has all changes after a revision.
    #[must_use]
    pub fn is_compacted(&self, after: Revision) -> bool {
        after.0 < self.compacted
    }

    /// Returns the item at a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns all items whose keys begin with `prefix`, as one page.
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

    /// Returns the changes after a revision to keys that begin with `prefix`; `None` if the history no longer
    /// reaches back that far.
    #[must_use]
    pub fn since(&self, prefix: &str, after: Revision) -> Option<Watched> {
        if self.is_compacted(after) {
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

    /// Commits a transaction, whole or not at all, and returns its revision.
    ///
    /// # Errors
    ///
    /// The present items of the expected keys if one has another revision than expected; `None` if a lease has ended.
    pub fn commit(&mut self, txn: &Txn, now: Instant) -> Result<Revision, Option<Vec<Item>>> {
        self.expire(now);
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision.0);
        if txn
            .expect
            .iter()
            .any(|(key, revision)| revision_of(key) != revision.0)
        {
            let expected = txn.expect.iter();
            return Err(Some(
                expected
                    .filter_map(|(key, _)| self.items.get(key).cloned())
                    .collect(),
            ));
        }
        let has_lease_ended = |lease: &LeaseId| !self.leases.contains_key(&lease.0);
        if txn
            .puts
            .iter()
            .any(|put| put.lease.as_ref().is_some_and(has_lease_ended))
        {
            return Err(None);
        }
        let revision = self.step();
        for put in &txn.puts {
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

    /// Opens a lease that ends after `ttl` unless it is renewed.
    pub fn open_lease(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (now + ttl, ttl));
        LeaseId(self.last_lease)
    }

    /// Renews a lease for its full term and returns the term; `None` if it has ended.
    pub fn renew_lease(&mut self, lease: LeaseId, now: Instant) -> Option<Duration> {
        self.expire(now);
        let (until, ttl) = self.leases.get_mut(&lease.0)?;
        *until = now + *ttl;
        Some(*ttl)
    }

    /// Ends a lease and removes its keys.
    pub fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease.0);
        self.remove_unleased();
    }

    /// Removes expired leases and their keys. Returns whether any lease had expired.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, (until, _)| now < *until);
        self.remove_unleased();
        self.leases.len() != before
    }

    /// Returns when the next lease expires; `None` without leases.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|(until, _)| *until).min()
    }

    fn remove_unleased(&mut self) {
        let unleased: Vec<Box<str>> = self
            .items
            .values()
            .filter(|item| {
                item.lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease.0))
            })
            .map(|item| item.key.clone())
            .collect();
        for key in unleased {
            let revision = self.step();
            self.remove(&key, revision);
        }
    }
}
