//! An upstream's answer, forwarded to the caller.
//!
//! The state of the answer is behind a lock, since the body is no longer polled when the caller stops reading: at the
//! deadline the connection takes the state out through an [`OpenAnswer`], which ends the call to the upstream and frees
//! the slot. A stream of an HTTP/2 connection has its own task for that, so that the other streams continue.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::BodyError;

/// Called once when an answer ends.
pub(crate) trait AnswerEnd: Send + 'static {
    /// The complete answer was forwarded.
    fn whole(self: Box<Self>);
    /// The answer broke off with `error`, or the caller disconnected if there is none.
    fn cut(self: Box<Self>, error: Option<&BodyError>);
}

struct Open {
    body: Incoming,
    left_bytes: u64,
    end: Box<dyn AnswerEnd>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct State {
    open: Option<Open>,
    is_late: bool,
}

/// An upstream's answer, forwarded frame by frame.
pub struct AnswerBody {
    state: Arc<Mutex<State>>,
    hint: SizeHint,
    watch: Option<AbortHandle>,
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}

/// An answer that may still be open at its deadline.
pub(crate) struct OpenAnswer {
    state: Weak<Mutex<State>>,
    deadline: Instant,
}

impl OpenAnswer {
    /// Returns the time at which the answer must be cut off.
    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether the answer has not ended.
    pub(crate) fn is_open(&self) -> bool {
        let state = self.state.upgrade();
        state.is_some_and(|state| lock(&state).open.is_some())
    }

    /// Cuts the answer off with [`BodyError::Deadline`], if it has not ended.
    pub(crate) fn cut(&self) {
        let Some(state) = self.state.upgrade() else {
            return;
        };
        let open = {
            let mut state = lock(&state);
            state.is_late = true;
            state.open.take()
        };
        if let Some(open) = open {
            open.end.cut(Some(&BodyError::Deadline));
            if let Some(waker) = open.waker {
                waker.wake();
            }
        }
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AnswerBody {
    /// Returns a body that forwards `body` and fails once it exceeds `limit_bytes`.
    pub(crate) fn new(body: Incoming, limit_bytes: u64, end: Box<dyn AnswerEnd>) -> Self {
        let hint = body.size_hint();
        let mut state = State::default();
        if body.is_end_stream() {
            end.whole();
        } else {
            state.open = Some(Open {
                body,
                left_bytes: limit_bytes,
                end,
                waker: None,
            });
        }
        Self {
            state: Arc::new(Mutex::new(state)),
            hint,
            watch: None,
        }
    }

    /// Returns a handle to cut the answer off at `deadline`, or `None` if it has already ended.
    pub(crate) fn open_until(&self, deadline: Instant) -> Option<OpenAnswer> {
        let is_open = lock(&self.state).open.is_some();
        is_open.then(|| OpenAnswer {
            state: Arc::downgrade(&self.state),
            deadline,
        })
    }

    /// Spawns a task that cuts the answer off at `deadline`.
    pub(crate) fn watch(&mut self, deadline: Instant) {
        if let Some(open) = self.open_until(deadline) {
            let watch = tokio::spawn(async move {
                tokio::time::sleep_until(open.deadline).await;
                open.cut();
            });
            self.watch = Some(watch.abort_handle());
        }
    }
}

impl State {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(open) = &mut self.open else {
            let late = self.is_late.then_some(Err(BodyError::Deadline));
            return Poll::Ready(late);
        };
        let result = match Pin::new(&mut open.body).poll_frame(cx) {
            Poll::Pending => {
                open.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(None) => {
                self.end_whole();
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Ok(frame))) => open.count_frame(frame),
            Poll::Ready(Some(Err(cause))) => Err(BodyError::Lost(cause)),
        };
        match &result {
            Ok(_) if open.body.is_end_stream() => self.end_whole(),
            Ok(_) => {}
            Err(error) => {
                if let Some(open) = self.open.take() {
                    open.end.cut(Some(error));
                }
            }
        }
        Poll::Ready(Some(result))
    }

    fn end_whole(&mut self) {
        if let Some(open) = self.open.take() {
            open.end.whole();
        }
    }
}

impl Open {
    fn count_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let taken = frame.data_ref().map_or(0, |data| data.len() as u64);
        let left = self.left_bytes.checked_sub(taken);
        self.left_bytes = left.ok_or(BodyError::TooLarge)?;
        Ok(frame)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        lock(&self.state).poll(cx)
    }

    fn is_end_stream(&self) -> bool {
        let state = lock(&self.state);
        state.open.is_none() && !state.is_late
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.abort();
        }
        let open = lock(&self.state).open.take();
        if let Some(open) = open {
            open.end.cut(None);
        }
    }
}
