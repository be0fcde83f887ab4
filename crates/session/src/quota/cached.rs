//! A document that is read again only when it has changed.

use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ports::store::{Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::StoreVersion;

use crate::session::Session;
use crate::update::UpdateError;

/// The last known state of a document.
#[derive(Debug, Clone)]
pub struct Cached<D> {
    key: StoreKey,
    doc: D,
    version: StoreVersion,
    read_at: Option<Instant>,
}

impl<D: Document> Cached<D> {
    /// The document under `key`, not read yet.
    #[must_use]
    pub fn new(key: StoreKey) -> Self {
        Self {
            key,
            doc: D::empty(),
            version: StoreVersion::ZERO,
            read_at: None,
        }
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> &StoreKey {
        &self.key
    }

    /// The document as it was read last.
    #[must_use]
    pub fn doc(&self) -> &D {
        &self.doc
    }

    /// When the call was sent by which the document is known.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// The stored form of what is known, as the base of an edit; none if it is not known.
    #[must_use]
    pub fn base(&self) -> Option<Versioned> {
        self.read_at?;
        if self.version == StoreVersion::ZERO {
            return None;
        }
        Some(Versioned {
            version: self.version,
            value: self.doc.encode().ok()?.into(),
        })
    }

    /// Makes the next [`Cached::refresh`] read, whatever the age.
    pub fn expire(&mut self) {
        self.read_at = None;
    }

    /// Takes over what this entry itself has written as `version`; without one the document is read again.
    pub fn put(&mut self, doc: D, version: Option<StoreVersion>, at: Instant) {
        match version {
            Some(version) if version > self.version => {
                self.doc = doc;
                self.version = version;
                self.read_at = Some(at);
            }
            Some(_) | None => self.expire(),
        }
    }

    /// Reads the document if what is known is older than `age_max`. Nothing but its newness is read while it has not
    /// changed.
    ///
    /// # Errors
    ///
    /// Why it can't be read.
    pub async fn refresh<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        age_max: Duration,
    ) -> Result<(), UpdateError> {
        let sent = session.now();
        let is_young = |at: Instant| sent.saturating_duration_since(at) < age_max;
        if self.read_at.is_some_and(is_young) {
            return Ok(());
        }
        let read = self.read(session).await;
        let found = read.map_err(UpdateError::NotApplied)?;
        if let Some(found) = found {
            self.doc = D::decode(&found.value).map_err(UpdateError::Document)?;
            self.version = found.version;
        }
        self.read_at = Some(sent);
        Ok(())
    }

    async fn read<S: Store, C: Clock>(
        &self,
        session: &Session<S, C>,
    ) -> Result<Option<Versioned>, StoreError> {
        if self.version == StoreVersion::ZERO {
            session.get(&self.key).await
        } else {
            session.watch(&self.key, self.version, Duration::ZERO).await
        }
    }
}
