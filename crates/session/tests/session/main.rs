//! Tests of the session with the key-value service, over an in-memory store with faults.

mod calls;
mod common;
mod follow;
mod lease;
mod linked;
mod network;
mod partition;
mod quota;
mod replaced;
mod restored;
mod roles;
mod update;
mod world;
