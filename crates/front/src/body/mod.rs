//! Bodies, streamed frame by frame with the receiver's backpressure.
//!
//! [`RequestSource`] holds a caller's body and lends it to one send at a time as a [`RequestBody`]; it knows
//! whether any byte was taken, so a request whose body is still whole can be sent again. [`AnswerBody`] hands an
//! upstream's answer on and ends the request's bookkeeping with its last frame. [`OutBody`] is what callers get.

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
        /// The other side failed.
        Lost(cause: hyper::Error) {
            source(cause)
            display("the body broke off: look at the result before sending the request again")
        }
        /// The body is larger than the queue allows.
        TooLarge {
            display("the body passes the queue's limit: send less or ask the queue's owner for a larger limit")
        }
        /// The deadline has passed.
        Deadline {
            display("the deadline passed midway: look at the result and allow a longer deadline")
        }
        /// The request was held up until it may not be sent any more.
        Lapsed {
            display("the request was held up until it may not be sent any more: look at the result before sending it again")
        }
        /// The send that this body belonged to was given up.
        Superseded {
            display("the send was given up: another one has the body")
        }
    }
}

/// The body of what a caller gets.
#[derive(Debug)]
pub enum OutBody {
    /// A refusal or a status document.
    Full(Full<Bytes>),
    /// An upstream's answer.
    Answer(Box<AnswerBody>),
}

impl OutBody {
    /// A document that is known as a whole.
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
