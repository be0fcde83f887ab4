//! Clients of the platform over HTTP/1.1, with `hyper`.
//!
//! - [`call`]: one request and its complete, bounded answer. Its errors tell whether the request can have taken effect.
//! - [`store`], [`fleet`], [`worker`]: the three traits, each a thin mapping of paths and status codes.
//!
//! Requests are never retried implicitly: the caller decides what to do about an unknown outcome.

pub mod call;
pub mod fleet;
pub mod store;
pub mod worker;

pub use call::{CallError, HttpCaller};
pub use fleet::HttpFleet;
pub use store::HttpStore;
pub use worker::HttpWorkers;
