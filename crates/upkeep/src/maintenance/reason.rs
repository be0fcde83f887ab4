//! Reasons for the steps of a wave, and for holding it.

use std::fmt;
use std::time::Duration;

use goldcrest_types::entity::DcId;

use crate::fleet::Group;

/// Why a step is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The VM belongs to the first batch, which is verified before the wave widens.
    FirstBatch {
        /// Position of the VM in the batch, from 1.
        place: u32,
        /// The size of the batch.
        batch: u32,
    },
    /// The availability budget of the VM's group allows the drain.
    WithinBudget {
        /// The group of the VM.
        group: Group,
        /// VMs of the group out of service, this one included.
        unavailable: u32,
        /// VMs of the group that may be out of service at once.
        max: u32,
    },
    /// Waiting for the VM's tasks costs more than moving them.
    TasksRunLong {
        /// Expected remaining time of the longest task.
        left: Duration,
    },
    /// No work runs on the VM any more.
    Drained,
    /// The list has not shown the reboot in time, so the command may be lost.
    RebootNotSeen {
        /// Time since the VM began to reboot or to join.
        waited: Duration,
    },
    /// The VM rebooted and is live.
    Verified {
        /// The boot count of the VM on the platform's list.
        boots: u64,
    },
    /// The VM's work did not end within the longest drain. It is not interrupted; the VM returns to service.
    DrainTimedOut {
        /// Time since the drain began.
        waited: Duration,
    },
    /// Failures took the group over its budget, so the VM is needed back in service.
    BudgetOverrun {
        /// The group of the VM.
        group: Group,
        /// VMs of the group out of service, this one included.
        unavailable: u32,
        /// VMs of the group that may be out of service at once.
        max: u32,
    },
    /// The wave was stopped, so the draining VM returns to service.
    WaveStopped,
    /// The VM did not come back from its reboot in time.
    RebootTimedOut {
        /// Time since the VM began to reboot or to join.
        waited: Duration,
    },
    /// The list shows the VM absent or rebooting without a command.
    LostUnplanned,
    /// The failed VM is live again.
    Recovered,
    /// The VM is live in its new pool.
    Joined,
    /// The VM has left the fleet after the list showed it as leaving.
    Left,
    /// The VM was absent for so long that the platform is taken to have replaced it.
    Replaced,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FirstBatch { place, batch } => write!(f, "first batch, {place} of {batch}"),
            Self::WithinBudget {
                group,
                unavailable,
                max,
            } => write!(f, "within the budget of {group}: {unavailable} of {max}"),
            Self::TasksRunLong { left } => {
                write!(f, "tasks would run {} s longer", left.as_secs())
            }
            Self::Drained => f.write_str("drained"),
            Self::RebootNotSeen { waited } => {
                write!(f, "reboot not seen for {} s", waited.as_secs())
            }
            Self::Verified { boots } => write!(f, "live after boot {boots}"),
            Self::DrainTimedOut { waited } => {
                write!(
                    f,
                    "work still runs after {} s and is not cut",
                    waited.as_secs()
                )
            }
            Self::BudgetOverrun {
                group,
                unavailable,
                max,
            } => write!(
                f,
                "needed in {group}: {unavailable} out of service, {max} allowed"
            ),
            Self::WaveStopped => f.write_str("wave stopped"),
            Self::RebootTimedOut { waited } => {
                write!(f, "not back after {} s", waited.as_secs())
            }
            Self::LostUnplanned => f.write_str("lost without a command"),
            Self::Recovered => f.write_str("live again"),
            Self::Joined => f.write_str("live in its new pool"),
            Self::Left => f.write_str("left as announced"),
            Self::Replaced => f.write_str("away too long, so it was replaced"),
        }
    }
}

/// Why no further VM is taken out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Maintenance is switched off in the catalogue.
    Disabled,
    /// Every VM was maintained in this cycle.
    CycleDone,
    /// The first batch is not verified yet.
    FirstBatch {
        /// VMs of the batch that are still out of service.
        open: u32,
    },
    /// Every group that has VMs left has spent its budget.
    BudgetSpent {
        /// One of these groups.
        group: Group,
        /// VMs of the group out of service.
        unavailable: u32,
        /// VMs of the group that may be out of service at once.
        max: u32,
    },
    /// VMs did not come back from their reboot.
    FailedInWave {
        /// Number of these VMs.
        failed: u32,
        /// Time until the wave resumes by itself.
        resumes_in: Duration,
    },
    /// VMs of one data centre failed outside the wave within a short time.
    CorrelatedFailures {
        /// The data centre of these VMs.
        dc: DcId,
        /// Number of these VMs.
        failed: u32,
    },
    /// A large part of a data centre's VMs failed outside the wave.
    DomainDown {
        /// The data centre that counts as down.
        dc: DcId,
        /// VMs of the data centre that failed.
        failed: u32,
        /// All VMs of the data centre.
        vms: u32,
    },
    /// All remaining VMs run long tasks, and there is time to wait for the tasks to end.
    LongTasks {
        /// Number of remaining VMs.
        vms: u32,
    },
    /// All remaining VMs of the data centre are in maintenance.
    InWork {
        /// The data centre of these VMs.
        dc: DcId,
        /// Number of VMs in maintenance.
        vms: u32,
    },
    /// VMs take much longer to reboot than others did.
    Overdue {
        /// Number of overdue VMs.
        vms: u32,
        /// Decaying maximum of the recent reboot times.
        reboot_time: Duration,
    },
    /// No remaining VM is ready, and one may not be drained again yet: its drain timed out or it just recovered.
    WorkRuns {
        /// Number of remaining VMs.
        vms: u32,
    },
    /// No remaining VM can be drained: they are absent, leaving or out of service.
    NoneReady {
        /// Number of remaining VMs.
        vms: u32,
    },
}

impl fmt::Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disabled => f.write_str("maintenance is switched off in the catalogue"),
            Self::CycleDone => f.write_str("every VM was maintained in this cycle"),
            Self::FirstBatch { open } => write!(f, "first batch not verified yet: {open} open"),
            Self::BudgetSpent {
                group,
                unavailable,
                max,
            } => write!(f, "budget of {group} is spent: {unavailable} of {max}"),
            Self::FailedInWave { failed, resumes_in } => write!(
                f,
                "{failed} VMs did not come back, goes on in {} s",
                resumes_in.as_secs()
            ),
            Self::CorrelatedFailures { dc, failed } => {
                write!(f, "{failed} VMs of {dc} failed within a short time")
            }
            Self::DomainDown { dc, failed, vms } => {
                write!(f, "{dc} is down: {failed} of {vms} VMs failed")
            }
            Self::LongTasks { vms } => {
                write!(
                    f,
                    "{vms} VMs left run long tasks, a better moment is awaited"
                )
            }
            Self::InWork { dc, vms } => write!(f, "the last {vms} VMs of {dc} are in work"),
            Self::Overdue { vms, reboot_time } => write!(
                f,
                "{vms} VMs are overdue, others were back after {} s",
                reboot_time.as_secs()
            ),
            Self::WorkRuns { vms } => {
                write!(f, "work that is not cut still runs on {vms} VMs left")
            }
            Self::NoneReady { vms } => write!(f, "{vms} VMs left are away or leaving"),
        }
    }
}
