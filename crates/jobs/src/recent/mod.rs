//! VMs about which orders were sent of late.
//!
//! Two holders of the fleet's role must not give orders about one VM within a time that the platform sets, the gap.
//! A holder stores the VMs of its next orders, with the age of the last order about each, before it sends them. Its
//! successor leaves each VM alone for what is left of the gap, counted from its own beginning. Invariants:
//!
//! - An order may be sent only while the VM is stored with the age 0: the record is then never younger than the order,
//!   however long ago it was stored.
//! - Ages come from the steady clock of the holder that sent the orders, so no time of day is compared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::VmId;
use crate::worker::millis;

/// What is stored for the next holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The time from the last order about each VM until this was stored, in milliseconds.
    pub ages_ms: BTreeMap<VmId, u64>,
}

/// The orders of one holder, and those of its predecessor that may still matter.
#[derive(Debug, Clone, Default)]
pub struct RecentOrders {
    sent: BTreeMap<VmId, Instant>,
    stored: OrderRecord,
    /// VMs of the predecessor's orders, and until when they are left alone.
    quiet: BTreeMap<VmId, Instant>,
}

impl RecentOrders {
    /// Takes over what an earlier holder stored. This holder has begun at `began_at`.
    pub fn take_over(&mut self, record: &OrderRecord, began_at: Instant, gap: Duration) {
        let quiet = record.ages_ms.iter().filter_map(|(vm, age_ms)| {
            let left = gap.checked_sub(Duration::from_millis(*age_ms))?;
            Some((vm.clone(), began_at + left))
        });
        self.quiet = quiet.collect();
        // What it stored allows this holder nothing.
        self.stored = OrderRecord::default();
    }

    /// Whether an order about the VM may be sent, as far as earlier orders matter.
    #[must_use]
    pub fn may_order(&self, vm: &VmId, now: Instant) -> bool {
        let is_quiet = self.quiet.get(vm).is_some_and(|until| now < *until);
        !is_quiet && self.stored.ages_ms.get(vm) == Some(&0)
    }

    /// What must be stored before orders about these VMs are sent; `None` if it is stored already.
    pub fn record(
        &mut self,
        next: &BTreeSet<VmId>,
        now: Instant,
        gap: Duration,
    ) -> Option<OrderRecord> {
        self.sent.extend(next.iter().map(|vm| (vm.clone(), now)));
        if next
            .iter()
            .all(|vm| self.stored.ages_ms.get(vm) == Some(&0))
        {
            return None;
        }
        self.sent
            .retain(|_, at| now.saturating_duration_since(*at) < gap);
        self.quiet.retain(|_, until| now < *until);
        let inherited = self.quiet.iter().map(|(vm, until)| {
            let left = until.saturating_duration_since(now);
            (vm.clone(), millis(gap.saturating_sub(left)))
        });
        let mut ages_ms: BTreeMap<VmId, u64> = inherited.collect();
        let sent = self.sent.iter();
        ages_ms.extend(sent.map(|(vm, at)| {
            let age = now.saturating_duration_since(*at);
            (vm.clone(), millis(age))
        }));
        Some(OrderRecord { ages_ms })
    }

    /// The record has been stored.
    pub fn stored(&mut self, record: OrderRecord) {
        self.stored = record;
    }
}
