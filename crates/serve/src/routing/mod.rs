//! Which upstream a request goes to.
//!
//! A [`Router`] holds every upstream of the fleet in a slab with stable ids and, for each pool, the ids in the own
//! data centre and those in others. A pick draws a few random candidates and takes the one with the least load:
//! open requests times a decayed latency. The own data centre goes first; others serve when it has no upstream in
//! service.
//!
//! Invariants: an upstream that leaves, is gone or is ejected is never picked; `open` counts the picks that were
//! not finished; no more than [`EJECTED_PERCENT_MAX`] of a pool is ejected at one time.

mod health;
mod pick;
mod set;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use goldcrest_types::entity::{PoolId, PrimaryMap, SecondaryMap};
use goldcrest_types::names::{DcName, PoolName, VmName};

pub use health::Finish;

goldcrest_types::entity_id!(
    /// An upstream, from its first sighting until it is gone and idle.
    UpstreamId,
    "upstream"
);

/// The largest part of a pool that may be ejected at one time, in percent.
pub const EJECTED_PERCENT_MAX: usize = 50;
/// How long a new or readmitted upstream gets less than its full part of the load.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// One upstream as the fleet shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its VM.
    pub vm: VmName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// The data centre it stands in.
    pub dc: DcName,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Whether it leaves and gets nothing new.
    pub leaving: bool,
}

/// All upstreams of the fleet as last seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamSet {
    /// The upstreams, in any order.
    pub upstreams: Vec<UpstreamSpec>,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes work.
    Serving,
    /// It takes less work than its part, since it is new or was ejected.
    SlowStart,
    /// It is out for failing, for a bounded time.
    Ejected,
    /// It gets nothing new and ends what it has.
    Leaving,
    /// The fleet no longer shows it.
    Gone,
}

/// One upstream with what was learnt of it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What the fleet shows.
    pub spec: UpstreamSpec,
    /// Requests sent to it from here that have not ended.
    pub open: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// Ejections since it last worked through a slow start.
    pub ejections: u32,
    latency_us: f32,
    measured_at: Instant,
    eased_until: Instant,
    ejected_until: Option<Instant>,
    leaving_since: Option<Instant>,
    gone: bool,
    last_pick: Option<Instant>,
}

impl Upstream {
    /// Its state at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.gone {
            return UpstreamState::Gone;
        }
        if self.leaving_since.is_some() {
            return UpstreamState::Leaving;
        }
        if self.ejected_until.is_some_and(|until| now < until) {
            return UpstreamState::Ejected;
        }
        if now < self.eased_until {
            return UpstreamState::SlowStart;
        }
        UpstreamState::Serving
    }

    /// Whether it may get new work at `now`.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.gone
            && self.leaving_since.is_none()
            && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// When it began to leave.
    #[must_use]
    pub const fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// When it last got new work.
    #[must_use]
    pub const fn last_pick(&self) -> Option<Instant> {
        self.last_pick
    }
}

/// The upstreams of one pool, nearest first.
#[derive(Debug, Clone, Default)]
struct PoolTable {
    local: Vec<UpstreamId>,
    remote: Vec<UpstreamId>,
}

/// All upstreams and how to pick one.
#[derive(Debug)]
pub struct Router {
    dc: DcName,
    upstreams: PrimaryMap<UpstreamId, Upstream>,
    by_vm: HashMap<VmName, UpstreamId>,
    free: Vec<UpstreamId>,
    pools: SecondaryMap<PoolId, PoolTable>,
}

impl Router {
    /// A router in `dc` that knows no upstream.
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

    /// The upstream of `id`.
    #[must_use]
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[id]
    }

    /// All upstreams, those that are gone but have open requests included.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let in_use = |upstream: &Upstream| !upstream.gone || upstream.open > 0;
        self.upstreams.iter().filter(move |(_, u)| in_use(u))
    }

    /// All upstreams of `pool`, nearest first.
    pub fn pool(&self, pool: PoolId) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let table = &self.pools[pool];
        let ids = table.local.iter().chain(&table.remote);
        ids.map(|id| (*id, &self.upstreams[*id]))
    }

    /// The ids of all pools that have an upstream.
    pub fn pool_ids(&self) -> impl Iterator<Item = PoolId> {
        self.pools.iter().map(|(id, _)| id)
    }

    fn record(&mut self, spec: &UpstreamSpec, now: Instant) -> UpstreamId {
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
