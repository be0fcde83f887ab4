//! The pool of connections to upstreams.
//!
//! The crate has its own pool because a retry depends on knowing exactly what was written: hyper returns a request
//! only if no part of it was written, and [`SendError`] carries that as an
//! [`Unsent`](goldcrest_serve::outcome::Unsent) token. This module never retries.

mod attempt;
mod pool;

pub(crate) use attempt::{Answer, AnswerLease, SendError};
pub(crate) use pool::Connections;
