//! The key-value service over HTTP.
//!
//! A value is at `/v1/kv/<key>`; its version travels in the header `x-version`. A swap is a `PUT` with `If-Match` or
//! `If-None-Match: *`. A watch is a `GET` with `after` and `wait_ms`, answered 304 when nothing has changed. Leases are
//! under `/v1/leases`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_types::units::StoreVersion;
use http::header::{IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::call::{Answer, CallError, HttpCaller};
use crate::store::{Expect, LeaseId, Store, StoreError, StoreKey, Versioned};

/// The header that carries a value's version.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-version");

/// The header with the id of the lease that a value is attached to.
pub const LEASE_HEADER: HeaderName = HeaderName::from_static("x-lease");

/// The body of a request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantLease {
    /// How long the lease lasts after its grant and after each renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// The id of the lease.
    pub lease: LeaseId,
}

/// The answer to a request for the keys under a prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyListing {
    /// The keys, sorted.
    pub keys: Vec<StoreKey>,
}

/// A client of the key-value service at one address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    caller: HttpCaller,
    address: SocketAddr,
}

impl HttpStore {
    /// Returns a client of the service at `address`. Each call waits at most `timeout`; a watch adds its own wait.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(timeout),
            address,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        extra: Duration,
    ) -> Result<Answer, StoreError> {
        let answer = self
            .caller
            .call(method, self.address, path, headers, body, extra)
            .await
            .map_err(store_error)?;
        match answer.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Throttled)
            }
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            StatusCode::GONE => Err(StoreError::LeaseGone),
            // A gateway that answers in place of the service does not know whether the request took effect.
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                Err(StoreError::OutcomeUnknown)
            }
            _ => Ok(answer),
        }
    }

    async fn read(&self, path: &str, extra: Duration) -> Result<Option<Versioned>, StoreError> {
        let answer = self
            .call(Method::GET, path, HeaderMap::new(), Bytes::new(), extra)
            .await
            .map_err(read_error)?;
        match answer.status {
            StatusCode::OK => Ok(Some(Versioned {
                version: version_of(&answer)?,
                value: answer.body,
            })),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(StoreError::Malformed(answer.detail())),
        }
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &StoreKey) -> Result<Option<Versioned>, StoreError> {
        self.read(&value_path(key), Duration::ZERO).await
    }

    async fn swap(
        &self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        let mut headers = expect_headers(expect)?;
        if let Some(lease) = lease {
            headers.insert(LEASE_HEADER, header_value(&lease.to_string())?);
        }
        let path = value_path(key);
        let answer = self
            .call(Method::PUT, &path, headers, value, Duration::ZERO)
            .await?;
        match answer.status {
            StatusCode::OK => version_of(&answer),
            _ => Err(StoreError::Malformed(answer.detail())),
        }
    }

    async fn remove(&self, key: &StoreKey, version: StoreVersion) -> Result<(), StoreError> {
        let headers = expect_headers(Expect::Version(version))?;
        let path = value_path(key);
        let answer = self
            .call(Method::DELETE, &path, headers, Bytes::new(), Duration::ZERO)
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(()),
            _ => Err(StoreError::Malformed(answer.detail())),
        }
    }

    async fn watch(
        &self,
        key: &StoreKey,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!(
            "{}?after={after}&wait_ms={}",
            value_path(key),
            wait.as_millis()
        );
        self.read(&path, wait).await
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Vec<StoreKey>, StoreError> {
        let path = format!("/v1/kv?prefix={prefix}");
        let answer = self
            .call(
                Method::GET,
                &path,
                HeaderMap::new(),
                Bytes::new(),
                Duration::ZERO,
            )
            .await
            .map_err(read_error)?;
        let listing: KeyListing = from_json(&answer)?;
        Ok(listing.keys)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&GrantLease { ttl_ms })
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let answer = self
            .call(
                Method::POST,
                "/v1/leases",
                HeaderMap::new(),
                body.into(),
                Duration::ZERO,
            )
            .await?;
        let granted: LeaseGranted = from_json(&answer)?;
        Ok(granted.lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{lease}");
        let answer = self
            .call(
                Method::PUT,
                &path,
                HeaderMap::new(),
                Bytes::new(),
                Duration::ZERO,
            )
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(()),
            _ => Err(StoreError::Malformed(answer.detail())),
        }
    }
}

fn value_path(key: &StoreKey) -> String {
    format!("/v1/kv/{key}")
}

fn store_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent => StoreError::Unreachable,
        CallError::NoAnswer => StoreError::OutcomeUnknown,
        CallError::BadRequest(detail) => StoreError::Malformed(detail),
    }
}

/// A read changes nothing, so its outcome is never unknown.
fn read_error(error: StoreError) -> StoreError {
    match error {
        StoreError::OutcomeUnknown => StoreError::Unreachable,
        other => other,
    }
}

fn header_value(text: &str) -> Result<HeaderValue, StoreError> {
    HeaderValue::from_str(text).map_err(|error| StoreError::Malformed(error.to_string().into()))
}

fn expect_headers(expect: Expect) -> Result<HeaderMap, StoreError> {
    let mut headers = HeaderMap::new();
    match expect {
        Expect::Absent => headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*")),
        Expect::Version(version) => {
            headers.insert(IF_MATCH, header_value(&format!("\"{version}\""))?)
        }
    };
    Ok(headers)
}

fn version_of(answer: &Answer) -> Result<StoreVersion, StoreError> {
    answer
        .headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| StoreError::Malformed("an answer without a version".into()))
}

fn from_json<T: for<'a> Deserialize<'a>>(answer: &Answer) -> Result<T, StoreError> {
    if answer.status != StatusCode::OK {
        return Err(StoreError::Malformed(answer.detail()));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| StoreError::Malformed(error.to_string().into()))
}
