//! The operators' interface of an entry: health, metrics, the catalogue, edits, status and explanations.
//!
//! - [`server`]: connections, and who may ask what.
//! - [`edits`]: edits of the catalogue.
//! - [`status`]: what the entry knows.
//! - [`explain`]: why something is as it is.

pub mod edits;
pub mod explain;
pub mod server;
pub mod status;

pub use server::serve;
