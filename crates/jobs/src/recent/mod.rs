//! VMs about which commands were sent recently.
//!
//! Two holders of the fleet's role must not send commands about the same VM within a time that the platform sets, the
//! gap. Before a holder sends commands, it stores their VMs, with the age of the last command about each. Its successor
//! leaves each VM alone for the rest of the gap, counted from its own beginning. Invariants:
//!
//! - A command may be sent only while the VM is stored with the age 0: the record is then never younger than the
//!   command, however long ago it was stored.
//! - Ages come from the steady clock of the holder that sent the commands, so no wall-clock times are compared.
//! - A holder that finds its own last record again is its own successor: no other holder can have sent a command since, and
//!   it knows when it sent its own.
//!
//! Load pattern: an outage of the store ends the leases of all entries in a busy period, and the holder takes its role
//! again. Counted from its new beginning, the gap would keep the VMs of its last commands from the pool that needs them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::VmId;
use crate::worker::millis;

/// The record that is stored for the next holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRecord {
    /// The time from the last command about each VM until the record was made, in milliseconds.
    pub ages_ms: BTreeMap<VmId, u64>,
}

/// The recent commands of one holder, and those of its predecessor whose gap may not be over.
#[derive(Debug, Clone, Default)]
pub struct RecentCommands {
    sent: BTreeMap<VmId, Instant>,
    stored: CommandRecord,
    /// The VMs of the predecessor's commands, and until when each is left alone.
    blocked_until: BTreeMap<VmId, Instant>,
}

impl RecentCommands {
    /// Takes over the record of an earlier holder. This holder has begun at `began_at`.
    pub fn take_over(&mut self, record: &CommandRecord, began_at: Instant, gap: Duration) {
        let blocked_until = record.ages_ms.iter().filter_map(|(vm, age_ms)| {
            let left = gap.checked_sub(Duration::from_millis(*age_ms))?;
            Some((vm.clone(), began_at + left))
        });
        self.blocked_until = blocked_until.collect();
        self.sent.clear();
        // The earlier holder's record permits this holder nothing.
        self.stored = CommandRecord::default();
    }

    /// Records that a command about a VM, whose record is stored, was on its way until now.
    pub fn mark_sent(&mut self, vm: &VmId, now: Instant) {
        self.sent.insert(vm.clone(), now);
    }

    /// Continues from this holder's own last record, which no other holder has replaced.
    pub fn resume(&mut self, gap: Duration) {
        let sent = std::mem::take(&mut self.sent);
        self.blocked_until
            .extend(sent.into_iter().map(|(vm, at)| (vm, at + gap)));
        // The record permits commands in the earlier term of the role only.
        self.stored = CommandRecord::default();
    }

    /// Whether a command about the VM may be sent, as far as earlier commands are concerned.
    #[must_use]
    pub fn may_command(&self, vm: &VmId, now: Instant) -> bool {
        let is_blocked = self.blocked_until.get(vm).is_some_and(|until| now < *until);
        !is_blocked && self.stored.ages_ms.get(vm) == Some(&0)
    }

    /// Returns the record that must be stored before commands about these VMs are sent, or `None` if it is stored
    /// already.
    pub fn record(
        &mut self,
        next: &BTreeSet<VmId>,
        now: Instant,
        gap: Duration,
    ) -> Option<CommandRecord> {
        self.sent.extend(next.iter().map(|vm| (vm.clone(), now)));
        if next
            .iter()
            .all(|vm| self.stored.ages_ms.get(vm) == Some(&0))
        {
            return None;
        }
        self.sent
            .retain(|_, at| now.saturating_duration_since(*at) < gap);
        self.blocked_until.retain(|_, until| now < *until);
        let inherited = self.blocked_until.iter().map(|(vm, until)| {
            let left = until.saturating_duration_since(now);
            (vm.clone(), millis(gap.saturating_sub(left)))
        });
        let mut ages_ms: BTreeMap<VmId, u64> = inherited.collect();
        let sent = self.sent.iter();
        ages_ms.extend(sent.map(|(vm, at)| {
            let age = now.saturating_duration_since(*at);
            (vm.clone(), millis(age))
        }));
        Some(CommandRecord { ages_ms })
    }

    /// Records that the record has been stored.
    pub fn mark_stored(&mut self, record: CommandRecord) {
        self.stored = record;
    }
}
