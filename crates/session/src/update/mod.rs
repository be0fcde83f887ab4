//! Edits of a document by read-modify-swap, each applied at most once.
//!
//! Every edit has an id that is stored with the document. When the answer to a swap is lost, the document is read back.
//! It either holds the edit, or has a later version without it, or is still at the version on which the edit was based.
//! In the last case the lost swap may still arrive, so the same bytes are sent again: both swaps expect the same
//! version, so at most one of them takes effect. A change is computed anew only when an earlier swap can no longer take
//! effect. A document with fields that only a newer version of the software knows is not changed, since writing it back
//! would lose them.

use std::time::Instant;

use bytes::Bytes;
use goldcrest_ledger::{Document, DocumentError, Outcome};
use goldcrest_ports::store::{Expect, Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::EditId;
use goldcrest_types::units::StoreVersion;
use quick_error::quick_error;

use crate::session::Session;

/// The result of an update whose outcome is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Updated<T, R> {
    /// The edit is in the document.
    Applied {
        /// The value that the change returned.
        value: T,
        /// The version that the edit created. `None` if the answer was lost, since later edits may have followed, or if
        /// nothing had to be written.
        version: Option<StoreVersion>,
    },
    /// The document already held the edit, so an earlier update with the same id had applied it.
    AppliedEarlier,
    /// The change returned a refusal; the document is unchanged.
    Refused(R),
}

quick_error! {
    /// An update failed, so the edit may not be in the document.
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
        /// The document can't be decoded, encoded or written back without loss. The edit is not in it.
        Document(cause: DocumentError) {
            display("the edit was not applied: {cause}")
            source(cause)
        }
    }
}

/// A swap that is about to be sent, or was sent with an unknown outcome.
struct Pending<T> {
    base: Expect,
    /// The number of edits that the base document had seen.
    base_total: u64,
    bytes: Bytes,
    value: T,
}

/// The outcome of a pending swap by the document that was read back.
enum ReadBack<T> {
    Applied(T),
    /// The document is still at the base version: the swap may take effect, and is sent again.
    Resend(Pending<T>),
    /// The document has a later version without the edit, so the swap can no longer take effect.
    Superseded,
    /// The edit may have been applied and its id forgotten, or the document was removed.
    Unknown,
}

/// The result of one attempt.
enum Attempt<T, R> {
    Done(Updated<T, R>),
    Retry(Option<Pending<T>>, StoreError),
    Failed(UpdateError),
}

impl<S: Store, C: Clock> Session<S, C> {
    /// Reads the document under `key`, or its empty form, with the version to expect in a swap.
    ///
    /// # Errors
    ///
    /// [`UpdateError::NotApplied`] if the service did not answer, [`UpdateError::Document`] if the document can't be
    /// decoded.
    pub async fn read<D: Document>(&self, key: &StoreKey) -> Result<(D, Expect), UpdateError> {
        let found = self.get(key).await.map_err(UpdateError::NotApplied)?;
        decode(found.as_ref()).map_err(UpdateError::Document)
    }

    /// Applies `change` to the document under `key` as edit `edit`, at most once, however many answers are lost.
    ///
    /// `change` must record the edit in the document. It may be called several times, each time on a fresh copy. If it
    /// leaves the document unchanged, nothing is written.
    ///
    /// # Errors
    ///
    /// Fails if the edit was not applied, or with [`UpdateError::Unresolved`] if it may have been.
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

    /// Does the same as [`Session::update`], with `known` as the document for the first attempt. This saves a read if
    /// the document has not changed since.
    ///
    /// # Errors
    ///
    /// Fails if the edit was not applied, or with [`UpdateError::Unresolved`] if it may have been.
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
                Attempt::Done(updated) => return Ok(updated),
                Attempt::Failed(error) => return Err(error),
                Attempt::Retry(pending_swap, cause) => {
                    if !self.wait_to_retry(tries, end).await {
                        return Err(budget_exceeded(edit, pending_swap.is_some(), cause));
                    }
                    pending = pending_swap;
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
    ) -> Attempt<T, R>
    where
        D: Document,
        F: FnMut(&mut D) -> Result<T, R>,
    {
        let found = match known {
            Some(known) => Some(known),
            None => match self.get(key).await {
                Ok(found) => found,
                Err(cause) => return Attempt::Retry(pending, cause),
            },
        };
        let (mut doc, base) = match decode::<D>(found.as_ref()) {
            Ok(decoded) => decoded,
            Err(cause) => return Attempt::Failed(document_error(edit, pending.is_some(), cause)),
        };
        let next = match pending.map(|pending| read_back(&doc, base, edit, pending)) {
            Some(ReadBack::Applied(value)) => return Attempt::Done(applied(value)),
            Some(ReadBack::Unknown) => return Attempt::Failed(UpdateError::Unresolved(edit)),
            Some(ReadBack::Resend(pending)) => pending,
            Some(ReadBack::Superseded) | None => {
                if doc.has_edit(edit) {
                    return Attempt::Done(Updated::AppliedEarlier);
                }
                if let Some(found) = &found
                    && let Err(cause) = self.check_writable(key, &doc, found)
                {
                    return Attempt::Failed(UpdateError::Document(cause));
                }
                let base_total = doc.recent().total();
                let value = match change(&mut doc) {
                    Ok(value) => value,
                    Err(refusal) => return Attempt::Done(Updated::Refused(refusal)),
                };
                let bytes = match doc.encode() {
                    Ok(bytes) => Bytes::from(bytes),
                    Err(cause) => return Attempt::Failed(UpdateError::Document(cause)),
                };
                if found.is_some_and(|found| found.value == bytes) {
                    return Attempt::Done(applied(value));
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

    /// Fails if writing the document back would lose a field that this version of the software does not know.
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
        self.mark_writable(key, found.version);
        Ok(())
    }

    async fn send<T, R>(&self, key: &StoreKey, pending: Pending<T>) -> Attempt<T, R> {
        let bytes = pending.bytes.clone();
        match self.swap(key, pending.base, bytes, None).await {
            Ok(version) => {
                self.mark_writable(key, version);
                Attempt::Done(Updated::Applied {
                    value: pending.value,
                    version: Some(version),
                })
            }
            // A conflict may come from an earlier send of the same bytes, so the swap stays pending.
            Err(cause) => Attempt::Retry(Some(pending), cause),
        }
    }

    /// Waits before another attempt. Returns false without waiting if the time budget would be exceeded.
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
    found_at: Expect,
    edit: EditId,
    pending: Pending<T>,
) -> ReadBack<T> {
    match doc.recent().outcome(edit, pending.base_total) {
        Outcome::Applied => ReadBack::Applied(pending.value),
        Outcome::Unknown => ReadBack::Unknown,
        Outcome::NotApplied if found_at == pending.base => ReadBack::Resend(pending),
        // The record of edits was removed with the document.
        Outcome::NotApplied if found_at == Expect::Absent => ReadBack::Unknown,
        Outcome::NotApplied => ReadBack::Superseded,
    }
}

fn applied<T, R>(value: T) -> Updated<T, R> {
    Updated::Applied {
        value,
        version: None,
    }
}

fn budget_exceeded(edit: EditId, is_pending: bool, cause: StoreError) -> UpdateError {
    if is_pending {
        UpdateError::Unresolved(edit)
    } else {
        UpdateError::NotApplied(cause)
    }
}

fn document_error(edit: EditId, is_pending: bool, cause: DocumentError) -> UpdateError {
    if is_pending {
        UpdateError::Unresolved(edit)
    } else {
        UpdateError::Document(cause)
    }
}
