//! This entry's lease, which is its session as the other entries see it.
//!
//! The entry holds a record under `session/<data centre>/<entry>` for as long as its lease lives. It believes in the
//! lease for less time than the service does: the term counts from before the renewal was sent, and is shortened by
//! what the two clocks may drift apart. So a holder that was paused finds its lease lapsed before anyone else may
//! act on the lapse.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_ports::store::{Expect, LeaseId, Store, StoreError};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EntryId, VmName};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::keys;
use crate::part;
use crate::session::Session;

/// A lease as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// Counts the leases of this process, from 1. What was held under an earlier one has lapsed.
    pub generation: u64,
    /// Until when the holder may act on it.
    pub valid_until: Instant,
}

/// Whether this entry has a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// There is none yet, or it was lost.
    Absent,
    /// There is one.
    Held(HeldLease),
}

impl LeaseState {
    /// The lease, if the holder may act on it at `now`.
    #[must_use]
    pub fn valid(&self, now: Instant) -> Option<HeldLease> {
        match self {
            Self::Held(held) if now < held.valid_until => Some(*held),
            Self::Held(_) | Self::Absent => None,
        }
    }
}

/// What an entry tells of itself under its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The process.
    pub entry: EntryId,
    /// Its data centre.
    pub dc: DcName,
    /// The VM it runs on.
    pub vm: VmName,
    /// Where it listens for other entries.
    pub peer_address: SocketAddr,
}

impl<S: Store, C: Clock> Session<S, C> {
    /// This entry's lease, and every change of it.
    #[must_use]
    pub fn lease(&self) -> watch::Receiver<LeaseState> {
        self.inner.lease.subscribe()
    }

    /// Until when this entry may act on its session, if it may at `now`.
    #[must_use]
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let held = self.inner.lease.borrow().valid(now)?;
        Some(held.valid_until)
    }

    /// The entries of all data centres whose sessions live.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn sessions(&self) -> Result<Vec<LiveSession>, StoreError> {
        let found = self.list(&keys::sessions()).await?;
        Ok(found.iter().filter_map(keys::parse_session).collect())
    }

    /// What an entry tells of itself.
    ///
    /// # Errors
    ///
    /// Why there is no answer, or that the record can't be read.
    pub async fn session_record(
        &self,
        session: &LiveSession,
    ) -> Result<Option<SessionRecord>, StoreError> {
        let key = keys::session(&session.dc, session.entry);
        let Some(found) = self.get(&key).await? else {
            return Ok(None);
        };
        match ciborium::from_reader(found.value.as_ref()) {
            Ok(record) => Ok(Some(record)),
            Err(error) => Err(StoreError::Malformed(error.to_string().into())),
        }
    }

    /// How long a term counts for the holder.
    fn believed_term(&self) -> Duration {
        let ttl = self.cfg().lease_ttl;
        let drift = ttl * self.cfg().drift_permille / 1_000;
        ttl.saturating_sub(drift)
    }
}

/// An entry whose session lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LiveSession {
    /// Its data centre.
    pub dc: DcName,
    /// The process.
    pub entry: EntryId,
}

/// Keeps this entry's lease alive and its record under it.
pub struct LeaseKeeper<S, C> {
    session: Session<S, C>,
    record: SessionRecord,
}

impl<S: Store, C: Clock> LeaseKeeper<S, C> {
    /// A keeper that announces `record`.
    #[must_use]
    pub fn new(session: Session<S, C>, record: SessionRecord) -> Self {
        Self { session, record }
    }

    /// Runs until `stop`, then takes the record back so that others need not wait for the lease to lapse.
    pub async fn run(self, stop: CancellationToken) {
        let kept = stop.run_until_cancelled(self.keep()).await;
        debug_assert!(kept.is_none(), "keeping ends only by the token");
        self.lose();
        self.withdraw().await;
    }

    async fn keep(&self) {
        let mut generation = self.session.inner.generation();
        let mut tries = 0;
        loop {
            generation += 1;
            match self.open(generation).await {
                Ok(held) => {
                    tries = 0;
                    self.renew_until_gone(held).await;
                    self.lose();
                }
                Err(error) => {
                    warn!(target: part::STORE, "No lease yet: {error}.");
                    tokio::time::sleep(self.session.backoff(tries)).await;
                    tries += 1;
                }
            }
        }
    }

    /// Asks for a lease and puts the record under it.
    async fn open(&self, generation: u64) -> Result<HeldLease, StoreError> {
        let sent = self.session.now();
        let lease = self.session.grant().await?;
        self.announce(lease).await?;
        let held = HeldLease {
            lease,
            generation,
            valid_until: sent + self.session.believed_term(),
        };
        self.session.inner.set_generation(generation);
        self.session
            .inner
            .lease
            .send_replace(LeaseState::Held(held));
        info!(target: part::STORE, "Lease {lease} held, generation {generation}.");
        Ok(held)
    }

    async fn announce(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = keys::session(&self.record.dc, self.record.entry);
        let mut value = Vec::new();
        ciborium::into_writer(&self.record, &mut value)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let expect = match self.session.get(&key).await? {
            Some(found) => Expect::Version(found.version),
            None => Expect::Absent,
        };
        // The key is this process's own, so a lost answer is mended by opening anew.
        let swapped = self
            .session
            .swap(&key, expect, Bytes::from(value), Some(lease));
        swapped.await?;
        Ok(())
    }

    /// Renews the lease until the service says that it is gone.
    ///
    /// A lease that this entry may no longer believe in is reported as absent. A renewal that succeeds after that
    /// shows that it never lapsed for the service, so its generation stays.
    async fn renew_until_gone(&self, mut held: HeldLease) {
        let pause = self.session.cfg().lease_ttl / 2;
        let mut tries = 0;
        loop {
            let wait = if tries == 0 {
                pause
            } else {
                self.session.backoff(tries + 2)
            };
            self.wait_or_lapse(wait, held).await;
            let sent = self.session.now();
            match self.session.renew(held.lease).await {
                Ok(()) => {
                    held.valid_until = sent + self.session.believed_term();
                    self.session
                        .inner
                        .lease
                        .send_replace(LeaseState::Held(held));
                    tries = 0;
                }
                Err(StoreError::LeaseGone) => return,
                Err(error) => {
                    tries += 1;
                    if tries == 1 {
                        warn!(target: part::STORE, "Lease {} not renewed: {error}.", held.lease);
                    }
                }
            }
        }
    }

    /// Waits, and reports the lease as absent once it is no longer valid.
    async fn wait_or_lapse(&self, wait: Duration, held: HeldLease) {
        let left = held
            .valid_until
            .saturating_duration_since(self.session.now());
        tokio::time::sleep(wait.min(left)).await;
        if wait >= left {
            self.lose();
            tokio::time::sleep(wait.saturating_sub(left)).await;
        }
    }

    fn lose(&self) {
        let before = self.session.inner.lease.send_replace(LeaseState::Absent);
        if let LeaseState::Held(held) = before {
            warn!(target: part::STORE, "Lease {} has ended.", held.lease);
        }
    }

    async fn withdraw(&self) {
        let key = keys::session(&self.record.dc, self.record.entry);
        if let Ok(Some(found)) = self.session.get(&key).await
            && let Err(error) = self.session.remove(&key, found.version).await
        {
            info!(target: part::STORE, "The record stays until its lease lapses: {error}.");
        }
    }
}
