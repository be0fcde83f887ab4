//! What an entry does when the service has an older head than the one in force.
//!
//! A head that is in force here was accepted, so an older one in the service shows that it was restored from a copy. If
//! the head in force follows from the stored one, it is offered to the service again: that brings back what was lost and
//! undoes nothing. Otherwise somebody has edited the older one meanwhile, or so many edits lie between that nobody can tell.
//! Then this entry keeps what is in force, takes no proof from the service, and leaves it to the operators.

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

/// A time in which the service can't have been restored without this entry's notice: it had contact without a break, and
/// its lease lived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Era {
    losses: u64,
    generation: u64,
}

impl Era {
    pub(super) fn of<S: Store, C: Clock>(session: &Session<S, C>) -> Self {
        Self {
            losses: session.contact().losses,
            generation: session.inner.generation(),
        }
    }
}

/// What became of a read of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reading {
    /// The head in force here is the stored one.
    Taken,
    /// The stored head changed in between.
    Overtaken,
    /// The stored head is not taken over, and proves nothing.
    Refused,
}

impl<S: Store, C: Clock> Follower<S, C> {
    /// Whether the head was read whole in this era.
    pub(super) fn is_checked(&self, era: Era) -> bool {
        *lock(&self.inner.checked) == Some(era)
    }

    pub(super) fn forget_check(&self) {
        *lock(&self.inner.checked) = None;
    }

    /// Reads the head, whatever its version is. If there is none and none is known, waits for one.
    pub(super) async fn read_whole(
        &self,
        era: Era,
        sent: Instant,
        wait: Duration,
    ) -> Result<Reading, StoreError> {
        let session = &self.inner.session;
        let key = keys::catalogue_head();
        let mut found = session.get(&key).await?;
        if found.is_none() && self.revision() == Revision::ZERO {
            found = session.watch(&key, StoreVersion::ZERO, wait).await?;
            if found.is_none() {
                return Ok(Reading::Taken);
            }
        }
        let reading = match found {
            Some(found) => self.take_over(&found, sent).await?,
            None => self.offer_again(&Head::empty(), Expect::Absent).await?,
        };
        if reading == Reading::Taken {
            *lock(&self.inner.checked) = Some(era);
        }
        Ok(reading)
    }

    /// Takes over what was read of the service by a call that was sent at `sent`.
    pub(super) async fn take_over(
        &self,
        found: &Versioned,
        sent: Instant,
    ) -> Result<Reading, StoreError> {
        let taken = match Head::decode(&found.value) {
            Ok(stored) => match stored.revision().cmp(&self.revision()) {
                Ordering::Less => {
                    let at = Expect::Version(found.version);
                    return self.offer_again(&stored, at).await;
                }
                Ordering::Equal => self.compare(&stored, found.version),
                Ordering::Greater => self.adopt_head(&stored, &found.value, found.version),
            },
            Err(cause) => Err(HeadError::Document(cause)),
        };
        match taken {
            Ok(revision) => {
                self.prove(sent, revision);
                Ok(Reading::Taken)
            }
            // Without a proof this entry refuses keyed work rather than serve by an older catalogue.
            Err(error) => {
                error!(target: part::CATALOGUE, "{error}.");
                Ok(Reading::Refused)
            }
        }
    }

    /// Notes the version of the revision in force, if the stored head is the same.
    fn compare(&self, stored: &Head, version: StoreVersion) -> Result<Revision, HeadError> {
        let revision = stored.revision();
        let is_same = stored.newest() == lock(&self.inner.newest).as_ref();
        if !is_same {
            return Err(HeadError::Departs(revision, revision));
        }
        self.note_version(revision, version);
        Ok(revision)
    }

    /// Refuses an edit of a head that lacks edits in force here.
    pub(super) fn check_stored(&self, stored: &Head) -> Result<(), EditRefusal> {
        let newest = lock(&self.inner.newest);
        let known = newest
            .as_ref()
            .map_or(Revision::ZERO, |newest| newest.revision);
        match stored.descent(newest.as_ref()) {
            Descent::Departs => Err(EditRefusal::Restored(stored.revision(), known)),
            Descent::Follows | Descent::Unknown => Ok(()),
        }
    }

    /// Puts the head in force in the place of an older one, if it follows from that.
    async fn offer_again(&self, stored: &Head, at: Expect) -> Result<Reading, StoreError> {
        let known = self.inner.head.borrow().clone();
        let Some(known) = known.filter(|known| known.revision() > stored.revision()) else {
            return Ok(Reading::Overtaken);
        };
        if !follows(&known, stored) {
            error!(
                target: part::CATALOGUE,
                "{}.", HeadError::Departs(stored.revision(), known.revision())
            );
            return Ok(Reading::Refused);
        }
        let session = &self.inner.session;
        let sent = session.now();
        let key = keys::catalogue_head();
        // A conflict shows that another entry was faster, or that the read was overtaken by an edit.
        match session.swap(&key, at, known.bytes.clone(), None).await {
            Ok(version) => {
                warn!(
                    target: part::CATALOGUE,
                    "The service was restored from an older copy: revision {} put in place of {}.",
                    known.revision(), stored.revision()
                );
                self.note_version(known.revision(), version);
                self.prove(sent, known.revision());
                Ok(Reading::Taken)
            }
            Err(StoreError::Conflict) => Ok(Reading::Overtaken),
            Err(error) => Err(error),
        }
    }
}

fn follows(known: &HeadCopy, stored: &Head) -> bool {
    let head = Head::decode(&known.bytes);
    head.is_ok_and(|head| head.descent(stored.newest()) == Descent::Follows)
}
