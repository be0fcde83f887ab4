//! Which VMs orders were sent about of late.
//!
//! Two holders must not give orders about one VM within a time that the platform sets. So the VMs of a round are stored
//! before its orders are sent, and a new holder leaves those alone for that time; all others it may order at once.

use std::collections::BTreeSet;

use goldcrest_jobs::id::VmId;

use crate::fleet::{Fleet, GAP_MARGIN};
use crate::keys;
use crate::ports::{CallError, Committed, Platform, Put, Txn};

impl<P: Platform> Fleet<P> {
    /// Whether an order about the VM may be sent.
    pub(super) fn may_order(&self, vm: &VmId) -> bool {
        let is_quiet = self.quiet.borrow().contains(vm) && self.entry.now() < self.quiet_until;
        let is_noted = self.recent_stored.borrow().0.contains(vm);
        is_noted && !is_quiet && self.entry.valid_lease() == Some(self.held.lease)
    }

    /// Takes over what an earlier holder stored.
    pub(super) async fn load_recent(&self) -> Result<(), CallError> {
        let Some(item) = self.entry.read(keys::ORDERED).await? else {
            return Ok(());
        };
        match keys::decode::<BTreeSet<VmId>>(&item.key, &item.value) {
            Ok(vms) => {
                self.quiet.borrow_mut().clone_from(&vms);
                *self.recent_stored.borrow_mut() = (vms, item.revision);
                Ok(())
            }
            Err(error) => Err(CallError::Malformed(error.to_string().into())),
        }
    }

    /// Stores the VMs about which orders are to be sent, beside those of late.
    pub(super) async fn note_orders(&self, next: BTreeSet<VmId>) -> Result<(), CallError> {
        if next.is_empty() {
            return Ok(());
        }
        let now = self.entry.now();
        let gap = self.entry.settings().vm_order_gap + GAP_MARGIN;
        let wanted: BTreeSet<VmId> = {
            let mut recent = self.recent.borrow_mut();
            recent.retain(|_, at| now.saturating_duration_since(*at) < gap);
            recent.extend(next.iter().map(|vm| (vm.clone(), now)));
            let mut wanted: BTreeSet<VmId> = recent.keys().cloned().collect();
            if now < self.quiet_until {
                wanted.extend(self.quiet.borrow().iter().cloned());
            }
            wanted
        };
        let (stored, revision) = self.recent_stored.borrow().clone();
        if next.is_subset(&stored) {
            return Ok(());
        }
        let txn = Txn {
            expect: vec![self.held.guard(), (keys::ORDERED.into(), revision)],
            put: vec![Put {
                key: keys::ORDERED.into(),
                value: keys::encode(&wanted),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                *self.recent_stored.borrow_mut() = (wanted, revision);
                Ok(())
            }
            Committed::Conflict(conflict) => {
                self.check_held(&conflict);
                let mut items = conflict.items.into_iter();
                if let Some(item) = items.find(|item| item.key.as_ref() == keys::ORDERED) {
                    self.recent_stored.borrow_mut().1 = item.revision;
                }
                Err(CallError::NotDone("the list of orders has changed".into()))
            }
        }
    }
}
