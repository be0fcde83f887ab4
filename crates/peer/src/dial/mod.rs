//! Opening of streams to peers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens streams to peers. Tests replace it to connect entries without sockets.
pub trait Dial: Clone + Send + Sync + 'static {
    /// Stream to a peer, before the WebSocket handshake.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a stream to the entry that listens at `address`.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Opens streams over TCP, with Nagle's algorithm disabled.
#[derive(Debug, Clone, Copy)]
pub struct TcpDial;

impl Dial for TcpDial {
    type Stream = TcpStream;

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
