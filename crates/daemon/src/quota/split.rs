//! One quota row, divided between the serving path and the scheduler of tasks.
//!
//! [`Split`] holds the row's grants and what the scheduler has reserved of each team. The serving path may use the rest:
//! its grants are the row's less the reservation. Both change under one lock, and a reservation is given only after the
//! serving path has been held to the rest, so the two together never pass the row.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use goldcrest_front::{Front, TeamGrant, TeamGrants};
use goldcrest_ledger::quota::Grants;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

/// What a team holds of the row, and what of it the scheduler has reserved.
#[derive(Debug, Clone, Default)]
struct TeamSplit {
    floor: Slots,
    lent: Slots,
    reserved: Slots,
}

impl TeamSplit {
    /// What is left for the serving path. The reservation is taken from the lent part first, since that is what ends.
    fn rest(&self, team: &TeamName) -> TeamGrant {
        let from_lent = self.reserved.min(self.lent);
        TeamGrant {
            team: team.clone(),
            floor: self.floor - (self.reserved - from_lent),
            lent: self.lent - from_lent,
        }
    }

    fn usable(&self, has_lent: bool) -> Slots {
        if has_lent {
            self.floor + self.lent
        } else {
            self.floor
        }
    }
}

#[derive(Debug, Default)]
struct State {
    teams: BTreeMap<TeamName, TeamSplit>,
    lent_until: Option<Instant>,
}

impl State {
    fn rests(&self) -> TeamGrants {
        let teams = self.teams.iter().map(|(team, split)| split.rest(team));
        TeamGrants {
            teams: teams.collect(),
            lent_until: self.lent_until,
        }
    }
}

/// The row of this entry, divided.
#[derive(Debug, Default)]
pub struct Split {
    state: Mutex<State>,
}

impl Split {
    /// Nothing granted and nothing reserved.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the row's grants in force and returns what runs of each team, the scheduler's reservations among it.
    pub fn install(
        &self,
        front: &Front,
        cat: &Catalogue,
        grants: &Grants,
    ) -> BTreeMap<TeamName, Slots> {
        let mut state = self.state();
        state.lent_until = grants.lent_until();
        for split in state.teams.values_mut() {
            split.floor = Slots::ZERO;
            split.lent = Slots::ZERO;
        }
        for (id, team) in cat.teams.iter() {
            let part = grants.part(id);
            let split = state.teams.entry(team.name.clone()).or_default();
            split.floor = part.floor;
            split.lent = part.lent;
        }
        let mut running = running_of(front, state.rests());
        for (team, split) in &state.teams {
            *running.entry(team.clone()).or_default() += split.reserved;
        }
        running
    }

    /// Sets what the scheduler has reserved of a team to `wanted`, or as much as the serving path leaves. Returns what
    /// is reserved then. What runs already stays counted: the scheduler must not ask for less than it runs.
    pub fn reserve(&self, front: &Front, team: &TeamName, wanted: Slots, now: Instant) -> Slots {
        let mut state = self.state();
        let has_lent = state.lent_until.is_some_and(|until| now < until);
        let Some(split) = state.teams.get_mut(team) else {
            return Slots::ZERO;
        };
        let before = split.reserved;
        split.reserved = wanted.min(split.usable(has_lent).max(before));
        let usable = split.usable(has_lent);
        let reserved = split.reserved;
        let running = running_of(front, state.rests());
        if reserved <= before {
            return reserved;
        }
        // The serving path is held to the rest now; what it runs above that is not free yet.
        let in_front = running.get(team).copied().unwrap_or(Slots::ZERO);
        let given = reserved.min((usable - in_front).max(before));
        if given < reserved {
            if let Some(split) = state.teams.get_mut(team) {
                split.reserved = given;
            }
            running_of(front, state.rests());
        }
        given
    }

    /// What the serving path may use now, for the status.
    #[must_use]
    pub fn front_grants(&self) -> TeamGrants {
        self.state().rests()
    }
}

/// Puts the serving path's grants in force, and returns what it runs.
fn running_of(front: &Front, grants: TeamGrants) -> BTreeMap<TeamName, Slots> {
    let usage = front.exchange_grants(grants).into_iter();
    usage.map(|usage| (usage.team, usage.running)).collect()
}
