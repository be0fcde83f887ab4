//! A copy of a stored document that is fetched again only when its version has changed.

use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ports::store::{Store, StoreError, StoreKey, Versioned};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::StoreVersion;

use crate::session::Session;
use crate::update::UpdateError;

/// The last known state of a document, with its version in the key-value service.
#[derive(Debug, Clone)]
pub struct Cached<D> {
    key: StoreKey,
    doc: D,
    version: StoreVersion,
    read_at: Option<Instant>,
}

impl<D: Document> Cached<D> {
    /// Creates the empty form of the document under `key`, not read yet.
    #[must_use]
    pub fn new(key: StoreKey) -> Self {
        Self {
            key,
            doc: D::empty(),
            version: StoreVersion::ZERO,
            read_at: None,
        }
    }

    /// Returns the key under which the document is stored.
    #[must_use]
    pub fn key(&self) -> &StoreKey {
        &self.key
    }

    /// Returns the document as it was last read or written, also after [`Cached::invalidate`].
    #[must_use]
    pub fn doc(&self) -> &D {
        &self.doc
    }

    /// Returns when the call was sent that last confirmed the document, or `None` if it must be read again.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the stored form as the base of an edit, or `None` if the document must be read again or is not stored.
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

    /// Makes the next [`Cached::refresh`] read the document, whatever the age.
    pub fn invalidate(&mut self) {
        self.read_at = None;
    }

    /// Stores the document that this entry has written itself as `version` by a call sent at `at`. Without a version
    /// above the known one the document is read again.
    pub fn put(&mut self, doc: D, version: Option<StoreVersion>, at: Instant) {
        match version {
            Some(version) if version > self.version => {
                self.doc = doc;
                self.version = version;
                self.read_at = Some(at);
            }
            Some(_) | None => self.invalidate(),
        }
    }

    /// Reads the document if the copy is `age_max` old or older. An unchanged document is not transferred: the call
    /// only asks for a version above the known one.
    ///
    /// # Errors
    ///
    /// Fails if the service did not answer or the document can't be decoded.
    pub async fn refresh<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        age_max: Duration,
    ) -> Result<(), UpdateError> {
        let sent = session.now();
        let is_recent = |at: Instant| sent.saturating_duration_since(at) < age_max;
        if self.read_at.is_some_and(is_recent) {
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
