//! The observability of a process: its logs and its metrics.
//!
//! - [`logs`]: one line per event, as text or JSON, with the part as a prefix and key-values after the message.
//! - [`metrics`]: the registry and its text format.

pub mod logs;
pub mod metrics;
