//! The form of messages between entries: a kind and a body in CBOR.
//!
//! A [`Packet`] can be read without knowing its kind, so a message that this version does not know reaches the
//! handler, which refuses it, and the link lives on. Fields that a body has beyond the known ones are passed over.

use bytes::Bytes;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest frame, in bytes. It holds a value of the key-value service and the packet around it.
pub const FRAME_BYTES_MAX: usize = 1_100_000;

quick_error! {
    /// Why a packet can't be read.
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

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// What the body is.
    #[serde(rename = "k")]
    pub kind: u16,
    /// The body in CBOR.
    #[serde(rename = "b")]
    pub body: Bytes,
}

impl Packet {
    /// A packet of `kind` with this body.
    #[must_use]
    pub fn new<T: Serialize>(kind: u16, body: &T) -> Self {
        Self {
            kind,
            body: to_bytes(body),
        }
    }

    /// The body, as what `kind` says it is.
    ///
    /// # Errors
    ///
    /// The body is something else.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, PacketError> {
        from_bytes(&self.body)
    }
}

/// The CBOR form of a message.
pub fn to_bytes<T: Serialize>(message: &T) -> Bytes {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(message, &mut bytes);
    debug_assert!(written.is_ok(), "messages hold only what CBOR can");
    Bytes::from(bytes)
}

/// Reads a message from its CBOR form.
///
/// # Errors
///
/// The bytes are not such a message.
pub fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PacketError> {
    ciborium::from_reader(bytes).map_err(|error| PacketError::Malformed(error.to_string().into()))
}
