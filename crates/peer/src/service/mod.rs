//! The `tarpc` service between entries: one call, whose packet says what it is.

use crate::wire::Packet;

/// What an entry offers to others.
#[tarpc::service]
pub trait Exchange {
    /// Answers one message.
    async fn exchange(packet: Packet) -> Packet;
}
