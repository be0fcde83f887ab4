//! Handles a stored head that is older than the one in force.
//!
//! The head in force was accepted, so an older one in the service shows that it was restored from a copy. If the head
//! in force descends from the stored one, this entry writes it back, which restores the lost edits and undoes none.
//! Otherwise the older head was edited after the restore, or more edits lie between the two than the history records.
//! Then this entry keeps the head in force and takes no proof from the service until operators resolve the conflict.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{Descent, EditRefusal, Head};
use goldcrest_ports::store::{Expect, Store, StoreError, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::{Revision, StoreVersion};
use log::{error, warn};

use super::{Follower, HeadCopy, HeadError, lock};
use crate::keys;
use crate::part;
use crate::session::Session;

/// A period in which the service can't have been restored unnoticed: contact was not lost and the lease did not expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ContactPeriod {
    losses: u64,
    generation: u64,
}

impl ContactPeriod {
    pub(super) fn of<S: Store, C: Clock>(session: &Session<S, C>) -> Self {
        Self {
            losses: session.contact().losses,
            generation: session.inner.generation(),
        }
    }
}

/// The result of a read of the stored head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reading {
    /// The head in force is the stored one, or neither exists.
    Current,
    /// Another write changed the head during the read, so it must be read again.
    Overtaken,
    /// The stored head was refused, so the read gives no proof.
    Refused,
}

impl<S: Store, C: Clock> Follower<S, C> {
    /// Whether the head was read whole in this period.
    pub(super) fn was_read_whole_in(&self, period: ContactPeriod) -> bool {
        *lock(&self.inner.whole_read_in) == Some(period)
    }

    pub(super) fn require_whole_read(&self) {
        *lock(&self.inner.whole_read_in) = None;
    }

    /// Reads the whole head, whatever its version. Waits up to `wait` if none is stored and none is in force.
    pub(super) async fn read_whole(
        &self,
        period: ContactPeriod,
        sent: Instant,
        wait: Duration,
    ) -> Result<Reading, StoreError> {
        let session = &self.inner.session;
        let key = keys::catalogue_head();
        let mut found = session.get(&key).await?;
        if found.is_none() && self.revision() == Revision::ZERO {
            found = session.watch(&key, StoreVersion::ZERO, wait).await?;
            if found.is_none() {
                return Ok(Reading::Current);
            }
        }
        let reading = match found {
            Some(found) => self.apply_stored(&found, sent).await?,
            None => self.write_back(&Head::empty(), Expect::Absent).await?,
        };
        if reading == Reading::Current {
            *lock(&self.inner.whole_read_in) = Some(period);
        }
        Ok(reading)
    }

    /// Compares a head that the service returned to a call sent at `sent` with the one in force: adopts a later one and
    /// writes the one in force back over an earlier one.
    pub(super) async fn apply_stored(
        &self,
        found: &Versioned,
        sent: Instant,
    ) -> Result<Reading, StoreError> {
        let adopted = match Head::decode(&found.value) {
            Ok(stored) => match stored.revision().cmp(&self.revision()) {
                Ordering::Less => {
                    let at = Expect::Version(found.version);
                    return self.write_back(&stored, at).await;
                }
                Ordering::Equal => self.confirm(&stored, found.version),
                Ordering::Greater => self.adopt_head(&stored, &found.value, found.version),
            },
            Err(cause) => Err(HeadError::Document(cause)),
        };
        match adopted {
            Ok(revision) => {
                self.record_proof(sent, revision);
                Ok(Reading::Current)
            }
            // Without a proof this entry refuses keyed work rather than serve it by an outdated catalogue.
            Err(error) => {
                error!(target: part::CATALOGUE, "Stored catalogue head refused: {error}.");
                Ok(Reading::Refused)
            }
        }
    }

    /// Records the version of a stored head whose revision is the one in force. Fails if its last edit is another one.
    fn confirm(&self, stored: &Head, version: StoreVersion) -> Result<Revision, HeadError> {
        let revision = stored.revision();
        let is_same = stored.newest() == lock(&self.inner.newest).as_ref();
        if !is_same {
            return Err(HeadError::Diverges(revision, revision));
        }
        self.record_version(revision, version);
        Ok(revision)
    }

    /// Refuses an edit of a head that lacks edits in force here.
    pub(super) fn check_stored(&self, stored: &Head) -> Result<(), EditRefusal> {
        let newest = lock(&self.inner.newest);
        let known = newest
            .as_ref()
            .map_or(Revision::ZERO, |newest| newest.revision);
        match stored.descent(newest.as_ref()) {
            Descent::Diverges => Err(EditRefusal::Restored(stored.revision(), known)),
            Descent::Follows | Descent::Unknown => Ok(()),
        }
    }

    /// Replaces the older stored head with the one in force, if that descends from it.
    async fn write_back(&self, stored: &Head, at: Expect) -> Result<Reading, StoreError> {
        let known = self.inner.head.borrow().clone();
        let Some(known) = known.filter(|known| known.revision() > stored.revision()) else {
            return Ok(Reading::Overtaken);
        };
        if !descends(&known, stored) {
            error!(
                target: part::CATALOGUE,
                "Stored catalogue head refused: {}.", HeadError::Diverges(stored.revision(), known.revision())
            );
            return Ok(Reading::Refused);
        }
        let session = &self.inner.session;
        let sent = session.now();
        let key = keys::catalogue_head();
        // On a conflict another entry wrote the head back first, or the head was edited after it was read.
        match session.swap(&key, at, known.bytes.clone(), None).await {
            Ok(version) => {
                warn!(
                    target: part::CATALOGUE,
                    "The service was restored from an older copy: revision {} put in place of {}.",
                    known.revision(), stored.revision()
                );
                self.record_version(known.revision(), version);
                self.record_proof(sent, known.revision());
                Ok(Reading::Current)
            }
            Err(StoreError::Conflict) => Ok(Reading::Overtaken),
            Err(error) => Err(error),
        }
    }
}

fn descends(known: &HeadCopy, stored: &Head) -> bool {
    let head = Head::decode(&known.bytes);
    head.is_ok_and(|head| head.descent(stored.newest()) == Descent::Follows)
}
