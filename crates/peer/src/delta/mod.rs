//! Deltas of the catalogue against an earlier revision.
//!
//! A head has some 88 KB at the planned size, and an edit changes a few hundred bytes of it. Both sides have the bytes
//! of the earlier revision, so these serve as the compressor's dictionary, and only what is new is sent. The digest of
//! the whole shows whether the requester's earlier bytes were the same; if not, it requests the whole.

use bytes::Bytes;
use goldcrest_ledger::document::DOCUMENT_BYTES_MAX;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::units::{Revision, StoreVersion};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

use crate::message::CatalogueCopy;

/// Compression level. Higher levels cost time and gain little on a head.
const LEVEL: i32 = 3;

quick_error! {
    /// Reason why a delta can't be applied. The whole catalogue must be requested.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DeltaError {
        /// The delta is based on another revision.
        Base {
            display("the change is based on another revision: ask for the whole catalogue")
        }
        /// The delta can't be decompressed, or the digest of the result differs from the one sent.
        Content {
            display("the change does not come to the catalogue that was sent: ask for the whole catalogue")
        }
    }
}

/// A catalogue's head as a delta from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueDelta {
    /// The earlier revision, on which the delta is based.
    #[serde(rename = "b")]
    pub base: Revision,
    /// The revision of the result.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The version under which the key-value service has it, or zero if that is not known.
    #[serde(rename = "v", default)]
    pub version: StoreVersion,
    /// Digest of the whole head of `revision`.
    #[serde(rename = "d")]
    pub digest: KeyDigest,
    /// The head, compressed with the earlier head as the dictionary.
    #[serde(rename = "c")]
    pub packed: Bytes,
}

/// Returns the delta from `base` to `copy`, or none if compression fails or the delta would not be smaller than the
/// whole.
#[must_use]
pub fn pack(base: &CatalogueCopy, copy: &CatalogueCopy) -> Option<CatalogueDelta> {
    let mut compressor = Compressor::with_dictionary(LEVEL, &base.head).ok()?;
    let packed = compressor.compress(&copy.head).ok()?;
    (packed.len() < copy.head.len()).then(|| CatalogueDelta {
        base: base.revision,
        revision: copy.revision,
        version: copy.version,
        digest: KeyDigest::of_bytes(&copy.head),
        packed: packed.into(),
    })
}

/// Applies `delta` to `base`.
///
/// # Errors
///
/// Fails if `base` has another revision, or if the result is not what was sent.
pub fn unpack(base: &CatalogueCopy, delta: &CatalogueDelta) -> Result<CatalogueCopy, DeltaError> {
    if base.revision != delta.base {
        return Err(DeltaError::Base);
    }
    let content = |_| DeltaError::Content;
    let mut decompressor = Decompressor::with_dictionary(&base.head).map_err(content)?;
    let whole = decompressor.decompress(&delta.packed, DOCUMENT_BYTES_MAX);
    let whole = whole.map_err(content)?;
    if KeyDigest::of_bytes(&whole) != delta.digest {
        return Err(DeltaError::Content);
    }
    Ok(CatalogueCopy {
        revision: delta.revision,
        version: delta.version,
        head: whole.into(),
    })
}
