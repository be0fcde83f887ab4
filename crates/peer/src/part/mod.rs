//! The parts of a process, as log records name them by their target.

/// Links to the other entries.
pub const PEERS: &str = "peers";

/// Claims on idempotency keys.
pub const CLAIMS: &str = "claims";
