//! Planners for the maintenance of the fleet: maintenance waves and pool sizes.
//!
//! Start with [`fleet`], the plain state that both planners read. [`maintenance::Context`] plans the next steps of
//! a wave from it, [`sizing::Context`] the next moves of VMs between pools. Each step and each move carries its
//! reason. [`verify`] reports every invariant that a plan violates.
//!
//! The planners do no I/O and read no clock: time is passed in, and ids are dense. A context holds state that improves
//! decisions, never state that safety depends on: a new holder of the role starts with an empty context and the stored
//! fleet.

pub mod fleet;
pub mod maintenance;
pub mod sizing;
pub mod verify;
