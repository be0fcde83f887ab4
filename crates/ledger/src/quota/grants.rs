//! What one entry may use at a moment.
//!
//! [`Grants`] is read right before each admission. It holds no lock and makes no call; it is built anew whenever the
//! data centre's quota, the session or the catalogue changes.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{SecondaryMap, TeamId};
use goldcrest_types::names::EntryId;
use goldcrest_types::units::Slots;

use super::{DcQuota, Part, RowPhase};

/// One entry's part of each team's upper limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grants {
    parts: SecondaryMap<TeamId, Part>,
    lent_until: Option<Instant>,
}

impl Grants {
    /// No part of anything.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The parts of `owner` in `doc`, under the limits of `cat`. The lent parts end at `lent_until`, which is the end
    /// of the session by the owner's monotonic clock less a margin for drift.
    #[must_use]
    pub fn of(doc: &DcQuota, owner: EntryId, cat: &Catalogue, lent_until: Option<Instant>) -> Self {
        let mut grants = Self::new();
        let Some(row) = doc.row_of(owner) else {
            return grants;
        };
        match doc.rows()[&row].phase {
            RowPhase::Orphaned => return grants,
            RowPhase::Lapsed => {}
            RowPhase::Held => grants.lent_until = lent_until,
        }
        for (id, team) in cat.teams.iter() {
            if let Some(quota) = doc.teams().get(&team.name) {
                let part = quota.part(row);
                grants.parts[id] = scaled(part, team.upper_limit, quota.limit);
            }
        }
        grants
    }

    /// The same parts, with lent parts that end at `lent_until`.
    #[must_use]
    pub fn with_lent_until(mut self, lent_until: Option<Instant>) -> Self {
        self.lent_until = lent_until;
        self
    }

    /// Sets the part of a team.
    pub fn set(&mut self, team: TeamId, part: Part) {
        self.parts[team] = part;
    }

    /// Until when the lent parts may be used.
    #[must_use]
    pub const fn lent_until(&self) -> Option<Instant> {
        self.lent_until
    }

    /// The part of a team.
    #[must_use]
    pub fn part(&self, team: TeamId) -> Part {
        self.parts[team]
    }

    /// Slots that `team` may use at `now`. Counts the lent part only while the session holds.
    #[must_use]
    pub fn usable(&self, team: TeamId, now: Instant) -> Slots {
        let part = self.parts[team];
        match self.lent_until {
            Some(until) if now < until => part.total(),
            _ => part.floor,
        }
    }
}

/// A part under a limit that may be lower than the one it was issued under. All parts are scaled alike and rounded
/// down, so their sum stays within the lower limit before any document has changed.
fn scaled(part: Part, limit: Slots, issued_under: Slots) -> Part {
    if limit >= issued_under {
        return part;
    }
    let scale = |slots: Slots| {
        let product = u64::from(slots.get()) * u64::from(limit.get());
        let scaled = product / u64::from(issued_under.get());
        Slots::new(u32::try_from(scaled).unwrap_or(u32::MAX))
    };
    Part::new(scale(part.floor), scale(part.lent))
}
