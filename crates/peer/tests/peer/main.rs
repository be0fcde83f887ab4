//! The links between entries, on loopback sockets, and the pure parts behind them.

mod claims;
mod common;
mod delta;
mod link;
mod membership;
mod messages;
mod peers;
mod usage;
