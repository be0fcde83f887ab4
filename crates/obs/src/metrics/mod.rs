//! The metrics of a process, in the text format that `prometheus-client` writes.
//!
//! Labels come from the catalogue or from closed lists, never from a caller, so the number of series is bounded by
//! what operators have written.

use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// The content type of the text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The prefix of every metric's name.
pub const PREFIX: &str = "goldcrest";

/// The registry of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Returns an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self {
            registry: Mutex::new(Registry::with_prefix(PREFIX)),
        }
    }

    /// Calls `add` with the registry, so that a part can register its metrics.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        add(&mut registry);
    }

    /// Returns all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Box<str> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string does not fail.
        let is_written = encode(&mut text, &registry).is_ok();
        debug_assert!(is_written);
        text.into()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
