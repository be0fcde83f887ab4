//! The HTTP server of the operators' interface and the tasks' interface.
//!
//! [`serve`] limits the number of connections, the time to receive a request's head, and the duration of a connection,
//! and calls a handler for each request. [`json`] and [`text`] build responses, [`read_json`] reads a bounded body.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_obs::logs::Part;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// The timeout for a request's head, and for the last response while the server stops.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest that a connection stays open.
const CONNECTION_TIMEOUT: Duration = Duration::from_mins(2);

/// The response of a handler.
pub type Answer = Response<Full<Bytes>>;

/// A listener of one part of the process with its limit. The listener stays open while the part is restarted.
#[derive(Debug, Clone)]
pub struct Door {
    /// The part whose log target is used.
    pub part: Part,
    /// The bound, non-blocking listener.
    pub listener: Arc<StdListener>,
    /// The most open connections; further ones are closed at once.
    pub connections_max: usize,
}

/// Serves requests with `handle` until `stop` is cancelled.
pub async fn serve<H, F>(door: Door, stop: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let target = door.part.as_str();
    let listener = match door.listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: target, "Listener can't be used: {error}.");
            return;
        }
    };
    let free = Arc::new(Semaphore::new(door.connections_max));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else {
            log::warn!(target: target, "Connection refused: the limit of open connections is reached.");
            continue;
        };
        let handle = handle.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            connection(stream, stop, handle).await;
            drop(permit);
        });
    }
}

async fn connection<H, F>(stream: TcpStream, stop: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Answer>,
{
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        // A request in progress still gets its response.
        () = stop.cancelled() => {
            serving.as_mut().graceful_shutdown();
            tokio::time::timeout(HEADER_TIMEOUT, serving).await
        }
        ended = tokio::time::timeout(CONNECTION_TIMEOUT, serving.as_mut()) => ended,
    };
    if let Ok(Err(error)) = ended {
        log::debug!(target: Part::Main.as_str(), "Connection ended: {error}.");
    }
}

/// Returns the bearer token of a request; none without one.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let header = headers.get(AUTHORIZATION)?.to_str().ok()?;
    header.strip_prefix("Bearer ")
}

quick_error! {
    /// Why a body can't be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is cut short or too large.
        Size(bytes_max: usize) {
            display("the body is cut short or over {bytes_max} bytes: send it whole, or in smaller parts")
        }
        /// The body is not JSON of the expected form.
        Form(cause: serde_json::Error) {
            display("{cause}: send JSON of the form in the docs")
            source(cause)
        }
    }
}

/// Reads a JSON body of at most `bytes_max` bytes.
///
/// # Errors
///
/// The body is too large, cut short, or not JSON of the expected form.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    bytes_max: usize,
) -> Result<T, BodyError> {
    let whole = Limited::new(body, bytes_max).collect().await;
    let whole = whole.map_err(|_| BodyError::Size(bytes_max))?;
    serde_json::from_slice(&whole.to_bytes()).map_err(BodyError::Form)
}

/// Returns a JSON response.
pub fn json<T: Serialize>(status: StatusCode, message: &T) -> Answer {
    match serde_json::to_vec(message) {
        Ok(body) => with_type(status, body.into(), "application/json"),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    with_type(status, body, "text/plain; charset=utf-8")
}

/// Returns a response with the content type `kind`.
#[must_use]
pub fn with_type(status: StatusCode, body: Bytes, kind: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
