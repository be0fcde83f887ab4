//! The interface of the serving path.
//!
//! A [`Front`] is a handle on one entry's shared state. The daemon sets its inputs (catalogue, upstreams,
//! grants, key freshness), reads its results (usage, status, explanations, metrics), and runs it with
//! [`Front::serve`] and [`Front::drain`].

mod shared;
mod ticket;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{PoolUsage, TeamGrants, TeamUsage};
use goldcrest_serve::routing::{UpstreamSet, UpstreamState};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{PoolName, RequestId, VmName};
use goldcrest_types::units::{Revision, Slots};
use prometheus_client::registry::Registry;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::cfg::FrontCfg;
use crate::claims::{AnyClaims, Claims};
use crate::drain::DrainReport;
use crate::explain::Explanation;
use crate::ingress::conn;

pub(crate) use shared::{Record, Shared, View};
pub(crate) use ticket::Ticket;

quick_error! {
    /// An error that ends [`Front::serve`].
    #[derive(Debug)]
    pub enum FrontError {
        /// `accept` failed with an error that a retry does not cure.
        Accept(cause: io::Error) {
            source(cause)
            display("the listener failed ({cause}): restart the entry and look at its limits on open files")
        }
    }
}

/// How long this entry may rely on its copy of the granted keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFreshness {
    /// Requests authorised by a key may start before this time. `None`: no such request may start.
    pub until: Option<Instant>,
}

/// Requests by how they ended, counted since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// The complete answer was forwarded.
    pub answered: u64,
    /// Refused without having run.
    pub not_run: u64,
    /// Refused although the request may have run.
    pub unknown: u64,
    /// The answer broke off after its head was forwarded.
    pub cut: u64,
    /// The caller closed the connection or stream before the end.
    pub caller_gone: u64,
    /// Sends to upstreams beyond the first of each request.
    pub retries: u64,
}

/// One upstream as this entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// The VM that runs the upstream.
    pub vm: VmName,
    /// The pool of that VM.
    pub pool: PoolName,
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Whether requests are routed to the upstream.
    pub state: UpstreamState,
    /// Requests of this entry that the upstream has not ended.
    pub open: u32,
}

/// A snapshot of one entry's serving path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontStatus {
    /// Whether the balancer may route requests here; see [`Front::is_ready`].
    pub is_ready: bool,
    /// The catalogue revision in force; `None` before the first catalogue.
    pub revision: Option<Revision>,
    /// Requests that hold a slot.
    pub running: Slots,
    /// Requests that wait for a slot.
    pub waiting: Slots,
    /// Open connections from callers.
    pub connections: usize,
    /// Requests by how they ended.
    pub outcomes: OutcomeCounts,
    /// All upstreams in the routing table.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A handle on one entry's serving path. Clones share its state.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl fmt::Debug for Front {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Front").finish_non_exhaustive()
    }
}

impl Front {
    /// Returns a serving path without a catalogue. It refuses every request until it gets one.
    #[must_use]
    pub fn new(cfg: FrontCfg, clock: Arc<dyn Clock>) -> Self {
        Self {
            shared: Arc::new(Shared::new(cfg, clock)),
        }
    }

    /// Replaces the in-memory claim table of a single entry by `claims`. Must be called before [`Front::serve`].
    #[must_use]
    pub fn with_claims(self, claims: Arc<impl Claims>) -> Self {
        let claims: Arc<dyn AnyClaims> = claims;
        let mut current = self
            .shared
            .claims
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = claims;
        drop(current);
        self
    }

    /// Puts a catalogue in force. A catalogue with a lower revision than the one in force is ignored.
    pub fn set_catalogue(&self, cat: Arc<Catalogue>) {
        self.shared.set_catalogue(cat);
    }

    /// Replaces the set of upstreams. Upstreams that are missing or leaving receive no new requests from now on.
    pub fn set_upstreams(&self, set: UpstreamSet) {
        self.shared.set_upstreams(set);
    }

    /// Replaces the slots that each team may use at this entry.
    pub fn set_grants(&self, grants: TeamGrants) {
        self.shared
            .with_dispatch(|d, now| d.set_grants(grants, now));
    }

    /// Replaces the slots that each team may use at this entry and returns the teams' usage. Both happen under the
    /// admission lock, so the usage includes every request admitted under earlier grants.
    #[must_use]
    pub fn exchange_grants(&self, grants: TeamGrants) -> Vec<TeamUsage> {
        self.shared.with_dispatch(|d, now| {
            d.set_grants(grants, now);
            d.usage()
        })
    }

    /// Replaces the time until which requests authorised by a key may start.
    pub fn set_key_freshness(&self, freshness: KeyFreshness) {
        let until = freshness.until;
        self.shared
            .with_dispatch(|d, _| d.set_keys_fresh_until(until));
    }

    /// Returns the running and waiting requests of each team at this entry.
    #[must_use]
    pub fn usage(&self) -> Vec<TeamUsage> {
        self.shared.with_dispatch(|d, _| d.usage())
    }

    /// Returns the running and waiting requests of each pool at this entry.
    #[must_use]
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        self.shared.with_dispatch(|d, _| d.pool_usage())
    }

    /// Returns whether the balancer may route requests here: a catalogue is in force and no drain has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns a snapshot of the serving path.
    #[must_use]
    pub fn status(&self) -> FrontStatus {
        self.shared.status()
    }

    /// Returns the steps of a recent request, or `None` if it is unknown or was evicted; see
    /// [`FrontCfg::explanations_max`].
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Option<Explanation> {
        self.shared.explain(request)
    }

    /// Registers the metrics, prefixed with `goldcrest_front`, in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.shared.metrics.register(registry);
    }

    /// Serves callers on `listener` until `stop` is cancelled or [`Front::drain`] closes the listener, and returns
    /// when all connections have ended. Requests that run when `stop` is cancelled are completed.
    ///
    /// # Errors
    ///
    /// [`FrontError::Accept`] if the listener fails with an error that is not transient.
    pub async fn serve(
        &self,
        listener: TcpListener,
        stop: CancellationToken,
    ) -> Result<(), FrontError> {
        conn::accept(&self.shared, listener, &stop).await?;
        self.shared.drain.connections.close();
        self.shared.drain.connections.wait().await;
        Ok(())
    }

    /// Stops gracefully: closes the listener, lets running requests end, and cuts the connections that are still open
    /// after `bound`.
    pub async fn drain(&self, bound: Duration) -> DrainReport {
        self.shared.run_drain(bound).await
    }
}
