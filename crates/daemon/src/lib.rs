//! The entry daemon: the supervisor tree that joins all parts.
//!
//! Start with [`entry::Entry`], which starts and stops a process. [`world::World`] is what its parts share,
//! [`supervisor`] keeps them running, [`settings`] is what a process is told. Each part has a folder: [`catalogue`],
//! [`fleet`], [`front`], [`operator`], [`peers`], [`quota`],
//! [`roles`], [`sizing`].

pub mod catalogue;
pub mod entry;
pub mod fleet;
pub mod front;
pub mod gauges;
pub mod http;
pub mod maintenance;
pub mod operator;
pub mod peers;
pub mod quota;
pub mod roles;
pub mod scheduler;
pub mod settings;
pub mod sizing;
pub mod supervisor;
pub mod tasks;
pub mod world;
