//! Bodies, streamed frame by frame under the receiver's backpressure.
//!
//! [`RequestSource`] holds a caller's body and lends it to one send at a time as a [`RequestBody`]; it knows
//! whether any frame was read, so a request whose body is still complete can be sent again. [`AnswerBody`] forwards an
//! upstream's answer and closes the request's record with its last frame. [`OutBody`] is the body of every response.

mod answer;
mod fence;
mod request;

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use quick_error::quick_error;

pub use answer::AnswerBody;
pub(crate) use answer::{AnswerEnd, OpenAnswer};
pub(crate) use fence::Fence;
pub(crate) use request::RequestFault;
pub use request::{RequestBody, RequestSource};

quick_error! {
    /// Why a body broke off.
    #[derive(Debug)]
    pub enum BodyError {
        /// The sender of the body failed.
        Lost(cause: hyper::Error) {
            source(cause)
            display("the body broke off: check the result before sending the request again")
        }
        /// The body is larger than the queue allows.
        TooLarge {
            display("the body exceeds the queue's limit: send less or ask the queue's owner for a larger limit")
        }
        /// The deadline has passed.
        Deadline {
            display("the deadline passed before the end of the answer: check the result and allow a longer deadline")
        }
        /// The request was delayed past the time until which it may be sent.
        Expired {
            display("the request was delayed past the time until which it may be sent: check the result before sending it again")
        }
        /// A later send has taken over the body.
        Superseded {
            display("the send was abandoned: a later send of the request has its body")
        }
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum OutBody {
    /// A refusal or a status document.
    Full(Full<Bytes>),
    /// An upstream's answer.
    Answer(Box<AnswerBody>),
}

impl OutBody {
    /// Returns a body whose content is known in full.
    #[must_use]
    pub const fn full(body: Full<Bytes>) -> Self {
        Self::Full(body)
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(body) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(Some(Err(never))) => match never {},
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Answer(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Answer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Answer(body) => body.size_hint(),
        }
    }
}
