//! Fleet-wide enforcement of the teams' upper limits, by escrow.
//!
//! [`FleetQuota`] divides a team's upper limit into allocations, one for each data centre; [`DcQuota`] divides a data
//! centre's allocation into parts, one for each entry process. An entry admits only against its own part, so admission
//! needs no remote call. A [`Part`] consists of a floor, which its owner keeps until it leaves or its row is reclaimed,
//! and a lent part, which expires with the owner's session. The compare-and-swap that changes a document also checks
//! its sums.
//!
//! - [`dc`]: the rows of one data centre, and the edits on them.
//! - [`reclaim`]: how an observer reclaims the rows of departed owners.
//! - [`row`]: the phases of a row, from joining to its reclaim.
//! - [`fleet`]: the allocations of the data centres, and the moves between them.
//! - [`grants`]: the slots that one entry may use at a given instant.
//! - [`rebalance`]: the parts that an entry gives back and acquires, by demand.
//! - [`allocations`]: the slots that data centres release and are issued, by demand.

pub mod allocations;
pub mod dc;
pub mod fill;
pub mod fleet;
pub mod grants;
pub mod rebalance;
pub mod reclaim;
pub mod refusal;
pub mod row;

use std::collections::BTreeMap;
use std::fmt;

use goldcrest_types::names::{TeamName, TransferId};
use goldcrest_types::units::Slots;
use serde::{Deserialize, Serialize};

pub use dc::{DcEdit, DcQuota, TeamQuota};
pub use fleet::{FleetEdit, FleetQuota, TeamAllocations};
pub use grants::{Grants, Session};
pub use refusal::QuotaRefusal;
pub use row::{GoneProof, Row, RowPhase, Waited};

/// The key in the key-value service under which [`FleetQuota`] is stored.
pub const FLEET_QUOTA_KEY: &str = "quota/fleet";

/// The number of a row, unique within its data centre and never reused.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowId(u32);

impl RowId {
    /// Wraps a row number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number that follows this one, which the next row to join gets.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for RowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row{}", self.0)
    }
}

/// An owner's session with the key-value service, identified by the number of its lease. A new lease is a new session.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SessionId(u64);

impl SessionId {
    /// Wraps the number of a lease.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One owner's part of one team's allocation, stored as the pair (floor, lent).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Slots, Slots)", into = "(Slots, Slots)")]
pub struct Part {
    /// Slots that the owner may use even without a session, until it leaves or its row is reclaimed.
    pub floor: Slots,
    /// Slots that the owner may use only while its session is valid.
    pub lent: Slots,
}

impl Part {
    /// The part of an owner that holds no slots.
    pub const NONE: Self = Self::new(Slots::ZERO, Slots::ZERO);

    /// Creates a part from its floor and its lent slots.
    #[must_use]
    pub const fn new(floor: Slots, lent: Slots) -> Self {
        Self { floor, lent }
    }

    /// Returns the sum of floor and lent slots.
    #[must_use]
    pub fn total(self) -> Slots {
        self.floor + self.lent
    }
}

impl From<(Slots, Slots)> for Part {
    fn from((floor, lent): (Slots, Slots)) -> Self {
        Self { floor, lent }
    }
}

impl From<Part> for (Slots, Slots) {
    fn from(part: Part) -> Self {
        (part.floor, part.lent)
    }
}

/// The slots of one team in a [`Transfer`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// Number of slots that move.
    pub slots: Slots,
    /// The team's upper limit when the transfer began. [`Grants`] scales parts down if the limit in force is lower.
    pub limit: Slots,
}

/// A move of slots between a data centre and the fleet's free slots. At most one move per data centre and direction is
/// open, and these moves are numbered in sequence, so that a delayed duplicate is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Distinguishes this transfer from another one with the same sequence number.
    pub id: TransferId,
    /// Sequence number within its data centre and direction, from 1.
    pub seq: u64,
    /// The slots that move, by team.
    pub teams: BTreeMap<TeamName, Moved>,
}

/// A number of slots for one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSlots {
    /// The team whose limit, allocation or work the slots belong to.
    pub team: TeamName,
    /// Number of slots.
    pub slots: Slots,
}

/// The new value of an owner's part of one team's allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPart {
    /// The team whose allocation the part belongs to.
    pub team: TeamName,
    /// The part after the edit; [`Part::NONE`] gives up the owner's slots of the team.
    pub part: Part,
}
