//! Passing on a catalogue as what has changed since an earlier one.
//!
//! A head at letter 1's size has some 88 KB, and an edit changes a few hundred bytes of it. Both sides have the bytes of the
//! earlier revision, so these serve as the dictionary of a compressor, and only what is new travels. The digest of the whole
//! shows whether the asker's earlier bytes were the same; if not, it asks for the whole.

use bytes::Bytes;
use goldcrest_ledger::document::DOCUMENT_BYTES_MAX;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::units::{Revision, StoreVersion};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

use crate::message::CatalogueCopy;

/// How hard the compressor tries. Higher levels cost time and gain little on a head.
const LEVEL: i32 = 3;

quick_error! {
    /// Why a change can't be applied. The whole is to be asked for.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DeltaError {
        /// It is based on another revision.
        Base {
            display("the change is based on another revision: ask for the whole catalogue")
        }
        /// It can't be unpacked, or does not come to what was sent.
        Content {
            display("the change does not come to the catalogue that was sent: ask for the whole catalogue")
        }
    }
}

/// A catalogue's head as what has changed since an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueDelta {
    /// The earlier revision.
    #[serde(rename = "b")]
    pub base: Revision,
    /// The revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The version under which the key-value service has it, or zero if that is not known.
    #[serde(rename = "v", default)]
    pub version: StoreVersion,
    /// The digest of the whole.
    #[serde(rename = "d")]
    pub digest: KeyDigest,
    /// What has changed.
    #[serde(rename = "c")]
    pub packed: Bytes,
}

/// The change from `base` to `copy`, or none if it can't be packed or would not be smaller than the whole.
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

/// The whole that `delta` makes of `base`.
///
/// # Errors
///
/// The base is another, or the result is not what was sent.
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
