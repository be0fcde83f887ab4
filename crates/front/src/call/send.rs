//! The sends of one request.
//!
//! A request is sent again only if nothing of it left, or if it is idempotent and its body is still whole; and
//! then only within the retry budget, before the deadline, and to another upstream where there is one. A caller
//! that goes away drops this future, which ends everything.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::outcome::{NotRunCode, Refusal, Sent, UnknownCode, Unsent};
use goldcrest_serve::retry::ATTEMPTS_MAX;
use goldcrest_serve::routing::Finish;
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

/// A connection that took longer than this to get is a reason to look again whether the request may be sent. It is far
/// below the terms of keys and quota, and above the time that a connection inside a data centre takes.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// A request begins to leave in this time after the last look, or not at all: whatever that look saw may have lapsed
/// while this process was paused.
const BEGIN_WITHIN: Duration = Duration::from_secs(1);

/// A request that is to be sent.
pub(super) struct Job<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) is_idempotent: bool,
    pub(super) claimed_until: Option<Instant>,
    pub(super) target: PathAndQuery,
    pub(super) parts: request::Parts,
    pub(super) source: RequestSource,
    pub(super) limits: QueueLimits,
}

/// An answer that is to be handed on.
pub(super) struct Answered {
    pub(super) answer: Response<Incoming>,
    pub(super) lease: AnswerLease,
    pub(super) ticket: Ticket,
}

/// What is known of a request's outcome between two sends.
enum Standing {
    /// Nothing left yet.
    Unsent(Unsent, NotRunCode),
    /// It may have run.
    Sent(Sent, UnknownCode),
}

impl Standing {
    /// What is known after another send: once something may have left, that stays.
    fn then(self, next: Self) -> Self {
        match (self, next) {
            (earlier @ Self::Sent(..), Self::Unsent(..)) => earlier,
            (_, next) => next,
        }
    }

    /// What the request came to before a send that was not made. It takes nothing back: see [`Standing::then`].
    const fn lapsed(code: NotRunCode) -> Self {
        Self::Unsent(Unsent::new(), code)
    }

    fn refuse(self) -> Refusal {
        match self {
            Self::Unsent(unsent, code) => unsent.refuse(code, Some(Duration::from_secs(1))),
            Self::Sent(sent, code) => sent.refuse(code),
        }
    }

    /// Whether another send does no harm and may help.
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

/// A send that brought no answer to hand on.
struct Failed {
    standing: Standing,
    finish: Finish,
}

impl Failed {
    /// Nothing left in this send.
    const fn not_sent(code: NotRunCode, finish: Finish) -> Self {
        let standing = Standing::Unsent(Unsent::new(), code);
        Self { standing, finish }
    }

    /// Something may have left in this send.
    const fn unknown(sent: Sent, code: UnknownCode, finish: Finish) -> Self {
        let standing = Standing::Sent(sent, code);
        Self { standing, finish }
    }
}

/// Sends the request until it is answered or given up.
pub(super) async fn run(
    job: &Job<'_>,
    mut ticket: Ticket,
    unsent: Unsent,
    record: &mut Record,
) -> Result<Answered, Refusal> {
    let mut standing = Standing::Unsent(unsent, NotRunCode::NoUpstream);
    let mut tried = None;
    let mut attempt = 1;
    loop {
        // Taken before the pick looks, so that no pause comes between that look and this time unseen.
        let looked = job.shared.clock.now();
        let (upstream, address) = match ticket.open_send(tried) {
            Ok(picked) => picked,
            Err(code) => return Err(standing.then(Standing::lapsed(code)).refuse()),
        };
        record.step(Step::SentTo(address));
        let id = record.request();
        let failed = match send_once(job, &mut ticket, address, id, looked).await {
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
        if matches!(failed.standing, Standing::Unsent(..)) {
            record.step(Step::NotTaken(address));
        }
        standing = standing.then(failed.standing);
        tried = Some(upstream);
        let Some(pause) = pause_before_next(job, &standing, &ticket, attempt) else {
            return Err(standing.refuse());
        };
        job.shared.count_retry();
        record.step(Step::Retried);
        attempt += 1;
        tokio::time::sleep(pause).await;
    }
}

fn pause_before_next(
    job: &Job<'_>,
    standing: &Standing,
    ticket: &Ticket,
    attempt: u32,
) -> Option<Duration> {
    let may_send = standing.allows_send(job.is_idempotent) && job.source.is_whole();
    if !may_send || attempt >= ATTEMPTS_MAX {
        return None;
    }
    let work = ticket.work();
    job.shared.desk(|d, now| d.retry(work, attempt, now))
}

async fn send_once(
    job: &Job<'_>,
    ticket: &mut Ticket,
    address: SocketAddr,
    id: RequestId,
    looked: Instant,
) -> Result<Answer, Failed> {
    let shared = job.shared;
    let idle_max = if job.is_idempotent {
        shared.cfg.idle_max
    } else {
        shared.cfg.idle_max_once
    };
    let leasing = shared.connections.lease(address, idle_max, looked);
    let lease = match tokio::time::timeout(ticket.left(), leasing).await {
        Ok(Some(lease)) => lease,
        Ok(None) => {
            let code = NotRunCode::UpstreamUnreachable;
            return Err(Failed::not_sent(code, Finish::Unreachable));
        }
        Err(_) => {
            return Err(Failed::not_sent(
                NotRunCode::DeadlinePassed,
                Finish::Neutral,
            ));
        }
    };
    let fence = match look_again(job, ticket, looked) {
        Ok(fence) => fence,
        Err(code) => return Err(Failed::not_sent(code, Finish::Neutral)),
    };
    let Some(request) = build(job, address, id, ticket.left(), fence) else {
        return Err(Failed::not_sent(NotRunCode::BadPath, Finish::Neutral));
    };
    ticket.sending();
    let sending = shared.connections.send(lease, request, id, Unsent::new());
    match tokio::time::timeout(ticket.left(), sending).await {
        Ok(Ok(answer)) => {
            let latency = shared.clock.now().saturating_duration_since(looked);
            judge(job, ticket, answer, latency)
        }
        Ok(Err(error)) => Err(fault(job, ticket, error)),
        Err(_) => {
            let sent = Unsent::new().sent();
            Err(Failed::unknown(
                sent,
                UnknownCode::DeadlineRunning,
                Finish::Failed,
            ))
        }
    }
}

/// Looks whether the request may still be sent, which was known at `looked`, and says until when it may begin to leave.
fn look_again(job: &Job<'_>, ticket: &Ticket, looked: Instant) -> Result<Fence, NotRunCode> {
    let shared = job.shared;
    let mut now = shared.clock.now();
    if now.saturating_duration_since(looked) >= LOOK_AGAIN_AFTER {
        ticket.may_send()?;
        now = shared.clock.now();
    }
    let deadline = ticket.deadline();
    let until = job
        .claimed_until
        .map_or(deadline, |claimed| claimed.min(deadline));
    if until <= now {
        return Err(if deadline <= now {
            NotRunCode::DeadlinePassed
        } else {
            NotRunCode::ClaimsUnavailable
        });
    }
    let begin_until = until.min(now + BEGIN_WITHIN);
    Ok(Fence::new(Arc::clone(&shared.clock), begin_until, until))
}

fn fault(job: &Job<'_>, ticket: &mut Ticket, error: SendError) -> Failed {
    match error {
        SendError::NotSent(unsent) => {
            ticket.stopped();
            Failed {
                standing: Standing::Unsent(unsent, NotRunCode::UpstreamUnreachable),
                finish: Finish::Neutral,
            }
        }
        SendError::Failed(sent, code) => match job.source.fault() {
            // The part before the fence may have left.
            Some(RequestFault::Lapsed) => {
                Failed::unknown(sent, UnknownCode::DeadlineRunning, Finish::Neutral)
            }
            Some(RequestFault::Lost | RequestFault::TooLarge) => {
                Failed::unknown(sent, UnknownCode::RequestBodyLost, Finish::Neutral)
            }
            None => Failed::unknown(sent, code, Finish::Failed),
        },
    }
}

/// Looks at the head of an answer to this very request.
fn judge(
    job: &Job<'_>,
    ticket: &mut Ticket,
    answer: Answer,
    latency: Duration,
) -> Result<Answer, Failed> {
    let (status, headers) = (answer.response.status(), answer.response.headers());
    let outcome = headers.get(X_OUTCOME);
    let is_refusal = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
    if status == StatusCode::SERVICE_UNAVAILABLE && is_refusal {
        ticket.stopped();
        let unsent = answer.sent.refused_by_upstream();
        return Err(Failed {
            standing: Standing::Unsent(unsent, NotRunCode::UpstreamRefused),
            finish: Finish::Failed,
        });
    }
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let is_too_large = length.is_some_and(|length| length > job.limits.answer_bytes.get());
    if is_too_large && job.parts.method != http::Method::HEAD {
        let code = UnknownCode::AnswerTooLarge;
        return Err(Failed::unknown(
            answer.sent,
            code,
            Finish::Answered(latency),
        ));
    }
    ticket.set_finish(if status.is_server_error() {
        Finish::Failed
    } else {
        Finish::Answered(latency)
    });
    Ok(answer)
}

fn build(
    job: &Job<'_>,
    address: SocketAddr,
    id: RequestId,
    left: Duration,
    fence: Fence,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(job.source.lend(fence));
    *request.method_mut() = job.parts.method.clone();
    *request.headers_mut() = job.parts.headers.clone();
    set_per_send(request.headers_mut(), id, left);
    match job.shared.cfg.upstream_protocol {
        UpstreamProtocol::Http1 => {
            *request.uri_mut() = Uri::from(job.target.clone());
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
            *request.uri_mut() = uri.path_and_query(job.target.clone()).build().ok()?;
        }
    }
    Some(request)
}
