//! The decisions of the serving path: which requests start, which upstream they go to, and which may be retried.
//!
//! Start with [`dispatch::Dispatch`], which joins the parts for one entry process: [`admission`] says whether a
//! request starts, waits or is refused, [`routing`] picks its upstream, and [`retry`] says whether it may be sent
//! again. [`outcome`] holds the refusals and the tokens that they require, [`verify`] the invariant checks.
//!
//! Nothing here does I/O or reads a clock: the caller passes `now`. All records have dense ids. A decision does not
//! allocate once the tables have grown to their working size.

pub mod admission;
pub mod dispatch;
pub mod outcome;
pub mod retry;
pub mod routing;
pub mod verify;
