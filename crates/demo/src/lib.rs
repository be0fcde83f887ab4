//! The demonstration: the whole system in one process, on embedded stand-ins.
//!
//! Start with [`story`], which tells it step by step. [`lab`] starts the stand-ins and the entries, [`callers`] sends
//! requests without a pause, [`account`] keeps what was checked.

pub mod account;
pub mod callers;
pub mod lab;
pub mod story;
pub mod submitters;
pub mod watch;
