//! Callers' connections.
//!
//! A connection must bring a request within the header timeout. It ends when its answer was stuck past the deadline,
//! and gracefully when the entry drains. Its bounds are those of [`FrontCfg`](crate::FrontCfg).

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

/// A connection without an open answer looks at its timer this often.
const WATCH_IDLE: Duration = Duration::from_mins(1);

/// What the requests of one connection share.
#[derive(Default)]
pub(crate) struct ConnState {
    has_request: AtomicBool,
    answer: Mutex<Option<OpenAnswer>>,
}

impl ConnState {
    /// Has the connection cut `answer` off at its deadline. There is one at a time.
    pub(crate) fn watch(&self, answer: Option<OpenAnswer>) {
        *self.lock() = answer;
    }

    fn deadline(&self) -> Option<Instant> {
        self.lock().as_ref().map(OpenAnswer::deadline)
    }

    /// Cuts the answer off if it is still open at its deadline. Answers whether it was.
    fn cut_late(&self) -> bool {
        let mut place = self.lock();
        let Some(answer) = place.take_if(|answer| answer.deadline() <= Instant::now()) else {
            return false;
        };
        drop(place);
        let is_open = answer.is_open();
        answer.cut();
        is_open
    }

    fn lock(&self) -> MutexGuard<'_, Option<OpenAnswer>> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The timer of one connection. It is moved only to an earlier time or when it has fired, so that requests in a row
/// cost no timer each.
struct Watch {
    timer: Pin<Box<Sleep>>,
    state: Arc<ConnState>,
}

impl Watch {
    fn new(state: Arc<ConnState>, first_request: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(first_request));
        Self { timer, state }
    }

    /// Ready when the connection is to be closed.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(deadline) = self.state.deadline()
            && deadline < self.timer.deadline()
        {
            self.timer.as_mut().reset(deadline);
        }
        while self.timer.as_mut().poll(cx).is_ready() {
            // The library has no limit on the time to the first bytes.
            let is_silent = !self.state.has_request.load(Ordering::Relaxed);
            if is_silent || self.state.cut_late() {
                return Poll::Ready(());
            }
            let idle = Instant::now() + WATCH_IDLE;
            let next = self.state.deadline().unwrap_or(idle);
            self.timer.as_mut().reset(next);
        }
        Poll::Pending
    }
}

/// Takes connections until `stop` or the end of the entry.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    listener: TcpListener,
    stop: &CancellationToken,
) -> Result<(), FrontError> {
    // A drain waits for the backlog too.
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
            Err(error) if is_transient(&error) => shed_listener(&error).await,
            Err(error) => return Err(FrontError::Accept(error)),
        }
    }
    take_backlog(shared, &listener, &permits, stop).await;
    Ok(())
}

/// Takes one connection once there is room for it.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Connections that callers had made before the listener closed are served too.
async fn take_backlog(
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

async fn shed_listener(error: &io::Error) {
    log::warn!(target: "front", "Cannot take a connection: {error}.");
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
    let mut watch = Watch::new(state, shared.cfg.header_read_timeout);
    // The collection polls its future only when that was woken; the tokens' locks are shared by all connections.
    let mut signals = FuturesUnordered::new();
    signals.push(signal(&shared.drain, &stop, false));
    std::future::poll_fn(|cx| {
        if conn.as_mut().poll(cx).is_ready() || watch.poll(cx).is_ready() {
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

/// What a connection is told.
enum Signal {
    /// It closes as soon as it has no request.
    Close,
    /// It closes now.
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
    // With both length headers the library drops the length, so a proxy before this entry may have seen another end
    // of the message. Nothing after it on this connection is taken as a request.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut answer = call::handle(&shared, &state, request).await;
    if is_h1 && (is_chunked || shared.drain.closing.is_cancelled()) {
        let headers = answer.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}
