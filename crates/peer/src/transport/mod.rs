//! Transport of messages as binary WebSocket frames, in CBOR.
//!
//! [`FrameTransport`] is the stream and sink that `tarpc` runs over. A frame that can't be decoded ends the link:
//! versions may differ only in the content of packets, not in the framing.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Sink, Stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, Sleep};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::wire::{self, FRAME_BYTES_MAX};

/// Size of each buffer of a socket, in bytes. It is small, since a link is idle most of the time.
const BUFFER_BYTES: usize = 4 << 10;

/// Returns the settings of every WebSocket between entries.
#[must_use]
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(2 * FRAME_BYTES_MAX)
        .max_message_size(Some(FRAME_BYTES_MAX))
        .max_frame_size(Some(FRAME_BYTES_MAX))
}

/// A listener closes a socket on which nothing has been received for this long. Dialers close theirs earlier.
const IDLE_MAX: Duration = Duration::from_mins(3);

/// Overhead of a frame over its payload, in bytes: the header, with the length in its usual form, and a dialer's mask.
const FRAME_HEAD_BYTES: u64 = 8;

/// Counts of bytes and frames on sockets, without the overhead of TCP and IP.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    frames: AtomicU64,
}

impl Traffic {
    /// Returns the number of bytes sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of frames, sent and received.
    #[must_use]
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    fn count_sent(&self, payload: usize) {
        self.count(&self.sent, payload);
    }

    fn count_received(&self, payload: usize) {
        self.count(&self.received, payload);
    }

    fn count(&self, bytes: &AtomicU64, payload: usize) {
        bytes.fetch_add(payload as u64 + FRAME_HEAD_BYTES, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
    }
}

/// A WebSocket over a stream `S` that carries messages `In` and `Out`.
#[derive(Debug)]
pub struct FrameTransport<S, In, Out> {
    socket: WebSocketStream<S>,
    idle: Option<Pin<Box<Sleep>>>,
    traffic: Arc<Traffic>,
    messages: PhantomData<fn(Out) -> In>,
}

impl<S, In, Out> FrameTransport<S, In, Out> {
    /// Creates a transport over `socket`, on which the handshake is done. Its bytes are added to `traffic`.
    #[must_use]
    pub fn new(socket: WebSocketStream<S>, traffic: Arc<Traffic>) -> Self {
        Self {
            socket,
            idle: None,
            traffic,
            messages: PhantomData,
        }
    }

    /// Ends the stream when nothing has been received for 3 minutes.
    #[must_use]
    pub fn with_idle_end(mut self) -> Self {
        self.idle = Some(Box::pin(tokio::time::sleep(IDLE_MAX)));
        self
    }

    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.idle {
            Some(idle) => idle.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }

    fn restart_idle(&mut self) {
        if let Some(idle) = &mut self.idle {
            idle.as_mut().reset(Instant::now() + IDLE_MAX);
        }
    }
}

fn broken(error: Error) -> io::Error {
    match error {
        Error::Io(error) => error,
        other => io::Error::other(other),
    }
}

fn unreadable(error: wire::PacketError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl<S, In, Out> Stream for FrameTransport<S, In, Out>
where
    S: AsyncRead + AsyncWrite + Unpin,
    In: DeserializeOwned,
{
    type Item = io::Result<In>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.poll_idle(cx).is_ready() {
                return Poll::Ready(None);
            }
            let Some(frame) = ready!(Pin::new(&mut self.socket).poll_next(cx)) else {
                return Poll::Ready(None);
            };
            self.restart_idle();
            match frame {
                Ok(Message::Binary(bytes)) => {
                    self.traffic.count_received(bytes.len());
                    let message = wire::from_bytes(&bytes).map_err(unreadable);
                    return Poll::Ready(Some(message));
                }
                Ok(Message::Close(_)) | Err(Error::ConnectionClosed) => return Poll::Ready(None),
                Ok(_) => {}
                Err(error) => return Poll::Ready(Some(Err(broken(error)))),
            }
        }
    }
}

impl<S, In, Out> Sink<Out> for FrameTransport<S, In, Out>
where
    S: AsyncRead + AsyncWrite + Unpin,
    Out: Serialize,
{
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_ready(cx).map_err(broken)
    }

    fn start_send(mut self: Pin<&mut Self>, message: Out) -> io::Result<()> {
        let bytes: Bytes = wire::to_bytes(&message);
        if bytes.len() > FRAME_BYTES_MAX {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the message is larger than a frame may be",
            ));
        }
        self.traffic.count_sent(bytes.len());
        let frame = Message::Binary(bytes);
        Pin::new(&mut self.socket).start_send(frame).map_err(broken)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx).map_err(broken)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx).map_err(broken)
    }
}
