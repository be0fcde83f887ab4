//! The entry daemon: the supervisor tree that joins all parts.
//!
//! Start with [`entry::Entry`], which starts and stops a process. [`world::World`] is the state that its parts share,
//! [`supervisor`] keeps the parts running, [`settings`] reads the settings of a process. Each part has a folder, such
//! as [`catalogue`], [`fleet`], [`front`], [`maintenance`], [`operator`], [`peers`], [`quota`], [`roles`],
//! [`scheduler`], [`sizing`] and [`tasks`].

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
