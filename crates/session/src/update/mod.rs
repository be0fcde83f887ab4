//! Changing a document by read-modify-swap.
//!
//! Every edit has an id that is stored with the document. When the answer to a swap is lost, the document is read
//! back: it holds the edit, or it has moved on without it, or it still stands at the version on which the edit was
//! based. In the last case the lost swap may still arrive, so the very same bytes are sent once more: both swaps name
//! one version, so at most one of them takes effect. A document with fields of a newer version is not changed, since this
//! one would lose them. A change is computed anew only once an earlier one can no
//! longer take effect.

use std::time::Instant;

use bytes::Bytes;
use goldcrest_ledger::{Document, DocumentError, Outcome};
use goldcrest_ports::store::{Expect, Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::EditId;
use goldcrest_types::units::StoreVersion;
use quick_error::quick_error;

use crate::session::Session;

/// How an update ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Updated<T, R> {
    /// The edit is in the document.
    Applied {
        /// What the change returned.
        value: T,
        /// The version that the edit made; none if its answer was lost, since later edits may have come on top.
        version: Option<StoreVersion>,
    },
    /// The edit had been in the document before this update began.
    AppliedEarlier,
    /// The change was refused; the document is as it was.
    Refused(R),
}

quick_error! {
    /// Why it is not certain that an edit is in the document.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UpdateError {
        /// The edit is not in the document.
        NotApplied(cause: StoreError) {
            display("the edit was not applied: {cause}")
            source(cause)
        }
        /// The edit may or may not be in the document.
        Unresolved(edit: EditId) {
            display("the edit {edit} may or may not have been applied: send it again with the same id once the key-value service answers")
        }
        /// The document can't be read or written.
        Document(cause: DocumentError) {
            display("the edit was not applied: {cause}")
            source(cause)
        }
    }
}

/// A swap that was sent and whose effect is not known yet.
struct Pending<T> {
    base: Expect,
    base_total: u64,
    bytes: Bytes,
    value: T,
}

/// What the document says about a pending swap.
enum ReadBack<T> {
    Applied(T),
    Resend(Pending<T>),
    Dead,
    Unknown,
}

/// What one try came to.
enum Try<T, R> {
    Done(Updated<T, R>),
    Again(Option<Pending<T>>, StoreError),
    Failed(UpdateError),
}

impl<S: Store, C: Clock> Session<S, C> {
    /// Reads the document under `key`, or its empty form, with the version to expect in a swap.
    ///
    /// # Errors
    ///
    /// Why the document can't be had.
    pub async fn read<D: Document>(&self, key: &StoreKey) -> Result<(D, Expect), UpdateError> {
        let found = self.get(key).await.map_err(UpdateError::NotApplied)?;
        decode(found.as_ref()).map_err(UpdateError::Document)
    }

    /// Applies `change` to the document under `key` as edit `edit`, once, however many answers are lost.
    ///
    /// `change` records the edit in the document, and may be called several times, each time on a fresh copy. If it
    /// leaves the document as it was, nothing is written.
    ///
    /// # Errors
    ///
    /// Why it is not certain that the edit is in the document.
    pub async fn update<D, T, R, F>(
        &self,
        key: &StoreKey,
        edit: EditId,
        change: F,
    ) -> Result<Updated<T, R>, UpdateError>
    where
        D: Document,
        F: FnMut(&mut D) -> Result<T, R>,
    {
        self.update_from(key, edit, None, change).await
    }

    /// The same, with the document as it was read last, which spares a read if it has not changed since.
    ///
    /// # Errors
    ///
    /// Why it is not certain that the edit is in the document.
    pub async fn update_from<D, T, R, F>(
        &self,
        key: &StoreKey,
        edit: EditId,
        mut known: Option<Versioned>,
        mut change: F,
    ) -> Result<Updated<T, R>, UpdateError>
    where
        D: Document,
        F: FnMut(&mut D) -> Result<T, R>,
    {
        let end = self.now() + self.cfg().retry.budget;
        let mut pending = None;
        let mut tries = 0;
        loop {
            match self
                .try_update(key, edit, pending.take(), known.take(), &mut change)
                .await
            {
                Try::Done(updated) => return Ok(updated),
                Try::Failed(error) => return Err(error),
                Try::Again(left, cause) => {
                    if !self.wait_to_retry(tries, end).await {
                        return Err(give_up(edit, left.is_some(), cause));
                    }
                    pending = left;
                }
            }
            tries += 1;
        }
    }

    async fn try_update<D, T, R, F>(
        &self,
        key: &StoreKey,
        edit: EditId,
        pending: Option<Pending<T>>,
        known: Option<Versioned>,
        change: &mut F,
    ) -> Try<T, R>
    where
        D: Document,
        F: FnMut(&mut D) -> Result<T, R>,
    {
        let found = match known {
            Some(known) => Some(known),
            None => match self.get(key).await {
                Ok(found) => found,
                Err(cause) => return Try::Again(pending, cause),
            },
        };
        let (mut doc, base) = match decode::<D>(found.as_ref()) {
            Ok(decoded) => decoded,
            Err(cause) => return Try::Failed(undecided(edit, pending.is_some(), cause)),
        };
        let next = match pending.map(|pending| read_back(&doc, base, edit, pending)) {
            Some(ReadBack::Applied(value)) => return Try::Done(applied(value)),
            Some(ReadBack::Unknown) => return Try::Failed(UpdateError::Unresolved(edit)),
            Some(ReadBack::Resend(pending)) => pending,
            Some(ReadBack::Dead) | None => {
                if doc.has_edit(edit) {
                    return Try::Done(Updated::AppliedEarlier);
                }
                if let Some(found) = &found
                    && let Err(cause) = self.check_writable(key, &doc, found)
                {
                    return Try::Failed(UpdateError::Document(cause));
                }
                let base_total = doc.recent().total();
                let value = match change(&mut doc) {
                    Ok(value) => value,
                    Err(refusal) => return Try::Done(Updated::Refused(refusal)),
                };
                let bytes = match doc.encode() {
                    Ok(bytes) => Bytes::from(bytes),
                    Err(cause) => return Try::Failed(UpdateError::Document(cause)),
                };
                if found.is_some_and(|found| found.value == bytes) {
                    return Try::Done(applied(value));
                }
                Pending {
                    base,
                    base_total,
                    bytes,
                    value,
                }
            }
        };
        self.send(key, next).await
    }

    /// Refuses to change a document of which this version would lose a field.
    fn check_writable<D: Document>(
        &self,
        key: &StoreKey,
        doc: &D,
        found: &Versioned,
    ) -> Result<(), DocumentError> {
        if self.is_writable(key, found.version) {
            return Ok(());
        }
        if let Some(field) = doc.lost_field(&found.value) {
            return Err(DocumentError::Newer(field));
        }
        self.note_writable(key, found.version);
        Ok(())
    }

    async fn send<T, R>(&self, key: &StoreKey, pending: Pending<T>) -> Try<T, R> {
        let bytes = pending.bytes.clone();
        match self.swap(key, pending.base, bytes, None).await {
            Ok(version) => {
                self.note_writable(key, version);
                Try::Done(Updated::Applied {
                    value: pending.value,
                    version: Some(version),
                })
            }
            // A conflict may come from an earlier sending of these very bytes, so the swap stays pending.
            Err(cause) => Try::Again(Some(pending), cause),
        }
    }

    /// Waits before another try. False when the budget of time would be passed.
    async fn wait_to_retry(&self, tries: u32, end: Instant) -> bool {
        let wait = self.backoff(tries);
        if self.now() + wait >= end {
            return false;
        }
        tokio::time::sleep(wait).await;
        true
    }
}

fn decode<D: Document>(found: Option<&Versioned>) -> Result<(D, Expect), DocumentError> {
    match found {
        Some(found) => Ok((D::decode(&found.value)?, Expect::Version(found.version))),
        None => Ok((D::empty(), Expect::Absent)),
    }
}

fn read_back<D: Document, T>(
    doc: &D,
    now_at: Expect,
    edit: EditId,
    pending: Pending<T>,
) -> ReadBack<T> {
    match doc.recent().outcome(edit, pending.base_total) {
        Outcome::Applied => ReadBack::Applied(pending.value),
        Outcome::Unknown => ReadBack::Unknown,
        Outcome::NotApplied if now_at == pending.base => ReadBack::Resend(pending),
        // A document that vanished has taken its record of edits with it.
        Outcome::NotApplied if now_at == Expect::Absent => ReadBack::Unknown,
        Outcome::NotApplied => ReadBack::Dead,
    }
}

fn applied<T, R>(value: T) -> Updated<T, R> {
    Updated::Applied {
        value,
        version: None,
    }
}

fn give_up(edit: EditId, is_pending: bool, cause: StoreError) -> UpdateError {
    if is_pending {
        UpdateError::Unresolved(edit)
    } else {
        UpdateError::NotApplied(cause)
    }
}

fn undecided(edit: EditId, is_pending: bool, cause: DocumentError) -> UpdateError {
    if is_pending {
        UpdateError::Unresolved(edit)
    } else {
        UpdateError::Document(cause)
    }
}
