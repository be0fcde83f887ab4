//! State that an entry shares with its peers, and the loop that keeps it up to date.
//!
//! [`Peers`] is the handle that the daemon's parts share: they set this entry's own state in it, and read that of its
//! peers. [`Peers::run`] sends requests to peers once per heartbeat, and fetches the catalogue from a peer that has a
//! higher revision. `claiming` sends claims on idempotency keys to their homes; `quota` notifies entries that their
//! quota document has changed. [`Peers`] also handles the requests that a [`PeerServer`](crate::server::PeerServer)
//! receives.

mod claiming;
mod pool_usage;
mod quota;
mod run;
mod state;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use goldcrest_ledger::quota::rebalance::Demand;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EntryId, TeamName, VmName};
use goldcrest_types::units::Revision;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::claims::ClaimsConfig;
use crate::delta::{self, CatalogueDelta};
use crate::dial::{Dial, TcpDial};
use crate::handshake::Hello;
use crate::link::LinkLimits;
use crate::membership::{MemberStatus, MembershipConfig};
use crate::message::{
    CatalogueCopy, ExplainAsk, FleetSeen, InForce, Member, Refused, Reply, Request,
};
use crate::server::Handler;
use crate::transport::Traffic;
use crate::usage::Usage;

pub use pool_usage::PoolUsageHeard;
use quota::QuotaNotices;
use run::Links;
use state::State;
pub use state::{NewerRevision, Outage, OwnView, PeerEvidence, Seed};

/// Maximum number of explain queries that wait for the daemon.
const EXPLAIN_WAITING_MAX: usize = 64;

/// Number of earlier copies of the catalogue that are kept as bases of deltas.
const EARLIER_COPIES: usize = 4;

/// Timeout of the daemon's answer to an explain query.
const EXPLAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the membership, the claims and the links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeersConfig {
    /// Heartbeat interval and limits on a member's silence.
    pub membership: MembershipConfig,
    /// Bounds of the table of claims.
    pub claims: ClaimsConfig,
    /// Bounds of each link.
    pub limits: LinkLimits,
}

/// A query of another entry that the daemon answers.
#[derive(Debug)]
pub struct ExplainQuery {
    /// The request or task to explain.
    pub ask: ExplainAsk,
    /// Receives the explanation, or none if the daemon does not know the request or task.
    pub answer: oneshot::Sender<Option<Box<str>>>,
}

struct Inner<C, D> {
    hello: Hello,
    cfg: PeersConfig,
    clock: C,
    state: Mutex<State>,
    links: Links<C, D>,
    copy: watch::Sender<Option<CatalogueCopy>>,
    relay: watch::Sender<bool>,
    ahead: Mutex<Option<NewerRevision>>,
    wake: Notify,
    catalogue_offered: Notify,
    quota: QuotaNotices,
    explain: mpsc::Sender<ExplainQuery>,
}

/// Handle to the state that an entry shares with its peers. It is cheap to clone.
pub struct Peers<C, D = TcpDial> {
    inner: Arc<Inner<C, D>>,
}

impl<C, D> Clone for Peers<C, D> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<C: Clock + Clone> Peers<C> {
    /// Creates a handle for the entry that `hello` names, and the receiver of the queries that the daemon is to answer.
    #[must_use]
    pub fn new(hello: Hello, cfg: PeersConfig, clock: C) -> (Self, mpsc::Receiver<ExplainQuery>) {
        Self::with_dial(hello, cfg, clock, TcpDial)
    }
}

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Creates a handle as [`Peers::new`] does, whose links open their streams by `dial`.
    #[must_use]
    pub fn with_dial(
        hello: Hello,
        cfg: PeersConfig,
        clock: C,
        dial: D,
    ) -> (Self, mpsc::Receiver<ExplainQuery>) {
        let (explain, queries) = mpsc::channel(EXPLAIN_WAITING_MAX);
        let state = State::new(hello.member.clone(), &cfg, clock.now());
        let inner = Inner {
            links: Links::new(hello.clone(), cfg.limits, clock.clone(), dial),
            hello,
            cfg,
            state: Mutex::new(state),
            copy: watch::channel(None).0,
            relay: watch::channel(false).0,
            ahead: Mutex::new(None),
            wake: Notify::new(),
            catalogue_offered: Notify::new(),
            quota: QuotaNotices::new(),
            explain,
            clock,
        };
        let peers = Self {
            inner: Arc::new(inner),
        };
        (peers, queries)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.inner.state)
    }

    fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// Returns this entry's first frame in a handshake.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.inner.hello
    }

    /// Returns the byte counters of the links to peers; a [`PeerServer`](crate::server::PeerServer) may add its own
    /// bytes to them.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        self.inner.links.traffic()
    }

    /// Sets what this entry itself knows of the catalogue and of the key-value service. The revision never decreases.
    pub fn set_own_view(&self, own: OwnView) {
        let mut state = self.state();
        let revision = state.own.revision.max(own.revision);
        state.own = OwnView { revision, ..own };
    }

    /// Offers a copy of the catalogue's head to peers. A copy whose revision is not higher than that of an earlier one
    /// is ignored.
    pub fn offer_catalogue(&self, copy: CatalogueCopy) {
        let mut state = self.state();
        let known = state
            .copy
            .as_ref()
            .map_or(Revision::ZERO, |copy| copy.revision);
        if copy.revision <= known {
            return;
        }
        let before = state.copy.replace(copy.clone());
        state.earlier.extend(before);
        if state.earlier.len() > EARLIER_COPIES {
            state.earlier.pop_front();
        }
        drop(state);
        self.inner.copy.send_replace(Some(copy));
        self.inner.catalogue_offered.notify_one();
    }

    /// Returns a receiver of the copy of the catalogue's head with the highest revision that this entry has read or a
    /// peer has sent.
    #[must_use]
    pub fn catalogue(&self) -> watch::Receiver<Option<CatalogueCopy>> {
        self.inner.copy.subscribe()
    }

    /// Sets this entry's own usage by team. Teams that are not given are set to zero.
    pub fn set_usage(&self, usage: &BTreeMap<TeamName, Usage>) {
        self.state().set_usage(usage);
    }

    /// Sets which sessions are live.
    pub fn set_sessions(&self, live: &BTreeSet<EntryId>) {
        self.state().members.set_sessions(live);
    }

    /// Records until when peers are certain to count this entry as a member: while its session is valid and its list of
    /// live sessions is recent enough, or while no entry has contact with the key-value service.
    pub fn extend_standing(&self, until: Instant) {
        let now = self.now();
        self.state().homes.extend(now, until);
    }

    /// Sets which VMs the platform lists, and at which addresses entries may be reached whose ids are not known yet.
    pub fn set_listing(&self, vms: &BTreeSet<VmName>, seeds: BTreeSet<Seed>) {
        let mut state = self.state();
        state.members.set_listing(vms);
        state.seeds = seeds;
    }

    /// Returns a receiver of whether this entry is the relay of its data centre.
    #[must_use]
    pub fn is_relay(&self) -> watch::Receiver<bool> {
        self.inner.relay.subscribe()
    }

    /// Returns what peers have reported about the freshness of the catalogue.
    #[must_use]
    pub fn evidence(&self) -> PeerEvidence {
        self.state().evidence()
    }

    /// Returns the demand of each entry of this data centre by team: running and waiting slots.
    #[must_use]
    pub fn demand(&self) -> Demand {
        let state = self.state();
        let mut demand = Demand::new();
        for (entry, team, usage) in state.entry_usage().iter() {
            demand.set(*entry, team, usage.demand());
        }
        demand
    }

    /// Sets whether this entry requests the usage of all data centres, which is the default. If so, it queries the
    /// relay of each of them once per heartbeat; otherwise it receives only that of its own data centre, if it is the
    /// relay.
    pub fn want_dc_usage(&self, wants: bool) {
        self.state().wants_dcs = wants;
    }

    /// Returns the usage of each data centre by team, as far as this entry has received it.
    #[must_use]
    pub fn dc_usage(&self) -> Vec<DcUsage> {
        let state = self.state();
        let cells = state.dc_usage().iter();
        let usage = cells.map(|(dc, team, usage)| DcUsage {
            dc: dc.clone(),
            team: team.clone(),
            usage,
        });
        usage.collect()
    }

    /// Returns the members, this entry included, with their status.
    #[must_use]
    pub fn members(&self) -> Vec<KnownMember> {
        let (state, now) = (self.state(), self.now());
        let members = state.members.members();
        let status = |member: &Member| {
            let status = state.members.status(member.entry, now)?;
            let member = member.clone();
            Some(KnownMember { member, status })
        };
        members.filter_map(status).collect()
    }

    /// Queries every live member, one after the other, for what became of a request or task, and returns the first
    /// explanation.
    pub async fn explain(&self, ask: ExplainAsk) -> Option<Box<str>> {
        let own = self.inner.hello.member.entry;
        let members = self.members();
        let others = members.iter().filter(|known| known.member.entry != own);
        for known in others.filter(|known| known.status == MemberStatus::Live) {
            let request = Request::Explain(ask.clone());
            let answer = self.inner.links.call(known.member.address, &request).await;
            if let Ok(Reply::Explain(Some(found))) = answer {
                return Some(found);
            }
        }
        None
    }

    /// Queries the relay of every data centre for the revision that each of its entries works by. Entries of a data
    /// centre whose relay does not answer are absent.
    pub async fn in_force(&self) -> Vec<InForce> {
        let relays = {
            let (state, now) = (self.state(), self.now());
            let own = &state.members.own().dc;
            let dcs = state.members.dcs();
            let others = dcs.iter().filter(|dc| *dc != own);
            let relays = others.filter_map(|dc| state.members.relay(dc, now));
            relays.map(|relay| relay.address).collect::<Vec<_>>()
        };
        let ask = async |address| {
            let answer = self.inner.links.call(address, &Request::InForce).await;
            match answer {
                Ok(Reply::InForce(in_force)) => in_force,
                Ok(_) | Err(_) => Vec::new(),
            }
        };
        let replies = join_all(relays.into_iter().map(ask)).await;
        let mut all = self.state().in_force();
        all.extend(replies.into_iter().flatten());
        all
    }

    /// Sets by which versions of the fleet documents this entry sends work.
    pub fn set_fleet_seen(&self, seen: Vec<FleetSeen>) {
        self.state().fleet_seen = seen;
    }

    /// Returns by which versions of the fleet documents the entry at `address` sends work, or none if it does not
    /// answer.
    pub async fn fleet_seen(&self, address: SocketAddr) -> Option<Vec<FleetSeen>> {
        if address == self.inner.hello.member.address {
            return Some(self.state().fleet_seen.clone());
        }
        match self.inner.links.call(address, &Request::FleetSeen).await {
            Ok(Reply::FleetSeen(seen)) => Some(seen),
            Ok(_) | Err(_) => None,
        }
    }

    async fn explain_here(&self, ask: ExplainAsk) -> Option<Box<str>> {
        let (answer, answered) = oneshot::channel();
        let query = ExplainQuery { ask, answer };
        self.inner.explain.try_send(query).ok()?;
        let timed = tokio::time::timeout(EXPLAIN_TIMEOUT, answered).await;
        timed.ok()?.ok()?
    }

    /// Returns the delta since the revision `above`, or none if that copy is no longer kept or the delta would not be
    /// smaller than the whole.
    fn delta_above(&self, above: Revision) -> Option<CatalogueDelta> {
        let (base, copy) = {
            let state = self.state();
            let base = state.earlier.iter().find(|copy| copy.revision == above)?;
            (base.clone(), state.copy.clone()?)
        };
        delta::pack(&base, &copy)
    }

    fn copy_above(&self, above: Revision) -> Option<CatalogueCopy> {
        let state = self.state();
        let copy = state.copy.as_ref()?;
        (copy.revision > above).then(|| copy.clone())
    }

    fn record_ahead(&self, ahead: Option<NewerRevision>) {
        if let Some(ahead) = ahead {
            *lock(&self.inner.ahead) = Some(ahead);
            self.inner.wake.notify_one();
        }
    }
}

/// Usage of one team in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DcUsage {
    /// The data centre whose entries are summed up.
    pub dc: DcName,
    /// The team that uses the slots.
    pub team: TeamName,
    /// Slots running and waiting, summed up by the relay.
    pub usage: Usage,
}

/// A member with its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// The entry and its address.
    pub member: Member,
    /// Status at the time of the call.
    pub status: MemberStatus,
}

impl<C: Clock + Clone, D: Dial> Handler for Peers<C, D> {
    async fn handle(&self, from: &Hello, request: Request) -> Reply {
        match request {
            Request::Gossip(gossip) if gossip.from != from.member => Reply::Refused(Refused {
                why: "the message names another entry than the handshake".into(),
            }),
            Request::Gossip(gossip) => {
                let now = self.now();
                let mut state = self.state();
                let ahead = state.ingest(&gossip, None, now);
                let digest = Some(gossip.members_digest);
                let reply = state.gossip(Some(&from.member), digest, now);
                drop(state);
                self.record_ahead(ahead);
                Reply::Gossip(Box::new(reply))
            }
            Request::Catalogue(ask) => Reply::Catalogue(self.copy_above(ask.above)),
            Request::CatalogueDelta(ask) => Reply::CatalogueDelta(self.delta_above(ask.above)),
            Request::Claim(ask) => Reply::Claim(self.claim_here(&ask).await),
            Request::Release(ask) => {
                self.state().claims.release(&ask);
                Reply::Done
            }
            Request::Past(ask) => {
                let now = self.now();
                Reply::Past(self.state().claim_resolver().past(&ask, &from.member, now))
            }
            Request::HandOver(part) => {
                let now = self.now();
                let mut state = self.state();
                state.claim_resolver().take_over(&from.member, &part, now);
                Reply::Done
            }
            Request::Explain(ask) => Reply::Explain(self.explain_here(ask).await),
            Request::FleetSeen => Reply::FleetSeen(self.state().fleet_seen.clone()),
            Request::DcUsage(ask) => Reply::DcUsage(self.state().own_dc_usage(ask.have)),
            Request::QuotaChanged => {
                self.quota_told().notify_one();
                Reply::Done
            }
            Request::InForce => Reply::InForce(self.state().in_force()),
            Request::PoolUsage(ask) => Reply::PoolUsage(self.pool_usage_reply(ask)),
        }
    }
}
