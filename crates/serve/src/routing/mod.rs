//! Load balancing: which upstream a request goes to.
//!
//! A [`Router`] holds every upstream of the fleet in a slab with stable ids and, for each pool, the ids in the own
//! data centre and those in remote ones. A pick compares a few random candidates and takes the one with the least
//! load: open requests times a decayed latency. Upstreams of the own data centre are preferred. Remote ones serve when
//! it has none in service, or when each of those has as many open requests as the queue allows.
//!
//! Invariants: an upstream that is leaving, removed or ejected is never picked; `open` counts the picks that have not
//! finished; at most [`EJECTED_PERCENT_MAX`] of a pool is ejected at one time.

mod health;
mod pick;
mod set;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use goldcrest_types::entity::{PoolId, PrimaryMap, SecondaryMap};
use goldcrest_types::names::{DcName, PoolName, VmName};

pub use health::SendOutcome;

goldcrest_types::entity_id!(
    /// An upstream, from its first listing until it is removed and has no open request. Ids are reused.
    UpstreamId,
    "upstream"
);

/// Upper bound of the ejected part of a pool, in percent.
pub const EJECTED_PERCENT_MAX: usize = 50;
/// Period in which the load of a new or readmitted upstream rises to its full part.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// One upstream as the fleet document and the platform's VM list describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Name of its VM.
    pub vm: VmName,
    /// Pool of the VM.
    pub pool: PoolName,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Address on which it accepts connections. A changed address makes it a new upstream.
    pub address: SocketAddr,
    /// Whether it gets no new request because its VM is not serving or the platform does not list it as live.
    pub leaving: bool,
}

/// All upstreams of the fleet as last listed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamSet {
    /// The upstreams, in any order.
    pub upstreams: Vec<UpstreamSpec>,
}

/// State of an upstream, which says whether it takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new requests.
    Serving,
    /// Takes fewer requests than its full part because it is new, came back, changed its pool or was ejected.
    SlowStart,
    /// Takes no new requests for a bounded time because it failed.
    Ejected,
    /// Takes no new requests and finishes the open ones.
    Leaving,
    /// No longer listed, or listed with another address.
    Removed,
}

/// One upstream with its load and health.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The upstream as last listed.
    pub spec: UpstreamSpec,
    /// Number of requests from this entry that were sent to it and have not ended.
    pub open: u32,
    /// Failures since the last success or ejection.
    pub failures: u32,
    /// Ejections since it last answered outside a slow start. Each doubles the next one's duration.
    pub ejections: u32,
    latency_us: f32,
    measured_at: Instant,
    slow_start_until: Instant,
    ejected_until: Option<Instant>,
    leaving_since: Option<Instant>,
    removed: bool,
    last_pick: Option<Instant>,
}

impl Upstream {
    /// Returns the state at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.removed {
            return UpstreamState::Removed;
        }
        if self.leaving_since.is_some() {
            return UpstreamState::Leaving;
        }
        if self.ejected_until.is_some_and(|until| now < until) {
            return UpstreamState::Ejected;
        }
        if now < self.slow_start_until {
            return UpstreamState::SlowStart;
        }
        UpstreamState::Serving
    }

    /// Returns whether the upstream may get new requests at `now`.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.removed
            && self.leaving_since.is_none()
            && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns when the upstream was first listed as leaving. None if it is not.
    #[must_use]
    pub const fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// Returns when the upstream was last picked.
    #[must_use]
    pub const fn last_pick(&self) -> Option<Instant> {
        self.last_pick
    }
}

/// The upstreams of one pool, by whether they are in the own data centre.
#[derive(Debug, Clone, Default)]
struct PoolTable {
    local: Vec<UpstreamId>,
    remote: Vec<UpstreamId>,
}

/// Load balancer over all upstreams of the fleet.
#[derive(Debug)]
pub struct Router {
    dc: DcName,
    upstreams: PrimaryMap<UpstreamId, Upstream>,
    by_vm: HashMap<VmName, UpstreamId>,
    free: Vec<UpstreamId>,
    pools: SecondaryMap<PoolId, PoolTable>,
}

impl Router {
    /// Creates a router without upstreams for an entry in `dc`.
    #[must_use]
    pub fn new(dc: DcName) -> Self {
        Self {
            dc,
            upstreams: PrimaryMap::new(),
            by_vm: HashMap::new(),
            free: Vec::new(),
            pools: SecondaryMap::new(),
        }
    }

    /// Returns the upstream `id`. Panics if the id was never handed out.
    #[must_use]
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[id]
    }

    /// Iterates over the upstreams, including removed ones that still have open requests.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let in_use = |upstream: &Upstream| !upstream.removed || upstream.open > 0;
        self.upstreams.iter().filter(move |(_, u)| in_use(u))
    }

    /// Iterates over the upstreams of `pool`, those of the own data centre first.
    pub fn pool(&self, pool: PoolId) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let table = &self.pools[pool];
        let ids = table.local.iter().chain(&table.remote);
        ids.map(|id| (*id, &self.upstreams[*id]))
    }

    /// Iterates over the ids in the pool table, which covers every pool that has an upstream.
    pub fn pool_ids(&self) -> impl Iterator<Item = PoolId> {
        self.pools.iter().map(|(id, _)| id)
    }

    fn insert(&mut self, spec: &UpstreamSpec, now: Instant) -> UpstreamId {
        let upstream = Upstream::new(spec.clone(), now);
        match self.free.pop() {
            Some(id) => {
                self.upstreams[id] = upstream;
                id
            }
            None => self.upstreams.push(upstream),
        }
    }
}
