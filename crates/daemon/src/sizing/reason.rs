//! The reasons for which sizing holds all moves, and the records of the moves that it began.

use std::fmt;
use std::time::Instant;

use goldcrest_types::names::{DcName, PoolName};
use goldcrest_upkeep::sizing::Reason;

/// The reason why no VM is moved now, whatever the demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Hold {
    /// Sizing is switched off in the settings.
    Disabled,
    /// This entry's lease may have expired: the key-value service can't be reached.
    StoreDown,
    /// The fleet document of a data centre was not read yet.
    DocumentMissing {
        /// The data centre of the document.
        dc: DcName,
    },
    /// The platform lists no entry.
    NoEntryListed,
    /// Entries of a data centre have sent no report within `demand_age_max_ms`.
    DemandMissing {
        /// The first data centre with such entries.
        dc: DcName,
        /// The number of such entries in it.
        entries: u32,
    },
}

impl fmt::Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disabled => f.write_str("sizing is switched off in the settings"),
            Self::StoreDown => f.write_str("the key-value service can't be reached"),
            Self::DocumentMissing { dc } => {
                write!(f, "the fleet document of {dc} was not read yet")
            }
            Self::NoEntryListed => f.write_str("the platform lists no entry"),
            Self::DemandMissing { dc, entries } => {
                write!(f, "{entries} entries of {dc} tell no demand")
            }
        }
    }
}

/// The record of a move that was begun, kept for explanations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRecord {
    /// The pool that the VM leaves.
    pub from: PoolName,
    /// The pool that the VM joins.
    pub to: PoolName,
    /// Why the policy chose the move.
    pub reason: Reason,
    /// When the move was stored.
    pub at: Instant,
}

impl fmt::Display for MoveRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            from, to, reason, ..
        } = self;
        write!(f, "moved from pool {from} to pool {to}: {reason}")
    }
}
