//! The operators' interface of an entry: health, metrics, the catalogue, edits, status and explanations.
//!
//! - [`server`]: routing and authentication of requests.
//! - [`edits`]: edits of the catalogue.
//! - [`status`]: the status of the entry and the fleet.
//! - [`explain`]: explanations of requests, tasks, VMs, teams and refusals.

pub mod edits;
pub mod explain;
pub mod server;
pub mod status;

pub use server::serve;
