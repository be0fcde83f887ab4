//! Entries against a platform in memory, on a paused clock.

mod burst;
mod calls;
mod common;
mod faults;
mod maintenance;
mod permits;
mod promises;
mod roles;
mod soak;
