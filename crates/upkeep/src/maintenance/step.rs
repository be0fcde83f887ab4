//! The steps of a wave and the effect of each on the stored state.
//!
//! Steps are idempotent: a step whose VM has already left the state that the step starts from changes nothing.

use std::fmt;
use std::time::Instant;

use goldcrest_types::entity::{PoolId, VmId};

use super::reason::Reason;
use crate::fleet::{Fleet, VmState};

/// An action on one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stops new work for the VM. Stored before any command is issued.
    Drain,
    /// Requests a checkpoint of the VM's tasks, after which they stop.
    CheckpointTasks,
    /// Stores that the VM reboots, then requests the reboot from the platform.
    Reboot,
    /// Stores this pool as the VM's pool, then requests a reboot into it from the platform.
    Join(PoolId),
    /// Puts the VM back into service.
    Return,
    /// Stores that the VM failed.
    MarkFailed,
    /// Removes the VM from the fleet.
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
    /// The VM that the step acts on; a plan has at most one step for each.
    pub vm: VmId,
    /// The action to carry out.
    pub action: Action,
    /// The reason, shown to operators.
    pub reason: Reason,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.action, self.vm, self.reason)
    }
}

impl Fleet {
    /// Applies `step` to the stored part of the fleet. No effect if the VM is past the state that the step starts from.
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
