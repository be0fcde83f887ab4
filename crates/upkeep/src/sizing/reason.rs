//! Why a pool is made larger or smaller.

use std::fmt;

/// Why a VM moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The pool is used above a threshold.
    UsedAbove {
        /// How much of it is used, in percent.
        used_percent: u32,
        /// The threshold, in percent.
        threshold_percent: u32,
    },
    /// The pool is used below a threshold.
    UsedBelow {
        /// How much of it is used, in percent.
        used_percent: u32,
        /// The threshold, in percent.
        threshold_percent: u32,
    },
    /// The number of idle VMs crossed a threshold, and the prediction asks for another size.
    Crossed {
        /// The work expected, in thousandths of a VM.
        expected_millis: u64,
    },
    /// A quantile of the recent demand.
    Quantile {
        /// The quantile, in percent.
        percent: u32,
        /// The demand there, in thousandths of a VM.
        demand_millis: u64,
    },
    /// The unmet demand of late has cost more than a move.
    UnmetOutweighsMove {
        /// The size that would have been cheapest.
        cheapest_vms: u32,
    },
    /// The idle VMs of late have cost more than a move.
    IdleOutweighsMove {
        /// The size that would have been cheapest.
        cheapest_vms: u32,
    },
    /// The pool is below its least or above its greatest size.
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
