//! The steps of a wave and what each does to the stored state.
//!
//! Every step may be repeated: one that finds its VM past the state it starts from changes nothing.

use std::fmt;
use std::time::Instant;

use goldcrest_types::entity::{PoolId, VmId};

use super::reason::Reason;
use crate::fleet::{Fleet, VmState};

/// What is done to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Gives it no new work. Stored before anything else happens.
    Drain,
    /// Asks its tasks to save their state and stop.
    CheckpointTasks,
    /// Stores that it reboots, then asks the platform for the reboot.
    Reboot,
    /// Makes it a VM of this pool, then asks the platform for a reboot into it.
    Join(PoolId),
    /// Gives it new work again.
    Return,
    /// Stores that it failed.
    MarkFailed,
    /// Removes it from the fleet.
    Remove,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Drain => f.write_str("drain"),
            Self::CheckpointTasks => f.write_str("checkpoint"),
            Self::Reboot => f.write_str("reboot"),
            Self::Join(pool) => write!(f, "join {pool}"),
            Self::Return => f.write_str("return"),
            Self::MarkFailed => f.write_str("fail"),
            Self::Remove => f.write_str("remove"),
        }
    }
}

/// One step for one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The VM.
    pub vm: VmId,
    /// What is done.
    pub action: Action,
    /// Why.
    pub reason: Reason,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.action, self.vm, self.reason)
    }
}

impl Fleet {
    /// Changes the stored part of the fleet as `step` says, at `now`.
    pub fn apply(&mut self, step: &Step, now: Instant) {
        let cycle = self.cycle.number;
        let vm = &mut self.vms[step.vm];
        match (step.action, vm.state) {
            (Action::Drain, VmState::Serving) => {
                vm.enter(VmState::Draining, now);
                vm.permit = true;
            }
            (Action::Reboot, VmState::Draining) => {
                vm.enter(VmState::Rebooting, now);
                vm.boots_before = vm.boots;
            }
            (Action::Join(pool), VmState::Moving(_)) => {
                vm.enter(VmState::Joining, now);
                vm.pool = pool;
                vm.boots_before = vm.boots;
            }
            (Action::Return, state) if !matches!(state, VmState::Serving | VmState::Gone) => {
                let rebooted = vm.boots > vm.boots_before;
                let was_maintained = match state {
                    VmState::Rebooting => rebooted,
                    VmState::Failed => vm.permit && rebooted,
                    _ => false,
                };
                if was_maintained {
                    vm.maintained_cycle = cycle;
                }
                vm.enter(VmState::Serving, now);
                vm.permit = false;
            }
            (Action::MarkFailed, state) if !matches!(state, VmState::Failed | VmState::Gone) => {
                vm.enter(VmState::Failed, now);
            }
            (Action::Remove, _) => {
                vm.enter(VmState::Gone, now);
                vm.permit = false;
            }
            _ => {}
        }
    }
}
