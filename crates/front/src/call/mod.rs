//! The handling of one request, from its head to its answer.
//!
//! The steps, each in its own file: [`claim`] claims the idempotency key of a request that may run only once; [`admit`]
//! resolves queue and team and waits for a slot; [`send`] sends it and decides on retries; [`reply`] forwards the
//! answer.
//! A refusal at any step is made from the request's [`Unsent`] or `Sent` token, so it never claims that a request
//! did not run that may have run.

mod admit;
mod claim;
mod reply;
mod send;

use std::sync::Arc;

use bytes::Bytes;
use goldcrest_serve::outcome::{Refusal, Unsent};
use goldcrest_types::names::RequestId;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::body::{OutBody, RequestSource};
use crate::explain::Step;
use crate::front::{Record, Shared};
use crate::ingress::conn::ConnState;
use crate::ingress::head;
use crate::metrics::EndLabel;
use crate::refusal;

/// The path of the readiness check, which the balancer polls.
const READY_PATH: &str = "/ready";

/// Answers one request: the readiness check, or a request to forward.
pub(crate) async fn handle(
    shared: &Arc<Shared>,
    conn: &Arc<ConnState>,
    request: Request<Incoming>,
) -> Response<OutBody> {
    if request.uri().path() == READY_PATH {
        return readiness(shared);
    }
    let id = RequestId::new(rand::random());
    let mut record = Record::new(Arc::clone(shared), id);
    match forward(shared, conn, request, &mut record).await {
        Ok(reply) => reply.into_response(record),
        Err(refusal) => refuse(record, &refusal),
    }
}

async fn forward(
    shared: &Arc<Shared>,
    conn: &Arc<ConnState>,
    request: Request<Incoming>,
    record: &mut Record,
) -> Result<reply::Reply, Refusal> {
    let unsent = Unsent::new();
    let (mut parts, body) = request.into_parts();
    let head = match head::read(&parts) {
        Ok(head) => head,
        Err(code) => return Err(unsent.refuse(code, None)),
    };
    let (mut claim, unsent) = claim::claim(shared, &head, unsent, record).await?;
    let (admitted, unsent) = admit::admit(shared, &head, unsent, record).await?;
    crate::ingress::headers::to_upstream(&mut parts.headers, &parts.uri, &admitted.team);
    if let Some(claim) = &mut claim {
        claim.begin();
    }
    let limits = admitted.limits;
    let outgoing = send::Outgoing {
        shared,
        is_idempotent: head.is_idempotent,
        claimed_until: claim.as_ref().map(claim::Granted::until),
        target: head.target,
        source: RequestSource::new(body, limits.request_bytes.get()),
        parts,
        limits,
    };
    let result = send::run(&outgoing, admitted.ticket, unsent, record).await;
    let result = result.map(|answered| reply::Reply::new(&outgoing, conn, answered));
    if let (Err(Refusal::NotRun { .. }), Some(claim)) = (&result, claim) {
        claim.release().await;
    }
    result
}

fn refuse(mut record: Record, refusal: &Refusal) -> Response<OutBody> {
    record.step(Step::Refused(*refusal));
    record.end(match refusal {
        Refusal::NotRun { .. } => EndLabel::NotRun,
        Refusal::Unknown { .. } => EndLabel::Unknown,
    });
    refusal::response(refusal, record.request())
}

fn readiness(shared: &Shared) -> Response<OutBody> {
    let (status, text) = if shared.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut answer = Response::new(OutBody::full(Full::new(Bytes::from_static(
        text.as_bytes(),
    ))));
    *answer.status_mut() = status;
    answer
}
