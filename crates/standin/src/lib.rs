//! Fakes of the external services and machines, for tests and the demonstration.
//!
//! - [`kv`]: the key-value service, with faults that a test injects per data centre.
//! - [`fleet`]: the platform's list of VMs, which may be out of date, and its reboots.
//! - [`worker`]: a worker whose tasks run as their payload says.
//! - [`upstream`]: an upstream that echoes requests and counts how often each one ran.
//! - [`grid`]: an in-process platform for entries that schedule jobs, on the runtime's clock.
//! - [`server`]: the HTTP listener that the fakes share.
//!
//! All fakes keep their state in memory. All but `grid` listen on loopback, on a port that the kernel assigns.

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
