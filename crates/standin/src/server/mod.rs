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

/// What a fake answers with.
pub type Answer = Response<Full<Bytes>>;

quick_error! {
    /// The fake closes the connection without an answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HangUp {
        /// A fault that is switched on asks for it.
        Fault {
            display("the connection is closed without an answer: switch the fault off")
        }
    }
}

/// Binds a listener on loopback with a port from the kernel.
///
/// # Errors
///
/// The error of the operating system.
pub async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Answers connections at an address from the kernel with `handle` until `stop`, and returns the address.
///
/// # Errors
///
/// The error of the operating system.
pub async fn listen<H, F>(stop: CancellationToken, handle: H) -> io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Answer, HangUp>> + Send + 'static,
{
    let (listener, address) = bind().await?;
    tokio::spawn(serve(listener, stop, handle));
    Ok(address)
}

/// Answers connections with `handle` until `stop`. Connections that are open at that moment are cut.
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

/// Reads a whole body, or none if it is too large or cut short.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, BODY_BYTES_MAX).collect().await.ok()?;
    Some(whole.to_bytes())
}

/// Reads a JSON message, or none if it can't be read.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).ok()
}

/// An answer with a status and a short text.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON message.
#[must_use]
pub fn json<T: Serialize>(message: &T) -> Answer {
    match serde_json::to_vec(message) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
