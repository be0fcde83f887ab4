//! The documents that entries agree on, each stored as one value in the platform's key-value service.
//!
//! Every document is changed by one compare-and-swap, so a promise that holds for the value holds for the fleet.
//! Start with [`document::Document`], through which a store session reads, changes and swaps any of them.
//!
//! - [`catalogue`]: the catalogue in force and its revision.
//! - [`quota`]: how the teams' upper limits are divided over data centres and entries.
//! - [`fleet`]: each VM's pool and state, and the availability budget.
//! - [`role`]: who holds a role, and its fencing epoch.
//! - [`jobs`]: accepted tasks.
//! - [`freshness`]: until when keyed work may be taken. It is no document, but decides from what was read of one.
//! - [`verify`]: one function for each promise that the documents carry.
//!
//! This crate does no I/O; time is passed in.

pub mod catalogue;
pub mod document;
pub mod fleet;
pub mod freshness;
pub mod jobs;
pub mod quota;
pub mod role;
pub mod verify;

pub use document::{Document, DocumentError, Outcome, RecentEdits};
