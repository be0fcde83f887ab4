//! The listener for peers.
//!
//! The number of sockets is bounded, and per socket the size of frames and the number of concurrent calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use log::{debug, info, warn};
use tarpc::server::{BaseChannel, Channel};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::handshake::{self, Hello};
use crate::message::{Refused, Reply, Request};
use crate::part;
use crate::service::Exchange;
use crate::transport::{self, FrameTransport, Traffic};
use crate::wire::Packet;

/// Maximum number of sockets that are served at one time.
const SOCKETS_MAX: usize = 1_024;

/// Maximum number of calls of one socket that are handled concurrently.
const IN_FLIGHT_MAX: usize = 64;

/// Pause after a failed accept, which mostly means that there are too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Handles the requests of peers. The daemon's parts provide the results.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of `from`.
    fn handle(&self, from: &Hello, request: Request) -> impl Future<Output = Reply> + Send;
}

/// The listener for peers, with the handler of their requests.
pub struct PeerServer<A> {
    listener: TcpListener,
    hello: Hello,
    handler: Arc<A>,
    sockets: Arc<Semaphore>,
    traffic: Arc<Traffic>,
}

impl<A: Handler> PeerServer<A> {
    fn serve(&self, stream: TcpStream, address: SocketAddr) -> impl Future<Output = ()> + use<A> {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(target: part::PEERS, "TCP_NODELAY not set for {address}: {error}.");
        }
        let (hello, handler) = (self.hello.clone(), Arc::clone(&self.handler));
        serve_stream(stream, address, hello, handler, Arc::clone(&self.traffic))
    }

    /// Creates a server whose requests are handled by `handler`.
    #[must_use]
    pub fn new(listener: TcpListener, hello: Hello, handler: Arc<A>) -> Self {
        Self {
            listener,
            hello,
            handler,
            sockets: Arc::new(Semaphore::new(SOCKETS_MAX)),
            traffic: Arc::default(),
        }
    }

    /// Adds the bytes of all sockets to `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Serves until `stop`, then waits until the tasks of all sockets have ended.
    pub async fn run(self, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        let accept = stop.run_until_cancelled(self.accept(&tasks, &stop)).await;
        debug_assert!(accept.is_none(), "accepting ends only by the token");
        tasks.close();
        tasks.wait().await;
    }

    async fn accept(&self, tasks: &TaskTracker, stop: &CancellationToken) {
        loop {
            let Ok(permit) = Arc::clone(&self.sockets).acquire_owned().await else {
                return std::future::pending().await;
            };
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    let serve = self.serve(stream, address);
                    let stop = stop.clone();
                    tasks.spawn(async move {
                        let ended = stop.run_until_cancelled(serve).await;
                        drop((ended, permit));
                    });
                }
                Err(error) => {
                    warn!(target: part::PEERS, "Accepting a socket failed: {error}.");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Serves one stream from `address` until it ends.
pub async fn serve_stream<S, A>(
    stream: S,
    address: SocketAddr,
    own: Hello,
    handler: Arc<A>,
    traffic: Arc<Traffic>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    A: Handler,
{
    let cfg = Some(transport::socket_config());
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, cfg);
    let timed = tokio::time::timeout(handshake::HANDSHAKE_TIMEOUT, upgrade).await;
    let Ok(Ok(mut socket)) = timed else {
        debug!(target: part::PEERS, "{address}: the WebSocket upgrade failed or timed out.");
        return;
    };
    match handshake::accept(&mut socket, &own).await {
        Ok((other, version)) => {
            debug!(
                target: part::PEERS, "{address} connected as entry {}, protocol version {version}.",
                other.member.entry
            );
            let server = ExchangeServer {
                from: Arc::new(other),
                handler,
            };
            let transport = FrameTransport::new(socket, traffic).with_idle_end();
            serve_calls(transport, server).await;
        }
        Err(error) => info!(target: part::PEERS, "Connection from {address} refused: {error}."),
    }
}

async fn serve_calls<S, A>(
    transport: FrameTransport<
        S,
        tarpc::ClientMessage<crate::service::ExchangeRequest>,
        tarpc::Response<crate::service::ExchangeResponse>,
    >,
    server: ExchangeServer<A>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    A: Handler,
{
    let cfg = tarpc::server::Config {
        pending_response_buffer: IN_FLIGHT_MAX,
    };
    let channel = BaseChannel::new(cfg, transport);
    let calls = channel
        .max_concurrent_requests(IN_FLIGHT_MAX)
        .execute(server.serve());
    calls.for_each_concurrent(IN_FLIGHT_MAX, |call| call).await;
}

struct ExchangeServer<A> {
    from: Arc<Hello>,
    handler: Arc<A>,
}

impl<A> Clone for ExchangeServer<A> {
    fn clone(&self) -> Self {
        Self {
            from: Arc::clone(&self.from),
            handler: Arc::clone(&self.handler),
        }
    }
}

impl<A: Handler> Exchange for ExchangeServer<A> {
    async fn exchange(self, _: tarpc::context::Context, packet: Packet) -> Packet {
        let reply = match Request::from_packet(&packet) {
            Ok(request) => self.handler.handle(&self.from, request).await,
            Err(error) => Reply::Refused(Refused {
                why: error.to_string().into(),
            }),
        };
        reply.to_packet()
    }
}
