//! The lease of this entry, and the session record that other entries see while it is valid.
//!
//! The entry stores a [`SessionRecord`] under `session/<data centre>/<entry>`, bound to its lease. The holder treats
//! the lease as valid for less time than the service does: the term starts before the grant or renewal is sent and is
//! shortened by the possible clock drift. A holder that was paused therefore finds its lease expired before any other
//! entry can act on the expiry.

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

/// A lease with the validity that its holder may assume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The id that the service gave the lease.
    pub lease: LeaseId,
    /// The number of this lease among those of this process, from 1. Anything held under an earlier generation has
    /// expired.
    pub generation: u64,
    /// The end of validity on the holder's clock, earlier than the expiry at the service.
    pub valid_until: Instant,
}

/// Whether this entry has a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No lease was granted yet, or the last one is no longer valid.
    Absent,
    /// A lease was granted and had not expired when this state was set.
    Held(HeldLease),
}

impl LeaseState {
    /// Returns the lease if it is valid at `now`.
    #[must_use]
    pub fn valid(&self, now: Instant) -> Option<HeldLease> {
        match self {
            Self::Held(held) if now < held.valid_until => Some(*held),
            Self::Held(_) | Self::Absent => None,
        }
    }
}

/// The record that an entry stores under its lease, CBOR-encoded, for other entries to find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The id of the entry process.
    pub entry: EntryId,
    /// The data centre in which the entry runs.
    pub dc: DcName,
    /// The VM on which the entry runs.
    pub vm: VmName,
    /// The address on which the entry accepts connections from other entries.
    pub peer_address: SocketAddr,
}

impl<S: Store, C: Clock> Session<S, C> {
    /// Returns a receiver of this entry's lease state and its changes.
    #[must_use]
    pub fn lease(&self) -> watch::Receiver<LeaseState> {
        self.inner.lease.subscribe()
    }

    /// Returns the end of the lease's validity, or `None` if this entry has no valid lease at `now`.
    #[must_use]
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let held = self.inner.lease.borrow().valid(now)?;
        Some(held.valid_until)
    }

    /// Lists the live sessions of the entries in all data centres.
    ///
    /// # Errors
    ///
    /// Fails if the service did not answer the call.
    pub async fn sessions(&self) -> Result<Vec<LiveSession>, StoreError> {
        let found = self.list(&keys::sessions()).await?;
        Ok(found.iter().filter_map(keys::parse_session).collect())
    }

    /// Reads the session record of an entry, or `None` if its session has ended.
    ///
    /// # Errors
    ///
    /// Fails if the service did not answer, or with [`StoreError::Malformed`] if the record can't be decoded.
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

    /// The time for which the holder treats a granted or renewed lease as valid: the term less the possible drift.
    fn validity_term(&self) -> Duration {
        let ttl = self.cfg().lease_ttl;
        let drift = ttl * self.cfg().drift_permille / 1_000;
        ttl.saturating_sub(drift)
    }
}

/// An entry with a live session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LiveSession {
    /// The data centre in which the entry runs.
    pub dc: DcName,
    /// The id of the entry process.
    pub entry: EntryId,
}

/// Renews this entry's lease and stores its session record under it.
pub struct LeaseKeeper<S, C> {
    session: Session<S, C>,
    record: SessionRecord,
}

impl<S: Store, C: Clock> LeaseKeeper<S, C> {
    /// Creates a keeper that stores `record` under each lease it is granted.
    #[must_use]
    pub fn new(session: Session<S, C>, record: SessionRecord) -> Self {
        Self { session, record }
    }

    /// Runs until `stop`, then removes the record so that other entries need not wait for the lease to expire.
    pub async fn run(self, stop: CancellationToken) {
        let ended = stop.run_until_cancelled(self.maintain()).await;
        debug_assert!(ended.is_none(), "lease maintenance ends only by the token");
        self.mark_absent();
        self.remove_record().await;
    }

    async fn maintain(&self) {
        let mut generation = self.session.inner.generation();
        let mut tries = 0;
        loop {
            generation += 1;
            match self.open(generation).await {
                Ok(held) => {
                    tries = 0;
                    self.renew_until_gone(held).await;
                    self.mark_absent();
                }
                Err(error) => {
                    warn!(target: part::STORE, "No lease granted, will retry: {error}.");
                    tokio::time::sleep(self.session.backoff(tries)).await;
                    tries += 1;
                }
            }
        }
    }

    /// Requests a lease and stores the record under it.
    async fn open(&self, generation: u64) -> Result<HeldLease, StoreError> {
        let sent = self.session.now();
        let lease = self.session.grant().await?;
        self.store_record(lease).await?;
        let held = HeldLease {
            lease,
            generation,
            valid_until: sent + self.session.validity_term(),
        };
        self.session.inner.set_generation(generation);
        self.session
            .inner
            .lease
            .send_replace(LeaseState::Held(held));
        info!(target: part::STORE, "Lease {lease} held, generation {generation}.");
        Ok(held)
    }

    async fn store_record(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = keys::session(&self.record.dc, self.record.entry);
        let mut value = Vec::new();
        ciborium::into_writer(&self.record, &mut value)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let expect = match self.session.get(&key).await? {
            Some(found) => Expect::Version(found.version),
            None => Expect::Absent,
        };
        // Only this process writes the key, so after a lost answer it is safe to open another lease and write again.
        let swapped = self
            .session
            .swap(&key, expect, Bytes::from(value), Some(lease));
        swapped.await?;
        Ok(())
    }

    /// Renews the lease until the service reports that it no longer exists.
    ///
    /// The state is [`LeaseState::Absent`] while the holder's validity has passed without a renewal. A renewal that
    /// succeeds after that shows that the lease never expired at the service, so the generation does not change.
    async fn renew_until_gone(&self, mut held: HeldLease) {
        let pause = self.session.cfg().lease_ttl / 2;
        let mut tries = 0;
        loop {
            let wait = if tries == 0 {
                pause
            } else {
                self.session.backoff(tries + 2)
            };
            self.wait_or_expire(wait, held).await;
            let sent = self.session.now();
            match self.session.renew(held.lease).await {
                Ok(()) => {
                    held.valid_until = sent + self.session.validity_term();
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

    /// Waits for `wait`, and marks the lease as absent if it expires in that time.
    async fn wait_or_expire(&self, wait: Duration, held: HeldLease) {
        let remaining = held
            .valid_until
            .saturating_duration_since(self.session.now());
        tokio::time::sleep(wait.min(remaining)).await;
        if wait >= remaining {
            self.mark_absent();
            tokio::time::sleep(wait.saturating_sub(remaining)).await;
        }
    }

    fn mark_absent(&self) {
        let before = self.session.inner.lease.send_replace(LeaseState::Absent);
        if let LeaseState::Held(held) = before {
            warn!(target: part::STORE, "Lease {} is no longer valid.", held.lease);
        }
    }

    async fn remove_record(&self) {
        let key = keys::session(&self.record.dc, self.record.entry);
        if let Ok(Some(found)) = self.session.get(&key).await
            && let Err(error) = self.session.remove(&key, found.version).await
        {
            info!(target: part::STORE, "Session record not removed, stays until its lease expires: {error}.");
        }
    }
}
