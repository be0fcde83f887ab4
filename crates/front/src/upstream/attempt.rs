//! One send of a request to one upstream.

use goldcrest_serve::outcome::{Sent, UnknownCode, Unsent};
use goldcrest_types::names::RequestId;
use http::{Request, Response};
use hyper::body::Incoming;

use super::pool::{Conn, Connections, Lease};
use crate::body::RequestBody;
use crate::refusal::X_REQUEST_ID;

/// An upstream's answer that echoes the id of the request.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The head and body of the answer.
    pub(crate) response: Response<Incoming>,
    /// The connection, to be returned to the pool after the answer's last frame.
    pub(crate) lease: AnswerLease,
    /// The proof that the request may have run.
    pub(crate) sent: Sent,
}

/// Why a send gave no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No part of the request was written.
    NotSent(Unsent),
    /// The upstream may have run the request.
    Failed(Sent, UnknownCode),
}

/// The connection that an answer is read from.
#[derive(Debug)]
pub(crate) struct AnswerLease(pub(crate) Lease);

impl Connections {
    /// Sends a request once. On failure the token in the error states whether any part of it may have left.
    pub(crate) async fn send(
        &self,
        mut lease: Lease,
        request: Request<RequestBody>,
        id: RequestId,
        unsent: Unsent,
    ) -> Result<Answer, SendError> {
        let result = match &mut lease.conn {
            Conn::H1(sender) => sender.try_send_request(request).await,
            Conn::H2(sender) => sender.try_send_request(request).await,
        };
        match result {
            Ok(answer) => check_echo(answer, lease, id, unsent.into_sent()),
            Err(error) if error.message().is_some() => Err(SendError::NotSent(unsent)),
            Err(error) => Err(SendError::Failed(
                unsent.into_sent(),
                code_of(error.error()),
            )),
        }
    }
}

/// Accepts only an answer that echoes the request's id exactly once; any other may belong to another request.
fn check_echo(
    answer: Response<Incoming>,
    lease: Lease,
    id: RequestId,
    sent: Sent,
) -> Result<Answer, SendError> {
    let mut echoes = answer.headers().get_all(X_REQUEST_ID).iter();
    let echo = echoes.next().and_then(|value| value.to_str().ok());
    let is_own = echo.and_then(|text| text.parse().ok()) == Some(id) && echoes.next().is_none();
    if !is_own {
        return Err(SendError::Failed(sent, UnknownCode::AnswerCrossed));
    }
    let lease = AnswerLease(lease);
    Ok(Answer {
        response: answer,
        lease,
        sent,
    })
}

fn code_of(error: &hyper::Error) -> UnknownCode {
    if error.is_parse() {
        UnknownCode::AnswerMalformed
    } else if error.is_user() || error.is_body_write_aborted() {
        UnknownCode::RequestBodyLost
    } else {
        UnknownCode::UpstreamLost
    }
}
