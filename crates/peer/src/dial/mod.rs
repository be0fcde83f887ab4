//! How another entry's address is reached.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens streams to other entries. It is where a process ends.
pub trait Dial: Clone + Send + Sync + 'static {
    /// An open stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a stream to the entry that listens at `address`.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Streams over TCP.
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
