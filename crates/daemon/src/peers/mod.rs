//! The links to the other entries, and the state that this entry publishes to them.
//!
//! [`feed`] passes the state of this process to the links: the live sessions, the listed VMs, the usage of its teams
//! and pools, and until when it may act as a home of idempotency keys. [`claims`] sends the serving path's claims to
//! the entry that is the home of a key.

pub mod claims;

use std::collections::BTreeSet;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::{Freshness, ProofKind};
use goldcrest_obs::logs::Part;
use goldcrest_peer::membership::homes::STANDING_TERM;
use goldcrest_peer::peers::{Peers, Seed};
use goldcrest_peer::server::PeerServer;
use goldcrest_ports::fleet::{VmListing, VmRole};
use goldcrest_types::names::EntryId;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::operator::explain;
use crate::roles::quota_role;
use crate::sizing::demand;
use crate::world::{DaemonClock, World};

const PART: &str = Part::Peers.as_str();

/// The links of a process, with its clock.
pub type DaemonPeers = Peers<DaemonClock>;

/// How often this entry's own state is published.
const FEED_INTERVAL: Duration = Duration::from_millis(250);

/// How often the live sessions are read.
const SESSIONS_INTERVAL: Duration = Duration::from_secs(3);

/// Serves requests of other entries. The listener stays open while this part is restarted.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let listener = match listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: PART, "Peer listener can't be used: {error}.");
            return;
        }
    };
    let hello = world.peers.hello().clone();
    let answer = Arc::new(world.peers.clone());
    PeerServer::new(listener, hello, answer).run(stop).await;
}

/// Queries the other entries once per heartbeat.
pub async fn run(world: Arc<World>, stop: CancellationToken) {
    world.peers.clone().run(stop).await;
}

/// Passes the state of this process to the links every [`FEED_INTERVAL`].
pub async fn feed(world: Arc<World>, stop: CancellationToken) {
    let mut sessions = SessionsView::default();
    let mut validity = HomeValidity::default();
    while !stop.is_cancelled() {
        if sessions.is_due(world.now()) {
            read_sessions(&world, &mut sessions).await;
        }
        feed_usage(&world);
        // Only the entry that moves allocations needs the demand of the other data centres.
        world
            .peers
            .want_dc_usage(world.roles.epoch(&quota_role()).is_some());
        feed_listing(&world);
        validity.extend(&world, valid_until(&world, &sessions));
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(FEED_INTERVAL) => {}
        }
    }
}

/// Answers queries of other entries about requests and tasks that this one has admitted.
pub async fn answer_queries(world: Arc<World>, stop: CancellationToken) {
    let mut queries = world.queries.lock().await;
    loop {
        let query = tokio::select! {
            () = stop.cancelled() => return,
            query = queries.recv() => query,
        };
        let Some(query) = query else {
            return;
        };
        let found = explain::known_here(&world, &query.ask.id).await;
        // The requester may have dropped its receiver.
        let _ = query.answer.send(found);
    }
}

/// The time until the live sessions are read again after a failed read, or while they do not show this entry.
const SESSIONS_RETRY: Duration = Duration::from_millis(500);

/// Until when this entry acts as a home of idempotency keys.
#[derive(Debug, Default)]
struct HomeValidity {
    until: Option<Instant>,
}

impl HomeValidity {
    fn extend(&mut self, world: &World, until: Option<Instant>) {
        let now = world.now();
        let was_valid = self.until.is_some_and(|until| now < until);
        if let Some(until) = until {
            world.peers.extend_standing(until);
            self.until = self.until.max(Some(until));
        }
        let is_valid = self.until.is_some_and(|until| now < until);
        match (was_valid, is_valid) {
            (false, true) => log::info!(target: PART, "Acting as a home of idempotency keys."),
            (false, false) if self.until.take().is_some() => log::warn!(
                target: PART,
                "No longer a home of idempotency keys: no valid session, and no proof that all entries are cut off from the key-value service."
            ),
            _ => {}
        }
    }
}

/// The last reads of the live sessions, and whether a read has shown this entry.
#[derive(Debug, Default)]
struct SessionsView {
    tried_at: Option<Instant>,
    read_at: Option<Instant>,
    has_failed: bool,
    is_listed: bool,
}

impl SessionsView {
    fn is_due(&self, now: Instant) -> bool {
        let interval = if self.has_failed || !self.is_listed {
            SESSIONS_RETRY
        } else {
            SESSIONS_INTERVAL
        };
        self.tried_at
            .is_none_or(|tried_at| now.duration_since(tried_at) >= interval)
    }
}

async fn read_sessions(world: &World, view: &mut SessionsView) {
    let requested_at = world.now();
    view.tried_at = Some(requested_at);
    match world.session.sessions().await {
        Ok(live) => {
            let entries: BTreeSet<EntryId> = live.iter().map(|session| session.entry).collect();
            world.peers.set_sessions(&entries);
            view.is_listed |= entries.contains(&world.entry);
            view.has_failed = false;
            world.roles.set_live(live);
            view.read_at = Some(requested_at);
        }
        Err(error) => {
            view.has_failed = true;
            log::warn!(target: PART, "Live sessions not read, retrying: {error}.");
        }
    }
}

/// Returns until when all peers are certain to count this entry as a member. The later of the two proofs counts: a gap
/// between them would reset the time since which this entry has been a home.
fn valid_until(world: &World, sessions: &SessionsView) -> Option<Instant> {
    if !sessions.is_listed {
        return None;
    }
    let now = world.now();
    let by_session = valid_by_session(world, sessions, now);
    let by_outage = valid_by_outage(world, now);
    by_session.max(by_outage)
}

fn valid_by_session(world: &World, sessions: &SessionsView, now: Instant) -> Option<Instant> {
    let listed_until = sessions.read_at? + STANDING_TERM;
    let session_until = world.session.valid_until(now)?;
    (now < listed_until).then_some(listed_until.min(session_until))
}

/// While no entry has contact with the key-value service, none can observe that a session has expired.
fn valid_by_outage(world: &World, now: Instant) -> Option<Instant> {
    match *world.freshness.borrow() {
        Freshness::Fresh {
            until,
            kind: ProofKind::OutageForAll,
        } if now < until => Some(until),
        Freshness::Fresh { .. } | Freshness::Stale(_) => None,
    }
}

/// Publishes the usage of each team and each pool here: requests, and tasks while this entry schedules them.
fn feed_usage(world: &World) {
    let mut usage = world.task_usage.borrow().clone();
    for of_team in world.front.usage() {
        let cell = usage.entry(of_team.team).or_default();
        cell.running += of_team.running;
        cell.waiting += of_team.waiting;
    }
    world.peers.set_usage(&usage);
    world.peers.set_pool_usage(&demand::own_usage(world));
}

fn feed_listing(world: &World) {
    let listing = world.listing.borrow().clone();
    if listing.vms.is_empty() {
        // The list was not read yet, and an empty one would show every member as departed.
        let seeds = first_seeds(world);
        world.peers.set_listing(&BTreeSet::new(), seeds);
        return;
    }
    let vms = listing.vms.iter().map(|vm| vm.name.clone()).collect();
    world.peers.set_listing(&vms, listed_seeds(world, &listing));
}

fn listed_seeds(world: &World, listing: &VmListing) -> BTreeSet<Seed> {
    let entries = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let mut seeds: BTreeSet<Seed> = entries
        .map(|vm| Seed {
            dc: vm.data_centre.clone(),
            address: vm.address,
        })
        .collect();
    seeds.extend(first_seeds(world));
    seeds
}

fn first_seeds(world: &World) -> BTreeSet<Seed> {
    let first = &world.settings.peers.first_addresses;
    let seed = |address: &std::net::SocketAddr| Seed {
        dc: world.settings.entry.data_centre.clone(),
        address: *address,
    };
    first.iter().map(seed).collect()
}
