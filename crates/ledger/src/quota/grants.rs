//! What one entry may use at a moment.
//!
//! [`Grants`] is read right before each admission. It holds no lock and makes no call; it is built anew whenever the
//! data centre's quota, the session or the catalogue changes.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{SecondaryMap, TeamId};
use goldcrest_types::names::EntryId;
use goldcrest_types::units::Slots;

use super::{DcQuota, Part, RowPhase, SessionId};

/// An owner's session and how long the owner may rely on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Session {
    /// The session.
    pub id: SessionId,
    /// Its end by the owner's monotonic clock: the sending of the last renewal that was answered, plus the lease's
    /// term, less a margin for drift.
    pub until: Instant,
}

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

    /// The parts of `owner` in `doc`, under the limits of `cat`. The lent parts count only if `session` is the one that
    /// the row holds: under another, they may have been reclaimed since `doc` was read.
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
