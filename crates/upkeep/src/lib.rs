//! Decisions on the upkeep of the fleet: maintenance waves and pool sizes.
//!
//! Start with [`fleet`], the plain state that both decisions read. [`maintenance::Context`] plans the next steps of
//! a wave from it, [`sizing::Context`] the next moves of VMs between pools. Each step and each move carries its
//! reason. [`verify`] reports every broken invariant of a plan.
//!
//! Everything here is pure: time is passed in, ids are dense, and a context keeps only what makes decisions better,
//! never what makes them safe. A new holder of the role starts with an empty context and the stored fleet.

pub mod fleet;
pub mod maintenance;
pub mod sizing;
pub mod verify;
