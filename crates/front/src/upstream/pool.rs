//! Connections by upstream address: idle ones for HTTP/1.1, one shared connection for HTTP/2.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::body::RequestBody;
use crate::cfg::{FrontCfg, UpstreamProtocol};

/// A connection as one request uses it.
#[derive(Debug)]
pub(crate) enum Conn {
    /// HTTP/1.1: carries one request at a time.
    H1(http1::SendRequest<RequestBody>),
    /// HTTP/2: a handle on a connection that carries many requests at a time.
    H2(http2::SendRequest<RequestBody>),
}

#[derive(Debug)]
struct Idle {
    conn: http1::SendRequest<RequestBody>,
    since: Instant,
}

#[derive(Debug, Default)]
struct Tables {
    h1: HashMap<SocketAddr, Vec<Idle>>,
    h2: HashMap<SocketAddr, http2::SendRequest<RequestBody>>,
}

/// The pool of connections to upstreams.
#[derive(Debug)]
pub(crate) struct Connections {
    cfg: Arc<FrontCfg>,
    tables: Mutex<Tables>,
}

/// A connection in use. It returns to the pool once its answer is complete; dropped before that, an HTTP/1.1 connection
/// closes.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(super) conn: Conn,
    address: SocketAddr,
}

impl Connections {
    pub(crate) fn new(cfg: Arc<FrontCfg>) -> Self {
        Self {
            cfg,
            tables: Mutex::default(),
        }
    }

    /// Returns a connection to `address` that was idle for less than `idle_max`, or a new one. Returns `None` if
    /// connecting fails.
    pub(crate) async fn lease(
        &self,
        address: SocketAddr,
        idle_max: Duration,
        now: Instant,
    ) -> Option<Lease> {
        while let Some(mut conn) = self.take_idle(address, idle_max, now) {
            let is_ready = match &mut conn {
                Conn::H1(sender) => sender.ready().await.is_ok(),
                Conn::H2(sender) => sender.ready().await.is_ok(),
            };
            if is_ready {
                return Some(Lease { conn, address });
            }
            self.evict_closed_h2(address);
        }
        let conn = self.connect(address).await?;
        Some(Lease { conn, address })
    }

    /// Returns a connection whose answer was complete to the pool, unless the pool has enough for its address.
    pub(crate) fn put_idle(&self, lease: Lease, now: Instant) {
        let Conn::H1(conn) = lease.conn else {
            return;
        };
        if conn.is_closed() {
            return;
        }
        let mut tables = self.lock();
        let idle = tables.h1.entry(lease.address).or_default();
        if idle.len() < self.cfg.idle_connections_max {
            idle.push(Idle { conn, since: now });
        }
    }

    /// Closes idle connections to addresses that are not in `known`, and those idle for [`FrontCfg::idle_max`] or
    /// longer.
    pub(crate) fn sweep(&self, known: &HashSet<SocketAddr>, now: Instant) {
        let idle_max = self.cfg.idle_max;
        let mut tables = self.lock();
        tables.h2.retain(|address, _| known.contains(address));
        tables.h1.retain(|address, _| known.contains(address));
        for idle in tables.h1.values_mut() {
            idle.retain(|idle| !idle.conn.is_closed() && is_reusable(idle, idle_max, now));
        }
    }

    fn take_idle(&self, address: SocketAddr, idle_max: Duration, now: Instant) -> Option<Conn> {
        let mut tables = self.lock();
        if let Some(sender) = tables.h2.get(&address) {
            return Some(Conn::H2(sender.clone()));
        }
        let idle = tables.h1.get_mut(&address)?;
        // The last connection returned has been idle for the shortest time: if it is too old, so are the others.
        let last = idle.pop()?;
        if is_reusable(&last, idle_max, now) {
            return Some(Conn::H1(last.conn));
        }
        if is_reusable(&last, self.cfg.idle_max, now) {
            idle.push(last);
        } else {
            idle.clear();
        }
        None
    }

    fn evict_closed_h2(&self, address: SocketAddr) {
        let mut tables = self.lock();
        let is_closed = |sender: &http2::SendRequest<RequestBody>| sender.is_closed();
        if tables.h2.get(&address).is_some_and(is_closed) {
            tables.h2.remove(&address);
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Conn> {
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(self.cfg.connect_timeout, connecting).await;
        let stream = connected.ok()?.ok()?;
        // With Nagle's algorithm small requests would wait for acknowledgements. A failure here only costs latency.
        stream.set_nodelay(true).ok();
        match self.cfg.upstream_protocol {
            UpstreamProtocol::Http1 => self.handshake_h1(stream).await,
            UpstreamProtocol::Http2 => self.handshake_h2(stream, address).await,
        }
    }

    async fn handshake_h1(&self, stream: TcpStream) -> Option<Conn> {
        let mut builder = http1::Builder::new();
        builder.max_headers(self.cfg.headers_max);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.ok()?;
        tokio::spawn(conn);
        Some(Conn::H1(sender))
    }

    async fn handshake_h2(&self, stream: TcpStream, address: SocketAddr) -> Option<Conn> {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder.timer(TokioTimer::new());
        builder.keep_alive_interval(Duration::from_secs(10));
        builder.max_header_list_size(u32::try_from(self.cfg.header_bytes_max).unwrap_or(u32::MAX));
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.ok()?;
        tokio::spawn(conn);
        self.lock().h2.insert(address, sender.clone());
        Some(Conn::H2(sender))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_reusable(idle: &Idle, idle_max: Duration, now: Instant) -> bool {
    now.saturating_duration_since(idle.since) < idle_max
}
