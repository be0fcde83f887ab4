//! Upper limits across the fleet, by escrow.
//!
//! A team's upper limit is cut into portions, one for each data centre, in [`FleetQuota`]; a data centre's portion is
//! cut into parts, one for each entry process, in [`DcQuota`]. An entry admits only against its own part, so no call
//! stands on the path of a request. A [`Part`] has a floor, which its owner keeps while it lives, and a lent part,
//! which ends with the owner's session. The sums are checked in the swap that changes them.
//!
//! - [`dc`]: the rows of one data centre, and the edits on them.
//! - [`reclaim`]: what an observer does about rows whose owners are gone.
//! - [`row`]: the life of a row, from joining to its reclaim.
//! - [`fleet`]: the portions of the data centres, and the moves between them.
//! - [`grants`]: what one entry may use at a moment.
//! - [`rebalance`]: what an entry gives back and takes, by demand.
//! - [`portions`]: what data centres release and are issued, by demand.

pub mod dc;
pub mod fill;
pub mod fleet;
pub mod grants;
pub mod portions;
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
pub use fleet::{FleetEdit, FleetQuota, TeamPortions};
pub use grants::{Grants, Session};
pub use refusal::QuotaRefusal;
pub use row::{GoneProof, Row, RowPhase, Waited};

/// The key of the fleet's portions in the key-value service.
pub const FLEET_QUOTA_KEY: &str = "quota/fleet";

/// The number of a row in its data centre. It is never used again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowId(u32);

impl RowId {
    /// The row with this number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number of the row that joins next.
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

/// An owner's session with the key-value service: the number of its lease. A new lease is a new session.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SessionId(u64);

impl SessionId {
    /// The session with this number.
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

/// One owner's part of one team's portion. It is stored as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Slots, Slots)", into = "(Slots, Slots)")]
pub struct Part {
    /// What the owner keeps while it lives, also without a session.
    pub floor: Slots,
    /// What the owner may use while its session holds.
    pub lent: Slots,
}

impl Part {
    /// Nothing.
    pub const NONE: Self = Self::new(Slots::ZERO, Slots::ZERO);

    /// A part of these two.
    #[must_use]
    pub const fn new(floor: Slots, lent: Slots) -> Self {
        Self { floor, lent }
    }

    /// Floor and lent part together.
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

/// What one team's move holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// How many slots move.
    pub slots: Slots,
    /// The upper limit under which they were issued.
    pub limit: Slots,
}

/// A move of slots between a data centre and what is free in the fleet. Moves of one data centre and direction are
/// numbered in sequence, one at a time, so that a late repetition is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Its id.
    pub id: TransferId,
    /// Its place in the sequence of its data centre and direction, from 1.
    pub seq: u64,
    /// What moves.
    pub teams: BTreeMap<TeamName, Moved>,
}

/// A number of slots of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSlots {
    /// The team.
    pub team: TeamName,
    /// The slots.
    pub slots: Slots,
}

/// An owner's part of a team's portion, as it shall be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPart {
    /// The team.
    pub team: TeamName,
    /// The part.
    pub part: Part,
}
