//! Encoding of messages between entries: a kind, and a body in CBOR.
//!
//! A [`Packet`] can be decoded without knowing its kind, so a message that this version does not know reaches the
//! handler, which refuses it, and the link stays up. Unknown fields of a body are ignored.

use bytes::Bytes;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum size of a frame, in bytes. It holds a value of the key-value service and the packet around it.
pub const FRAME_BYTES_MAX: usize = 1_100_000;

quick_error! {
    /// Reason why a packet can't be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PacketError {
        /// The kind is not known to this version.
        UnknownKind(kind: u16) {
            display("messages of kind {kind} are not known here: finish the roll-out of one version")
        }
        /// The body is not of its kind.
        Malformed(detail: Box<str>) {
            display("a message can't be read ({detail}): check that all entries run released versions")
        }
    }
}

/// A message in its encoded form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Kind of the message, which determines the type of the body.
    #[serde(rename = "k")]
    pub kind: u16,
    /// The body in CBOR.
    #[serde(rename = "b")]
    pub body: Bytes,
}

impl Packet {
    /// Creates a packet of `kind` with `body` in CBOR.
    #[must_use]
    pub fn new<T: Serialize>(kind: u16, body: &T) -> Self {
        Self {
            kind,
            body: to_bytes(body),
        }
    }

    /// Decodes the body as a `T`.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a `T`.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, PacketError> {
        from_bytes(&self.body)
    }
}

/// Encodes a message in CBOR.
pub fn to_bytes<T: Serialize>(message: &T) -> Bytes {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(message, &mut bytes);
    debug_assert!(written.is_ok(), "messages hold only what CBOR can");
    Bytes::from(bytes)
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are not a `T` in CBOR.
pub fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PacketError> {
    ciborium::from_reader(bytes).map_err(|error| PacketError::Malformed(error.to_string().into()))
}
