//! One HTTP request and its whole, bounded answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;

/// The time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The most idle connections kept to one address.
pub const IDLE_CONNECTIONS_MAX: usize = 8;

/// The largest answer body that is read, in bytes.
pub const ANSWER_BYTES_MAX: usize = 4 << 20;

quick_error! {
    /// Why a call gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// No byte of the request was sent.
        NotSent {
            display("no connection: check the address and that the service runs")
        }
        /// The request may have been read, but no whole answer came.
        NoAnswer {
            display("no whole answer: find out whether the call took effect before repeating it")
        }
        /// The address, path or headers do not form a valid request. Nothing was sent.
        BadRequest(detail: Box<str>) {
            display("the request can't be sent ({detail}): correct its address or headers")
        }
    }
}

/// An HTTP answer that was read completely.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body, [`ANSWER_BYTES_MAX`] bytes at most.
    pub body: Bytes,
}

impl Answer {
    /// Returns the status and the first 120 characters of the body, for an error.
    #[must_use]
    pub fn detail(&self) -> Box<str> {
        let text = String::from_utf8_lossy(&self.body);
        let short: String = text.chars().take(120).collect();
        format!("{} {short}", self.status.as_u16()).into()
    }
}

/// Sends requests and reads their answers. Clones share the connections.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpCaller {
    /// Returns a client that waits at most `timeout` for each complete answer.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self::with_idle(timeout, IDLE_CONNECTIONS_MAX)
    }

    /// Returns a client that opens a new connection for each call. On a reused connection that the server closes at
    /// that moment, a call that was never read counts as one without an answer.
    #[must_use]
    pub fn without_idle(timeout: Duration) -> Self {
        Self::with_idle(timeout, 0)
    }

    fn with_idle(timeout: Duration, idle_max: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_max)
            // A compare-and-swap that was retried here would see its own first attempt as a conflict.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, timeout }
    }

    /// Sends a request to `path` at `address` and reads the whole answer. `extra` is added to the client's timeout.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] only if it is certain that no byte was sent; [`CallError::NoAnswer`] also if the answer
    /// is too large.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        extra: Duration,
    ) -> Result<Answer, CallError> {
        let request = build_request(method, address, path, headers, body)?;
        let exchange = self.exchange(request);
        match tokio::time::timeout(self.timeout + extra, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoAnswer),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent
            } else {
                CallError::NoAnswer
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|_| CallError::NoAnswer)?
            .to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let uri: Uri = format!("http://{address}{path}")
        .parse()
        .map_err(|error: http::uri::InvalidUri| CallError::BadRequest(error.to_string().into()))?;
    let mut request = Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(body))
        .map_err(|error| CallError::BadRequest(error.to_string().into()))?;
    request.headers_mut().extend(headers);
    Ok(request)
}
