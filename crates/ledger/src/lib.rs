//! The documents on which entries agree, each stored as one value in the platform's key-value service.
//!
//! Each document is changed by one compare-and-swap, so an invariant of the stored value holds for the whole fleet.
//! The entry point is [`document::Document`], through which a store session reads, changes and swaps any of them.
//!
//! - [`catalogue`]: the catalogue in force and its revision.
//! - [`quota`]: the division of the teams' upper limits over data centres and entries.
//! - [`fleet`]: each VM's pool and state, and the availability budget.
//! - [`role`]: the holder of a role and its fencing epoch.
//! - [`jobs`]: accepted tasks.
//! - [`freshness`]: until when keyed work may be admitted. It is no document, but decides from reads of the catalogue.
//! - [`verify`]: a check for each promise that depends on the documents.
//!
//! This crate does no I/O, and its callers pass the time in.

pub mod catalogue;
pub mod document;
pub mod fleet;
pub mod freshness;
pub mod jobs;
pub mod quota;
pub mod role;
pub mod verify;

pub use document::{Document, DocumentError, Outcome, RecentEdits};
