//! Reasons for moves between pools.

use std::fmt;

/// Why a VM moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The utilisation of the pool is above a threshold.
    UsedAbove {
        /// Utilisation of the pool, in percent.
        used_percent: u32,
        /// The threshold, in percent.
        threshold_percent: u32,
    },
    /// The utilisation of the pool is below a threshold.
    UsedBelow {
        /// Utilisation of the pool, in percent.
        used_percent: u32,
        /// The threshold, in percent.
        threshold_percent: u32,
    },
    /// The number of idle VMs crossed a threshold, and the prediction requires another size.
    Crossed {
        /// The predicted demand, in thousandths of a VM.
        expected_millis: u64,
    },
    /// A quantile of the recent demand requires another size.
    Quantile {
        /// The quantile, in percent.
        percent: u32,
        /// The demand at the quantile, in thousandths of a VM.
        demand_millis: u64,
    },
    /// Unmet demand, past or forecast as the policy has it, costs more than a move.
    UnmetOutweighsMove {
        /// The cheapest size by the policy, in VMs.
        cheapest_vms: u32,
    },
    /// Idle VMs, past or forecast as the policy has it, cost more than a move.
    IdleOutweighsMove {
        /// The cheapest size by the policy, in VMs.
        cheapest_vms: u32,
    },
    /// The pool is below its minimum or above its maximum size.
    Bounds,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UsedAbove {
                used_percent,
                threshold_percent,
            } => write!(f, "used {used_percent}%, above {threshold_percent}%"),
            Self::UsedBelow {
                used_percent,
                threshold_percent,
            } => write!(f, "used {used_percent}%, below {threshold_percent}%"),
            Self::Crossed { expected_millis } => {
                write!(
                    f,
                    "threshold crossed, {expected_millis} thousandths of a VM expected"
                )
            }
            Self::Quantile {
                percent,
                demand_millis,
            } => write!(
                f,
                "{percent}% of the time at most {demand_millis} thousandths of a VM"
            ),
            Self::UnmetOutweighsMove { cheapest_vms } => {
                write!(
                    f,
                    "unmet demand costs more than a move: {cheapest_vms} VMs are cheapest"
                )
            }
            Self::IdleOutweighsMove { cheapest_vms } => {
                write!(
                    f,
                    "idle VMs cost more than a move: {cheapest_vms} VMs are cheapest"
                )
            }
            Self::Bounds => f.write_str("outside its least and greatest size"),
        }
    }
}
