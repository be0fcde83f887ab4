//! Usage of teams and of pools, as changes since the receiver's last message.

use goldcrest_types::names::{EntryId, PoolName, TeamName};
use goldcrest_types::units::Slots;
use serde::{Deserialize, Serialize};

/// Usage of one team or pool at one entry or data centre. It is encoded as a list without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CellForm<S>", into = "CellForm<S>")]
#[serde(bound(serialize = "S: Clone + Serialize"))]
pub struct Cell<S = TeamName> {
    /// Index of the entry or data centre in [`Delta::keys`].
    pub key: u16,
    /// The team or pool that uses the slots.
    pub subject: S,
    /// Slots of running work.
    pub running: Slots,
    /// Slots of waiting work.
    pub waiting: Slots,
}

type CellForm<S> = (u16, S, Slots, Slots);

impl<S> From<CellForm<S>> for Cell<S> {
    fn from((key, subject, running, waiting): CellForm<S>) -> Self {
        Self {
            key,
            subject,
            running,
            waiting,
        }
    }
}

impl<S> From<Cell<S>> for CellForm<S> {
    fn from(cell: Cell<S>) -> Self {
        (cell.key, cell.subject, cell.running, cell.waiting)
    }
}

/// Usage that changed since the receiver's last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(serialize = "K: Serialize, S: Clone + Serialize"))]
pub struct Delta<K, S = TeamName> {
    /// Sequence number up to which all changes have been sent with this delta.
    #[serde(rename = "n")]
    pub upto: u64,
    /// The entries or data centres to which the cells refer by index.
    #[serde(rename = "k")]
    pub keys: Vec<K>,
    /// Cells with their current usage, the least recently changed first.
    #[serde(rename = "c")]
    pub cells: Vec<Cell<S>>,
}

/// A request for the usage of each pool from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsageRequest {
    /// The process whose usage the requester has received at this address, if any.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryId>,
    /// Sequence number up to which the requester has received it.
    #[serde(rename = "h", default)]
    pub have: u64,
}

/// Changes of the usage of each pool from the replying entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsageTold {
    /// The replying entry. If it is not the one that the request names, the delta starts from zero.
    #[serde(rename = "e")]
    pub entry: EntryId,
    /// The changes after the sequence number that the request names.
    #[serde(rename = "d")]
    pub delta: Delta<EntryId, PoolName>,
}
