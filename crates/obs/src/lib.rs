//! What a process tells about itself: its logs and its metrics.
//!
//! - [`logs`]: one line an event, as text or JSON, with the part as a prefix and key-values behind the sentence.
//! - [`metrics`]: the registry, its text form, and the label sets that every part uses.

pub mod logs;
pub mod metrics;
