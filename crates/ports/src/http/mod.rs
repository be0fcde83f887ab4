//! The platform over HTTP/1.1, by `hyper`.
//!
//! - [`call`]: one request and its whole, bounded answer, with the one distinction that matters: whether the request
//!   can have taken effect.
//! - [`store`], [`fleet`], [`worker`]: the three traits, each a thin mapping of paths and status codes.
//!
//! A connection is never reused for a silent retry: the caller decides what to do about an unknown outcome.

pub mod call;
pub mod fleet;
pub mod store;
pub mod worker;

pub use call::{CallError, HttpCaller};
pub use fleet::HttpFleet;
pub use store::HttpStore;
pub use worker::HttpWorkers;
