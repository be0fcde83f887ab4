//! The interfaces to the platform: its key-value service, its list of VMs, and its workers.
//!
//! Start with [`store::Store`], [`fleet::Fleet`] and [`worker::Workers`]: the three traits behind which the rest of
//! the system sees the platform. [`http`] implements them over HTTP with `hyper`. The messages in [`fleet`] and
//! [`worker`] are JSON; values of the key-value service are bytes that this crate does not interpret.

pub mod fleet;
pub mod http;
pub mod store;
pub mod worker;
