//! One entry process: how its parts start, and the order in which they stop.
//!
//! The supervisor tree has one level: every part runs directly below the supervisor and shares only the [`World`]. The
//! order of a stop is fixed: the entry reports not ready, the serving path drains, claims are handed over, the parts
//! end and release quota and roles, and the lease is released last.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;

use goldcrest_front::{DrainReport, Front, FrontCfg};
use goldcrest_obs::logs::Part;
use goldcrest_obs::metrics::Metrics;
use goldcrest_peer::handshake::Hello;
use goldcrest_peer::message::Member;
use goldcrest_peer::peers::PeersConfig;
use goldcrest_ports::http::{HttpFleet, HttpStore, HttpWorkers};
use goldcrest_session::calls::CallRate;
use goldcrest_session::lease::{LeaseKeeper, SessionRecord};
use goldcrest_session::{FollowConfig, SessionConfig};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::EntryId;
use quick_error::quick_error;
use tokio::sync::{Mutex, watch};
use tokio_util::sync::CancellationToken;

use crate::peers::DaemonPeers;
use crate::peers::claims::PeerClaims;
use crate::quota::split::Split;
use crate::scheduler::intake::Intake;
use crate::settings::Settings;
use crate::supervisor::Supervisor;
use crate::world::{
    DaemonClock, DaemonFollower, DaemonRoles, DaemonSession, Fleets, NOTHING_READ, World,
};
use crate::{
    catalogue, fleet, front, gauges, maintenance, operator, peers, quota, roles, scheduler, tasks,
};

const PART: &str = Part::Main.as_str();

quick_error! {
    /// Why an entry can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("{address} can't be listened on ({cause}): free it, or name another in the settings")
            source(cause)
        }
    }
}

/// The addresses that an entry listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for submitters of tasks.
    pub task: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for other entries.
    pub peer: SocketAddr,
}

struct Listeners {
    caller: Arc<StdListener>,
    task: Arc<StdListener>,
    operator: Arc<StdListener>,
    peer: Arc<StdListener>,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, StartError> {
        Ok(Self {
            caller: listen(settings.entry.caller_address)?,
            task: listen(settings.entry.task_address)?,
            operator: listen(settings.entry.operator_address)?,
            peer: listen(settings.peers.address)?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            caller: self.caller.local_addr()?,
            task: self.task.local_addr()?,
            operator: self.operator.local_addr()?,
            peer: self.peer.local_addr()?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<Arc<StdListener>, StartError> {
    let bind = || {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Arc::new(listener))
    };
    bind().map_err(|cause| StartError::Listen(address, cause))
}

/// A running entry.
pub struct Entry {
    world: Arc<World>,
    addresses: Addresses,
    supervisor: Supervisor,
    lease: Supervisor,
}

impl Entry {
    /// Starts an entry. Must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// An address of the settings can't be listened on.
    pub fn start(settings: Settings, clock: DaemonClock) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners
            .addresses()
            .map_err(|cause| StartError::Listen(settings.entry.caller_address, cause))?;
        let world = Arc::new(build_world(settings, clock, addresses.peer));
        world.metrics.register(|registry| {
            world.front.register(registry);
            gauges::register(&world, registry);
        });
        let mut supervisor = Supervisor::new(CancellationToken::new());
        let mut lease = Supervisor::new(CancellationToken::new());
        spawn_lease(&mut lease, &world, addresses.peer);
        spawn_parts(&mut supervisor, &world, &listeners);
        log::info!(
            target: PART,
            entry:% = world.entry,
            callers:% = addresses.caller,
            operators:% = addresses.operator,
            peers:% = addresses.peer;
            "Started."
        );
        Ok(Self {
            world,
            addresses,
            supervisor,
            lease,
        })
    }

    /// The addresses that the entry listens on, with the ports that were assigned for port 0.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The state that the entry's parts share.
    #[must_use]
    pub fn world(&self) -> &Arc<World> {
        &self.world
    }

    /// Stops gracefully: running requests are cut off only after `stop.drain_max_ms` of the settings.
    pub async fn stop(self) -> DrainReport {
        log::info!(target: PART, "Stopping.");
        self.world.stopping.cancel();
        let bound = self.world.settings.stop.drain_max();
        let report = self.world.front.drain(bound).await;
        let members = self.world.peers.hand_over_claims().await;
        log::info!(target: PART, members = members; "Claims handed over.");
        self.supervisor.shut_down().await;
        self.lease.shut_down().await;
        log::info!(target: PART, ended = report.ended, cut = report.cut; "Stopped.");
        report
    }

    /// Ends at once, as a crash does: no request is finished, and no lease, role or quota is released.
    pub fn crash(self) {
        drop(self);
    }
}

fn build_world(settings: Settings, clock: DaemonClock, peer_address: SocketAddr) -> World {
    let entry = EntryId::new(rand::random());
    let dc = settings.entry.data_centre.clone();
    let member = Member {
        entry,
        dc: dc.clone(),
        vm: settings.entry.vm.clone(),
        address: peer_address,
    };
    let secret = KeyDigest::of(settings.peers.secret.reveal());
    let hello = Hello::new(member, secret);
    let (peers, queries) = DaemonPeers::new(hello, PeersConfig::default(), Arc::clone(&clock));
    let catalogue = watch::Sender::new(None);
    let claims = PeerClaims::new(peers.clone(), catalogue.subscribe());
    let timeout = settings.platform.timeout();
    let store = HttpStore::new(settings.platform.store_address, timeout);
    let mut session_cfg = SessionConfig::new(entry, dc.clone());
    session_cfg.call_timeout = timeout;
    session_cfg.lease_ttl = settings.store.lease_ttl();
    session_cfg.rate = CallRate {
        per_second: settings.store.calls_per_second,
        burst: settings.store.calls_per_second.get(),
    };
    let session = DaemonSession::new(store, Arc::clone(&clock), session_cfg);
    let follower = DaemonFollower::new(session.clone(), FollowConfig::default());
    let roles = DaemonRoles::new(session.clone());
    let (intake, writers) = Intake::new();
    World {
        entry,
        follower,
        session,
        platform: HttpFleet::new(settings.platform.fleet_address, timeout),
        workers: HttpWorkers::new(timeout),
        front: Front::new(front_cfg(&settings), Arc::clone(&clock)).with_claims(Arc::new(claims)),
        peers,
        queries: Mutex::new(queries),
        metrics: Metrics::new(),
        catalogue,
        freshness: watch::Sender::new(NOTHING_READ),
        listing: watch::Sender::default(),
        fleets: watch::Sender::new(Fleets::default()),
        split: Split::new(),
        roles,
        waves: watch::Sender::default(),
        sizing: watch::Sender::default(),
        task_usage: watch::Sender::default(),
        task_pools: watch::Sender::default(),
        task_shares: watch::Sender::default(),
        task_queries: watch::Sender::default(),
        intake,
        writers: Mutex::new(writers),
        stopping: CancellationToken::new(),
        settings,
        clock,
    }
}

/// Returns the configuration of the serving path from the settings.
fn front_cfg(settings: &Settings) -> FrontCfg {
    let connections = usize::try_from(settings.front.connections).unwrap_or(usize::MAX);
    let header_bytes = usize::try_from(settings.front.header_bytes.get()).unwrap_or(usize::MAX);
    let mut cfg = FrontCfg::new(settings.entry.data_centre.clone())
        .with_connections_max(connections)
        .with_header_read_timeout(settings.front.header_timeout())
        .with_drain(settings.stop.settle(), settings.stop.settle());
    cfg.connect_timeout = settings.front.connect_timeout();
    cfg.header_bytes_max = header_bytes;
    cfg
}

/// Starts the lease keeper. It has a supervisor of its own, since the lease is released last.
fn spawn_lease(lease: &mut Supervisor, world: &Arc<World>, peer_address: SocketAddr) {
    let record = SessionRecord {
        entry: world.entry,
        dc: world.settings.entry.data_centre.clone(),
        vm: world.settings.entry.vm.clone(),
        peer_address,
    };
    let world = Arc::clone(world);
    lease.spawn(Part::Store, move |stop| {
        LeaseKeeper::new(world.session.clone(), record.clone()).run(stop)
    });
}

/// Starts a part that takes only the world.
fn spawn<R, F>(supervisor: &mut Supervisor, world: &Arc<World>, part: Part, run: R)
where
    R: Fn(Arc<World>, CancellationToken) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let world = Arc::clone(world);
    supervisor.spawn(part, move |stop| run(Arc::clone(&world), stop));
}

fn spawn_parts(supervisor: &mut Supervisor, world: &Arc<World>, listeners: &Listeners) {
    spawn(supervisor, world, Part::Catalogue, catalogue::follow);
    spawn(supervisor, world, Part::Catalogue, catalogue::exchange);
    spawn(supervisor, world, Part::Fleet, fleet::poll_list);
    spawn(supervisor, world, Part::Fleet, fleet::follow_documents);
    spawn(supervisor, world, Part::Fleet, fleet::enrol::run);
    spawn(supervisor, world, Part::Front, front::feed);
    spawn(supervisor, world, Part::Peers, peers::run);
    spawn(supervisor, world, Part::Peers, peers::feed);
    spawn(supervisor, world, Part::Peers, peers::answer_queries);
    spawn(supervisor, world, Part::Quota, quota::keep);
    spawn(supervisor, world, Part::Quota, quota::observe);
    spawn(supervisor, world, Part::Quota, quota::move_allocations);
    spawn(supervisor, world, Part::Store, roles::keep);
    spawn(supervisor, world, Part::Scheduler, scheduler::run);
    spawn(supervisor, world, Part::Scheduler, tasks::write);
    spawn(supervisor, world, Part::Maintenance, maintenance::run);
    spawn_servers(supervisor, world, listeners);
}

/// Starts the parts with a listener, which stays open while its part is restarted.
fn spawn_servers(supervisor: &mut Supervisor, world: &Arc<World>, listeners: &Listeners) {
    let caller = Arc::clone(&listeners.caller);
    spawn(supervisor, world, Part::Front, move |world, stop| {
        front::serve(world, Arc::clone(&caller), stop)
    });
    let peer = Arc::clone(&listeners.peer);
    spawn(supervisor, world, Part::Peers, move |world, stop| {
        peers::serve(world, Arc::clone(&peer), stop)
    });
    let task = Arc::clone(&listeners.task);
    spawn(supervisor, world, Part::Scheduler, move |world, stop| {
        tasks::serve(world, Arc::clone(&task), stop)
    });
    let operators = Arc::clone(&listeners.operator);
    spawn(supervisor, world, Part::Operator, move |world, stop| {
        operator::serve(world, Arc::clone(&operators), stop)
    });
}
