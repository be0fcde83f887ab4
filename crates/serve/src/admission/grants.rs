//! The part of each team's upper limit that this entry may use.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

use super::Admission;

/// What one team may use at this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamGrant {
    /// The team.
    pub team: TeamName,
    /// Slots that are kept through an outage of the key-value service.
    pub floor: Slots,
    /// Further slots, until [`TeamGrants::lent_until`].
    pub lent: Slots,
}

/// What all teams may use at this entry. A team that is not listed may use nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamGrants {
    /// One row for each team.
    pub teams: Vec<TeamGrant>,
    /// When the lent parts lapse. None: they do not count.
    pub lent_until: Option<Instant>,
}

/// What one team has at this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Requests that run.
    pub running: Slots,
    /// Requests that wait.
    pub waiting: Slots,
}

impl Admission {
    /// Takes over what the teams may use from now on.
    pub fn set_grants(&mut self, grants: TeamGrants, cat: &Catalogue) {
        self.grants = grants;
        self.resolve_grants(cat);
    }

    /// Keeps what the teams may use until there is a catalogue to resolve it by.
    pub fn hold_grants(&mut self, grants: TeamGrants) {
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
