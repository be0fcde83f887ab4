//! Entries on loopback for the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_peer::handshake::Hello;
use goldcrest_peer::link::LinkLimits;
use goldcrest_peer::membership::MembershipConfig;
use goldcrest_peer::message::Member;
use goldcrest_peer::peers::{Peers, PeersConfig};
use goldcrest_peer::server::PeerServer;
use goldcrest_types::clock::SystemClock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::EntryId;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Timeout for events that must occur.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Awaits an event that must occur within [`TIMEOUT`].
pub async fn soon<T>(future: impl Future<Output = T>) -> T {
    let timed = tokio::time::timeout(TIMEOUT, future).await;
    timed.expect("the event must occur before the timeout")
}

pub fn member(bits: u128, dc: &str, address: SocketAddr) -> Member {
    Member {
        entry: EntryId::new(bits),
        dc: dc.parse().expect("a name"),
        vm: format!("vm-{bits}").parse().expect("a name"),
        address,
    }
}

/// A member at an address that no test listens on.
pub fn unreached(bits: u128, dc: &str) -> Member {
    member(bits, dc, "127.0.0.1:1".parse().expect("an address"))
}

pub fn hello(member: Member) -> Hello {
    Hello::new(member, KeyDigest::of("secret"))
}

pub fn limits() -> LinkLimits {
    LinkLimits {
        redial_first: Duration::from_millis(10),
        redial_longest: Duration::from_millis(50),
        ..LinkLimits::default()
    }
}

/// Heartbeats every 20 ms, so that a test on real sockets takes little time.
pub fn config() -> PeersConfig {
    let membership = MembershipConfig {
        heartbeat: Duration::from_millis(20),
        ..MembershipConfig::default()
    };
    PeersConfig {
        membership,
        limits: limits(),
        ..PeersConfig::default()
    }
}

/// An entry that listens, and sends requests to peers after [`Entry::run`].
pub struct Entry {
    pub peers: Peers<SystemClock>,
    pub stop: CancellationToken,
}

impl Entry {
    pub async fn start(bits: u128, dc: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let hello = hello(member(bits, dc, address));
        let (peers, queries) = Peers::new(hello.clone(), config(), SystemClock);
        drop(queries);
        let stop = CancellationToken::new();
        let server = PeerServer::new(listener, hello, Arc::new(peers.clone()));
        tokio::spawn(server.run(stop.clone()));
        Self { peers, stop }
    }

    pub fn member(&self) -> &Member {
        &self.peers.hello().member
    }

    /// Starts to send requests to peers.
    pub fn run(&self) {
        tokio::spawn(self.peers.clone().run(self.stop.clone()));
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
