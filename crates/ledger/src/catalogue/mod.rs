//! The catalogue head: the accepted catalogue, its revision, and its last accepted edits.
//!
//! An operator's edit is a list of record-level [`Change`]s, each with the record as the operator saw it. So two
//! racing edits of different records both succeed, and of two racing edits of one record the later is refused with the
//! difference. The revision rises by one with each accepted edit and never falls.
//!
//! - [`change`]: the change of one record, and its application.
//! - [`diff`]: the changes that turn one catalogue into another.
//! - [`text`]: the textual form of changes for operators.

pub mod change;
pub mod diff;
pub mod text;

use std::collections::VecDeque;

use goldcrest_types::catalogue::check::check;
use goldcrest_types::catalogue::{CatalogueSpec, Findings};
use goldcrest_types::names::{EditId, OperatorName};
use goldcrest_types::units::Revision;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use change::{Change, Conflict, Delta};
pub use diff::diff;

use crate::document::{Document, RECENT_EDITS, RecentEdits};

/// The key in the key-value service under which [`Head`] is stored.
pub const HEAD_KEY: &str = "catalogue/head";

/// An operator's edit of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEdit {
    /// Identifies the edit. A retry has the same id.
    pub id: EditId,
    /// The operator whose key authorised the edit.
    pub operator: OperatorName,
    /// The changes, applied in order, all or none.
    pub changes: Vec<Change>,
}

/// The acceptance of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the accepted edit.
    pub edit: EditId,
    /// The operator whose key authorised the edit.
    pub operator: OperatorName,
    /// The revision that the edit created.
    pub revision: Revision,
}

/// The relation of a head to an acceptance that was in force before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Descent {
    /// The head contains the acceptance.
    Follows,
    /// The head is older than the acceptance, or has another edit with the same revision.
    Diverges,
    /// Undecidable, since the head no longer remembers the edit with that revision.
    Unknown,
}

quick_error! {
    /// Why an edit of the catalogue was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EditRefusal {
        /// Another edit changed the same records meanwhile.
        Conflicts(found: Box<[Conflict]>) {
            display("{}read the catalogue again and repeat the edit on it", text::conflicts(found))
        }
        /// The check of the resulting catalogue has findings.
        Invalid(findings: Findings) {
            display("the catalogue would not be valid:\n{findings}correct the edit")
        }
        /// The stored catalogue lacks edits that are in force, since the key-value service was restored from an older
        /// copy.
        Restored(stored: Revision, known: Revision) {
            display("the key-value service has revision {stored}, which lacks edits of revision {known} in force here, so it was restored from an older copy: send the edit again in some seconds, and if that does not help, see 'restored from an older copy' in docs/operations/outages.md")
        }
        /// The edit has no change.
        Empty {
            display("the edit holds no change: compare the file with the catalogue in force")
        }
    }
}

/// The catalogue in force, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    edits: RecentEdits,
    revision: Revision,
    accepted: VecDeque<Accepted>,
    spec: CatalogueSpec,
}

impl Head {
    /// Returns the revision, or zero before the first edit.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the accepted catalogue.
    #[must_use]
    pub const fn spec(&self) -> &CatalogueSpec {
        &self.spec
    }

    /// Returns the last [`RECENT_EDITS`] acceptances, oldest first.
    #[must_use]
    pub fn accepted(&self) -> impl DoubleEndedIterator<Item = &Accepted> {
        self.accepted.iter()
    }

    /// Returns the acceptance of `edit`, if it is still remembered.
    #[must_use]
    pub fn acceptance(&self, edit: EditId) -> Option<&Accepted> {
        self.accepted.iter().find(|accepted| accepted.edit == edit)
    }

    /// Returns the last acceptance, if there is one.
    #[must_use]
    pub fn newest(&self) -> Option<&Accepted> {
        self.accepted.back()
    }

    /// Returns the relation of this head to `earlier`, the last acceptance of another head.
    #[must_use]
    pub fn descent(&self, earlier: Option<&Accepted>) -> Descent {
        let Some(earlier) = earlier else {
            return Descent::Follows;
        };
        let mut remembered = self.accepted.iter();
        let same = remembered.find(|accepted| accepted.revision == earlier.revision);
        match same {
            Some(accepted) if accepted.edit == earlier.edit => Descent::Follows,
            Some(_) => Descent::Diverges,
            None if earlier.revision > self.revision => Descent::Diverges,
            None => Descent::Unknown,
        }
    }

    /// Applies an edit and returns its acceptance. For an edit that was applied before, returns its earlier acceptance
    /// and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns all conflicts with racing edits, or all findings of the check of the resulting catalogue.
    pub fn apply(&mut self, edit: &CatalogueEdit) -> Result<Accepted, EditRefusal> {
        if let Some(accepted) = self.acceptance(edit.id) {
            return Ok(accepted.clone());
        }
        if edit.changes.is_empty() {
            return Err(EditRefusal::Empty);
        }
        self.spec = apply_changes(&self.spec, &edit.changes)?;
        self.revision = self.revision.next();
        let accepted = Accepted {
            edit: edit.id,
            operator: edit.operator.clone(),
            revision: self.revision,
        };
        self.remember(accepted.clone());
        Ok(accepted)
    }

    fn remember(&mut self, accepted: Accepted) {
        self.edits.push(accepted.edit);
        self.accepted.push_back(accepted);
        while self.accepted.len() > RECENT_EDITS {
            self.accepted.pop_front();
        }
    }
}

fn apply_changes(spec: &CatalogueSpec, changes: &[Change]) -> Result<CatalogueSpec, EditRefusal> {
    let mut next = spec.clone();
    let mut conflicts = Vec::new();
    for change in changes {
        if let Err(conflict) = change.apply(&mut next) {
            conflicts.push(*conflict);
        }
    }
    if !conflicts.is_empty() {
        return Err(EditRefusal::Conflicts(conflicts.into()));
    }
    let findings = check(&next);
    if !findings.is_empty() {
        return Err(EditRefusal::Invalid(findings));
    }
    Ok(next)
}

impl Document for Head {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
