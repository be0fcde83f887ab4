//! Forwards the answer to the caller and closes the request's record at its end.

use std::sync::Arc;

use http::{Response, Version};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::send::{Answered, Outgoing};
use crate::body::{AnswerBody, AnswerEnd, BodyError, OutBody, RequestSource};
use crate::explain::Step;
use crate::front::{Record, Shared, Ticket};
use crate::ingress::conn::ConnState;
use crate::ingress::headers::to_caller;
use crate::metrics::EndLabel;
use crate::upstream::AnswerLease;

/// An answer with the resources that are released at its end.
pub(super) struct Reply {
    answer: Response<Incoming>,
    limit_bytes: u64,
    conn: Arc<ConnState>,
    is_h2: bool,
    end: End,
}

/// The resources that are held until an answer's last frame.
struct End {
    shared: Arc<Shared>,
    lease: AnswerLease,
    ticket: Ticket,
    source: RequestSource,
}

impl Reply {
    pub(super) fn new(outgoing: &Outgoing<'_>, conn: &Arc<ConnState>, answered: Answered) -> Self {
        Self {
            answer: answered.answer,
            limit_bytes: outgoing.limits.answer_bytes.get(),
            conn: Arc::clone(conn),
            is_h2: outgoing.parts.version == Version::HTTP_2,
            end: End {
                shared: Arc::clone(outgoing.shared),
                lease: answered.lease,
                ticket: answered.ticket,
                source: outgoing.source.clone(),
            },
        }
    }

    /// Builds the response to the caller. The answer is cut off at the deadline: by the connection for HTTP/1.1, by a
    /// task of its own for HTTP/2.
    pub(super) fn into_response(self, mut record: Record) -> Response<OutBody> {
        let (mut parts, body) = self.answer.into_parts();
        record.step(Step::Answered(parts.status.as_u16()));
        to_caller(&mut parts.headers);
        let deadline = Instant::now() + self.end.ticket.time_left();
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

/// Releases the resources and closes the request's record when the answer ends.
struct Ending {
    end: End,
    record: Record,
}

impl AnswerEnd for Ending {
    fn whole(self: Box<Self>) {
        let Self { end, mut record } = *self;
        record.end(EndLabel::Answered);
        let mut ticket = end.ticket;
        ticket.mark_stopped();
        // A connection that still carries the request's body cannot be reused for another request.
        if end.source.is_ended() {
            let now = end.shared.clock.now();
            end.shared.connections.put_idle(end.lease.0, now);
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
