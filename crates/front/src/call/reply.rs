//! The answer on its way to the caller, and the end of the request's account.

use std::sync::Arc;

use http::{Response, Version};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::send::{Answered, Job};
use crate::body::{AnswerBody, AnswerEnd, BodyError, OutBody, RequestSource};
use crate::explain::Step;
use crate::front::{Record, Shared, Ticket};
use crate::ingress::conn::ConnState;
use crate::ingress::headers::to_caller;
use crate::metrics::EndLabel;
use crate::upstream::AnswerLease;

/// An answer with all that ends with it.
pub(super) struct Reply {
    answer: Response<Incoming>,
    limit_bytes: u64,
    conn: Arc<ConnState>,
    is_h2: bool,
    end: End,
}

/// What ends with an answer's last frame.
struct End {
    shared: Arc<Shared>,
    lease: AnswerLease,
    ticket: Ticket,
    source: RequestSource,
}

impl Reply {
    pub(super) fn new(job: &Job<'_>, conn: &Arc<ConnState>, answered: Answered) -> Self {
        Self {
            answer: answered.answer,
            limit_bytes: job.limits.answer_bytes.get(),
            conn: Arc::clone(conn),
            is_h2: job.parts.version == Version::HTTP_2,
            end: End {
                shared: Arc::clone(job.shared),
                lease: answered.lease,
                ticket: answered.ticket,
                source: job.source.clone(),
            },
        }
    }

    /// The answer that the caller gets.
    pub(super) fn into_response(self, mut record: Record) -> Response<OutBody> {
        let (mut parts, body) = self.answer.into_parts();
        record.step(Step::Answered(parts.status.as_u16()));
        to_caller(&mut parts.headers);
        let deadline = Instant::now() + self.end.ticket.left();
        let end = Box::new(Ending {
            end: self.end,
            record,
        });
        let mut body = AnswerBody::new(body, self.limit_bytes, end);
        if self.is_h2 {
            body.watch(deadline);
        } else {
            self.conn.watch(body.open_until(deadline));
        }
        Response::from_parts(parts, OutBody::Answer(Box::new(body)))
    }
}

/// The end of an answer and of its request's account.
struct Ending {
    end: End,
    record: Record,
}

impl AnswerEnd for Ending {
    fn whole(self: Box<Self>) {
        let Self { end, mut record } = *self;
        record.end(EndLabel::Answered);
        let mut ticket = end.ticket;
        ticket.stopped();
        // A connection that still carries the request's body is not free for another request.
        if end.source.is_ended() {
            let now = end.shared.clock.now();
            end.shared.connections.give_back(end.lease.0, now);
        }
    }

    fn cut(mut self: Box<Self>, error: Option<&BodyError>) {
        let how = if error.is_some() {
            EndLabel::Cut
        } else {
            EndLabel::CallerGone
        };
        self.record.end(how);
    }
}
