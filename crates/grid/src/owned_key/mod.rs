//! A key that the holder of a role writes again and again, such as a pool's status.
//!
//! Invariant: every write expects the role's key and the revision that it replaces. One that the store carries out late
//! therefore changes nothing once a newer one is stored, whoever wrote that. After a write without an answer the content
//! is uncertain until another write has succeeded, also if the wanted content is what was there before.

use std::cell::{Cell, RefCell};

use crate::entry::Entry;
use crate::members::HeldRole;
use crate::ports::{CallError, Committed, Item, LeaseId, Platform, Put, Revision, Txn};

/// The most attempts at a write whose expected revision is outdated. One teaches the revision, unless an earlier write
/// is carried out in between.
const ATTEMPTS: u32 = 3;

/// A key that is written by the holder of one role only.
#[derive(Debug)]
pub struct OwnedKey {
    key: Box<str>,
    revision: Cell<Revision>,
    /// The content, if it is certain.
    value: RefCell<Option<Vec<u8>>>,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Written {
    /// The value is stored.
    Stored,
    /// The role's key was removed or replaced.
    RoleLost,
}

impl OwnedKey {
    /// A key that is not known to exist. If it does, the first write learns its revision.
    #[must_use]
    pub fn new(key: Box<str>) -> Self {
        Self {
            key,
            revision: Cell::new(Revision::ABSENT),
            value: RefCell::new(None),
        }
    }

    /// A key as it was read from the store.
    #[must_use]
    pub fn found(item: Item) -> Self {
        Self {
            key: item.key,
            revision: Cell::new(item.revision),
            value: RefCell::new(Some(item.value)),
        }
    }

    /// Whether the store certainly holds this value, and no write is under way that could change it.
    #[must_use]
    pub fn holds(&self, value: &[u8]) -> bool {
        self.value.borrow().as_deref() == Some(value)
    }

    /// Writes a value, bound to the lease if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refuses the write or gives no answer. The content is uncertain then.
    pub async fn write<P: Platform>(
        &self,
        entry: &Entry<P>,
        held: &HeldRole,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Written, CallError> {
        *self.value.borrow_mut() = None;
        for _ in 0..ATTEMPTS {
            let txn = Txn {
                expect: vec![held.guard(), (self.key.clone(), self.revision.get())],
                puts: vec![Put {
                    key: self.key.clone(),
                    value: value.clone(),
                    lease,
                }],
                ..Txn::default()
            };
            match entry.commit(&txn).await? {
                Committed::Done(revision) => {
                    self.revision.set(revision);
                    *self.value.borrow_mut() = Some(value);
                    return Ok(Written::Stored);
                }
                Committed::Conflict(conflict) if !held.is_held_in(&conflict) => {
                    return Ok(Written::RoleLost);
                }
                Committed::Conflict(conflict) => {
                    let present = conflict.items.iter().find(|item| item.key == self.key);
                    let revision = present.map_or(Revision::ABSENT, |item| item.revision);
                    self.revision.set(revision);
                }
            }
        }
        Err(CallError::NotDone(
            "the key changes with each attempt at writing it".into(),
        ))
    }
}
