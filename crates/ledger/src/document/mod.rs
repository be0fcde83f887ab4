//! What all stored documents have in common.
//!
//! A [`Document`] is one value of the key-value service, in CBOR. Fields that this version does not know are passed
//! over when it is read ([`lenient`]), and a document that has such fields is not written back, since they would be lost
//! ([`Document::lost_field`]). Each document carries the ids of its last edits in [`RecentEdits`], so a writer that got no
//! answer reads the value back and finds out whether its edit is in it, instead of writing it a second time.

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

/// How many edits a document remembers.
pub const RECENT_EDITS: usize = 64;

quick_error! {
    /// Why a document can't be written or read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DocumentError {
        /// The encoded document is larger than a value may be.
        TooLarge(bytes: usize) {
            display("the document has {bytes} bytes of {DOCUMENT_BYTES_MAX} allowed: remove records that are no longer needed")
        }
        /// The bytes are not a document of this kind.
        Malformed(detail: Box<str>) {
            display("the stored value can't be read ({detail}): check its key, or restore it from a copy")
        }
        /// A newer version has written a field that this one would lose.
        Newer(field: Box<str>) {
            display("the stored value has '{field}', which this version does not know and would lose: finish the roll-out of the version that wrote it")
        }
    }
}

/// A value of the key-value service that is changed by compare-and-swap.
pub trait Document: Sized + Serialize + DeserializeOwned {
    /// What stands for a value that does not exist yet.
    fn empty() -> Self;

    /// The edits that are in this value.
    fn recent(&self) -> &RecentEdits;

    /// Whether `edit` is known to be in this value.
    fn has_edit(&self, edit: EditId) -> bool {
        self.recent().contains(edit)
    }

    /// The value's bytes.
    ///
    /// # Errors
    ///
    /// The document is too large for one value.
    fn encode(&self) -> Result<Vec<u8>, DocumentError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(malformed)?;
        if bytes.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// The bytes are too many, or no document of this kind.
    fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        if bytes.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        let read = ciborium::from_reader(bytes);
        read.or_else(|_| lenient::read(bytes)).map_err(malformed)
    }

    /// The first field of `bytes`, from which this document was read, that would be lost if it were written back. Another
    /// version has written it.
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

/// What a read-back says about an edit whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The edit is in the value.
    Applied,
    /// The edit is not in the value. If the value has changed since the edit was based on it, the edit never will be;
    /// if not, its swap may still be on its way, until another swap has taken effect.
    NotApplied,
    /// So many edits came between that the value can't tell.
    Unknown,
}

/// The ids of the last edits of a document, and how many there have been.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentEdits {
    #[serde(rename = "n")]
    total: u64,
    ids: VecDeque<EditId>,
}

impl RecentEdits {
    /// How many edits the document has seen since it was made.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Whether `edit` is among the remembered ones.
    #[must_use]
    pub fn contains(&self, edit: EditId) -> bool {
        self.ids.contains(&edit)
    }

    /// Whether `edit`, which was based on the value that had seen `base_total` edits, has taken effect.
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

    /// Remembers `edit` and forgets the oldest one above the bound.
    pub fn push(&mut self, edit: EditId) {
        self.total += 1;
        self.ids.push_back(edit);
        while self.ids.len() > RECENT_EDITS {
            self.ids.pop_front();
        }
    }
}
