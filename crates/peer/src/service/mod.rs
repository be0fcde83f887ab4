//! The `tarpc` service between entries. It has one call, and the packet's kind determines the request.

use crate::wire::Packet;

/// Service of an entry for its peers.
#[tarpc::service]
pub trait Exchange {
    /// Handles one request and returns the reply.
    async fn exchange(packet: Packet) -> Packet;
}
