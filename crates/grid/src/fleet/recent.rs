//! Stores which VMs commands were recently sent to.
//!
//! The VMs of a cycle are stored before its commands are sent; [`goldcrest_jobs::recent`] states the invariants that
//! rely on this order.

use std::collections::BTreeSet;
use std::time::Duration;

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::recent::CommandRecord;

use crate::entry::Entry;
use crate::fleet::{COMMAND_GAP_MARGIN, Fleet};
use crate::keys;
use crate::ports::{CallError, Committed, Item, Platform, Put, Txn};

/// A command about a VM that is on its way. When it has ended or is given up, the time until which it can have arrived
/// is recorded.
pub(super) struct PendingCommand<'a, P: Platform> {
    entry: &'a Entry<P>,
    vm: &'a VmId,
}

impl<P: Platform> Drop for PendingCommand<'_, P> {
    fn drop(&mut self) {
        let mut recent = self.entry.recent_commands.borrow_mut();
        recent.mark_sent(self.vm, self.entry.now());
    }
}

impl<P: Platform> Fleet<P> {
    /// Begins a command about a VM. The result must be kept until the command has ended.
    pub(super) fn begin_command<'a>(&'a self, vm: &'a VmId) -> PendingCommand<'a, P> {
        PendingCommand {
            entry: &self.entry,
            vm,
        }
    }

    /// The time within which two holders must not send commands to the same VM, with a margin.
    fn command_gap(&self) -> Duration {
        self.entry.settings().vm_command_gap + COMMAND_GAP_MARGIN
    }

    /// Whether a command to the VM may be sent.
    pub(super) fn may_send_command(&self, vm: &VmId) -> bool {
        let recent = self.entry.recent_commands.borrow();
        recent.may_command(vm, self.entry.now()) && self.holder().is_some()
    }

    /// Loads the VMs to which an earlier holder has recently sent commands.
    pub(super) async fn load_recent_commands(&self) -> Result<(), CallError> {
        let Some(item) = self.entry.read(keys::RECENT_COMMANDS).await? else {
            return Ok(());
        };
        let record = decode(&item)?;
        let is_own = item.revision == self.entry.recent_commands_revision.get();
        log::info!(target: "maintenance", vms = record.ages_ms.len(), is_own; "Recent orders about VMs taken over.");
        let gap = self.command_gap();
        let mut recent = self.entry.recent_commands.borrow_mut();
        if is_own {
            recent.resume(gap);
        } else {
            recent.take_over(&record, self.began_at, gap);
        }
        self.recent_revision.set(item.revision);
        Ok(())
    }

    /// Stores the VMs to which commands are about to be sent, together with those of recent commands.
    pub(super) async fn record_commands(&self, next: BTreeSet<VmId>) -> Result<(), CallError> {
        let gap = self.command_gap();
        let record = {
            let mut recent = self.entry.recent_commands.borrow_mut();
            recent.record(&next, self.entry.now(), gap)
        };
        let Some(record) = record else {
            return Ok(());
        };
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (keys::RECENT_COMMANDS.into(), self.recent_revision.get()),
            ],
            puts: vec![Put {
                key: keys::RECENT_COMMANDS.into(),
                value: keys::encode(&record),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.entry.recent_commands.borrow_mut().mark_stored(record);
                self.entry.recent_commands_revision.set(revision);
                self.recent_revision.set(revision);
                Ok(())
            }
            Committed::Conflict(conflict) => {
                self.check_role(&conflict);
                let mut items = conflict.items.into_iter();
                if let Some(item) = items.find(|item| item.key.as_ref() == keys::RECENT_COMMANDS) {
                    self.recent_revision.set(item.revision);
                }
                Err(CallError::NotDone(
                    "the stored list of recent commands to VMs has changed".into(),
                ))
            }
        }
    }
}

/// Decodes a stored record. Earlier versions stored the VMs without ages: a command to each may have been sent just
/// now.
fn decode(item: &Item) -> Result<CommandRecord, CallError> {
    let malformed = |error: keys::ValueError| CallError::Malformed(error.to_string().into());
    keys::decode(&item.key, &item.value).or_else(|_| {
        let vms: BTreeSet<VmId> = keys::decode(&item.key, &item.value).map_err(malformed)?;
        Ok(CommandRecord {
            ages_ms: vms.into_iter().map(|vm| (vm, 0)).collect(),
        })
    })
}
