//! Sends one request to upstreams and decides on retries.
//!
//! A request is sent again only if no part of it left, or if it is idempotent and none of its body was read; and
//! then only within the retry budget, before the deadline, and to another upstream where there is one. If the
//! caller disconnects, this future is dropped, which ends the send and frees the slot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::outcome::{NotRunCode, Refusal, Sent, UnknownCode, Unsent};
use goldcrest_serve::retry::ATTEMPTS_MAX;
use goldcrest_serve::routing::SendOutcome;
use goldcrest_types::catalogue::QueueLimits;
use goldcrest_types::names::RequestId;
use http::header::{CONTENT_LENGTH, HOST};
use http::uri::{PathAndQuery, Scheme};
use http::{HeaderValue, Request, Response, StatusCode, Uri, Version, request};
use hyper::body::Incoming;

use crate::body::{Fence, RequestBody, RequestFault, RequestSource};
use crate::cfg::UpstreamProtocol;
use crate::explain::Step;
use crate::front::{Record, Shared, Ticket};
use crate::ingress::headers::set_per_send;
use crate::refusal::X_OUTCOME;
use crate::upstream::{Answer, AnswerLease, SendError};

/// If getting a connection took this long, the right to send the request is checked again. The limit is far below the
/// validity periods of keys and quota, and above the time that a connection inside a data centre takes.
const RECHECK_AFTER: Duration = Duration::from_millis(50);

/// A request starts to leave within this time after the last check, or not at all: what that check relied on may have
/// expired while this process was paused.
const SEND_START_MAX: Duration = Duration::from_secs(1);

/// A request to be sent, and the limits of its queue.
pub(super) struct Outgoing<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) is_idempotent: bool,
    pub(super) claimed_until: Option<Instant>,
    pub(super) target: PathAndQuery,
    pub(super) parts: request::Parts,
    pub(super) source: RequestSource,
    pub(super) limits: QueueLimits,
}

/// An answer to be forwarded, with the connection and slot that it holds.
pub(super) struct Answered {
    pub(super) answer: Response<Incoming>,
    pub(super) lease: AnswerLease,
    pub(super) ticket: Ticket,
}

/// What is known about a request's outcome between two sends.
enum SendState {
    /// No part of the request has left.
    Unsent(Unsent, NotRunCode),
    /// The request may have run.
    Sent(Sent, UnknownCode),
}

impl SendState {
    /// Returns the state after another send with the state `next`. Once the request may have run, it stays so.
    fn then(self, next: Self) -> Self {
        match (self, next) {
            (earlier @ Self::Sent(..), Self::Unsent(..)) => earlier,
            (_, next) => next,
        }
    }

    /// The state of a send that was not made. Combined by [`SendState::then`], it does not undo an earlier
    /// [`SendState::Sent`].
    const fn not_made(code: NotRunCode) -> Self {
        Self::Unsent(Unsent::new(), code)
    }

    fn refuse(self) -> Refusal {
        match self {
            Self::Unsent(unsent, code) => unsent.refuse(code, Some(Duration::from_secs(1))),
            Self::Sent(sent, code) => sent.refuse(code),
        }
    }

    /// Returns whether another send is safe and may succeed.
    const fn allows_send(&self, is_idempotent: bool) -> bool {
        match self {
            Self::Unsent(_, NotRunCode::DeadlinePassed | NotRunCode::ClaimsUnavailable) => false,
            Self::Unsent(..) => true,
            Self::Sent(_, code) => {
                is_idempotent
                    && matches!(
                        code,
                        UnknownCode::UpstreamLost
                            | UnknownCode::AnswerCrossed
                            | UnknownCode::AnswerMalformed
                    )
            }
        }
    }
}

/// A send that gave no answer to forward.
struct Failed {
    state: SendState,
    finish: SendOutcome,
}

impl Failed {
    /// No part of the request left in this send.
    const fn not_sent(code: NotRunCode, finish: SendOutcome) -> Self {
        let state = SendState::Unsent(Unsent::new(), code);
        Self { state, finish }
    }

    /// Part of the request may have left in this send.
    const fn unknown(sent: Sent, code: UnknownCode, finish: SendOutcome) -> Self {
        let state = SendState::Sent(sent, code);
        Self { state, finish }
    }
}

/// Sends the request, with retries, until it is answered or refused.
pub(super) async fn run(
    outgoing: &Outgoing<'_>,
    mut ticket: Ticket,
    unsent: Unsent,
    record: &mut Record,
) -> Result<Answered, Refusal> {
    let mut state = SendState::Unsent(unsent, NotRunCode::NoUpstream);
    let mut tried = None;
    let mut attempt = 1;
    loop {
        // Read before the dispatcher checks the request, so that a pause of the process after that check shows as
        // elapsed time.
        let checked_at = outgoing.shared.clock.now();
        let (upstream, address) = match ticket.open_send(tried) {
            Ok(picked) => picked,
            Err(code) => return Err(state.then(SendState::not_made(code)).refuse()),
        };
        record.step(Step::SentTo(address));
        let id = record.request();
        let failed = match send_once(outgoing, &mut ticket, address, id, checked_at).await {
            Ok(answer) => {
                return Ok(Answered {
                    answer: answer.response,
                    lease: answer.lease,
                    ticket,
                });
            }
            Err(failed) => failed,
        };
        ticket.close_send(failed.finish);
        if matches!(failed.state, SendState::Unsent(..)) {
            record.step(Step::NotTaken(address));
        }
        state = state.then(failed.state);
        tried = Some(upstream);
        let Some(pause) = pause_before_next(outgoing, &state, &ticket, attempt) else {
            return Err(state.refuse());
        };
        outgoing.shared.count_retry();
        record.step(Step::Retried);
        attempt += 1;
        tokio::time::sleep(pause).await;
    }
}

fn pause_before_next(
    outgoing: &Outgoing<'_>,
    state: &SendState,
    ticket: &Ticket,
    attempt: u32,
) -> Option<Duration> {
    let may_send = state.allows_send(outgoing.is_idempotent) && outgoing.source.is_whole();
    if !may_send || attempt >= ATTEMPTS_MAX {
        return None;
    }
    let work = ticket.work();
    outgoing
        .shared
        .with_dispatch(|d, now| d.retry(work, attempt, now))
}

async fn send_once(
    outgoing: &Outgoing<'_>,
    ticket: &mut Ticket,
    address: SocketAddr,
    id: RequestId,
    checked_at: Instant,
) -> Result<Answer, Failed> {
    let shared = outgoing.shared;
    let idle_max = if outgoing.is_idempotent {
        shared.cfg.idle_max
    } else {
        shared.cfg.idle_max_once
    };
    let leasing = shared.connections.lease(address, idle_max, checked_at);
    let lease = match tokio::time::timeout(ticket.time_left(), leasing).await {
        Ok(Some(lease)) => lease,
        Ok(None) => {
            let code = NotRunCode::UpstreamUnreachable;
            return Err(Failed::not_sent(code, SendOutcome::Unreachable));
        }
        Err(_) => {
            return Err(Failed::not_sent(
                NotRunCode::DeadlinePassed,
                SendOutcome::Neutral,
            ));
        }
    };
    let fence = match recheck(outgoing, ticket, checked_at) {
        Ok(fence) => fence,
        Err(code) => return Err(Failed::not_sent(code, SendOutcome::Neutral)),
    };
    let Some(request) = build(outgoing, address, id, ticket.time_left(), fence) else {
        return Err(Failed::not_sent(NotRunCode::BadPath, SendOutcome::Neutral));
    };
    ticket.mark_sending();
    let sending = shared.connections.send(lease, request, id, Unsent::new());
    match tokio::time::timeout(ticket.time_left(), sending).await {
        Ok(Ok(answer)) => {
            let latency = shared.clock.now().saturating_duration_since(checked_at);
            check_head(outgoing, ticket, answer, latency)
        }
        Ok(Err(error)) => Err(send_failure(outgoing, ticket, error)),
        Err(_) => {
            let sent = Unsent::new().into_sent();
            Err(Failed::unknown(
                sent,
                UnknownCode::DeadlineRunning,
                SendOutcome::Failed,
            ))
        }
    }
}

/// Checks again that the request may be sent if the last check, at `checked_at`, is too long ago, and returns the
/// time limits on its leaving.
fn recheck(
    outgoing: &Outgoing<'_>,
    ticket: &Ticket,
    checked_at: Instant,
) -> Result<Fence, NotRunCode> {
    let shared = outgoing.shared;
    let mut now = shared.clock.now();
    if now.saturating_duration_since(checked_at) >= RECHECK_AFTER {
        ticket.may_send()?;
        now = shared.clock.now();
    }
    let deadline = ticket.deadline();
    let until = outgoing
        .claimed_until
        .map_or(deadline, |claimed| claimed.min(deadline));
    if until <= now {
        return Err(if deadline <= now {
            NotRunCode::DeadlinePassed
        } else {
            NotRunCode::ClaimsUnavailable
        });
    }
    let begin_until = until.min(now + SEND_START_MAX);
    Ok(Fence::new(Arc::clone(&shared.clock), begin_until, until))
}

fn send_failure(outgoing: &Outgoing<'_>, ticket: &mut Ticket, error: SendError) -> Failed {
    match error {
        SendError::NotSent(unsent) => {
            ticket.mark_stopped();
            Failed {
                state: SendState::Unsent(unsent, NotRunCode::UpstreamUnreachable),
                finish: SendOutcome::Neutral,
            }
        }
        SendError::Failed(sent, code) => match outgoing.source.fault() {
            // Frames that passed the fence before it closed may have left.
            Some(RequestFault::Expired) => {
                Failed::unknown(sent, UnknownCode::DeadlineRunning, SendOutcome::Neutral)
            }
            Some(RequestFault::Lost | RequestFault::TooLarge) => {
                Failed::unknown(sent, UnknownCode::RequestBodyLost, SendOutcome::Neutral)
            }
            None => Failed::unknown(sent, code, SendOutcome::Failed),
        },
    }
}

/// Checks the head of an answer: a refusal by the upstream or an announced length over the limit is a failed send.
fn check_head(
    outgoing: &Outgoing<'_>,
    ticket: &mut Ticket,
    answer: Answer,
    latency: Duration,
) -> Result<Answer, Failed> {
    let (status, headers) = (answer.response.status(), answer.response.headers());
    let outcome = headers.get(X_OUTCOME);
    let is_refusal = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
    if status == StatusCode::SERVICE_UNAVAILABLE && is_refusal {
        ticket.mark_stopped();
        let unsent = answer.sent.refused_by_upstream();
        return Err(Failed {
            state: SendState::Unsent(unsent, NotRunCode::UpstreamRefused),
            finish: SendOutcome::Failed,
        });
    }
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let is_too_large = length.is_some_and(|length| length > outgoing.limits.answer_bytes.get());
    if is_too_large && outgoing.parts.method != http::Method::HEAD {
        let code = UnknownCode::AnswerTooLarge;
        return Err(Failed::unknown(
            answer.sent,
            code,
            SendOutcome::Answered(latency),
        ));
    }
    ticket.set_finish(if status.is_server_error() {
        SendOutcome::Failed
    } else {
        SendOutcome::Answered(latency)
    });
    Ok(answer)
}

fn build(
    outgoing: &Outgoing<'_>,
    address: SocketAddr,
    id: RequestId,
    left: Duration,
    fence: Fence,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(outgoing.source.lend(fence));
    *request.method_mut() = outgoing.parts.method.clone();
    *request.headers_mut() = outgoing.parts.headers.clone();
    set_per_send(request.headers_mut(), id, left);
    match outgoing.shared.cfg.upstream_protocol {
        UpstreamProtocol::Http1 => {
            *request.uri_mut() = Uri::from(outgoing.target.clone());
            if !request.headers().contains_key(HOST) {
                let host = HeaderValue::from_str(&address.to_string()).ok()?;
                request.headers_mut().insert(HOST, host);
            }
        }
        UpstreamProtocol::Http2 => {
            *request.version_mut() = Version::HTTP_2;
            request.headers_mut().remove(HOST);
            let uri = Uri::builder().scheme(Scheme::HTTP);
            let uri = uri.authority(address.to_string());
            *request.uri_mut() = uri.path_and_query(outgoing.target.clone()).build().ok()?;
        }
    }
    Some(request)
}
