//! A VM's record and state.

use std::fmt;

use goldcrest_types::names::{EntryId, PoolName, RackName, VmName};
use goldcrest_types::units::Epoch;
use serde::{Deserialize, Serialize};

use super::FleetRefusal;

/// Whether a VM does its pool's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is new in its pool and not yet in service. The pool did not count on it before.
    Joining,
    /// It is in service.
    Serving,
    /// It takes no new work and ends what it has.
    Draining,
    /// It is being rebooted.
    Rebooting,
    /// It failed, on its own or in a reboot.
    Failed,
}

impl VmState {
    /// Whether the VM counts against its pool's availability budget.
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

/// Why a VM is taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// It is rebooted in a maintenance wave.
    Maintain {
        /// The wave.
        wave: u64,
    },
    /// It changes its pool.
    Move {
        /// The new pool.
        to: PoolName,
    },
}

/// Under whose order a VM is out of service, and for what.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The entry that holds the pool's role.
    #[serde(rename = "h")]
    pub holder: EntryId,
    /// Its epoch.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// What for.
    #[serde(rename = "f")]
    pub purpose: Purpose,
}

/// A VM's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVm {
    /// Its pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Its rack.
    #[serde(rename = "r")]
    pub rack: RackName,
    /// Whether it does its pool's work.
    #[serde(rename = "s")]
    pub state: VmState,
    /// The permit under which it is out of service.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<Permit>,
    /// Whether its reboot was ordered since it last came into service. The order may still be on its way.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub reboot_ordered: bool,
    /// How often it had started when it last came into service or joined.
    #[serde(rename = "b")]
    pub boots: u64,
    /// The last maintenance wave that it went through.
    #[serde(rename = "w", default)]
    pub wave: u64,
}

impl FleetVm {
    /// A VM that joins `pool`.
    #[must_use]
    pub const fn new(pool: PoolName, rack: RackName, boots: u64) -> Self {
        Self {
            pool,
            rack,
            state: VmState::Joining,
            permit: None,
            reboot_ordered: false,
            boots,
            wave: 0,
        }
    }

    /// It failed. A permit stays: who ordered the reboot has to know.
    pub(super) fn fail(&mut self) {
        self.state = VmState::Failed;
    }

    /// It is in service.
    pub(super) fn serve(&mut self, name: &VmName, boots: u64) -> Result<(), FleetRefusal> {
        match self.state {
            VmState::Serving => return Ok(()),
            VmState::Draining => return Err(FleetRefusal::State(name.clone(), self.state)),
            VmState::Rebooting | VmState::Joining | VmState::Failed => {}
        }
        if self.reboot_ordered && boots <= self.boots {
            return Err(FleetRefusal::NotRebooted(name.clone(), self.boots));
        }
        let is_rebooted = boots > self.boots;
        if let (true, Some(Purpose::Maintain { wave })) = (is_rebooted, self.purpose()) {
            self.wave = *wave;
        }
        self.state = VmState::Serving;
        self.permit = None;
        self.reboot_ordered = false;
        self.boots = boots;
        Ok(())
    }

    /// It goes back into service without a reboot.
    pub(super) fn cancel(&mut self, name: &VmName) -> Result<(), FleetRefusal> {
        self.check_state(name, VmState::Draining)?;
        self.state = VmState::Serving;
        self.permit = None;
        Ok(())
    }

    /// Its work has ended and it is rebooted.
    pub(super) fn reboot(&mut self, name: &VmName) -> Result<(), FleetRefusal> {
        self.check_state(name, VmState::Draining)?;
        if !matches!(self.purpose(), Some(Purpose::Maintain { .. })) {
            return Err(FleetRefusal::State(name.clone(), self.state));
        }
        self.state = VmState::Rebooting;
        self.reboot_ordered = true;
        Ok(())
    }

    /// Its work has ended and it joins the pool that its permit names.
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

    fn check_state(&self, name: &VmName, wanted: VmState) -> Result<(), FleetRefusal> {
        if self.state == wanted {
            return Ok(());
        }
        Err(FleetRefusal::State(name.clone(), self.state))
    }
}
