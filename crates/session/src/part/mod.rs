//! The log targets that this crate uses, one per part of the process.

/// The session with the key-value service: its lease and record.
pub const STORE: &str = "store";

/// Changes of the catalogue in force, and reads of its stored head.
pub const CATALOGUE: &str = "catalogue";

/// Quota rows, and moves of slots between data centres.
pub const QUOTA: &str = "quota";

/// Roles that this entry acquires and releases.
pub const ROLES: &str = "roles";
