//! The slots that one entry may use at a given instant.
//!
//! [`Grants`] is read right before each admission, without locks or remote calls. It is rebuilt whenever the data
//! centre's quota document, the session or the catalogue changes.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{SecondaryMap, TeamId};
use goldcrest_types::names::EntryId;
use goldcrest_types::units::Slots;

use super::{DcQuota, Part, RowPhase, SessionId};

/// An owner's session and its expiry as the owner assumes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Session {
    /// The lease with the key-value service.
    pub id: SessionId,
    /// Expiry by the owner's monotonic clock: the instant at which the last answered renewal was sent, plus the lease's
    /// term, less a margin for clock drift.
    pub until: Instant,
}

/// One entry's part of each team's upper limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grants {
    parts: SecondaryMap<TeamId, Part>,
    lent_until: Option<Instant>,
}

impl Grants {
    /// Creates grants without slots of any team.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the parts of `owner` in `doc`, scaled to the limits of `cat`. The lent parts count only if `session` is
    /// the session that holds the row: under another one, they may have been reclaimed since `doc` was read.
    #[must_use]
    pub fn of(doc: &DcQuota, owner: EntryId, cat: &Catalogue, session: Option<Session>) -> Self {
        let mut grants = Self::new();
        let Some(row) = doc.row_of(owner) else {
            return grants;
        };
        let record = &doc.rows()[&row];
        if record.phase == RowPhase::Orphaned {
            return grants;
        }
        let of_row = session.filter(|s| s.id == record.session && record.phase == RowPhase::Held);
        grants.lent_until = of_row.map(|s| s.until);
        for (id, team) in cat.teams.iter() {
            if let Some(quota) = doc.teams().get(&team.name) {
                let part = quota.part(row);
                grants.parts[id] = scaled(part, team.upper_limit, quota.limit);
            }
        }
        grants
    }

    /// Returns the same parts, with lent parts that expire at `lent_until`, or are unusable if it is `None`.
    #[must_use]
    pub fn with_lent_until(mut self, lent_until: Option<Instant>) -> Self {
        self.lent_until = lent_until;
        self
    }

    /// Replaces the part of a team.
    pub fn set(&mut self, team: TeamId, part: Part) {
        self.parts[team] = part;
    }

    /// Returns the instant from which the lent parts may no longer be used; `None` if they may not be used at all.
    #[must_use]
    pub const fn lent_until(&self) -> Option<Instant> {
        self.lent_until
    }

    /// Returns the part of a team, scaled to the limit in force.
    #[must_use]
    pub fn part(&self, team: TeamId) -> Part {
        self.parts[team]
    }

    /// Returns the slots that `team` may use at `now`. The lent part counts only while the session is valid.
    #[must_use]
    pub fn usable(&self, team: TeamId, now: Instant) -> Slots {
        let part = self.parts[team];
        match self.lent_until {
            Some(until) if now < until => part.total(),
            _ => part.floor,
        }
    }
}

/// Scales a part to `limit` if that is lower than the limit it was issued under. All parts are scaled by the same
/// factor and rounded down, so their sum stays within the lower limit even before any document has changed.
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
