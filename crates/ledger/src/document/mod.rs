//! The encoding and the recent edits that all stored documents have in common.
//!
//! A [`Document`] is one value of the key-value service, in CBOR. Fields that this version does not know are ignored on
//! reading ([`lenient`]), and a document with such fields is not written back, since they would be lost
//! ([`Document::lost_field`]). Each document has the ids of its last edits in [`RecentEdits`], so a writer that got no
//! reply reads the value back and finds out whether its edit has taken effect, instead of applying it a second time.

mod lenient;
mod lost;

use std::collections::VecDeque;
use std::fmt;

use goldcrest_types::names::EditId;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest encoded document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1_000_000;

/// The number of edits whose ids a document keeps.
pub const RECENT_EDITS: usize = 64;

quick_error! {
    /// Why a document can't be read or written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DocumentError {
        /// The encoded document is larger than [`DOCUMENT_BYTES_MAX`].
        TooLarge(bytes: usize) {
            display("the document has {bytes} bytes of {DOCUMENT_BYTES_MAX} allowed: remove records that are no longer needed")
        }
        /// The bytes are not a document of this kind.
        Malformed(detail: Box<str>) {
            display("the stored value can't be read ({detail}): check its key, or restore it from a copy")
        }
        /// A newer version has written a field that this version would lose.
        Newer(field: Box<str>) {
            display("the stored value has '{field}', which this version does not know and would lose: finish the roll-out of the version that wrote it")
        }
    }
}

/// A value of the key-value service that is changed by compare-and-swap.
pub trait Document: Sized + Serialize + DeserializeOwned {
    /// Returns the document that stands for a value that does not exist yet.
    fn empty() -> Self;

    /// Returns the ids of the last edits of this value.
    fn recent(&self) -> &RecentEdits;

    /// Returns whether `edit` is among the last [`RECENT_EDITS`] edits of this value.
    fn has_edit(&self, edit: EditId) -> bool {
        self.recent().contains(edit)
    }

    /// Encodes the document in CBOR.
    ///
    /// # Errors
    ///
    /// The encoded document is larger than [`DOCUMENT_BYTES_MAX`].
    fn encode(&self) -> Result<Vec<u8>, DocumentError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(malformed)?;
        if bytes.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a document. Ignores unknown fields.
    ///
    /// # Errors
    ///
    /// `bytes` is larger than [`DOCUMENT_BYTES_MAX`], or no document of this kind.
    fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        if bytes.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        let read = ciborium::from_reader(bytes);
        read.or_else(|_| lenient::read(bytes)).map_err(malformed)
    }

    /// Returns the path of the first field of `bytes`, from which this document was decoded, that would be lost if the
    /// document were written back. Another version has written that field.
    fn lost_field(&self, bytes: &[u8]) -> Option<Box<str>> {
        let mut written = Vec::new();
        ciborium::into_writer(self, &mut written).ok()?;
        if written == bytes {
            return None;
        }
        lost::first_lost(bytes, &written)
    }
}

fn malformed(error: impl fmt::Display) -> DocumentError {
    DocumentError::Malformed(error.to_string().into())
}

/// The fate of an edit whose reply was lost, as found by reading the value back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The edit has taken effect in the value.
    Applied,
    /// The edit has not taken effect. If the value has changed since the edit was based on it, the edit never will take
    /// effect; if not, its swap may still be in transit until another swap has taken effect.
    NotApplied,
    /// Undecidable, since the value has had more than [`RECENT_EDITS`] edits meanwhile.
    Unknown,
}

/// The ids of the last [`RECENT_EDITS`] edits of a document, and the number of all its edits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentEdits {
    #[serde(rename = "n")]
    total: u64,
    ids: VecDeque<EditId>,
}

impl RecentEdits {
    /// Returns the number of edits since the document was created.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns whether the id of `edit` is kept.
    #[must_use]
    pub fn contains(&self, edit: EditId) -> bool {
        self.ids.contains(&edit)
    }

    /// Returns whether `edit` has taken effect. It was based on the value that had had `base_total` edits.
    #[must_use]
    pub fn outcome(&self, edit: EditId, base_total: u64) -> Outcome {
        if self.contains(edit) {
            return Outcome::Applied;
        }
        let between = self.total.saturating_sub(base_total);
        if between > RECENT_EDITS as u64 {
            return Outcome::Unknown;
        }
        Outcome::NotApplied
    }

    /// Adds the id of `edit`, and drops the oldest one above [`RECENT_EDITS`].
    pub fn push(&mut self, edit: EditId) {
        self.total += 1;
        self.ids.push_back(edit);
        while self.ids.len() > RECENT_EDITS {
            self.ids.pop_front();
        }
    }
}
