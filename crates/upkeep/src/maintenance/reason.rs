//! Why a step is taken, and why a wave stands still.

use std::fmt;
use std::time::Duration;

use goldcrest_types::entity::DcId;

use crate::fleet::Group;

/// Why a step is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// One of the small batch that goes before the rest.
    FirstBatch {
        /// Its place in the batch, from 1.
        place: u32,
        /// The size of the batch.
        batch: u32,
    },
    /// The budget of its group allows it.
    WithinBudget {
        /// Its group.
        group: Group,
        /// How many of the group are out of service with it.
        unavailable: u32,
        /// How many may be.
        max: u32,
    },
    /// Its tasks run longer than a move of them costs.
    TasksRunLong {
        /// How long the longest would go on.
        left: Duration,
    },
    /// Nothing runs on it any more.
    Drained,
    /// The list has not shown the reboot in time, so the command may be lost.
    RebootNotSeen {
        /// How long ago it was asked for.
        waited: Duration,
    },
    /// It rebooted and is live.
    Verified {
        /// Its boot count.
        boots: u64,
    },
    /// Its work did not end in time and is not cut.
    DrainTimedOut {
        /// How long it was waited for.
        waited: Duration,
    },
    /// Others of its group failed, so it is needed.
    BudgetOverrun {
        /// Its group.
        group: Group,
        /// How many are out of service.
        unavailable: u32,
        /// How many may be.
        max: u32,
    },
    /// The wave was stopped, so a VM that still works goes back.
    WaveStopped,
    /// It did not come back from its reboot in time.
    RebootTimedOut {
        /// How long it was waited for.
        waited: Duration,
    },
    /// The list shows it gone or rebooting though nobody asked for that.
    LostAlone,
    /// It is live again.
    Recovered,
    /// It is live in its new pool.
    Joined,
    /// It has left the fleet as announced.
    Left,
    /// It was away for so long that the platform has replaced it.
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
            Self::LostAlone => f.write_str("lost without a command"),
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
        /// How many of it are still out.
        open: u32,
    },
    /// Every group that has VMs left has spent its budget.
    BudgetSpent {
        /// One of these groups.
        group: Group,
        /// How many of it are out of service.
        unavailable: u32,
        /// How many may be.
        max: u32,
    },
    /// VMs did not come back from their reboot.
    FailedInWave {
        /// How many.
        failed: u32,
        /// When the wave goes on by itself.
        resumes_in: Duration,
    },
    /// VMs of one data centre failed within a short time.
    FailedTogether {
        /// The data centre.
        dc: DcId,
        /// How many.
        failed: u32,
    },
    /// A large part of a data centre is out of service.
    DomainDown {
        /// The data centre.
        dc: DcId,
        /// How many of its VMs failed.
        failed: u32,
        /// How many it has.
        vms: u32,
    },
    /// All that are left run long tasks, and there is time to wait until they have ended.
    LongTasks {
        /// How many VMs.
        vms: u32,
    },
    /// All that are left in the data centre are in work.
    InWork {
        /// The data centre.
        dc: DcId,
        /// How many VMs.
        vms: u32,
    },
    /// VMs take much longer to come back than others did.
    Overdue {
        /// How many.
        vms: u32,
        /// How long a reboot has taken so far.
        usual: Duration,
    },
    /// Work that was not cut still runs on all that are left.
    WorkRuns {
        /// How many VMs.
        vms: u32,
    },
    /// All that are left are away or will leave.
    NoneReady {
        /// How many VMs.
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
            Self::FailedTogether { dc, failed } => {
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
            Self::Overdue { vms, usual } => write!(
                f,
                "{vms} VMs are overdue, others were back after {} s",
                usual.as_secs()
            ),
            Self::WorkRuns { vms } => {
                write!(f, "work that is not cut still runs on {vms} VMs left")
            }
            Self::NoneReady { vms } => write!(f, "{vms} VMs left are away or leaving"),
        }
    }
}
