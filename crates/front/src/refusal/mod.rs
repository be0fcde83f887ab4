//! Refusals as RFC 9457 problem documents.

use std::time::Duration;

use bytes::Bytes;
use goldcrest_serve::outcome::Refusal;
use goldcrest_types::names::RequestId;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use crate::body::OutBody;

/// The header that carries the request's id to the upstream and back to the caller.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The header that states on a refusal whether the request ran: `not-run` or `unknown`.
pub const X_OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// The RFC 9457 document in the body of a refusal.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    code: &'a str,
    outcome: &'a str,
    request_id: &'a str,
}

/// Returns the response for `refusal`, with `Retry-After` in whole seconds where the refusal has one.
#[must_use]
pub fn response(refusal: &Refusal, request: RequestId) -> Response<OutBody> {
    let id = request.to_string();
    let kind = format!("urn:goldcreststile:refusal:{}", refusal.code());
    let problem = Problem {
        r#type: &kind,
        title: refusal.code(),
        status: refusal.status(),
        detail: refusal.remedy(),
        code: refusal.code(),
        outcome: refusal.outcome(),
        request_id: &id,
    };
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    let mut answer = Response::new(OutBody::full(Full::new(Bytes::from(text))));
    *answer.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(X_OUTCOME, HeaderValue::from_static(refusal.outcome()));
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(X_REQUEST_ID, value);
    }
    if let Refusal::NotRun {
        retry_after: Some(after),
        ..
    } = refusal
    {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(*after)));
    }
    answer
}

/// Returns `after` in seconds, rounded up, and at least 1.
fn whole_seconds(after: Duration) -> u64 {
    let more = u64::from(after.subsec_nanos() > 0);
    (after.as_secs() + more).max(1)
}
