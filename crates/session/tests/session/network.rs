//! In-memory streams between the entries of a test, and partitions between data centres.
//!
//! The ends of a stream get no error when the path between them is cut: bytes stop arriving, as on a real network.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use goldcrest_peer::dial::Dial;
use goldcrest_peer::peers::{Peers, Seed};
use goldcrest_peer::server::serve_stream;
use goldcrest_peer::transport::Traffic;
use goldcrest_types::names::DcName;
use tokio::io::DuplexStream;
use tokio::sync::watch;

use crate::common::TokioClock;

/// The time to open a stream.
const DIAL_TIME: Duration = Duration::from_millis(1);

/// The bytes that one stream buffers until they are read.
const STREAM_BYTES: usize = 64 << 10;

/// The peer connections of a test entry.
pub type TestPeers = Peers<TokioClock, Dialer>;

/// The listening entries by address, and the data centres that are cut off.
#[derive(Clone)]
pub struct Network {
    listening: Arc<Mutex<BTreeMap<SocketAddr, TestPeers>>>,
    cut: watch::Sender<BTreeSet<DcName>>,
}

impl Network {
    pub fn new() -> Self {
        Self {
            listening: Arc::default(),
            cut: watch::Sender::new(BTreeSet::new()),
        }
    }

    /// Cuts these data centres off from each other and from all others, and reconnects the rest.
    pub fn cut(&self, dcs: impl IntoIterator<Item = DcName>) {
        self.cut.send_replace(dcs.into_iter().collect());
    }

    pub fn listen(&self, peers: TestPeers) {
        let address = peers.hello().member.address;
        let mut listening = self.listening.lock().expect("a lock");
        listening.insert(address, peers);
    }

    /// Returns the addresses at which entries can be queried for peers.
    pub fn seeds(&self) -> BTreeSet<Seed> {
        let listening = self.listening.lock().expect("a lock");
        let members = listening.values().map(|peers| &peers.hello().member);
        let seeds = members.map(|member| Seed {
            dc: member.dc.clone(),
            address: member.address,
        });
        seeds.collect()
    }

    fn at(&self, address: SocketAddr) -> Option<TestPeers> {
        let listening = self.listening.lock().expect("a lock");
        listening.get(&address).cloned()
    }
}

fn is_cut(cut: &BTreeSet<DcName>, from: &DcName, to: &DcName) -> bool {
    from != to && (cut.contains(from) || cut.contains(to))
}

/// Opens streams from an entry in the data centre `from`.
#[derive(Clone)]
pub struct Dialer {
    network: Network,
    from: DcName,
}

impl Dialer {
    pub fn new(network: &Network, from: &DcName) -> Self {
        Self {
            network: network.clone(),
            from: from.clone(),
        }
    }

    /// Waits until the path to `to` is cut.
    async fn until_cut(&self, to: &DcName) {
        let mut cut = self.network.cut.subscribe();
        drop(cut.wait_for(|cut| is_cut(cut, &self.from, to)).await);
    }

    async fn forward(
        self,
        to: DcName,
        mut dialer_end: DuplexStream,
        mut listener_end: DuplexStream,
    ) {
        tokio::select! {
            ended = tokio::io::copy_bidirectional(&mut dialer_end, &mut listener_end) => drop(ended),
            () = self.until_cut(&to) => {
                // Both ends stay open and receive nothing more.
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Dial for Dialer {
    type Stream = DuplexStream;

    async fn dial(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let Some(peers) = self.network.at(address) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let hello = peers.hello().clone();
        let to = hello.member.dc.clone();
        tokio::time::sleep(DIAL_TIME).await;
        if is_cut(&self.network.cut.borrow(), &self.from, &to) {
            // The first packet is lost, and the dialer gets no answer, even after the path is restored.
            return std::future::pending().await;
        }
        let (own, dialer_end) = tokio::io::duplex(STREAM_BYTES);
        let (listener_end, accepted) = tokio::io::duplex(STREAM_BYTES);
        tokio::spawn(self.clone().forward(to, dialer_end, listener_end));
        let traffic: Arc<Traffic> = Arc::default();
        let answer = Arc::new(peers);
        tokio::spawn(serve_stream(accepted, address, hello, answer, traffic));
        Ok(own)
    }
}
