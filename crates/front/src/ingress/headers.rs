//! Header fields that the entry removes or sets when it forwards a request or an answer.

use std::time::Duration;

use goldcrest_types::names::RequestId;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};

use super::head::{IDEMPOTENCY_KEY, X_DEADLINE_MS, X_IDEMPOTENT};
use crate::refusal::{X_OUTCOME, X_REQUEST_ID};

/// The header that names the team that the request counts towards. The entry sets it for the upstream.
pub const X_TEAM: HeaderName = HeaderName::from_static("x-team");

/// The fields that apply to a single connection, which a proxy does not forward.
static HOP_BY_HOP: [HeaderName; 9] = [
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONNECTION,
];

/// The most that the deadline sent to the upstream is shortened by, to leave time for the answer to return.
const DEADLINE_MARGIN_MAX: Duration = Duration::from_millis(10);

/// Removes the hop-by-hop fields and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST && *name != CONTENT_LENGTH)
        .collect()
}

/// Turns a caller's fields into those sent to an upstream.
///
/// The key's secret is removed, and fields that this entry sets are never taken from a caller.
pub fn to_upstream(headers: &mut HeaderMap, uri: &Uri, team: &str) {
    strip_hop_by_hop(headers);
    for name in [
        AUTHORIZATION,
        EXPECT,
        CONTENT_LENGTH,
        X_OUTCOME,
        X_IDEMPOTENT,
    ] {
        headers.remove(name);
    }
    if let Some(host) = uri.authority().map(http::uri::Authority::as_str)
        && let Ok(value) = HeaderValue::from_str(host)
    {
        headers.insert(HOST, value);
    }
    if let Ok(value) = HeaderValue::from_str(team) {
        headers.insert(X_TEAM, value);
    }
    debug_assert!(!headers.contains_key(AUTHORIZATION));
}

/// Sets the fields of a single send: the request's id, and the time left in ms, shortened by a tenth and by at most
/// [`DEADLINE_MARGIN_MAX`].
pub fn set_per_send(headers: &mut HeaderMap, id: RequestId, left: Duration) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(X_REQUEST_ID, value);
    }
    let margin = (left / 10).min(DEADLINE_MARGIN_MAX);
    let left_ms = u64::try_from(left.saturating_sub(margin).as_millis()).unwrap_or(u64::MAX);
    headers.insert(X_DEADLINE_MS, HeaderValue::from(left_ms));
}

/// Turns an upstream's fields into those sent to the caller.
pub fn to_caller(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(X_OUTCOME);
    headers.remove(IDEMPOTENCY_KEY);
}
