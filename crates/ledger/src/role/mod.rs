//! The holder of a role, such as the maintenance and sizing of a group of pools.
//!
//! The fencing epoch rises each time the role is acquired and never falls, also while nobody holds the role. A holder
//! checks its session right before each effect and sends its epoch with every command.

use goldcrest_types::names::{EditId, EntryId};
use goldcrest_types::units::Epoch;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::document::{Document, RecentEdits};
use crate::quota::SessionId;

/// An entry process that holds a role, and its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry process that holds the role.
    pub entry: EntryId,
    /// The session under which it acquired the role. The role is held as long as that session is valid.
    pub session: SessionId,
}

/// An edit of a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoleEdit {
    /// Acquires the role in a new epoch. Refused while the session of another holder is not known to have expired.
    Take {
        /// The new holder.
        holder: Holder,
        /// The session of the current holder that was found to be expired; absent if the role was free.
        gone: Option<SessionId>,
    },
    /// Releases the role.
    Release {
        /// The entry that holds the role.
        entry: EntryId,
        /// The epoch in which it holds the role.
        epoch: Epoch,
    },
}

quick_error! {
    /// Why an edit of a role was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RoleRefusal {
        /// Another entry holds the role, with a session that the edit does not name as expired.
        Held(entry: EntryId, session: SessionId) {
            display("entry {entry} holds the role with session {session}: wait until that session has expired")
        }
        /// The entry does not hold the role in the named epoch; the current epoch is given.
        NotHolder(current: Epoch) {
            display("the role is at epoch {current} by now: give it up")
        }
    }
}

/// A role, as stored under `role/<shard>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleDoc {
    edits: RecentEdits,
    epoch: Epoch,
    holder: Option<Holder>,
}

impl RoleDoc {
    /// Returns the epoch of the last acquisition, or zero.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the current holder; none while the role is free.
    #[must_use]
    pub const fn holder(&self) -> Option<Holder> {
        self.holder
    }

    /// Returns the epoch in which `entry` holds the role, if it does.
    #[must_use]
    pub fn epoch_of(&self, entry: EntryId) -> Option<Epoch> {
        let holder = self.holder?;
        (holder.entry == entry).then_some(self.epoch)
    }

    /// Applies an edit and returns the epoch after it. An edit that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// The role is held by another entry, or the entry that releases it does not hold it in the named epoch.
    pub fn apply(&mut self, id: EditId, edit: RoleEdit) -> Result<Epoch, RoleRefusal> {
        if self.has_edit(id) {
            return Ok(self.epoch);
        }
        match edit {
            RoleEdit::Take { holder, gone } => self.take(holder, gone)?,
            RoleEdit::Release { entry, epoch } => self.release(entry, epoch)?,
        }
        self.edits.push(id);
        Ok(self.epoch)
    }

    fn take(&mut self, holder: Holder, gone: Option<SessionId>) -> Result<(), RoleRefusal> {
        if let Some(current) = self.holder {
            let is_own = current.entry == holder.entry;
            if !is_own && gone != Some(current.session) {
                return Err(RoleRefusal::Held(current.entry, current.session));
            }
        }
        self.epoch = self.epoch.next();
        self.holder = Some(holder);
        Ok(())
    }

    fn release(&mut self, entry: EntryId, epoch: Epoch) -> Result<(), RoleRefusal> {
        if self.epoch_of(entry) != Some(epoch) {
            return Err(RoleRefusal::NotHolder(self.epoch));
        }
        self.holder = None;
        Ok(())
    }
}

impl Document for RoleDoc {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
