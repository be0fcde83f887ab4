//! The entry daemon: the supervisor tree that joins all parts.
//!
//! Start with [`settings`] for what a process is told and [`supervisor`] for how its parts live.

pub mod settings;
pub mod supervisor;
