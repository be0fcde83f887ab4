//! The platform's list of VMs and its commands about VMs.
//!
//! The list lags by some seconds: it may show a VM that has departed, or lack one that exists. A reboot carries the
//! fencing epoch of the role that commands it; the platform refuses an epoch older than one it has seen for that VM.

use std::future::Future;
use std::net::SocketAddr;

use goldcrest_types::names::{DcName, RackName, VmName};
use goldcrest_types::units::{Epoch, Resources};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Whether a VM is in service, is leaving or reboots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmPhase {
    /// The VM runs.
    Live,
    /// The platform is going to remove the VM soon.
    Leaving,
    /// The VM is being rebooted.
    Rebooting,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// The VM runs an entry of this system.
    Entry,
    /// The VM answers requests.
    Upstream,
    /// The VM runs tasks.
    Worker,
}

/// One VM on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub name: VmName,
    /// The data centre that the VM is in.
    pub data_centre: DcName,
    /// The rack that the VM is in.
    pub rack: RackName,
    /// What the VM is for.
    pub role: VmRole,
    /// The address on which the VM is reached.
    pub address: SocketAddr,
    /// Whether the VM is in service, is leaving or reboots.
    pub phase: VmPhase,
    /// The resources of the VM.
    pub resources: Resources,
    /// How often the VM has started. A reboot has ended when this is higher than before and the phase is live.
    pub boots: u64,
}

/// The platform's list of VMs, as it was some seconds ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The VMs.
    pub vms: Vec<VmRecord>,
}

quick_error! {
    /// Why a call to the platform has failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FleetError {
        /// The call never reached the platform.
        Unreachable {
            display("the platform can't be reached: wait, or check its address in the settings")
        }
        /// The call may or may not have taken effect.
        OutcomeUnknown {
            display("no answer from the platform: read the list of VMs before trying again")
        }
        /// The platform has seen a newer epoch for this VM. Nothing was done.
        Fenced {
            display("the platform has seen a newer epoch for this VM: give up the role and take it anew")
        }
        /// There is no such VM.
        NoSuchVm {
            display("the platform knows no such VM: read the list of VMs again")
        }
        /// The answer can't be read.
        Malformed(detail: Box<str>) {
            display("the platform answered '{detail}': check that the settings name the right service")
        }
    }
}

/// The platform's list of VMs and its commands about VMs.
pub trait Fleet: Send + Sync + 'static {
    /// Reads the list of VMs, which is some seconds old.
    fn list(&self) -> impl Future<Output = Result<VmListing, FleetError>> + Send;

    /// Reboots a VM. The caller makes sure that the VM's work has ended before.
    fn reboot(
        &self,
        vm: &VmName,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), FleetError>> + Send;
}
