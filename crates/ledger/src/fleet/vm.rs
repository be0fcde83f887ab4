//! A VM's record and state.

use std::fmt;

use goldcrest_types::names::{EntryId, PoolName, RackName, VmName};
use goldcrest_types::units::Epoch;
use serde::{Deserialize, Serialize};

use super::FleetRefusal;

/// The service state of a VM in its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// New in its pool and not yet in service. Does not count against the budget, since the pool has never relied on
    /// it.
    Joining,
    /// In service.
    Serving,
    /// Accepts no new work and completes the work that it has.
    Draining,
    /// Being rebooted for maintenance.
    Rebooting,
    /// Failed, in service or during a reboot.
    Failed,
}

impl VmState {
    /// Returns whether a VM in this state counts against its pool's availability budget.
    #[must_use]
    pub const fn is_unavailable(self) -> bool {
        match self {
            Self::Joining | Self::Serving => false,
            Self::Draining | Self::Rebooting | Self::Failed => true,
        }
    }
}

impl fmt::Display for VmState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
            Self::Failed => "failed",
        })
    }
}

/// The purpose for which a VM is taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// A reboot in a maintenance wave.
    Maintain {
        /// Number of the maintenance wave.
        wave: u64,
    },
    /// A move to another pool.
    Move {
        /// The pool that the VM joins.
        to: PoolName,
    },
}

/// The permission to keep a VM out of service within its pool's availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The entry that holds the pool's role and is responsible for the VM.
    #[serde(rename = "h")]
    pub holder: EntryId,
    /// The epoch in which the holder holds the role.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The purpose for which the VM is out of service.
    #[serde(rename = "f")]
    pub purpose: Purpose,
}

/// The record of an enrolled VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVm {
    /// The pool that the VM belongs to.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The rack of the VM's host.
    #[serde(rename = "r")]
    pub rack: RackName,
    /// The service state in the pool.
    #[serde(rename = "s")]
    pub state: VmState,
    /// The permit under which the VM is out of service, if there is one.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<Permit>,
    /// Whether a reboot was requested since the VM last came into service. The command may still be in transit.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub reboot_requested: bool,
    /// Number of starts when the VM last came into service or was enrolled.
    #[serde(rename = "b")]
    pub boots: u64,
    /// The last maintenance wave in which the VM was rebooted, or 0.
    #[serde(rename = "w", default)]
    pub wave: u64,
}

impl FleetVm {
    /// Creates the record of a VM that joins `pool`.
    #[must_use]
    pub const fn new(pool: PoolName, rack: RackName, boots: u64) -> Self {
        Self {
            pool,
            rack,
            state: VmState::Joining,
            permit: None,
            reboot_requested: false,
            boots,
            wave: 0,
        }
    }

    /// Marks the VM as failed. A permit stays, so that the holder that requested the reboot learns of the failure.
    pub(super) fn fail(&mut self) {
        self.state = VmState::Failed;
    }

    /// Puts the VM into service and ends its permit. Records the maintenance wave if the VM was rebooted in one.
    pub(super) fn serve(&mut self, name: &VmName, boots: u64) -> Result<(), FleetRefusal> {
        match self.state {
            VmState::Serving => return Ok(()),
            VmState::Draining => return Err(FleetRefusal::State(name.clone(), self.state)),
            VmState::Rebooting | VmState::Joining | VmState::Failed => {}
        }
        if self.reboot_requested && boots <= self.boots {
            return Err(FleetRefusal::NotRebooted(name.clone(), self.boots));
        }
        let is_rebooted = boots > self.boots;
        if let (true, Some(Purpose::Maintain { wave })) = (is_rebooted, self.purpose()) {
            self.wave = *wave;
        }
        self.state = VmState::Serving;
        self.permit = None;
        self.reboot_requested = false;
        self.boots = boots;
        Ok(())
    }

    /// Returns a draining VM to service without a reboot.
    pub(super) fn cancel(&mut self, name: &VmName) -> Result<(), FleetRefusal> {
        self.check_state(name, VmState::Draining)?;
        self.state = VmState::Serving;
        self.permit = None;
        Ok(())
    }

    /// Marks a drained VM as rebooting.
    pub(super) fn reboot(&mut self, name: &VmName) -> Result<(), FleetRefusal> {
        self.check_state(name, VmState::Draining)?;
        if !matches!(self.purpose(), Some(Purpose::Maintain { .. })) {
            return Err(FleetRefusal::State(name.clone(), self.state));
        }
        self.state = VmState::Rebooting;
        self.reboot_requested = true;
        Ok(())
    }

    /// Moves a drained VM to the pool that its permit names, where it joins.
    pub(super) fn change_pool(&mut self, name: &VmName) -> Result<(), FleetRefusal> {
        self.check_state(name, VmState::Draining)?;
        let Some(Purpose::Move { to }) = self.purpose() else {
            return Err(FleetRefusal::State(name.clone(), self.state));
        };
        self.pool = to.clone();
        self.state = VmState::Joining;
        self.permit = None;
        Ok(())
    }

    fn purpose(&self) -> Option<&Purpose> {
        self.permit.as_ref().map(|permit| &permit.purpose)
    }

    fn check_state(&self, name: &VmName, expected: VmState) -> Result<(), FleetRefusal> {
        if self.state == expected {
            return Ok(());
        }
        Err(FleetRefusal::State(name.clone(), self.state))
    }
}
