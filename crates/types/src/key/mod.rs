//! Digests of the keys that callers and operators present.
//!
//! Only the digest of a key's secret is ever stored. Digests are compared in constant time, so neither the catalogue
//! nor the response time reveals anything about a secret.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

quick_error! {
    /// The error for a text that is not a key digest.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DigestError {
        /// The text is not 64 hexadecimal digits.
        Form {
            display("the digest is not 64 hexadecimal digits: take the one that `goldcrestctl key grant` prints")
        }
    }
}

/// The SHA-256 digest of a key's secret, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of `secret`.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self::of_bytes(secret.as_bytes())
    }

    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes, for use as a hash-table key; the candidates found by it are compared in full.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(head)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| DigestError::Form)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: Box<str>) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for Box<str> {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string().into()
    }
}
