//! The platform's list of VMs and its control over them.
//!
//! The list lags: a VM may be gone that it shows, or be there that it does not show. Draining and rebooting carry
//! the fencing epoch of the role that decided them; the platform refuses an epoch older than one it has seen for
//! that VM.

use std::future::Future;
use std::net::SocketAddr;

use goldcrest_types::names::{DcName, RackName, VmName};
use goldcrest_types::units::{Epoch, Resources};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmPhase {
    /// It runs.
    Live,
    /// It will be gone soon.
    Leaving,
    /// It is being rebooted.
    Rebooting,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// It runs an entry of this system.
    Entry,
    /// It answers requests.
    Upstream,
    /// It runs tasks.
    Worker,
}

/// One VM on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DcName,
    /// Its rack.
    pub rack: RackName,
    /// What it is for.
    pub role: VmRole,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stays.
    pub phase: VmPhase,
    /// What it has.
    pub resources: Resources,
    /// How often it has started. A reboot has ended when this is higher and the phase is live.
    pub boots: u64,
}

/// The platform's list of VMs, as it was some seconds ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The VMs.
    pub vms: Vec<VmRecord>,
}

quick_error! {
    /// Why the platform did not do as asked.
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
        /// The epoch is older than one that the platform has seen.
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

/// The platform's list of VMs and its control over them.
pub trait Fleet: Send + Sync + 'static {
    /// The VMs, as the platform knew them some seconds ago.
    fn list(&self) -> impl Future<Output = Result<VmListing, FleetError>> + Send;

    /// Reboots a VM. Its work must have ended before.
    fn reboot(
        &self,
        vm: &VmName,
        epoch: Epoch,
    ) -> impl Future<Output = Result<(), FleetError>> + Send;
}
