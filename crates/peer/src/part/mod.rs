//! Targets of log records, one for each part of a process.

/// Links to peers.
pub const PEERS: &str = "peers";

/// Claims on idempotency keys.
pub const CLAIMS: &str = "claims";
