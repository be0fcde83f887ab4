//! The link to one other entry: dialled, maintained, and bounded.
//!
//! A [`Link`] is cheap to clone. [`Link::run`] dials its address, and redials with jittered backoff when the link
//! breaks. A call on a link that is down, or that has reached its limit of calls in flight or its rate limit, fails at
//! once; nothing queues without bound.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcrest_types::clock::Clock;
use goldcrest_types::units::PerSecond;
use log::{debug, info};
use quick_error::quick_error;
use rand::Rng;
use tokio::sync::{Notify, watch};
use tokio_tungstenite::WebSocketStream;
use tokio_util::sync::CancellationToken;

use crate::dial::{Dial, TcpDial};
use crate::handshake::{self, HandshakeError, Hello};
use crate::message::{Member, Refused, Reply, Request};
use crate::pace::RateLimiter;
use crate::part;
use crate::service::ExchangeClient;
use crate::transport::{self, FrameTransport, Traffic};
use crate::wire::PacketError;

/// Bounds of one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Maximum number of calls that wait for their reply.
    pub in_flight: usize,
    /// Maximum rate of calls.
    pub rate: PerSecond,
    /// Maximum number of calls in a burst.
    pub burst: u32,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Upper bound of the first pause before redialling.
    pub redial_first: Duration,
    /// Upper bound of any pause before redialling.
    pub redial_longest: Duration,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            in_flight: 64,
            rate: PerSecond::new(500),
            burst: 500,
            timeout: Duration::from_secs(1),
            redial_first: Duration::from_millis(100),
            redial_longest: Duration::from_secs(5),
        }
    }
}

quick_error! {
    /// Reason why a call on a link gave no reply.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkError {
        /// The link is down. The message was not sent.
        Down {
            display("there is no link to the entry: it is dialled again by itself")
        }
        /// The link has reached its limit of calls in flight or its rate limit. The message was not sent.
        Busy {
            display("the link is busy: call less often, or raise its limits in the settings")
        }
        /// No reply arrived before the timeout, or the link broke. The message may have been acted on.
        NoAnswer {
            display("no answer from the entry: ask again, or another entry")
        }
        /// The receiver did not understand the message. Nothing was done there.
        Refused(refused: Refused) {
            display("the entry refused the message: {}", refused.why)
        }
        /// The reply can't be decoded.
        Handler(cause: PacketError) {
            display("the entry's answer was not understood: {cause}")
            source(cause)
        }
        /// The handshake failed.
        Handshake(cause: HandshakeError) {
            display("no link: {cause}")
            source(cause)
        }
        /// The entry's address can't be dialled.
        Dial(detail: Box<str>) {
            display("the entry can't be reached ({detail}): wait, or check that it runs and its address is right")
        }
    }
}

/// Counts of the calls and handshakes of a link, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that failed after they were counted in `calls`.
    pub failed: u64,
    /// Number of times that the link was set up.
    pub set_up: u64,
}

#[derive(Default)]
struct Counters {
    calls: AtomicU64,
    failed: AtomicU64,
    set_up: AtomicU64,
}

/// A link on which this many calls in a row timed out is redialled, since its other end may be gone.
const UNANSWERED_MAX: u32 = 3;

struct Open {
    client: ExchangeClient,
    member: Member,
}

struct Inner<C, D> {
    address: SocketAddr,
    dial: D,
    hello: Hello,
    limits: LinkLimits,
    clock: C,
    open: watch::Sender<Option<Open>>,
    in_flight: tokio::sync::Semaphore,
    rate_limiter: Mutex<RateLimiter>,
    unanswered: AtomicU32,
    unresponsive: Notify,
    counters: Counters,
    traffic: Arc<Traffic>,
}

/// The link to one other entry: dialled, maintained, and bounded.
///
/// A [`Link`] is cheap to clone. [`Link::run`] dials its address, and redials with jittered backoff when the link
/// breaks. A call on a link that is down, or that has reached its limit of calls in flight or its rate limit, fails at
/// once; nothing queues without bound.
pub struct Link<C, D = TcpDial> {
    inner: Arc<Inner<C, D>>,
}

impl<C, D> Clone for Link<C, D> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<C: Clock> Link<C> {
    /// Creates a link to `address` over TCP. It is dialled when [`Link::run`] is called.
    #[must_use]
    pub fn new(address: SocketAddr, hello: Hello, limits: LinkLimits, clock: C) -> Self {
        Self::with_dial(address, hello, limits, clock, TcpDial)
    }
}

impl<C: Clock, D: Dial> Link<C, D> {
    /// Creates a link to `address` whose streams are opened by `dial`.
    #[must_use]
    pub fn with_dial(
        address: SocketAddr,
        hello: Hello,
        limits: LinkLimits,
        clock: C,
        dial: D,
    ) -> Self {
        let rate_limiter = RateLimiter::new(limits.rate, limits.burst, clock.now());
        let (open, _) = watch::channel(None);
        let inner = Inner {
            address,
            dial,
            hello,
            limits,
            clock,
            open,
            in_flight: tokio::sync::Semaphore::new(limits.in_flight),
            rate_limiter: Mutex::new(rate_limiter),
            unanswered: AtomicU32::new(0),
            unresponsive: Notify::new(),
            counters: Counters::default(),
            traffic: Arc::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Adds the link's bytes to `traffic`. Has no effect once the link has been cloned.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<Traffic>) -> Self {
        // The link has not been cloned yet, so its state is not shared.
        if let Some(inner) = Arc::get_mut(&mut self.inner) {
            inner.traffic = traffic;
        }
        self
    }

    /// Returns the address that the link dials.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the entry at the other end while the link is up.
    #[must_use]
    pub fn member(&self) -> Option<Member> {
        let open = self.inner.open.borrow();
        open.as_ref().map(|open| open.member.clone())
    }

    /// Returns the counts since the link was created.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        let counters = &self.inner.counters;
        LinkCounts {
            calls: counters.calls.load(Ordering::Relaxed),
            failed: counters.failed.load(Ordering::Relaxed),
            set_up: counters.set_up.load(Ordering::Relaxed),
        }
    }

    /// Waits until the link is up.
    pub async fn ready(&self) {
        let mut open = self.inner.open.subscribe();
        // The sender lives in `self`, so waiting ends only when the link is up.
        drop(open.wait_for(Option::is_some).await);
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails with the reason why there is no reply, which also shows whether the message may have been acted on.
    pub async fn call(&self, request: &Request) -> Result<Reply, LinkError> {
        let inner = &self.inner;
        let Ok(_permit) = inner.in_flight.try_acquire() else {
            return Err(LinkError::Busy);
        };
        let client = {
            let open = inner.open.borrow();
            open.as_ref().ok_or(LinkError::Down)?.client.clone()
        };
        if !lock(&inner.rate_limiter).try_acquire(inner.clock.now()) {
            return Err(LinkError::Busy);
        }
        inner.counters.calls.fetch_add(1, Ordering::Relaxed);
        let answer = self.exchange(&client, request).await;
        if answer.is_err() {
            inner.counters.failed.fetch_add(1, Ordering::Relaxed);
        }
        self.count_unanswered(&answer);
        answer
    }

    fn count_unanswered(&self, answer: &Result<Reply, LinkError>) {
        let unanswered = &self.inner.unanswered;
        if !matches!(answer, Err(LinkError::NoAnswer)) {
            unanswered.store(0, Ordering::Relaxed);
        } else if unanswered.fetch_add(1, Ordering::Relaxed) + 1 >= UNANSWERED_MAX {
            unanswered.store(0, Ordering::Relaxed);
            self.inner.unresponsive.notify_one();
        }
    }

    async fn exchange(
        &self,
        client: &ExchangeClient,
        request: &Request,
    ) -> Result<Reply, LinkError> {
        let limit = self.inner.limits.timeout;
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + limit;
        let call = client.exchange(context, request.to_packet());
        // If the link broke meanwhile, the message may have been sent before.
        let Ok(Ok(packet)) = tokio::time::timeout(limit, call).await else {
            return Err(LinkError::NoAnswer);
        };
        match Reply::from_packet(&packet) {
            Ok(Reply::Refused(refused)) => Err(LinkError::Refused(refused)),
            Ok(reply) => Ok(reply),
            Err(cause) => Err(LinkError::Handler(cause)),
        }
    }

    /// Dials and maintains the link until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let kept = stop.run_until_cancelled(self.maintain()).await;
        debug_assert!(kept.is_none(), "keeping ends only by the token");
        self.inner.open.send_replace(None);
    }

    async fn maintain(&self) {
        let mut tries = 0;
        loop {
            match self.run_once().await {
                Ok(()) => tries = 0,
                Err(error) if tries == 0 => {
                    info!(target: part::PEERS, "Link {}: {error}.", self.inner.address);
                }
                Err(error) => debug!(target: part::PEERS, "Link {}: {error}.", self.inner.address),
            }
            tokio::time::sleep(self.redial_wait(tries)).await;
            tries += 1;
        }
    }

    /// Sets the link up and waits until it breaks.
    async fn run_once(&self) -> Result<(), LinkError> {
        let inner = &self.inner;
        let (transport, member) = self.dial().await?;
        let mut cfg = tarpc::client::Config::default();
        cfg.max_in_flight_requests = inner.limits.in_flight;
        cfg.pending_request_buffer = inner.limits.in_flight;
        let new = ExchangeClient::new(cfg, transport);
        let client = new.client;
        inner.open.send_replace(Some(Open { client, member }));
        inner.counters.set_up.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            ended = new.dispatch => {
                if let Err(error) = ended {
                    info!(target: part::PEERS, "The link to {} broke: {error}.", inner.address);
                }
            }
            () = inner.unresponsive.notified() => info!(target: part::PEERS, "Link {}: calls timed out.", inner.address),
        }
        inner.open.send_replace(None);
        Ok(())
    }

    async fn dial<In, Out>(
        &self,
    ) -> Result<(FrameTransport<D::Stream, In, Out>, Member), LinkError> {
        let inner = &self.inner;
        let dialled = tokio::time::timeout(handshake::HANDSHAKE_TIMEOUT, self.connect());
        let mut socket = dialled.await.map_err(dial_error)??;
        let outcome = handshake::initiate(&mut socket, &inner.hello).await;
        let (hello, version) = outcome.map_err(LinkError::Handshake)?;
        debug!(target: part::PEERS, "Link to {} set up with protocol version {version}.", inner.address);
        let transport = FrameTransport::new(socket, Arc::clone(&inner.traffic));
        Ok((transport, hello.member))
    }

    async fn connect(&self) -> Result<WebSocketStream<D::Stream>, LinkError> {
        let address = self.inner.address;
        let stream = self.inner.dial.dial(address).await.map_err(dial_error)?;
        let url = format!("ws://{address}/peer");
        let cfg = Some(transport::socket_config());
        let connected = tokio_tungstenite::client_async_with_config(url, stream, cfg).await;
        let (socket, _) = connected.map_err(dial_error)?;
        Ok(socket)
    }

    fn redial_wait(&self, tries: u32) -> Duration {
        let limits = &self.inner.limits;
        let bound = limits.redial_first * (1 << tries.min(10));
        let bound = bound.min(limits.redial_longest);
        bound.mul_f64(rand::rng().random_range(0.2..1.0))
    }
}

fn dial_error<E: std::fmt::Display>(error: E) -> LinkError {
    LinkError::Dial(error.to_string().into())
}
