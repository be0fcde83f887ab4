//! An entry that schedules jobs on pools of workers, for a platform that provides the store, the workers and the
//! callers.
//!
//! Start with [`entry::Entry`], the state that the tasks of a process share. [`ports::Platform`] is its interface to
//! everything outside. Every entry answers calls ([`calls`]) and may hold roles ([`members`]): the scheduler of a pool
//! ([`pool`]) or the maintenance of the fleet ([`fleet`]). Durable state is in the platform's store, under the keys of
//! [`keys`]. Decisions are made in `goldcrest-jobs`; this crate adds time, the network and failures.
//!
//! A process runs on one thread, with local tasks that share an [`entry::Entry`].

pub mod calls;
pub mod entry;
pub mod fleet;
pub mod keys;
pub mod latest;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod owned_key;
pub mod pool;
pub mod ports;
pub mod registry;
pub mod session;
pub mod shares;
