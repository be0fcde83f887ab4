//! An upstream that echoes requests and counts how often each one ran.
//!
//! It echoes a request's body and the header `x-request-id` after the milliseconds of the query's `delay_ms`. The
//! [`CallBook`] that upstreams share counts runs by the header `idempotency-key`, or by request id if there is none. It
//! counts the runs of `POST` separately too, and the peak of concurrent runs of each team.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use crate::server::{self, Answer, HangUp};

/// The header that names a request on its way to an upstream and back.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The header by which a caller marks repeats of one request.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The header that names the team on whose behalf a request is sent.
pub const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");

/// A fault of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum UpstreamFault {
    /// No fault.
    #[default]
    None,
    /// Refuses with 503 before running anything.
    Refusing,
    /// Runs the request and closes the connection without an answer.
    Silent,
    /// Answers with another request's id.
    Crossed,
    /// Answers after this additional delay.
    Slow(Duration),
}

/// Counts of the requests that ran on all upstreams that share it.
#[derive(Debug, Default)]
pub struct CallBook {
    inner: Mutex<CallBookInner>,
}

#[derive(Debug, Default)]
struct CallBookInner {
    runs: HashMap<Box<str>, u32>,
    post_runs: HashMap<Box<str>, u32>,
    running_by_team: HashMap<Box<str>, u32>,
    peak_by_team: HashMap<Box<str>, u32>,
}

impl CallBook {
    fn lock(&self) -> MutexGuard<'_, CallBookInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often the request with this idempotency key or request id ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        self.lock().runs.get(key).copied().unwrap_or(0)
    }

    /// Returns how many different `POST` requests ran.
    #[must_use]
    pub fn once_only(&self) -> usize {
        self.lock().post_runs.len()
    }

    /// Returns how many `POST` requests ran more than once.
    #[must_use]
    pub fn run_twice(&self) -> usize {
        self.lock()
            .post_runs
            .values()
            .filter(|runs| **runs > 1)
            .count()
    }

    /// Returns the peak number of concurrent requests of `team`.
    #[must_use]
    pub fn most_running(&self, team: &str) -> u32 {
        self.lock().peak_by_team.get(team).copied().unwrap_or(0)
    }

    fn begin(&self, method: &Method, key: &str, team: &str) {
        let mut book = self.lock();
        *book.runs.entry(key.into()).or_default() += 1;
        if *method == Method::POST {
            *book.post_runs.entry(key.into()).or_default() += 1;
        }
        let running = book.running_by_team.entry(team.into()).or_default();
        *running += 1;
        let running = *running;
        let peak = book.peak_by_team.entry(team.into()).or_default();
        *peak = running.max(*peak);
    }

    fn end(&self, team: &str) {
        if let Some(running) = self.lock().running_by_team.get_mut(team) {
            *running -= 1;
        }
    }
}

/// One upstream. Clones share the state.
#[derive(Debug, Clone)]
pub struct UpstreamFake {
    book: Arc<CallBook>,
    open: Arc<AtomicU32>,
    started: Arc<AtomicU64>,
    fault: Arc<Mutex<UpstreamFault>>,
}

impl UpstreamFake {
    /// Creates an upstream that counts its runs in `book`.
    #[must_use]
    pub fn new(book: Arc<CallBook>) -> Self {
        Self {
            book,
            open: Arc::default(),
            started: Arc::default(),
            fault: Arc::default(),
        }
    }

    /// Serves until `stop`, and returns the address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no listener can be bound.
    pub async fn listen(&self, stop: CancellationToken) -> io::Result<SocketAddr> {
        let fake = self.clone();
        let handle = move |request| {
            let fake = fake.clone();
            async move { fake.handle(request).await }
        };
        server::listen(stop, handle).await
    }

    /// Sets the fault of this upstream.
    pub fn set_fault(&self, fault: UpstreamFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the live counter of the requests that are running here.
    #[must_use]
    pub fn open(&self) -> Arc<AtomicU32> {
        Arc::clone(&self.open)
    }

    /// Returns the number of requests that have started here.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Acquire)
    }

    fn fault(&self) -> UpstreamFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, HangUp> {
        let fault = self.fault();
        if fault == UpstreamFault::Refusing {
            let mut answer = server::text(StatusCode::SERVICE_UNAVAILABLE, "not run");
            copy_request_id(request.headers(), &mut answer);
            return Ok(answer);
        }
        self.started.fetch_add(1, Ordering::AcqRel);
        let running = Running::new(self, request.method(), request.headers());
        let mut delay = delay_of(&request);
        if let UpstreamFault::Slow(extra) = fault {
            delay += extra;
        }
        let headers = request.headers().clone();
        let body = server::read_body(request.into_body())
            .await
            .ok_or(HangUp::Fault)?;
        tokio::time::sleep(delay).await;
        drop(running);
        let mut answer = Answer::new(http_body_util::Full::new(body));
        match fault {
            UpstreamFault::Silent => return Err(HangUp::Fault),
            UpstreamFault::Crossed => {
                let other = http::HeaderValue::from_static("00000000000000000000000000000000");
                answer.headers_mut().insert(REQUEST_ID_HEADER, other);
            }
            UpstreamFault::None | UpstreamFault::Refusing | UpstreamFault::Slow(_) => {
                copy_request_id(&headers, &mut answer);
            }
        }
        Ok(answer)
    }
}

/// Counts a request as running until it is dropped, which also happens when its connection is closed.
struct Running {
    book: Arc<CallBook>,
    open: Arc<AtomicU32>,
    team: Box<str>,
}

impl Running {
    fn new(upstream: &UpstreamFake, method: &Method, headers: &HeaderMap) -> Self {
        let request_id = header_text(headers, &REQUEST_ID_HEADER);
        let key = header_text(headers, &IDEMPOTENCY_KEY_HEADER).or(request_id);
        let team = header_text(headers, &TEAM_HEADER).unwrap_or("");
        upstream.book.begin(method, key.unwrap_or(""), team);
        upstream.open.fetch_add(1, Ordering::AcqRel);
        Self {
            book: Arc::clone(&upstream.book),
            open: Arc::clone(&upstream.open),
            team: team.into(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
        self.book.end(&self.team);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn copy_request_id(headers: &HeaderMap, answer: &mut Answer) {
    if let Some(id) = headers.get(REQUEST_ID_HEADER) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
}

fn delay_of(request: &Request<Incoming>) -> Duration {
    let query = request.uri().query().unwrap_or("");
    let delay_ms = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("delay_ms=")?.parse().ok());
    Duration::from_millis(delay_ms.unwrap_or(0))
}
