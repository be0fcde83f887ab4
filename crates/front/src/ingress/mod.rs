//! Accepts callers' connections and parses their requests.
//!
//! [`path`] and [`head`] parse a request's head and refuse what an upstream could interpret differently; [`headers`]
//! removes and sets the fields that are not forwarded as they came; [`conn`] accepts and serves connections.

pub mod conn;
pub mod head;
pub mod headers;
pub mod path;
