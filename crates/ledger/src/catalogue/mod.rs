//! The catalogue's head: the accepted catalogue, its revision, and who changed it last.
//!
//! An operator's edit is a list of record-level [`Change`]s, each with the record as the operator saw it. So two
//! racing edits of different records both take, and of two edits of one record the later is refused with the
//! difference. The revision rises by one with each accepted edit and never falls.
//!
//! - [`change`]: one record's change, and how it is applied.
//! - [`diff`]: the changes that lead from one catalogue to another.
//! - [`text`]: changes as operators read them.

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

/// The key of the catalogue's head in the key-value service.
pub const HEAD_KEY: &str = "catalogue/head";

/// An operator's edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEdit {
    /// The edit's id, which a retry keeps.
    pub id: EditId,
    /// Who signs it.
    pub operator: OperatorName,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// An edit that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The edit.
    pub edit: EditId,
    /// Who signed it.
    pub operator: OperatorName,
    /// The revision that it made.
    pub revision: Revision,
}

/// How a head stands to an acceptance that was in force before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Descent {
    /// It holds the acceptance.
    Follows,
    /// It lacks the acceptance, or has another edit in its place.
    Departs,
    /// So many edits came between that it can't tell.
    Unknown,
}

quick_error! {
    /// Why an edit was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EditRefusal {
        /// Another edit changed the same records meanwhile.
        Conflicts(found: Box<[Conflict]>) {
            display("{}read the catalogue again and repeat the edit on it", text::conflicts(found))
        }
        /// The catalogue would not be valid.
        Invalid(findings: Findings) {
            display("the catalogue would not be valid:\n{findings}correct the edit")
        }
        /// The stored catalogue lacks edits that are in force.
        Restored(stored: Revision, known: Revision) {
            display("the key-value service has revision {stored}, which lacks edits of revision {known} in force here, so it was restored from an older copy: send the edit again in some seconds, and if that does not help, see 'restored from an older copy' in docs/operations/outages.md")
        }
        /// The edit changes nothing.
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
    /// The revision. Zero stands for no catalogue yet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The catalogue.
    #[must_use]
    pub const fn spec(&self) -> &CatalogueSpec {
        &self.spec
    }

    /// The last accepted edits, oldest first.
    #[must_use]
    pub fn accepted(&self) -> impl DoubleEndedIterator<Item = &Accepted> {
        self.accepted.iter()
    }

    /// The acceptance of `edit`, if it is remembered.
    #[must_use]
    pub fn acceptance(&self, edit: EditId) -> Option<&Accepted> {
        self.accepted.iter().find(|accepted| accepted.edit == edit)
    }

    /// The last acceptance.
    #[must_use]
    pub fn newest(&self) -> Option<&Accepted> {
        self.accepted.back()
    }

    /// How this head stands to `earlier`, the last acceptance of another head.
    #[must_use]
    pub fn descent(&self, earlier: Option<&Accepted>) -> Descent {
        let Some(earlier) = earlier else {
            return Descent::Follows;
        };
        let mut remembered = self.accepted.iter();
        let same = remembered.find(|accepted| accepted.revision == earlier.revision);
        match same {
            Some(accepted) if accepted.edit == earlier.edit => Descent::Follows,
            Some(_) => Descent::Departs,
            None if earlier.revision > self.revision => Descent::Departs,
            None => Descent::Unknown,
        }
    }

    /// Applies an edit and returns its acceptance. An edit that was applied before is answered with the revision it
    /// made then.
    ///
    /// # Errors
    ///
    /// Every conflict with a racing edit, or every finding of the check of the whole catalogue.
    pub fn apply(&mut self, edit: &CatalogueEdit) -> Result<Accepted, EditRefusal> {
        if let Some(accepted) = self.acceptance(edit.id) {
            return Ok(accepted.clone());
        }
        if edit.changes.is_empty() {
            return Err(EditRefusal::Empty);
        }
        self.spec = changed(&self.spec, &edit.changes)?;
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

fn changed(spec: &CatalogueSpec, changes: &[Change]) -> Result<CatalogueSpec, EditRefusal> {
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
