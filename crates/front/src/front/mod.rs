//! The interface of the serving path.
//!
//! A [`Front`] is a handle on one entry's shared state. The daemon sets what it works on (catalogue, upstreams,
//! grants, key freshness), reads what it did (usage, status, explanations, metrics), and runs it with
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
    /// Why serving ended.
    #[derive(Debug)]
    pub enum FrontError {
        /// The listener failed.
        Accept(cause: io::Error) {
            source(cause)
            display("the listener failed ({cause}): restart the entry and look at its limits on open files")
        }
    }
}

/// Until when keys are known to be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFreshness {
    /// Keyed work is taken before this. None: not at all.
    pub until: Option<Instant>,
}

/// How many requests ended in each way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// The whole answer was handed on.
    pub answered: u64,
    /// Refused, and did not run.
    pub not_run: u64,
    /// Refused with an unknown outcome.
    pub unknown: u64,
    /// The answer was cut off midway.
    pub cut: u64,
    /// The caller went away first.
    pub caller_gone: u64,
    /// Sends beyond the first of a request.
    pub retries: u64,
}

/// One upstream as this entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Its VM.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// Requests open to it from here.
    pub open: u32,
}

/// What this entry is at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontStatus {
    /// Whether the balancer may send work.
    pub is_ready: bool,
    /// The catalogue revision in force.
    pub revision: Option<Revision>,
    /// Requests that run.
    pub running: Slots,
    /// Requests that wait.
    pub waiting: Slots,
    /// Connections from callers.
    pub connections: usize,
    /// How requests ended.
    pub outcomes: OutcomeCounts,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One entry's serving path.
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
    /// A serving path that has no catalogue and refuses everything until it gets one.
    #[must_use]
    pub fn new(cfg: FrontCfg, clock: Arc<dyn Clock>) -> Self {
        Self {
            shared: Arc::new(Shared::new(cfg, clock)),
        }
    }

    /// With `claims` in place of the table of a single entry. To be called before [`Front::serve`].
    #[must_use]
    pub fn with_claims(self, claims: Arc<impl Claims>) -> Self {
        let claims: Arc<dyn AnyClaims> = claims;
        let mut place = self
            .shared
            .claims
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *place = claims;
        drop(place);
        self
    }

    /// Puts a catalogue in force. One with a lower revision than that in force is passed over.
    pub fn set_catalogue(&self, cat: Arc<Catalogue>) {
        self.shared.set_catalogue(cat);
    }

    /// Takes over what the fleet shows. Upstreams that are missing or leaving get nothing new from here on.
    pub fn set_upstreams(&self, set: UpstreamSet) {
        self.shared.set_upstreams(set);
    }

    /// Takes over what the teams may use here.
    pub fn set_grants(&self, grants: TeamGrants) {
        self.shared.desk(|d, now| d.set_grants(grants, now));
    }

    /// Takes over what the teams may use here, and answers what they have. Both happen under the lock of admission, so
    /// whatever was admitted by earlier grants is in the answer.
    #[must_use]
    pub fn exchange_grants(&self, grants: TeamGrants) -> Vec<TeamUsage> {
        self.shared.desk(|d, now| {
            d.set_grants(grants, now);
            d.usage()
        })
    }

    /// Takes over until when keys are known to be granted.
    pub fn set_key_freshness(&self, freshness: KeyFreshness) {
        let until = freshness.until;
        self.shared.desk(|d, _| d.set_keys_fresh_until(until));
    }

    /// What each team has running and waiting here.
    #[must_use]
    pub fn usage(&self) -> Vec<TeamUsage> {
        self.shared.desk(|d, _| d.usage())
    }

    /// What each pool has running and waiting from here.
    #[must_use]
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        self.shared.desk(|d, _| d.pool_usage())
    }

    /// Whether the balancer may send work: there is a catalogue and no drain.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// What this entry is at.
    #[must_use]
    pub fn status(&self) -> FrontStatus {
        self.shared.status()
    }

    /// Why a recent request went the way it did.
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Option<Explanation> {
        self.shared.explain(request)
    }

    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.shared.metrics.register(registry);
    }

    /// Serves callers on `listener` until `stop` is cancelled or [`Front::drain`] has run, and returns when its
    /// connections have ended. After `stop` the running requests still end.
    ///
    /// # Errors
    ///
    /// The listener failed for good.
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

    /// Stops gracefully: nothing new, every running request ends, and what has not ended at `bound` is cut.
    pub async fn drain(&self, bound: Duration) -> DrainReport {
        self.shared.run_drain(bound).await
    }
}
