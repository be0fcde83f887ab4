//! One quota row, divided between the serving path and the scheduler of tasks.
//!
//! [`Split`] holds the row's grants and the slots that the scheduler has reserved of each team. The grants of the
//! serving path are those of the row less the reservations.
//!
//! Invariant: both parts change under one lock, and a reservation grows only after the grants of the serving path were
//! reduced, so the two together never exceed the row.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use goldcrest_front::{Front, TeamGrant, TeamGrants};
use goldcrest_ledger::quota::Grants;
use goldcrest_peer::usage::Usage;
use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

/// A team's slots in the row, and the part of them that the scheduler has reserved.
#[derive(Debug, Clone, Default)]
struct TeamSplit {
    floor: Slots,
    lent: Slots,
    reserved: Slots,
    /// When the reservation expires; none while this entry schedules.
    reserved_until: Option<Instant>,
}

impl TeamSplit {
    /// Returns the grant of the serving path. The reservation is taken from the lent slots first, since those expire.
    fn front_grant(&self, team: &TeamName) -> TeamGrant {
        let from_lent = self.reserved.min(self.lent);
        TeamGrant {
            team: team.clone(),
            floor: self.floor - (self.reserved - from_lent),
            lent: self.lent - from_lent,
        }
    }

    /// Returns the team's slots in the row. `has_lent` tells that the lent slots have not expired.
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
    /// Whether the catalogue has pools of upstreams, so that requests need slots.
    has_upstreams: bool,
}

impl State {
    /// Releases the expired reservations, whose tasks can no longer run.
    fn release_expired(&mut self, now: Instant) {
        let teams = self.teams.values_mut();
        let over = teams.filter(|split| split.reserved_until.is_some_and(|until| until <= now));
        for split in over {
            split.reserved = Slots::ZERO;
            split.reserved_until = None;
        }
    }

    /// Returns the slots of a team that waiting tasks must leave to requests: its running and waiting requests, at most
    /// half of the team's slots and at least one, so that a request never waits for the end of a task. Zero if there
    /// are no upstreams or the team has fewer than two slots.
    fn for_requests(&self, front: &Front, team: &TeamName, has_lent: bool) -> Slots {
        const MIN_SLOTS: Slots = Slots::new(1);
        let usable = self
            .teams
            .get(team)
            .map_or(Slots::ZERO, |split| split.usable(has_lent));
        let half = Slots::new(usable.get() / 2);
        if !self.has_upstreams || half.is_zero() {
            return Slots::ZERO;
        }
        let usage = front.usage();
        let demand = usage.iter().find(|usage| usage.team == *team);
        let demand = demand.map_or(Slots::ZERO, |usage| usage.running + usage.waiting);
        demand.clamp(MIN_SLOTS, half)
    }

    fn front_grants(&self) -> TeamGrants {
        let teams = self
            .teams
            .iter()
            .map(|(team, split)| split.front_grant(team));
        TeamGrants {
            teams: teams.collect(),
            lent_until: self.lent_until,
        }
    }
}

/// The quota row of this entry, divided between the serving path and the scheduler.
#[derive(Debug, Default)]
pub struct Split {
    state: Mutex<State>,
}

impl Split {
    /// Creates a split without grants and reservations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the row's grants in force. Returns the slots in use by each team: running requests and reservations.
    pub fn install(
        &self,
        front: &Front,
        cat: &Catalogue,
        grants: &Grants,
        now: Instant,
    ) -> BTreeMap<TeamName, Slots> {
        let mut state = self.state();
        state.release_expired(now);
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
        let mut running = exchange_front_grants(front, state.front_grants());
        for (team, split) in &state.teams {
            *running.entry(team.clone()).or_default() += split.reserved;
        }
        running
    }

    /// Sets the scheduler's reservation of a team to the demand of its tasks, limited by the slots that running
    /// requests use and those left to requests (see [`State::for_requests`]). Returns the new reservation. Running
    /// tasks stay covered by it, so the scheduler must not pass fewer in `tasks` than it runs.
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
        split.reserved_until = None;
        let reserved = split.reserved;
        let running = exchange_front_grants(front, state.front_grants());
        if reserved <= before {
            return reserved;
        }
        // The serving path is limited to the remaining slots now; requests that it runs beyond them still occupy
        // theirs.
        let front_running = running.get(team).copied().unwrap_or(Slots::ZERO);
        let granted = reserved.min((usable - front_running).max(before));
        if granted < reserved {
            if let Some(split) = state.teams.get_mut(team) {
                split.reserved = granted;
            }
            exchange_front_grants(front, state.front_grants());
        }
        granted
    }

    /// Reserves `running` slots of a team until `until`, unless the reservation is set again before. Called when this
    /// entry stops scheduling, for the tasks that it has started and whose ends it no longer observes.
    pub fn reserve_until(
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
            split.reserved_until = Some(until);
        }
    }

    /// The current grants of the serving path, for the status.
    #[must_use]
    pub fn front_grants(&self) -> TeamGrants {
        self.state().front_grants()
    }
}

/// Puts the grants of the serving path in force, and returns the slots that its running requests use, by team.
fn exchange_front_grants(front: &Front, grants: TeamGrants) -> BTreeMap<TeamName, Slots> {
    let usage = front.exchange_grants(grants).into_iter();
    usage.map(|usage| (usage.team, usage.running)).collect()
}
