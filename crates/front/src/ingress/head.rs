//! Parses a request's head.
//!
//! A field that may occur only once, or has a value outside its form, is refused, so that no upstream reads it
//! differently.

use std::time::Duration;

use goldcrest_serve::outcome::NotRunCode;
use http::header::{AUTHORIZATION, CONTENT_LENGTH};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, request};

use super::path;

/// The caller's deadline, in milliseconds from the arrival of the request.
pub const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Whether the request is idempotent and may be sent again: `true` or `false`. By default the method decides.
pub const X_IDEMPOTENT: HeaderName = HeaderName::from_static("x-idempotent");
/// Identifies a request over all its sends by the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 256;

/// The parsed head of a request.
#[derive(Debug)]
pub struct Head {
    /// The queue's name.
    pub queue: Box<str>,
    /// The path and query that are sent to the upstream.
    pub target: PathAndQuery,
    /// Whether the request may be sent again after it may have run.
    pub is_idempotent: bool,
    /// The value of [`IDEMPOTENCY_KEY`], 1 to 256 bytes.
    pub idempotency_key: Option<Box<str>>,
    /// How long the caller waits, from [`X_DEADLINE_MS`]; `None` for the default of the queue.
    pub deadline: Option<Duration>,
    /// The secret of the caller's key, from the bearer token.
    pub secret: Option<Box<str>>,
    /// The announced length of the body, in bytes.
    pub length_bytes: Option<u64>,
}

/// Parses a head.
///
/// # Errors
///
/// The refusal code of the first fault found: a method, path or field that is not accepted.
pub fn read(parts: &request::Parts) -> Result<Head, NotRunCode> {
    if parts.method == Method::CONNECT {
        return Err(NotRunCode::MethodRefused);
    }
    let split = path::split(parts.uri.path()).ok_or(NotRunCode::BadPath)?;
    let headers = &parts.headers;
    Ok(Head {
        queue: split.queue.into(),
        target: target(split.rest, parts.uri.query())?,
        is_idempotent: is_idempotent(&parts.method, headers)?,
        idempotency_key: idempotency_key(headers)?,
        deadline: number(headers, &X_DEADLINE_MS)?.map(Duration::from_millis),
        secret: secret(headers)?,
        length_bytes: number(headers, &CONTENT_LENGTH)?,
    })
}

fn target(rest: &str, query: Option<&str>) -> Result<PathAndQuery, NotRunCode> {
    let target = match query {
        Some(query) => PathAndQuery::try_from(format!("{rest}?{query}")),
        None => PathAndQuery::try_from(rest),
    };
    target.map_err(|_| NotRunCode::BadPath)
}

fn is_idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, NotRunCode> {
    match single(headers, &X_IDEMPOTENT)?.map(HeaderValue::as_bytes) {
        Some(b"true") => Ok(true),
        Some(b"false") => Ok(false),
        Some(_) => Err(NotRunCode::BadRequest),
        None => Ok(method.is_idempotent()),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, NotRunCode> {
    let Some(value) = single(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| NotRunCode::BadRequest)?;
    if text.is_empty() || text.len() > IDEMPOTENCY_KEY_BYTES_MAX {
        return Err(NotRunCode::BadRequest);
    }
    Ok(Some(text.into()))
}

fn secret(headers: &HeaderMap) -> Result<Option<Box<str>>, NotRunCode> {
    let Some(value) = single(headers, &AUTHORIZATION)? else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| NotRunCode::BadRequest)?;
    let (scheme, token) = text.split_once(' ').ok_or(NotRunCode::BadRequest)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(NotRunCode::BadRequest);
    }
    Ok(Some(token.trim().into()))
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, NotRunCode> {
    let Some(value) = single(headers, name)? else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| NotRunCode::BadRequest)?;
    let number = text.parse().map_err(|_| NotRunCode::BadRequest)?;
    Ok(Some(number))
}

/// Returns the value of a header that may occur at most once.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, NotRunCode> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        Some(_) => Err(NotRunCode::BadRequest),
        None => Ok(first),
    }
}
