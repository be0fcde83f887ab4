//! Small fakes of what lies outside the system, for tests and the demonstration.
//!
//! - [`kv`]: the key-value service, with faults that a test switches on for one data centre or for all.
//! - [`fleet`]: the platform's list of VMs, which lags, and reboots.
//! - [`worker`]: a worker that runs tasks by their payload.
//! - [`upstream`]: an upstream that answers requests and counts how often each ran.
//! - [`grid`]: a platform for entries that schedule jobs, in memory and on the runtime's clock.
//! - [`server`]: the HTTP listener they share.
//!
//! Every fake but `grid` listens on loopback with a port from the kernel and keeps its state in memory.

pub mod fleet;
pub mod grid;
pub mod kv;
pub mod server;
pub mod upstream;
pub mod worker;

pub use fleet::FleetFake;
pub use kv::{KvFake, KvFault};
pub use upstream::{UpstreamFake, UpstreamFault};
pub use worker::WorkerFake;
