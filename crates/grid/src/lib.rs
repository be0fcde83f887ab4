//! An entry that schedules jobs on pools of workers, for a platform that brings its own store, workers and callers.
//!
//! Start with [`entry::Entry`]: it joins the parts of a process. [`ports::Platform`] is all that it needs of the
//! outside. Every entry answers calls ([`calls`]); beside that it may hold roles ([`members`]): the scheduler of a pool
//! ([`pool`]) or the maintenance of the fleet ([`fleet`]). What must last is in the platform's store, under the keys of
//! [`keys`]. Decisions are in `goldcrest-jobs`; here they meet time, the network and failures.
//!
//! A process runs on one thread; its parts are local tasks that share an [`entry::Entry`].

pub mod calls;
pub mod entry;
pub mod fleet;
pub mod keys;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod pool;
pub mod ports;
pub mod registry;
pub mod session;
pub mod shares;
