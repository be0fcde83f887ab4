//! Following the head of the catalogue.
//!
//! One entry in each data centre, the watcher, has a watch waiting on the head; the others hear of changes from it. An
//! entry whose youngest proof grows old reads the head itself, asking only whether there is a higher version. The
//! revision in force here never goes down, whoever offers another one.
//!
//! The service may have been restored from an older copy whenever contact was lost, so the first read after that asks for
//! the whole head; `restored` says what becomes of an older one.

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

use restored::{Era, Reading};

/// The time between reads of a head that is not taken over. Each of them moves the whole head.
const REFUSED_PAUSE: Duration = Duration::from_secs(10);

/// How the head is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowConfig {
    /// How long one watch waits. A proof counts from the start of its watch, so the watcher's is up to twice as old when the
    /// service goes, and the reports of an outage for all have to be there before it has run out.
    pub watch_wait: Duration,
    /// The age of the youngest proof at which an entry reads the head itself.
    pub read_after: Duration,
    /// The time between looks at that age, and between reads that fail.
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

/// A revision of the catalogue as this entry has it.
#[derive(Debug, Clone)]
pub struct HeadCopy {
    /// The version under which the key-value service has it, or zero if that is not known yet.
    pub version: StoreVersion,
    /// The stored bytes, for peers.
    pub bytes: Bytes,
    /// The catalogue, with its revision.
    pub catalogue: Arc<Catalogue>,
}

impl HeadCopy {
    /// The revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalogue.revision()
    }
}

quick_error! {
    /// Why a head was not taken over. The one in force stays.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The bytes are no head.
        Document(cause: DocumentError) {
            display("the catalogue's head can't be read: {cause}")
            source(cause)
        }
        /// It lacks edits that are in force.
        Departs(offered: Revision, known: Revision) {
            display("revision {offered} of the catalogue lacks edits of revision {known} in force here: see 'restored from an older copy' in docs/operations/outages.md")
        }
        /// The catalogue in it is not valid for this version.
        Invalid(findings: Findings) {
            display("the stored catalogue is not valid here:\n{findings}apply a corrected catalogue")
        }
    }
}

#[derive(Debug, Default)]
struct Proofs {
    own: Option<Proof>,
    heard: Option<Proof>,
}

struct Inner<S, C> {
    session: Session<S, C>,
    cfg: FollowConfig,
    head: watch::Sender<Option<HeadCopy>>,
    watcher: watch::Sender<bool>,
    proofs: Mutex<Proofs>,
    newest: Mutex<Option<Accepted>>,
    checked: Mutex<Option<Era>>,
}

/// Follows the head of the catalogue. It is cheap to clone.
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
    /// A follower that knows no catalogue yet and is no watcher.
    #[must_use]
    pub fn new(session: Session<S, C>, cfg: FollowConfig) -> Self {
        let inner = Inner {
            session,
            cfg,
            head: watch::channel(None).0,
            watcher: watch::channel(false).0,
            proofs: Mutex::new(Proofs::default()),
            newest: Mutex::new(None),
            checked: Mutex::new(None),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The catalogue in force here, and every change of it.
    #[must_use]
    pub fn head(&self) -> watch::Receiver<Option<HeadCopy>> {
        self.inner.head.subscribe()
    }

    /// The revision in force here. Zero stands for no catalogue yet.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.inner.head.borrow();
        head.as_ref().map_or(Revision::ZERO, HeadCopy::revision)
    }

    /// This entry's own last read of the head.
    #[must_use]
    pub fn proof(&self) -> Option<Proof> {
        self.proofs().own
    }

    /// That nothing was accepted through this entry up to now since it lost contact with the service; none if it has
    /// contact. An acceptance needs an answer, and there has been none.
    #[must_use]
    pub fn no_contact(&self) -> Option<Proof> {
        self.inner.session.contact().lost_since?;
        Some(Proof {
            at: self.inner.session.now(),
            revision: self.revision(),
        })
    }

    /// Notes the freshest read that a peer has told of.
    pub fn hear(&self, proof: Option<Proof>) {
        let mut proofs = self.proofs();
        proofs.heard = match (proofs.heard, proof) {
            (Some(known), Some(new)) if known.at > new.at => Some(known),
            (known, new) => new.or(known),
        };
    }

    /// Makes this entry the watcher of its data centre, or no longer.
    pub fn set_watcher(&self, is_watcher: bool) {
        self.inner
            .watcher
            .send_if_modified(|watcher| std::mem::replace(watcher, is_watcher) != is_watcher);
    }

    /// Takes over a head that a peer sent, unless it is not above the one in force. Returns the revision in force then.
    ///
    /// # Errors
    ///
    /// The head can't be read, lacks edits that are in force, or is not valid here.
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
        // Held to the end, so that of two heads that are taken over at one time each is compared with the other.
        let mut newest = lock(&self.inner.newest);
        let known = self.revision();
        if revision <= known {
            return Ok(known);
        }
        if head.descent(newest.as_ref()) == Descent::Departs {
            return Err(HeadError::Departs(revision, known));
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
        info!(target: part::CATALOGUE, "Revision {revision} in force here.");
        Ok(revision)
    }

    /// Takes the version of the revision in force from a peer, unless this entry has read it itself.
    fn learn_version(&self, revision: Revision, version: StoreVersion) {
        let known = self.inner.head.borrow().clone();
        if known.is_some_and(|known| known.version == StoreVersion::ZERO) {
            self.note_version(revision, version);
        }
    }

    /// Notes the version under which the service has the revision in force.
    fn note_version(&self, revision: Revision, version: StoreVersion) {
        self.inner.head.send_if_modified(|known| {
            if let Some(known) = known
                && known.revision() == revision
            {
                known.version = version;
            }
            false
        });
    }

    /// Applies an operator's edit to the head. When it returns, an accepted edit is in force here, so that no report of
    /// this entry can claim an earlier revision.
    ///
    /// # Errors
    ///
    /// Why it is not certain that the edit was accepted.
    pub async fn edit(
        &self,
        edit: &CatalogueEdit,
    ) -> Result<Updated<Accepted, EditRefusal>, UpdateError> {
        match self.try_edit(edit).await? {
            Updated::Refused(EditRefusal::Restored(..)) => {
                // The whole read offers the head in force again, if it can.
                self.forget_check();
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
                if read != Ok(Reading::Taken) {
                    return Err(UpdateError::Unresolved(edit.id));
                }
            }
            Updated::Refused(_) => {}
        }
        Ok(updated)
    }

    /// Takes over the head of this entry's own edit, under its version if that is known.
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
            warn!(target: part::CATALOGUE, "{error}.");
        }
        Ok(())
    }

    /// Follows the head until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let followed = stop.run_until_cancelled(self.follow()).await;
        debug_assert!(followed.is_none(), "following ends only by the token");
    }

    async fn follow(&self) {
        let mut watcher = self.inner.watcher.subscribe();
        let mut is_lost = false;
        loop {
            let is_watcher = *watcher.borrow_and_update();
            if !is_watcher && !self.is_due() {
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
                Ok(Reading::Taken) => is_lost = false,
                Ok(Reading::Overtaken) => tokio::time::sleep(self.inner.cfg.pause).await,
                Ok(Reading::Refused) => tokio::time::sleep(REFUSED_PAUSE).await,
                Err(error) => {
                    if !is_lost {
                        warn!(target: part::CATALOGUE, "The head can't be read: {error}.");
                    }
                    is_lost = true;
                    tokio::time::sleep(self.inner.cfg.pause).await;
                }
            }
        }
    }

    /// Whether the youngest proof is so old that this entry reads the head itself.
    fn is_due(&self) -> bool {
        let proofs = self.proofs();
        let revision = self.revision();
        let heard = proofs.heard.filter(|proof| proof.revision <= revision);
        let youngest = proofs
            .own
            .map(|own| own.at)
            .max(heard.map(|heard| heard.at));
        let now = self.inner.session.now();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= self.inner.cfg.read_after;
        youngest.is_none_or(is_old)
    }

    /// Reads the head if it is above the one in force, waiting for that for up to `wait`, or else whole if the service
    /// may have been restored since it was read whole.
    async fn read(&self, wait: Duration) -> Result<Reading, StoreError> {
        let session = &self.inner.session;
        let key = keys::catalogue_head();
        let known = self.inner.head.borrow().clone();
        let era = Era::of(session);
        let sent = session.now();
        let Some(known) = known.filter(|_| self.is_checked(era)) else {
            return self.read_whole(era, sent, wait).await;
        };
        if let Some(found) = session.watch(&key, known.version, wait).await? {
            return self.take_over(&found, sent).await;
        }
        self.prove(sent, known.revision());
        Ok(Reading::Taken)
    }

    fn prove(&self, at: Instant, revision: Revision) {
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
