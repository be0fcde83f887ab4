//! The session with the key-value service, over an in-memory one.

mod calls;
mod common;
mod follow;
mod lease;
mod quota;
mod update;
mod world;
