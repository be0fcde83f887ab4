//! The part of each team's upper limit that is granted to this entry.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

use super::Admission;

/// Slots of one team at this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamGrant {
    /// Name of the team; a team that the catalogue lacks is ignored.
    pub team: TeamName,
    /// Slots that stay usable during an outage of the key-value service.
    pub floor: Slots,
    /// Further slots, usable until [`TeamGrants::lent_until`].
    pub lent: Slots,
}

/// Slots of all teams at this entry. A team that is not listed has none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamGrants {
    /// One row for each team.
    pub teams: Vec<TeamGrant>,
    /// Expiry of the lent slots. None: they do not count.
    pub lent_until: Option<Instant>,
}

/// Load of one team at this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: TeamName,
    /// Number of running requests; each takes one slot.
    pub running: Slots,
    /// Number of waiting requests.
    pub waiting: Slots,
}

impl Admission {
    /// Replaces the grants and resolves them by `cat`. Running requests above a lowered grant keep their slots.
    pub fn set_grants(&mut self, grants: TeamGrants, cat: &Catalogue) {
        self.grants = grants;
        self.resolve_grants(cat);
    }

    /// Stores the grants without resolving them; the first catalogue does.
    pub fn defer_grants(&mut self, grants: TeamGrants) {
        self.grants = grants;
    }

    pub(super) fn resolve_grants(&mut self, cat: &Catalogue) {
        for (id, _) in cat.teams.iter() {
            let team = &mut self.teams[id];
            team.floor = Slots::ZERO;
            team.lent = Slots::ZERO;
        }
        for grant in &self.grants.teams {
            let Some(id) = cat.team(grant.team.as_str()) else {
                continue;
            };
            let team = &mut self.teams[id];
            team.floor = grant.floor;
            team.lent = grant.lent;
        }
    }
}
