//! The handshake: the first frame each way, with the sender, its versions, and proof that it belongs to the cluster.
//!
//! Both sides send a [`Hello`] and check the other's. The listener sends its own only after the dialer's has passed, so
//! that it discloses nothing to a stranger. The cluster's secret is compared by digest and in constant time. Two sides
//! use the highest version that both support.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::EntryId;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::message::Member;
use crate::wire;

/// The newest protocol version that this build supports.
pub const VERSION: u16 = 1;

/// The oldest protocol version that this build supports.
pub const VERSION_OLDEST: u16 = 1;

/// Timeout of dialling, of the WebSocket upgrade and of the exchange of first frames, each by itself.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The first frame of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The newest version that the sender supports.
    pub version: u16,
    /// The oldest version that the sender supports.
    pub version_oldest: u16,
    /// The sender.
    pub member: Member,
    /// The digest of the cluster's secret.
    pub secret: KeyDigest,
}

impl Hello {
    /// Creates the first frame of this build.
    #[must_use]
    pub fn new(member: Member, secret: KeyDigest) -> Self {
        Self {
            version: VERSION,
            version_oldest: VERSION_OLDEST,
            member,
            secret,
        }
    }

    /// Returns the highest version that both sides support.
    ///
    /// # Errors
    ///
    /// Fails if the secrets differ, if the other side is this process, or if there is no common version.
    pub fn check(&self, other: &Self) -> Result<u16, HandshakeError> {
        if self.secret != other.secret {
            return Err(HandshakeError::Secret);
        }
        if self.member.entry == other.member.entry {
            return Err(HandshakeError::Own(self.member.entry));
        }
        let common = self.version.min(other.version);
        if common < self.version_oldest.max(other.version_oldest) {
            return Err(HandshakeError::Version(other.version, self.version));
        }
        Ok(common)
    }
}

quick_error! {
    /// Reason why a handshake failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HandshakeError {
        /// The secrets differ.
        Secret {
            display("the other side has another cluster secret: set peer.secret alike on all entries")
        }
        /// There is no common version.
        Version(theirs: u16, ours: u16) {
            display("the other side speaks version {theirs} and this one {ours}: roll out a version between them first")
        }
        /// The other side is this process.
        Own(entry: EntryId) {
            display("entry {entry} called itself: check the addresses in the list of VMs")
        }
        /// The other side sent something else, or nothing in time.
        NoHello(detail: Box<str>) {
            display("no handshake from the other side ({detail}): check that the address is an entry's peer address")
        }
    }
}

fn no_hello(detail: impl Into<Box<str>>) -> HandshakeError {
    HandshakeError::NoHello(detail.into())
}

fn no_answer<E: std::fmt::Display>(error: E) -> HandshakeError {
    no_hello(error.to_string())
}

/// Sends the first frame to the listener, and returns the listener's with the common version.
///
/// # Errors
///
/// Fails if the listener sends no valid frame within [`HANDSHAKE_TIMEOUT`], or if [`Hello::check`] fails.
pub async fn initiate<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    own: &Hello,
) -> Result<(Hello, u16), HandshakeError> {
    let exchange = async {
        send(socket, own).await?;
        receive(socket).await
    };
    let timed = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await;
    let other = timed.map_err(no_answer)??;
    let version = own.check(&other)?;
    Ok((other, version))
}

/// Waits for the dialer's first frame, and replies with this entry's if it passes. Returns the dialer's with the common
/// version.
///
/// # Errors
///
/// Fails if the dialer sends no valid frame within [`HANDSHAKE_TIMEOUT`], if [`Hello::check`] fails, or if the reply
/// can't be sent.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    own: &Hello,
) -> Result<(Hello, u16), HandshakeError> {
    let timed = tokio::time::timeout(HANDSHAKE_TIMEOUT, receive(socket)).await;
    let other = timed.map_err(no_answer)??;
    let version = own.check(&other)?;
    send(socket, own).await?;
    Ok((other, version))
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    hello: &Hello,
) -> Result<(), HandshakeError> {
    let frame = Message::Binary(wire::to_bytes(hello));
    socket.send(frame).await.map_err(no_answer)
}

async fn receive<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
) -> Result<Hello, HandshakeError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => wire::from_bytes(&bytes).map_err(no_answer),
        Some(Ok(_)) => Err(no_hello("another kind of frame")),
        Some(Err(error)) => Err(no_answer(error)),
        None => Err(no_hello("closed")),
    }
}
