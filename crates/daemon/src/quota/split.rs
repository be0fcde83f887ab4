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
use goldcrest_peer::usage::Usage;
use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

/// What a team holds of the row, and what of it the scheduler has reserved.
#[derive(Debug, Clone, Default)]
struct TeamSplit {
    floor: Slots,
    lent: Slots,
    reserved: Slots,
    /// When the reservation ends by itself, if nobody schedules any more.
    kept_until: Option<Instant>,
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
    /// Whether there are queues that upstreams serve.
    has_upstreams: bool,
}

impl State {
    /// Gives back what was kept for tasks of which none can run any more.
    fn end_kept(&mut self, now: Instant) {
        let teams = self.teams.values_mut();
        let over = teams.filter(|split| split.kept_until.is_some_and(|until| until <= now));
        for split in over {
            split.reserved = Slots::ZERO;
            split.kept_until = None;
        }
    }

    /// How many of a team's slots waiting tasks must leave free: what its requests run and have waiting, up to half of
    /// the slots, and one at least, so that a request never waits for a task's end. None if there are no upstreams, or
    /// only one slot.
    fn for_requests(&self, front: &Front, team: &TeamName, has_lent: bool) -> Slots {
        const LEAST: Slots = Slots::new(1);
        let usable = self
            .teams
            .get(team)
            .map_or(Slots::ZERO, |split| split.usable(has_lent));
        let half = Slots::new(usable.get() / 2);
        if !self.has_upstreams || half.is_zero() {
            return Slots::ZERO;
        }
        let usage = front.usage();
        let asked = usage.iter().find(|usage| usage.team == *team);
        let asked = asked.map_or(Slots::ZERO, |usage| usage.running + usage.waiting);
        asked.clamp(LEAST, half)
    }

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
        now: Instant,
    ) -> BTreeMap<TeamName, Slots> {
        let mut state = self.state();
        state.end_kept(now);
        state.lent_until = grants.lent_until();
        state.has_upstreams = cat
            .pools
            .values()
            .any(|pool| pool.kind == PoolKind::Upstreams);
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

    /// Sets what the scheduler has reserved of a team to what its tasks want, or as much as the serving path leaves; some
    /// is left for requests (see [`State::for_requests`]). Returns what is reserved then. What runs already stays counted: the
    /// scheduler must not ask for less than it runs.
    pub fn reserve(&self, front: &Front, team: &TeamName, tasks: Usage, now: Instant) -> Slots {
        let mut state = self.state();
        let has_lent = state.lent_until.is_some_and(|until| now < until);
        let for_requests = state.for_requests(front, team, has_lent);
        let Some(split) = state.teams.get_mut(team) else {
            return Slots::ZERO;
        };
        let before = split.reserved;
        let usable = split.usable(has_lent);
        let for_tasks = (usable - for_requests).max(tasks.running);
        split.reserved = tasks.demand().min(for_tasks);
        split.kept_until = None;
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

    /// Reserves `running` of a team until `until` and then nothing, unless a scheduler sets it anew before. It is called when
    /// this entry no longer schedules, for what it has started and can't tell the end of.
    pub fn keep(
        &self,
        front: &Front,
        team: &TeamName,
        running: Slots,
        now: Instant,
        until: Instant,
    ) {
        let tasks = Usage {
            running,
            waiting: Slots::ZERO,
        };
        self.reserve(front, team, tasks, now);
        if let Some(split) = self.state().teams.get_mut(team) {
            split.kept_until = Some(until);
        }
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
