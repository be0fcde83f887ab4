//! The caller's body on its way to an upstream.

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
    /// The caller broke it off.
    Lost,
    /// It passed the queue's limit.
    TooLarge,
    /// It was held up until it may not be sent any more.
    Lapsed,
}

#[derive(Debug)]
struct State {
    body: Incoming,
    left_bytes: u64,
    lent: u32,
    is_touched: bool,
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
    /// A source over `body` that passes on up to `limit_bytes`.
    #[must_use]
    pub fn new(body: Incoming, limit_bytes: u64) -> Self {
        let is_empty = body.is_end_stream();
        let state = State {
            is_ended: is_empty,
            body,
            left_bytes: limit_bytes,
            lent: 0,
            is_touched: false,
            fault: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            is_empty,
        }
    }

    /// Lends the body to a new send. An earlier send gets nothing more of it.
    #[must_use]
    pub fn lend(&self, fence: Fence) -> RequestBody {
        let mut state = self.lock();
        state.lent += 1;
        RequestBody {
            source: self.clone(),
            number: state.lent,
            fence,
        }
    }

    /// Whether another send would have the whole body.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.is_empty || !self.lock().is_touched
    }

    /// Whether the last byte was taken.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.is_empty || self.lock().is_ended
    }

    /// Why the body ended early, if it did.
    #[must_use]
    pub fn fault(&self) -> Option<RequestFault> {
        self.lock().fault
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's body as one send sees it.
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
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(self.pass(frame))),
            Poll::Ready(Some(Err(cause))) => {
                self.fault = Some(RequestFault::Lost);
                Poll::Ready(Some(Err(BodyError::Lost(cause))))
            }
        }
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        self.is_touched = true;
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
        if state.lent != this.number {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if !this.fence.pass() {
            state.fault = Some(RequestFault::Lapsed);
            return Poll::Ready(Some(Err(BodyError::Lapsed)));
        }
        state.poll(cx)
    }

    /// It is not ended if it has lapsed: hyper then asks for a frame before it writes anything, and gets the error.
    fn is_end_stream(&self) -> bool {
        let is_ended = self.source.is_empty || self.source.lock().body.is_end_stream();
        is_ended && self.fence.may_end()
    }

    /// A body that has lapsed has no known size: hyper would write the head at once if the size were 0.
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
