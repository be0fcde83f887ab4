//! The parts of a process, as log records name them by their target.

/// The session with the key-value service.
pub const STORE: &str = "store";

/// The catalogue in force.
pub const CATALOGUE: &str = "catalogue";

/// The teams' quota.
pub const QUOTA: &str = "quota";

/// The roles that entries share out.
pub const ROLES: &str = "roles";
