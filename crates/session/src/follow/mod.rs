//! Follows the head of the catalogue, so that the revision in force at this entry is the stored one.
//!
//! The head is the document in the key-value service ("the service") that holds the latest revision of the catalogue
//! and its recent edits. A proof of freshness states that a revision was the accepted one at an instant. Keyed work is
//! admitted only while the latest proof is younger than `freshness::Bound::age_max`.
//!
//! One entry in each data centre, the watcher, keeps a watch open on the head; the others receive changes from it. An
//! entry whose latest proof of freshness is too old reads the head itself, and transfers it only if its version is
//! higher. The revision in force at an entry never decreases, whatever a peer or the service offers.
//!
//! The service may have been restored from an older copy whenever contact was lost, so the first read after that
//! fetches the whole head. `restored` describes how an older head is handled.

mod restored;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_ledger::catalogue::{Accepted, CatalogueEdit, Descent, EditRefusal, Head};
use goldcrest_ledger::freshness::Proof;
use goldcrest_ledger::{Document, DocumentError};
use goldcrest_ports::store::{Store, StoreError};
use goldcrest_types::catalogue::{Catalogue, Findings};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::{Revision, StoreVersion};
use log::{info, warn};
use quick_error::quick_error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::keys;
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

use restored::{ContactPeriod, Reading};

/// The wait after a read of a head that was refused, since each such read transfers the whole head.
const REFUSED_READ_INTERVAL: Duration = Duration::from_secs(10);

/// The intervals at which the head is watched and read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowConfig {
    /// The time for which one watch waits. A proof dates from the start of its watch and is recorded at the end, so the
    /// watcher's latest proof is up to twice this old when a watch fails. Every data centre then has to report that its
    /// entries lost contact, which is the next proof: `2 * watch_wait` plus the delay of these reports must be less
    /// than `freshness::Bound::age_max`.
    pub watch_wait: Duration,
    /// The age of the latest proof from which an entry reads the head itself.
    pub read_after: Duration,
    /// The interval between checks of that age, and the wait after a failed read.
    pub pause: Duration,
}

impl Default for FollowConfig {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(500),
            read_after: Duration::from_millis(2_500),
            pause: Duration::from_millis(500),
        }
    }
}

/// The revision of the catalogue in force at this entry, in stored and in resolved form.
#[derive(Debug, Clone)]
pub struct HeadCopy {
    /// The version of the head in the key-value service, or zero if it is not known yet.
    pub version: StoreVersion,
    /// The encoded head, as it is stored and sent to peers.
    pub bytes: Bytes,
    /// The resolved catalogue.
    pub catalogue: Arc<Catalogue>,
}

impl HeadCopy {
    /// Returns the revision of the catalogue.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalogue.revision()
    }
}

quick_error! {
    /// A head was refused, and the one in force stays.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The bytes do not decode as a head.
        Document(cause: DocumentError) {
            display("the stored catalogue can't be decoded: {cause}")
            source(cause)
        }
        /// The head lacks edits of the revision in force.
        Diverges(offered: Revision, known: Revision) {
            display("revision {offered} of the catalogue lacks edits of revision {known} in force here: see 'restored from an older copy' in docs/operations/outages.md")
        }
        /// The catalogue in the head is not valid for this version of the software.
        Invalid(findings: Findings) {
            display("the stored catalogue is not valid for this version of the software:\n{findings}apply a corrected catalogue")
        }
    }
}

#[derive(Debug, Default)]
struct Proofs {
    own: Option<Proof>,
    received: Option<Proof>,
}

struct Inner<S, C> {
    session: Session<S, C>,
    cfg: FollowConfig,
    head: watch::Sender<Option<HeadCopy>>,
    watcher: watch::Sender<bool>,
    proofs: Mutex<Proofs>,
    /// The last accepted edit of the head in force.
    newest: Mutex<Option<Accepted>>,
    /// The period of contact in which the head was last read whole, or `None` to require another such read.
    whole_read_in: Mutex<Option<ContactPeriod>>,
}

/// Follows the head of the catalogue. Clones share their state.
pub struct Follower<S, C> {
    inner: Arc<Inner<S, C>>,
}

impl<S, C> Clone for Follower<S, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<S: Store, C: Clock> Follower<S, C> {
    /// Creates a follower that has no catalogue yet and is not the watcher.
    #[must_use]
    pub fn new(session: Session<S, C>, cfg: FollowConfig) -> Self {
        let inner = Inner {
            session,
            cfg,
            head: watch::channel(None).0,
            watcher: watch::channel(false).0,
            proofs: Mutex::new(Proofs::default()),
            newest: Mutex::new(None),
            whole_read_in: Mutex::new(None),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns a receiver of the catalogue in force at this entry and its changes, `None` before the first one.
    #[must_use]
    pub fn head(&self) -> watch::Receiver<Option<HeadCopy>> {
        self.inner.head.subscribe()
    }

    /// Returns the revision in force at this entry, or zero before the first catalogue.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.inner.head.borrow();
        head.as_ref().map_or(Revision::ZERO, HeadCopy::revision)
    }

    /// Returns the proof from this entry's own last read of the head, or `None` before the first read.
    #[must_use]
    pub fn proof(&self) -> Option<Proof> {
        self.proofs().own
    }

    /// Returns a proof for the present time that no edit is accepted through this entry, or `None` while it has contact
    /// with the service. An acceptance needs a reply of the service, so none can have happened since contact was lost.
    #[must_use]
    pub fn no_contact(&self) -> Option<Proof> {
        self.inner.session.contact().lost_since?;
        Some(Proof {
            at: self.inner.session.now(),
            revision: self.revision(),
        })
    }

    /// Records the latest proof that peers reported. It is kept until a later one arrives.
    pub fn record_peer_proof(&self, proof: Option<Proof>) {
        let mut proofs = self.proofs();
        proofs.received = match (proofs.received, proof) {
            (Some(known), Some(new)) if known.at > new.at => Some(known),
            (known, new) => new.or(known),
        };
    }

    /// Sets whether this entry is the watcher of its data centre.
    pub fn set_watcher(&self, is_watcher: bool) {
        self.inner
            .watcher
            .send_if_modified(|watcher| std::mem::replace(watcher, is_watcher) != is_watcher);
    }

    /// Adopts a head received from a peer if its revision is above the one in force. Returns the revision in force
    /// afterwards.
    ///
    /// # Errors
    ///
    /// Fails if the head can't be decoded, lacks edits that are in force, or is not valid for this version of the
    /// software.
    pub fn adopt(&self, bytes: &Bytes, version: StoreVersion) -> Result<Revision, HeadError> {
        let head = Head::decode(bytes).map_err(HeadError::Document)?;
        let revision = self.adopt_head(&head, bytes, version)?;
        if head.revision() == revision {
            self.learn_version(revision, version);
        }
        Ok(revision)
    }

    fn adopt_head(
        &self,
        head: &Head,
        bytes: &Bytes,
        version: StoreVersion,
    ) -> Result<Revision, HeadError> {
        let revision = head.revision();
        // Held to the end, so that two heads adopted at the same time are compared with each other.
        let mut newest = lock(&self.inner.newest);
        let known = self.revision();
        if revision <= known {
            return Ok(known);
        }
        if head.descent(newest.as_ref()) == Descent::Diverges {
            return Err(HeadError::Diverges(revision, known));
        }
        let resolved = Catalogue::resolve(head.spec(), revision);
        let catalogue = Arc::new(resolved.map_err(HeadError::Invalid)?);
        let copy = HeadCopy {
            version,
            bytes: bytes.clone(),
            catalogue,
        };
        *newest = head.newest().cloned();
        self.inner.head.send_replace(Some(copy));
        info!(target: part::CATALOGUE, "Catalogue revision {revision} is now in force at this entry.");
        Ok(revision)
    }

    /// Records a peer's version of the revision in force, unless this entry knows the version already.
    fn learn_version(&self, revision: Revision, version: StoreVersion) {
        let known = self.inner.head.borrow().clone();
        if known.is_some_and(|known| known.version == StoreVersion::ZERO) {
            self.record_version(revision, version);
        }
    }

    /// Records the version of the stored head, if `revision` is the one in force. Subscribers are not notified.
    fn record_version(&self, revision: Revision, version: StoreVersion) {
        self.inner.head.send_if_modified(|known| {
            if let Some(known) = known
                && known.revision() == revision
            {
                known.version = version;
            }
            false
        });
    }

    /// Applies an operator's edit to the head. An accepted edit is in force at this entry when the call returns, so
    /// that no report of this entry can claim an earlier revision.
    ///
    /// # Errors
    ///
    /// Fails if the edit was not applied, or with [`UpdateError::Unresolved`] if it may have been.
    pub async fn edit(
        &self,
        edit: &CatalogueEdit,
    ) -> Result<Updated<Accepted, EditRefusal>, UpdateError> {
        match self.try_edit(edit).await? {
            Updated::Refused(EditRefusal::Restored(..)) => {
                // The stored head lacks edits in force here. Reading it whole writes the one in force back over it, if
                // that descends from it.
                self.require_whole_read();
                self.read(Duration::ZERO)
                    .await
                    .map_err(UpdateError::NotApplied)?;
                self.try_edit(edit).await
            }
            updated => Ok(updated),
        }
    }

    async fn try_edit(
        &self,
        edit: &CatalogueEdit,
    ) -> Result<Updated<Accepted, EditRefusal>, UpdateError> {
        let session = &self.inner.session;
        let mut next = None;
        let change = |head: &mut Head| {
            self.check_stored(head)?;
            let accepted = head.apply(edit)?;
            next = Some(head.clone());
            Ok(accepted)
        };
        let key = keys::catalogue_head();
        let updated = session.update(&key, edit.id, change).await?;
        match &updated {
            Updated::Applied { version, .. } => self.adopt_own(next, *version)?,
            Updated::AppliedEarlier => {
                let read = self.read(Duration::ZERO).await;
                if read != Ok(Reading::Current) {
                    return Err(UpdateError::Unresolved(edit.id));
                }
            }
            Updated::Refused(_) => {}
        }
        Ok(updated)
    }

    /// Adopts the head that this entry's own edit created, with its version if that is known.
    fn adopt_own(
        &self,
        head: Option<Head>,
        version: Option<StoreVersion>,
    ) -> Result<(), UpdateError> {
        let Some(head) = head else {
            return Ok(());
        };
        let bytes = Bytes::from(head.encode().map_err(UpdateError::Document)?);
        let version = version.unwrap_or(StoreVersion::ZERO);
        if let Err(error) = self.adopt_head(&head, &bytes, version) {
            warn!(target: part::CATALOGUE, "Edit was stored but can't be put in force at this entry: {error}.");
        }
        Ok(())
    }

    /// Follows the head until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let ended = stop.run_until_cancelled(self.follow()).await;
        debug_assert!(ended.is_none(), "following ends only by the token");
    }

    async fn follow(&self) {
        let mut watcher = self.inner.watcher.subscribe();
        let mut has_warned = false;
        loop {
            let is_watcher = *watcher.borrow_and_update();
            if !is_watcher && !self.is_read_due() {
                let pause = tokio::time::sleep(self.inner.cfg.pause);
                tokio::select! {
                    () = pause => {}
                    _ = watcher.changed() => {}
                }
                continue;
            }
            let wait = if is_watcher {
                self.inner.cfg.watch_wait
            } else {
                Duration::ZERO
            };
            match self.read(wait).await {
                Ok(Reading::Current) => has_warned = false,
                Ok(Reading::Overtaken) => tokio::time::sleep(self.inner.cfg.pause).await,
                Ok(Reading::Refused) => tokio::time::sleep(REFUSED_READ_INTERVAL).await,
                Err(error) => {
                    if !has_warned {
                        warn!(target: part::CATALOGUE, "Stored catalogue can't be read, will retry: {error}.");
                    }
                    has_warned = true;
                    tokio::time::sleep(self.inner.cfg.pause).await;
                }
            }
        }
    }

    /// Whether the latest proof is so old that this entry must read the head itself. A received proof of a revision
    /// above the one in force does not count.
    fn is_read_due(&self) -> bool {
        let proofs = self.proofs();
        let revision = self.revision();
        let received = proofs.received.filter(|proof| proof.revision <= revision);
        let latest = proofs
            .own
            .map(|own| own.at)
            .max(received.map(|received| received.at));
        let now = self.inner.session.now();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= self.inner.cfg.read_after;
        latest.is_none_or(is_old)
    }

    /// Waits up to `wait` for a head above the version in force, and adopts it. Reads the whole head instead if the
    /// service may have been restored since it was last read whole; that writes the head in force back over an older
    /// stored one.
    async fn read(&self, wait: Duration) -> Result<Reading, StoreError> {
        let session = &self.inner.session;
        let key = keys::catalogue_head();
        let known = self.inner.head.borrow().clone();
        let period = ContactPeriod::of(session);
        let sent = session.now();
        let Some(known) = known.filter(|_| self.was_read_whole_in(period)) else {
            return self.read_whole(period, sent, wait).await;
        };
        if let Some(found) = session.watch(&key, known.version, wait).await? {
            return self.apply_stored(&found, sent).await;
        }
        self.record_proof(sent, known.revision());
        Ok(Reading::Current)
    }

    fn record_proof(&self, at: Instant, revision: Revision) {
        let mut proofs = self.proofs();
        if proofs.own.is_none_or(|own| own.at < at) {
            proofs.own = Some(Proof { at, revision });
        }
    }

    fn proofs(&self) -> MutexGuard<'_, Proofs> {
        lock(&self.inner.proofs)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
