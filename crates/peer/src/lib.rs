//! The links between entries, and what they tell each other.
//!
//! Start with [`peers::Peers`], the handle that the daemon's parts share. Below it, [`link::Link`] asks one other entry
//! and [`server::PeerServer`] answers; messages are typed in [`message`], packed in [`wire`], and travel by `tarpc` over
//! the WebSocket frames of [`transport`] after a [`handshake`].
//!
//! What is decided from the messages is pure, with time passed in: [`membership`], [`claims`] and
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
