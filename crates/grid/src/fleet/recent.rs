//! Which VMs orders were sent about of late, in the store.
//!
//! The VMs of a round are stored before its orders are sent; see [`goldcrest_jobs::recent`] for what follows from that.

use std::collections::BTreeSet;
use std::time::Duration;

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::recent::OrderRecord;

use crate::fleet::{Fleet, GAP_MARGIN};
use crate::keys;
use crate::ports::{CallError, Committed, Item, Platform, Put, Txn};

impl<P: Platform> Fleet<P> {
    /// The time within which two holders must not give orders about one VM.
    fn order_gap(&self) -> Duration {
        self.entry.settings().vm_order_gap + GAP_MARGIN
    }

    /// Whether an order about the VM may be sent.
    pub(super) fn may_order(&self, vm: &VmId) -> bool {
        self.recent.borrow().may_order(vm, self.entry.now()) && self.holder().is_some()
    }

    /// Takes over what an earlier holder stored.
    pub(super) async fn load_recent(&self) -> Result<(), CallError> {
        let Some(item) = self.entry.read(keys::ORDERED).await? else {
            return Ok(());
        };
        let record = decode(&item)?;
        log::info!(target: "maintenance", vms = record.ages_ms.len(); "Recent orders about VMs taken over.");
        let gap = self.order_gap();
        self.recent
            .borrow_mut()
            .take_over(&record, self.began_at, gap);
        self.recent_revision.set(item.revision);
        Ok(())
    }

    /// Stores the VMs about which orders are to be sent, beside those of late.
    pub(super) async fn note_orders(&self, next: BTreeSet<VmId>) -> Result<(), CallError> {
        let gap = self.order_gap();
        let record = self
            .recent
            .borrow_mut()
            .record(&next, self.entry.now(), gap);
        let Some(record) = record else {
            return Ok(());
        };
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (keys::ORDERED.into(), self.recent_revision.get()),
            ],
            put: vec![Put {
                key: keys::ORDERED.into(),
                value: keys::encode(&record),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.recent.borrow_mut().stored(record);
                self.recent_revision.set(revision);
                Ok(())
            }
            Committed::Conflict(conflict) => {
                self.check_held(&conflict);
                let mut items = conflict.items.into_iter();
                if let Some(item) = items.find(|item| item.key.as_ref() == keys::ORDERED) {
                    self.recent_revision.set(item.revision);
                }
                Err(CallError::NotDone("the list of orders has changed".into()))
            }
        }
    }
}

/// Earlier versions stored the VMs without ages: each order may have been sent just now.
fn decode(item: &Item) -> Result<OrderRecord, CallError> {
    let malformed = |error: keys::ValueError| CallError::Malformed(error.to_string().into());
    keys::decode(&item.key, &item.value).or_else(|_| {
        let vms: BTreeSet<VmId> = keys::decode(&item.key, &item.value).map_err(malformed)?;
        Ok(OrderRecord {
            ages_ms: vms.into_iter().map(|vm| (vm, 0)).collect(),
        })
    })
}
