//! The decisions of the serving path: what may start, where it goes, and what may be tried again.
//!
//! Start with [`dispatch::Dispatch`], which joins the parts for one entry process: [`admission`] says whether a
//! request starts, waits or is refused, [`routing`] picks its upstream, and [`retry`] says whether it may be sent
//! again. [`outcome`] holds the refusals and the proofs behind them, [`verify`] the promises over these states.
//!
//! Nothing here does I/O or reads a clock: every function takes `now`. All records have dense ids. A decision
//! allocates nothing once the tables have their size.

pub mod admission;
pub mod dispatch;
pub mod outcome;
pub mod retry;
pub mod routing;
pub mod verify;
