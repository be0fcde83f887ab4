//! The links to the other entries, and what this entry tells them.
//!
//! [`feed`] tells the peers' state what this process knows: its revision, its contact with the key-value service, the
//! live sessions, the listed VMs, and what its teams have running. [`claims`] puts the serving path's claims to the
//! entry that is the home of a key.

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

/// The links of a process, as its parts hold them.
pub type DaemonPeers = Peers<DaemonClock>;

/// How often this entry's own state is told anew.
const FEED_INTERVAL: Duration = Duration::from_millis(250);

/// How often the live sessions are read.
const SESSIONS_INTERVAL: Duration = Duration::from_secs(3);

/// Answers other entries. The listener stays open while this part is restarted.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let listener = match listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: PART, "The listener can't be used: {error}.");
            return;
        }
    };
    let hello = world.peers.hello().clone();
    let answer = Arc::new(world.peers.clone());
    PeerServer::new(listener, hello, answer).run(stop).await;
}

/// Asks other entries once a heartbeat.
pub async fn run(world: Arc<World>, stop: CancellationToken) {
    world.peers.clone().run(stop).await;
}

/// Tells the peers' state what this process knows.
pub async fn feed(world: Arc<World>, stop: CancellationToken) {
    let mut sessions = SessionsView::default();
    let mut standing = Standing::default();
    while !stop.is_cancelled() {
        if sessions.is_due(world.now()) {
            read_sessions(&world, &mut sessions).await;
        }
        feed_usage(&world);
        // Only the entry that moves portions needs to know what the other data centres want.
        world
            .peers
            .want_dc_usage(world.roles.epoch(&quota_role()).is_some());
        feed_listing(&world);
        standing.extend(&world, standing_until(&world, &sessions));
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(FEED_INTERVAL) => {}
        }
    }
}

/// Answers questions of other entries about requests and tasks that went through this one.
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
        // The asker may have gone meanwhile.
        let _ = query.answer.send(found);
    }
}

/// How long after a failed read of the live sessions they are read again.
const SESSIONS_RETRY: Duration = Duration::from_millis(500);

/// Until when this entry acts as a home of idempotency keys.
#[derive(Debug, Default)]
struct Standing {
    until: Option<Instant>,
}

impl Standing {
    fn extend(&mut self, world: &World, until: Option<Instant>) {
        let now = world.now();
        let stood = self.until.is_some_and(|until| now < until);
        if let Some(until) = until {
            world.peers.extend_standing(until);
            self.until = self.until.max(Some(until));
        }
        let stands = self.until.is_some_and(|until| now < until);
        match (stood, stands) {
            (false, true) => log::info!(target: PART, "Acting as a home of idempotency keys."),
            (false, false) if self.until.take().is_some() => log::warn!(
                target: PART,
                "No home of idempotency keys any more: neither a session nor an outage for all."
            ),
            _ => {}
        }
    }
}

/// When the live sessions were read last, and whether they showed this entry.
#[derive(Debug, Default)]
struct SessionsView {
    tried_at: Option<Instant>,
    read_at: Option<Instant>,
    has_failed: bool,
    is_listed: bool,
}

impl SessionsView {
    fn is_due(&self, now: Instant) -> bool {
        let pause = if self.has_failed || !self.is_listed {
            SESSIONS_RETRY
        } else {
            SESSIONS_INTERVAL
        };
        self.tried_at
            .is_none_or(|tried_at| now.duration_since(tried_at) >= pause)
    }
}

async fn read_sessions(world: &World, view: &mut SessionsView) {
    let asked_at = world.now();
    view.tried_at = Some(asked_at);
    match world.session.sessions().await {
        Ok(live) => {
            let entries: BTreeSet<EntryId> = live.iter().map(|session| session.entry).collect();
            world.peers.set_sessions(&entries);
            view.is_listed |= entries.contains(&world.entry);
            view.has_failed = false;
            world.roles.set_live(live);
            view.read_at = Some(asked_at);
        }
        Err(error) => {
            view.has_failed = true;
            log::warn!(target: PART, "The sessions can't be read: {error}.");
        }
    }
}

/// Until when the others are sure to count this entry as a member. The later of both proofs counts: a moment without
/// either would make this entry forget since when it has been a home.
fn standing_until(world: &World, sessions: &SessionsView) -> Option<Instant> {
    if !sessions.is_listed {
        return None;
    }
    let now = world.now();
    let by_session = standing_by_session(world, sessions, now);
    let by_outage = standing_by_outage(world, now);
    by_session.max(by_outage)
}

fn standing_by_session(world: &World, sessions: &SessionsView, now: Instant) -> Option<Instant> {
    let listed_until = sessions.read_at? + STANDING_TERM;
    let valid_until = world.session.valid_until(now)?;
    (now < listed_until).then_some(listed_until.min(valid_until))
}

/// While no entry has contact with the key-value service, nobody can see a session lapse.
fn standing_by_outage(world: &World, now: Instant) -> Option<Instant> {
    match *world.freshness.borrow() {
        Freshness::Fresh {
            until,
            kind: ProofKind::OutageForAll,
        } if now < until => Some(until),
        Freshness::Fresh { .. } | Freshness::Stale(_) => None,
    }
}

/// What each team and each pool has here: requests, and tasks while this entry schedules them.
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
        // Nothing has been read yet; an empty list would show every member as gone.
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
