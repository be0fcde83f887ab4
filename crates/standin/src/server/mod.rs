//! The HTTP listener that the fakes share.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The largest request body that a fake reads, in bytes.
pub const BODY_BYTES_MAX: usize = 32 << 20;

/// A fake's response, with its whole body.
pub type Answer = Response<Full<Bytes>>;

quick_error! {
    /// The handler's request to close the connection without an answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HangUp {
        /// An injected fault closes the connection, or the request's body could not be read.
        Fault {
            display("the connection is closed without an answer: switch the fault off")
        }
    }
}

/// Binds a listener on loopback, on a port that the kernel assigns.
///
/// # Errors
///
/// The operating system's error if no listener can be bound.
pub async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds a listener, serves its connections with `handle` in a task until `stop`, and returns the address.
///
/// # Errors
///
/// The operating system's error if no listener can be bound.
pub async fn listen<H, F>(stop: CancellationToken, handle: H) -> io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Answer, HangUp>> + Send + 'static,
{
    let (listener, address) = bind().await?;
    tokio::spawn(serve(listener, stop, handle));
    Ok(address)
}

/// Serves connections with `handle` until `stop`, which also closes the open ones.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Answer, HangUp>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service_fn(handle.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            let builder = Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = stop.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}

/// Reads a whole body. Returns `None` if it exceeds [`BODY_BYTES_MAX`] or is truncated.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, BODY_BYTES_MAX).collect().await.ok()?;
    Some(whole.to_bytes())
}

/// Reads a JSON body. Returns `None` if the body can't be read or does not parse.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).ok()
}

/// Builds an answer from a status and a text.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Builds an answer with status 200 and `message` as JSON; status 500 if it can't be serialised.
#[must_use]
pub fn json<T: Serialize>(message: &T) -> Answer {
    match serde_json::to_vec(message) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
