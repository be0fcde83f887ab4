//! Why no VM is moved, and why one was.

use std::fmt;
use std::time::Instant;

use goldcrest_types::names::{DcName, PoolName};
use goldcrest_upkeep::sizing::Reason;

/// Why no VM is moved now, whatever the demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Hold {
    /// Sizing is switched off in the settings.
    Disabled,
    /// This entry's lease may have lapsed: the key-value service can't be reached.
    StoreDown,
    /// The fleet document of a data centre could not be read yet.
    DocumentMissing {
        /// The data centre.
        dc: DcName,
    },
    /// The platform lists no entry.
    NoEntryListed,
    /// Entries of a data centre have told nothing of late.
    DemandMissing {
        /// The data centre.
        dc: DcName,
        /// How many of its entries.
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

/// A move that was begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveNote {
    /// The pool that the VM leaves.
    pub from: PoolName,
    /// The pool it goes to.
    pub to: PoolName,
    /// Why.
    pub reason: Reason,
    /// When.
    pub at: Instant,
}

impl fmt::Display for MoveNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            from, to, reason, ..
        } = self;
        write!(f, "moved from pool {from} to pool {to}: {reason}")
    }
}
