//! A caller's request body, forwarded to upstreams.
//!
//! The body is read once. Each send gets a numbered handle; only the handle of the latest send can read.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::BodyError;
use super::fence::Fence;

/// Why a caller's body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The caller broke the body off.
    Lost,
    /// The body exceeded the queue's limit.
    TooLarge,
    /// The request was delayed past the time until which it may be sent.
    Expired,
}

#[derive(Debug)]
struct State {
    body: Incoming,
    left_bytes: u64,
    send_count: u32,
    has_read: bool,
    is_ended: bool,
    fault: Option<RequestFault>,
}

/// A caller's body, lent to one send at a time.
#[derive(Debug, Clone)]
pub struct RequestSource {
    state: Arc<Mutex<State>>,
    is_empty: bool,
}

impl RequestSource {
    /// Returns a source over `body` that fails once more than `limit_bytes` were read.
    #[must_use]
    pub fn new(body: Incoming, limit_bytes: u64) -> Self {
        let is_empty = body.is_end_stream();
        let state = State {
            is_ended: is_empty,
            body,
            left_bytes: limit_bytes,
            send_count: 0,
            has_read: false,
            fault: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            is_empty,
        }
    }

    /// Lends the body to a new send. Earlier sends can no longer read it.
    #[must_use]
    pub fn lend(&self, fence: Fence) -> RequestBody {
        let mut state = self.lock();
        state.send_count += 1;
        RequestBody {
            source: self.clone(),
            number: state.send_count,
            fence,
        }
    }

    /// Returns whether another send would get the complete body.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.is_empty || !self.lock().has_read
    }

    /// Returns whether the last frame was read.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.is_empty || self.lock().is_ended
    }

    /// Returns why the body ended early, if it did.
    #[must_use]
    pub fn fault(&self) -> Option<RequestFault> {
        self.lock().fault
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's body as lent to one send.
#[derive(Debug)]
pub struct RequestBody {
    source: RequestSource,
    number: u32,
    fence: Fence,
}

impl State {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.is_ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(self.count_frame(frame))),
            Poll::Ready(Some(Err(cause))) => {
                self.fault = Some(RequestFault::Lost);
                Poll::Ready(Some(Err(BodyError::Lost(cause))))
            }
        }
    }

    fn count_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        self.has_read = true;
        let taken = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(left) = self.left_bytes.checked_sub(taken) else {
            self.fault = Some(RequestFault::TooLarge);
            return Err(BodyError::TooLarge);
        };
        self.left_bytes = left;
        self.is_ended = self.body.is_end_stream();
        Ok(frame)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let mut state = this.source.lock();
        if state.send_count != this.number {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if !this.fence.try_pass() {
            state.fault = Some(RequestFault::Expired);
            return Poll::Ready(Some(Err(BodyError::Expired)));
        }
        state.poll(cx)
    }

    /// Returns false once the fence has closed: hyper then polls for a frame before it writes anything, and gets the
    /// error.
    fn is_end_stream(&self) -> bool {
        let is_ended = self.source.is_empty || self.source.lock().body.is_end_stream();
        is_ended && self.fence.may_end()
    }

    /// Returns no size once the fence has closed: if the size were 0, hyper would write the head at once.
    fn size_hint(&self) -> SizeHint {
        if !self.fence.is_open() {
            return SizeHint::default();
        }
        if self.source.is_empty {
            return SizeHint::with_exact(0);
        }
        self.source.lock().body.size_hint()
    }
}
