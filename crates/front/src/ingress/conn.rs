//! Accepts and serves callers' connections.
//!
//! A connection must deliver a request within the header timeout. It is closed if an HTTP/1.1 answer is still open at
//! its deadline, and gracefully when the entry drains. Its bounds are those of [`FrontCfg`](crate::FrontCfg).

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;

use crate::body::{OpenAnswer, OutBody};
use crate::call;
use crate::drain::Drain;
use crate::front::{FrontError, Shared};

/// The interval at which the timer of a connection without an open answer fires.
const IDLE_INTERVAL: Duration = Duration::from_mins(1);

/// The state that the requests of one connection share.
#[derive(Default)]
pub(crate) struct ConnState {
    has_request: AtomicBool,
    answer: Mutex<Option<OpenAnswer>>,
}

impl ConnState {
    /// Makes the connection cut `answer` off at its deadline. Replaces an earlier answer: HTTP/1.1 has one open at a
    /// time.
    pub(crate) fn watch(&self, answer: Option<OpenAnswer>) {
        *self.lock() = answer;
    }

    fn deadline(&self) -> Option<Instant> {
        self.lock().as_ref().map(OpenAnswer::deadline)
    }

    /// Cuts the answer off if it is still open at its deadline, and returns whether it was.
    fn cut_overdue(&self) -> bool {
        let mut watched = self.lock();
        let Some(answer) = watched.take_if(|answer| answer.deadline() <= Instant::now()) else {
            return false;
        };
        drop(watched);
        let is_open = answer.is_open();
        answer.cut();
        is_open
    }

    fn lock(&self) -> MutexGuard<'_, Option<OpenAnswer>> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The timer of one connection. It is reset only to an earlier time or after it has fired, so that successive requests
/// do not each reset it.
struct ConnTimer {
    timer: Pin<Box<Sleep>>,
    state: Arc<ConnState>,
}

impl ConnTimer {
    fn new(state: Arc<ConnState>, first_request: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(first_request));
        Self { timer, state }
    }

    /// Returns ready when the connection must be closed.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(deadline) = self.state.deadline()
            && deadline < self.timer.deadline()
        {
            self.timer.as_mut().reset(deadline);
        }
        while self.timer.as_mut().poll(cx).is_ready() {
            // hyper does not limit the time until the first bytes arrive.
            let has_no_request = !self.state.has_request.load(Ordering::Relaxed);
            if has_no_request || self.state.cut_overdue() {
                return Poll::Ready(());
            }
            let idle = Instant::now() + IDLE_INTERVAL;
            let next = self.state.deadline().unwrap_or(idle);
            self.timer.as_mut().reset(next);
        }
        Poll::Pending
    }
}

/// Accepts connections until `stop` is cancelled or a drain closes the listener, then accepts the backlog.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    listener: TcpListener,
    stop: &CancellationToken,
) -> Result<(), FrontError> {
    // A drain waits for this token, and thereby for the backlog.
    let _open = shared.drain.listeners.token();
    let permits = Arc::new(Semaphore::new(shared.cfg.connections_max));
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &permits) => accepted,
            () = stop.cancelled() => break,
            () = shared.drain.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, permit)) => spawn(shared, stream, permit, stop),
            Err(error) if is_transient(&error) => back_off(&error).await,
            Err(error) => return Err(FrontError::Accept(error)),
        }
    }
    accept_backlog(shared, &listener, &permits, stop).await;
    Ok(())
}

/// Accepts one connection once the number of open ones is below the bound.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Serves the connections that callers had established before the listener closed, as far as the bound allows.
async fn accept_backlog(
    shared: &Arc<Shared>,
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    stop: &CancellationToken,
) {
    while let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
        let next = std::future::poll_fn(|cx| match listener.poll_accept(cx) {
            Poll::Ready(result) => Poll::Ready(result.ok()),
            Poll::Pending => Poll::Ready(None),
        });
        let Some((stream, _)) = next.await else {
            return;
        };
        spawn(shared, stream, permit, stop);
    }
}

fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind;
    let is_lost = matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    );
    // Out of file descriptors: ENFILE and EMFILE.
    is_lost || matches!(error.raw_os_error(), Some(23 | 24))
}

async fn back_off(error: &io::Error) {
    log::warn!(target: "front", "Could not accept a connection from a caller: {error}; trying again in 10 ms.");
    tokio::time::sleep(Duration::from_millis(10)).await;
}

fn spawn(
    shared: &Arc<Shared>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    stop: &CancellationToken,
) {
    stream.set_nodelay(true).ok();
    let task = serve(Arc::clone(shared), stream, stop.clone());
    let tracked = shared.drain.connections.track_future(async move {
        task.await;
        drop(permit);
    });
    tokio::spawn(tracked);
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, stop: CancellationToken) {
    let state = Arc::new(ConnState::default());
    let builder = builder(&shared);
    let service = {
        let (shared, state) = (Arc::clone(&shared), Arc::clone(&state));
        service_fn(move |request| answer(Arc::clone(&shared), Arc::clone(&state), request))
    };
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let mut conn_timer = ConnTimer::new(state, shared.cfg.header_read_timeout);
    // All connections share the locks of the cancellation tokens. `FuturesUnordered` polls its future only when it was
    // woken, and so avoids contention on them.
    let mut signals = FuturesUnordered::new();
    signals.push(signal(&shared.drain, &stop, false));
    std::future::poll_fn(|cx| {
        if conn.as_mut().poll(cx).is_ready() || conn_timer.poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while let Poll::Ready(Some(signal)) = signals.poll_next_unpin(cx) {
            match signal {
                Signal::Cut => return Poll::Ready(()),
                Signal::Close => conn.as_mut().graceful_shutdown(),
            }
            signals.push(self::signal(&shared.drain, &stop, true));
            if conn.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    })
    .await;
}

/// A request to close a connection.
enum Signal {
    /// Close as soon as there is no open request.
    Close,
    /// Close at once.
    Cut,
}

async fn signal(drain: &Drain, stop: &CancellationToken, is_closing: bool) -> Signal {
    tokio::select! {
        () = drain.cut.cancelled() => Signal::Cut,
        () = drain.graceful.cancelled(), if !is_closing => Signal::Close,
        () = stop.cancelled(), if !is_closing => Signal::Close,
    }
}

fn builder(shared: &Shared) -> auto::Builder<TokioExecutor> {
    let cfg = &shared.cfg;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(cfg.header_read_timeout)
        .max_buf_size(cfg.header_bytes_max)
        .max_headers(cfg.headers_max);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(cfg.streams_max)
        .max_header_list_size(u32::try_from(cfg.header_bytes_max).unwrap_or(u32::MAX))
        .keep_alive_interval(Duration::from_secs(20));
    builder
}

async fn answer(
    shared: Arc<Shared>,
    state: Arc<ConnState>,
    request: Request<Incoming>,
) -> Result<Response<OutBody>, Infallible> {
    state.has_request.store(true, Ordering::Relaxed);
    let is_h1 = request.version() < Version::HTTP_2;
    // If a request has both `Transfer-Encoding` and `Content-Length`, hyper drops the length, and a proxy in front of
    // this entry may have seen another end of the message. So nothing after it on this connection is read as a request.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut answer = call::handle(&shared, &state, request).await;
    if is_h1 && (is_chunked || shared.drain.closing.is_cancelled()) {
        let headers = answer.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}
