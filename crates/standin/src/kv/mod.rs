//! The key-value service.
//!
//! [`table::Table`] holds the values, versions and leases, without I/O. [`KvFake`] serves one table at one address per
//! data centre, so that a test can inject faults per data centre.

mod table;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::http::store::{
    GrantLease, KeyListing, LEASE_HEADER, LeaseGranted, VERSION_HEADER,
};
use goldcrest_ports::store::{Expect, LeaseId, StoreError, StoreKey, Versioned};
use goldcrest_types::names::DcName;
use goldcrest_types::units::StoreVersion;
use http::header::{IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::{self, Answer, HangUp};
use table::Table;

/// The upper limit of the wait that a watch requests.
const WATCH_WAIT_MAX: Duration = Duration::from_mins(1);

/// A fault of the service as one data centre sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KvFault {
    /// No fault.
    #[default]
    None,
    /// Connections are closed without an answer and nothing takes effect.
    Down,
    /// Calls take effect and then the connection is closed without an answer.
    AnswersLost,
    /// Calls are refused with 429 (too many requests).
    Throttled,
    /// Calls take effect after this additional delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct Shared {
    table: Mutex<Table>,
    changed: Notify,
    faults: Mutex<HashMap<DcName, KvFault>>,
    calls: AtomicU64,
}

/// The key-value service. Clones share the values.
#[derive(Debug, Clone, Default)]
pub struct KvFake {
    shared: Arc<Shared>,
}

impl KvFake {
    /// Creates a service without values and faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves one data centre until `stop`, and returns the address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no listener can be bound.
    pub async fn listen(&self, dc: DcName, stop: CancellationToken) -> io::Result<SocketAddr> {
        let fake = self.clone();
        let handle = move |request| {
            let fake = fake.clone();
            let dc = dc.clone();
            async move { fake.handle(&dc, request).await }
        };
        server::listen(stop, handle).await
    }

    /// Sets the fault of one data centre.
    pub fn set_fault(&self, dc: &DcName, fault: KvFault) {
        lock(&self.shared.faults).insert(dc.clone(), fault);
        // Wakes waiting watches, so that the fault reaches them too.
        self.shared.changed.notify_waiters();
    }

    /// Returns the value at a key, whatever the faults.
    #[must_use]
    pub fn value(&self, key: &StoreKey) -> Option<Bytes> {
        self.table().get(key).map(|found| found.value)
    }

    /// Returns how many calls have arrived, including watches that wait and calls that a fault fails.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    fn fault(&self, dc: &DcName) -> KvFault {
        lock(&self.shared.faults)
            .get(dc)
            .copied()
            .unwrap_or_default()
    }

    async fn handle(&self, dc: &DcName, request: Request<Incoming>) -> Result<Answer, HangUp> {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        match self.fault(dc) {
            KvFault::Down => return Err(HangUp::Fault),
            KvFault::Throttled => return Ok(server::text(StatusCode::TOO_MANY_REQUESTS, "")),
            KvFault::Slow(delay) => tokio::time::sleep(delay).await,
            KvFault::None | KvFault::AnswersLost => {}
        }
        let answer = self.answer(dc, request).await?;
        match self.fault(dc) {
            KvFault::AnswersLost | KvFault::Down => Err(HangUp::Fault),
            KvFault::None | KvFault::Throttled | KvFault::Slow(_) => Ok(answer),
        }
    }

    async fn answer(&self, dc: &DcName, request: Request<Incoming>) -> Result<Answer, HangUp> {
        let path: Box<str> = request.uri().path().into();
        if path.starts_with("/v1/leases") {
            return Ok(self.lease(&path, request).await);
        }
        if &*path == "/v1/kv" {
            return Ok(self.listing(&request));
        }
        let Some(key) = path
            .strip_prefix("/v1/kv/")
            .and_then(|key| key.parse().ok())
        else {
            return Ok(server::text(StatusCode::BAD_REQUEST, "no such path"));
        };
        match *request.method() {
            Method::GET => self.read(dc, &key, &request).await,
            Method::PUT => Ok(self.put(&key, request).await),
            Method::DELETE => Ok(self.delete(&key, request.headers())),
            _ => Ok(server::text(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let mut table = lock(&self.shared.table);
        if table.expire(Instant::now()) {
            self.shared.changed.notify_waiters();
        }
        table
    }

    async fn read(
        &self,
        dc: &DcName,
        key: &StoreKey,
        request: &Request<Incoming>,
    ) -> Result<Answer, HangUp> {
        let query = request.uri().query().unwrap_or("");
        let Some(after) = query_number(query, "after").map(StoreVersion::new) else {
            return Ok(match self.table().get(key) {
                Some(found) => versioned(found),
                None => server::text(StatusCode::NOT_FOUND, ""),
            });
        };
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait_ms).min(WATCH_WAIT_MAX);
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            if self.fault(dc) == KvFault::Down {
                return Err(HangUp::Fault);
            }
            if let Some(found) = self.table().get(key).filter(|found| found.version > after) {
                return Ok(versioned(found));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(server::text(StatusCode::NOT_MODIFIED, ""));
            }
        }
    }

    async fn put(&self, key: &StoreKey, request: Request<Incoming>) -> Answer {
        let Some(expect) = expectation(request.headers()) else {
            return server::text(StatusCode::BAD_REQUEST, "give If-Match or If-None-Match: *");
        };
        let lease = lease_header(request.headers());
        let Some(value) = server::read_body(request.into_body()).await else {
            return server::text(StatusCode::PAYLOAD_TOO_LARGE, "");
        };
        let result = self.table().swap(key, expect, value, lease);
        self.shared.changed.notify_waiters();
        match result {
            Ok(version) => {
                let mut answer = server::text(StatusCode::OK, "");
                set_version(&mut answer, version);
                answer
            }
            Err(error) => refusal(&error),
        }
    }

    fn delete(&self, key: &StoreKey, headers: &HeaderMap) -> Answer {
        let Some(Expect::Version(version)) = expectation(headers) else {
            return server::text(StatusCode::BAD_REQUEST, "give If-Match");
        };
        let result = self.table().remove(key, version);
        self.shared.changed.notify_waiters();
        match result {
            Ok(()) => server::text(StatusCode::NO_CONTENT, ""),
            Err(error) => refusal(&error),
        }
    }

    fn listing(&self, request: &Request<Incoming>) -> Answer {
        let query = request.uri().query().unwrap_or("");
        let Some(prefix) = query_text(query, "prefix") else {
            return server::text(StatusCode::BAD_REQUEST, "give prefix");
        };
        let keys = self.table().keys_under(prefix);
        server::json(&KeyListing { keys })
    }

    async fn lease(&self, path: &str, request: Request<Incoming>) -> Answer {
        if *request.method() == Method::POST {
            let Some(grant) = server::read_json::<GrantLease>(request.into_body()).await else {
                return server::text(StatusCode::BAD_REQUEST, "give ttl_ms");
            };
            let ttl = Duration::from_millis(grant.ttl_ms);
            let lease = self.table().grant(ttl, Instant::now());
            return server::json(&LeaseGranted { lease });
        }
        let number = path
            .strip_prefix("/v1/leases/")
            .and_then(|n| n.parse().ok());
        let Some(lease) = number.map(LeaseId::new) else {
            return server::text(StatusCode::BAD_REQUEST, "no such path");
        };
        match self.table().renew(lease, Instant::now()) {
            Ok(()) => server::text(StatusCode::NO_CONTENT, ""),
            Err(error) => refusal(&error),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn query_text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

fn expectation(headers: &HeaderMap) -> Option<Expect> {
    if headers.contains_key(IF_NONE_MATCH) {
        return Some(Expect::Absent);
    }
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    let version = text.trim_matches('"').parse().ok()?;
    Some(Expect::Version(version))
}

fn lease_header(headers: &HeaderMap) -> Option<LeaseId> {
    let text = headers.get(LEASE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(LeaseId::new)
}

fn versioned(found: Versioned) -> Answer {
    let mut answer = Response::new(Full::new(found.value));
    set_version(&mut answer, found.version);
    answer
}

fn set_version(answer: &mut Answer, version: StoreVersion) {
    let value = HeaderValue::from(version.get());
    answer.headers_mut().insert(VERSION_HEADER, value);
}

fn refusal(error: &StoreError) -> Answer {
    let status = match error {
        StoreError::Conflict => StatusCode::PRECONDITION_FAILED,
        StoreError::LeaseGone => StatusCode::GONE,
        StoreError::Throttled => StatusCode::TOO_MANY_REQUESTS,
        StoreError::Unreachable | StoreError::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        StoreError::Malformed(_) => StatusCode::BAD_REQUEST,
    };
    server::text(status, &error.to_string())
}
