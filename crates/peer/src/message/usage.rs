//! Usage of teams and of pools as what changed since the other side last heard.

use goldcrest_types::names::{EntryId, PoolName, TeamName};
use goldcrest_types::units::Slots;
use serde::{Deserialize, Serialize};

/// What one entry or data centre has of a team or of a pool. It is sent as a list without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CellForm<S>", into = "CellForm<S>")]
#[serde(bound(serialize = "S: Clone + Serialize"))]
pub struct Cell<S = TeamName> {
    /// Which of the keys of the [`Delta`].
    pub key: u16,
    /// The team or the pool.
    pub subject: S,
    /// Slots running.
    pub running: Slots,
    /// Slots waiting.
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

/// Usage that changed since the other side last heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(serialize = "K: Serialize, S: Clone + Serialize"))]
pub struct Delta<K, S = TeamName> {
    /// The sequence number up to which this tells all.
    #[serde(rename = "n")]
    pub upto: u64,
    /// The entries or data centres that the cells are of.
    #[serde(rename = "k")]
    pub keys: Vec<K>,
    /// What changed.
    #[serde(rename = "c")]
    pub cells: Vec<Cell<S>>,
}

/// A question what each pool has from the answerer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsageRequest {
    /// The process that the asker has heard from at this address, if any.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryId>,
    /// Up to where the asker has heard it.
    #[serde(rename = "h", default)]
    pub have: u64,
}

/// What has changed in what each pool has from the answerer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsageTold {
    /// The answerer. Another one than the asker had heard from tells everything anew.
    #[serde(rename = "e")]
    pub entry: EntryId,
    /// What has changed.
    #[serde(rename = "d")]
    pub delta: Delta<EntryId, PoolName>,
}
