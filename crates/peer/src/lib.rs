//! Links between entries, and the messages that they exchange.
//!
//! Start with [`peers::Peers`], the handle that the daemon's parts share. Below it, [`link::Link`] sends requests to
//! one other entry and [`server::PeerServer`] serves them. Messages are typed in [`message`], encoded in [`wire`], and
//! carried by `tarpc` over the WebSocket frames of [`transport`] after a [`handshake`].
//!
//! Decisions based on the messages do no I/O and take the time as a parameter: [`membership`], [`claims`] and
//! [`usage`].

pub mod claims;
pub mod delta;
pub mod dial;
pub mod handshake;
pub mod link;
pub mod membership;
pub mod message;
pub mod pace;
mod part;
pub mod peers;
pub mod server;
mod service;
pub mod transport;
pub mod usage;
pub mod wire;
