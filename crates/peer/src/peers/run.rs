//! The loops that send requests to peers, and the links that they use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use goldcrest_types::clock::Clock;
use goldcrest_types::units::Revision;
use log::{debug, info};
use rand::Rng;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::targets::{Target, targets, usage_relays};
use super::{Peers, lock};
use crate::delta;
use crate::dial::Dial;
use crate::handshake::Hello;
use crate::link::{Link, LinkError, LinkLimits};
use crate::message::{
    CatalogueCopy, CatalogueRequest, Gossip, Member, Reply, Request, UsageRequest,
};
use crate::part;
use crate::transport::Traffic;

/// A link that has not been used for this long is closed.
const IDLE_MAX: Duration = Duration::from_mins(1);

struct ManagedLink<C, D> {
    link: Link<C, D>,
    stop: CancellationToken,
    used: Instant,
}

/// The links of an entry, by address. Each is dialled at its first use and closed when idle.
pub(super) struct Links<C, D> {
    hello: Hello,
    limits: LinkLimits,
    clock: C,
    dial: D,
    traffic: Arc<Traffic>,
    kept: Mutex<HashMap<SocketAddr, ManagedLink<C, D>>>,
    tasks: TaskTracker,
}

impl<C: Clock + Clone, D: Dial> Links<C, D> {
    pub(super) fn new(hello: Hello, limits: LinkLimits, clock: C, dial: D) -> Self {
        Self {
            hello,
            limits,
            clock,
            dial,
            traffic: Arc::default(),
            kept: Mutex::new(HashMap::new()),
            tasks: TaskTracker::new(),
        }
    }

    pub(super) fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Returns the link to `address`, and starts one if there is none yet.
    fn link(&self, address: SocketAddr) -> Link<C, D> {
        let now = self.clock.now();
        let mut kept = lock(&self.kept);
        let kept = kept.entry(address).or_insert_with(|| {
            let (hello, clock) = (self.hello.clone(), self.clock.clone());
            let link = Link::with_dial(address, hello, self.limits, clock, self.dial.clone());
            let link = link.with_traffic(Arc::clone(&self.traffic));
            let stop = CancellationToken::new();
            self.tasks.spawn(link.clone().run(stop.clone()));
            ManagedLink {
                link,
                stop,
                used: now,
            }
        });
        kept.used = now;
        kept.link.clone()
    }

    /// Sends a request to the entry at `address`. Waits for its link for at most the timeout of one call.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, LinkError> {
        let link = self.link(address);
        let ready = tokio::time::timeout(self.limits.timeout, link.ready()).await;
        if ready.is_err() {
            return Err(LinkError::Down);
        }
        link.call(request).await
    }

    fn close_idle(&self) {
        let now = self.clock.now();
        lock(&self.kept).retain(|_, kept| {
            let is_used = now.saturating_duration_since(kept.used) < IDLE_MAX;
            if !is_used {
                kept.stop.cancel();
            }
            is_used
        });
    }

    fn close_all(&self) {
        for (_, kept) in lock(&self.kept).drain() {
            kept.stop.cancel();
        }
    }
}

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Sends requests to peers once per heartbeat, until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let heartbeats = self.heartbeat_loop();
        let pulls = self.pull_catalogues();
        let announcements = self.announce_catalogues();
        let notices = self.notify_quota_changes();
        let all = async { tokio::join!(heartbeats, pulls, announcements, notices) };
        let ended = stop.run_until_cancelled(all).await;
        debug_assert!(ended.is_none(), "the loops end only by the token");
        self.inner.links.close_all();
    }

    async fn heartbeat_loop(&self) {
        let mut cycle = u64::from(rand::rng().random::<u16>());
        loop {
            let (targets, relays) = {
                let now = self.now();
                let mut state = self.state();
                state.tick(now);
                self.inner.relay.send_if_modified(|relay| {
                    let is_relay = state.is_relay;
                    std::mem::replace(relay, is_relay) != is_relay
                });
                (targets(&state, cycle, now), usage_relays(&state, now))
            };
            let gossip = join_all(targets.iter().map(|target| self.exchange_gossip(target)));
            let usage = join_all(relays.iter().map(|relay| self.query_dc_usage(relay)));
            let exchanges = async { tokio::join!(gossip, usage) };
            let pause = self.heartbeat();
            let jitter = pause.mul_f64(rand::rng().random_range(0.9..1.1));
            tokio::join!(exchanges, tokio::time::sleep(jitter));
            self.inner.links.close_idle();
            cycle += 1;
        }
    }

    /// Returns the interval between heartbeats. It is halved without contact with the key-value service, since proof
    /// that the catalogue is fresh then passes through several entries.
    fn heartbeat(&self) -> Duration {
        let heartbeat = self.inner.cfg.membership.heartbeat;
        if self.state().own.no_contact.is_some() {
            heartbeat / 2
        } else {
            heartbeat
        }
    }

    async fn exchange_gossip(&self, target: &Target) {
        let gossip = {
            let now = self.now();
            self.state().gossip(target.member.as_ref(), None, now)
        };
        let requested_at = self.now();
        let request = Request::Gossip(Box::new(gossip));
        match self.inner.links.call(target.address, &request).await {
            Ok(Reply::Gossip(reply)) => self.process_reply(&reply, requested_at),
            Ok(_) => debug!(target: part::PEERS, "{} did not reply with gossip.", target.address),
            Err(error) => {
                debug!(target: part::PEERS, "Gossip with {} failed: {error}.", target.address);
                if let Some(member) = &target.member {
                    self.state()
                        .members
                        .mark_unreachable(member.entry, requested_at);
                }
            }
        }
    }

    /// Requests the usage of a relay's data centre by team.
    async fn query_dc_usage(&self, relay: &Member) {
        let have = self.state().received_dcs(relay.entry);
        let request = Request::DcUsage(UsageRequest { have });
        let requested_at = self.now();
        match self.inner.links.call(relay.address, &request).await {
            Ok(Reply::DcUsage(Some(delta))) => self.state().apply_dc_delta(relay.entry, &delta),
            Ok(_) => debug!(target: part::PEERS, "Reply without usage from {}.", relay.address),
            Err(error) => {
                debug!(target: part::PEERS, "Usage request to {} failed: {error}.", relay.address);
                self.state()
                    .members
                    .mark_unreachable(relay.entry, requested_at);
            }
        }
    }

    fn process_reply(&self, reply: &Gossip, requested_at: Instant) {
        let now = self.now();
        let ahead = self.state().ingest(reply, Some(requested_at), now);
        self.record_ahead(ahead);
    }

    /// Fetches the catalogue from a peer that has a higher revision, whenever one is recorded.
    async fn pull_catalogues(&self) {
        loop {
            self.inner.wake.notified().await;
            let Some(ahead) = lock(&self.inner.ahead).take() else {
                continue;
            };
            let above = self.state().revision();
            if ahead.revision <= above {
                continue;
            }
            let fetched = match self.fetch_changes(ahead.address, above).await {
                Some(copy) => Some(copy),
                None => self.fetch_whole(ahead.address, above).await,
            };
            if let Some(copy) = fetched {
                info!(target: part::PEERS, "Catalogue revision {} received from {}.", copy.revision, ahead.address);
                self.offer_catalogue(copy);
            }
        }
    }

    /// Requests the delta from this entry's own copy. Returns none if the whole catalogue must be requested.
    async fn fetch_changes(&self, address: SocketAddr, above: Revision) -> Option<CatalogueCopy> {
        let base = self.state().copy.clone();
        let base = base.filter(|copy| copy.revision == above)?;
        let request = Request::CatalogueDelta(CatalogueRequest { above });
        let answer = self.inner.links.call(address, &request).await;
        let Ok(Reply::CatalogueDelta(Some(delta))) = answer else {
            return None;
        };
        match delta::unpack(&base, &delta) {
            Ok(copy) => (copy.revision > above).then_some(copy),
            Err(error) => {
                debug!(target: part::PEERS, "Catalogue delta from {address} not applied: {error}.");
                None
            }
        }
    }

    async fn fetch_whole(&self, address: SocketAddr, above: Revision) -> Option<CatalogueCopy> {
        let request = Request::Catalogue(CatalogueRequest { above });
        match self.inner.links.call(address, &request).await {
            Ok(Reply::Catalogue(Some(copy))) if copy.revision > above => Some(copy),
            Ok(_) => None,
            Err(error) => {
                debug!(target: part::PEERS, "Catalogue request to {address} failed: {error}.");
                None
            }
        }
    }

    /// Exchanges gossip with all members of the data centre at once when the relay has a new catalogue.
    async fn announce_catalogues(&self) {
        loop {
            self.inner.catalogue_offered.notified().await;
            let local = {
                let state = self.state();
                if !state.is_relay {
                    continue;
                }
                let own = state.members.own();
                let local = state.members.members_of(&own.dc);
                let local = local.filter(|member| member.entry != own.entry);
                local.map(Target::of).collect::<Vec<_>>()
            };
            join_all(local.iter().map(|target| self.exchange_gossip(target))).await;
        }
    }
}
