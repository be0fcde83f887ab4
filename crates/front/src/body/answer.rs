//! An upstream's answer on its way to the caller.
//!
//! The answer's state stands behind a lock, since a caller that stops reading is not polled any more: at the deadline
//! its connection takes the state out through an [`OpenAnswer`], which ends the upstream's call and frees the slot.
//! A stream of an HTTP/2 connection has a task of its own for that, so that the other streams go on.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::BodyError;

/// What happens when an answer has ended.
pub(crate) trait AnswerEnd: Send + 'static {
    /// The whole answer was handed on.
    fn whole(self: Box<Self>);
    /// It broke off, or the caller went away.
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

/// An upstream's answer, handed on frame by frame.
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
    /// When the answer is to be cut.
    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether the answer has not ended.
    pub(crate) fn is_open(&self) -> bool {
        let state = self.state.upgrade();
        state.is_some_and(|state| lock(&state).open.is_some())
    }

    /// Cuts the answer off, since its deadline has passed.
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
    /// The answer `body`, which may have `limit_bytes`.
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

    /// The answer for whoever cuts it off at `deadline`, unless it has ended already.
    pub(crate) fn open_until(&self, deadline: Instant) -> Option<OpenAnswer> {
        let is_open = lock(&self.state).open.is_some();
        is_open.then(|| OpenAnswer {
            state: Arc::downgrade(&self.state),
            deadline,
        })
    }

    /// Cuts the answer off at `deadline` by a task of its own.
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
            Poll::Ready(Some(Ok(frame))) => open.pass(frame),
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
    fn pass(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
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
