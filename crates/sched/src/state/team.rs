//! The teams and queues of the catalogue, and the slots that each team is granted in this data centre.
//!
//! [`Teams`] holds every team and queue that was ever in a catalogue, by dense id. One that the catalogue in force does
//! not contain keeps its id and has `is_known` cleared.

use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, Class};
use goldcrest_types::entity::{PoolId, PrimaryMap, QueueId, TeamId};
use goldcrest_types::names::{PoolName, QueueName, TeamName};
use goldcrest_types::units::{Resources, Share, Slots};

use super::lane::LaneId;
use super::names::NameMap;

/// A team with its usage and entitlement.
#[derive(Debug, Clone)]
pub struct Team {
    /// Whether the catalogue in force contains the team.
    pub is_known: bool,
    /// The team's share in the catalogue, used as its weight in the division of the capacity.
    pub share: Share,
    /// The number of tasks that the team may have running across the fleet.
    pub upper_limit: Slots,
    /// The number of tasks that the team may have running in this data centre.
    pub granted: Slots,
    /// When the grant expires; none before the first grant.
    pub granted_until: Option<Instant>,
    /// The number of tasks that count as running in this data centre, unconfirmed starts and stopping attempts
    /// included.
    pub running: Slots,
    /// What the team is charged for them.
    pub charge: Resources,
    /// The usage of the team in the other data centres.
    pub elsewhere: Resources,
    /// The team's dominant share: the largest fraction that it uses of the total capacity of a kind of resource, as of
    /// the last scheduling round.
    pub dominant: f64,
    /// The dominant share to which the team is entitled, as of the last scheduling round.
    pub entitled: f64,
    /// The integral of `dominant` minus `entitled` over time, in fractions of the total capacity times seconds. Decays
    /// by a half-life from the configuration. Negative for a team that got less than its entitlement.
    pub excess_s: f64,
    /// Since when the team has waiting tasks and usage well below its entitlement.
    pub starved_since: Option<Instant>,
    /// When capacity was last reclaimed for the team by preemption.
    pub reclaimed_at: Option<Instant>,
    /// The lanes of the team, one for each queue to which it has submitted.
    pub lanes: Vec<LaneId>,
}

impl Team {
    /// Returns the number of tasks that the team may have running here at `now`: the grant, capped by the upper limit,
    /// or 0 once the grant has expired.
    #[must_use]
    pub fn usable(&self, now: Instant) -> Slots {
        match self.granted_until {
            Some(until) if now < until => self.granted.min(self.upper_limit),
            _ => Slots::ZERO,
        }
    }

    /// Returns the weight of the team: its share, but at least 1.
    #[must_use]
    pub fn weight(&self) -> f64 {
        f64::from(self.share.get().max(1))
    }
}

/// The attributes of a queue that scheduling needs.
#[derive(Debug, Clone)]
pub struct QueueState {
    /// Whether the catalogue in force contains the queue.
    pub is_known: bool,
    /// The class of all tasks of the queue.
    pub class: Class,
    /// The pool whose workers run the tasks of the queue.
    pub pool: PoolId,
    /// The run time after which an attempt is stopped.
    pub run_max: Duration,
}

/// All teams and queues that were ever in a catalogue.
#[derive(Debug, Default)]
pub struct Teams {
    /// The ids of the teams by name.
    pub names: NameMap<TeamName, TeamId>,
    /// The ids of the queues by name.
    pub queue_names: NameMap<QueueName, QueueId>,
    /// The ids of the pools by name, from catalogues and worker lists.
    pub pool_names: NameMap<PoolName, PoolId>,
    /// The queues by id.
    pub queues: PrimaryMap<QueueId, QueueState>,
    /// The total capacity of the workers in the other data centres.
    pub capacity_elsewhere: Resources,
    all: PrimaryMap<TeamId, Team>,
}

impl Teams {
    /// Applies the teams and queues of a catalogue.
    pub fn set_catalogue(&mut self, cat: &Catalogue) {
        for (_, team) in self.all.iter_mut() {
            team.is_known = false;
        }
        for (_, queue) in self.queues.iter_mut() {
            queue.is_known = false;
        }
        for team in cat.teams.values() {
            let id = self.names.get_or_insert(&team.name);
            if self.all.get(id).is_none() {
                self.all.push(new_team());
            }
            let known = &mut self.all[id];
            known.is_known = true;
            known.share = team.share;
            known.upper_limit = team.upper_limit;
        }
        for queue in cat.queues.values() {
            let pool = self.pool_names.get_or_insert(&cat.pools[queue.pool].name);
            let state = QueueState {
                is_known: true,
                class: queue.class,
                pool,
                run_max: queue.limits.run_max(),
            };
            let id = self.queue_names.get_or_insert(&queue.name);
            if self.queues.get(id).is_none() {
                self.queues.push(state);
            } else {
                self.queues[id] = state;
            }
        }
    }

    /// Returns the team of this name, if it was ever in a catalogue.
    #[must_use]
    pub fn find(&self, name: &TeamName) -> Option<TeamId> {
        self.names.get(name)
    }

    /// Returns the queue of this name, if it was ever in a catalogue.
    #[must_use]
    pub fn queue(&self, name: &QueueName) -> Option<QueueId> {
        self.queue_names.get(name)
    }

    /// Iterates over all teams in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TeamId, &Team)> {
        self.all.iter()
    }

    /// Iterates mutably over all teams in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (TeamId, &mut Team)> {
        self.all.iter_mut()
    }

    /// Iterates over the ids of all teams in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = TeamId> + use<> {
        self.all.keys()
    }
}

fn new_team() -> Team {
    Team {
        is_known: true,
        share: Share::ZERO,
        upper_limit: Slots::ZERO,
        granted: Slots::ZERO,
        granted_until: None,
        running: Slots::ZERO,
        charge: Resources::ZERO,
        elsewhere: Resources::ZERO,
        dominant: 0.0,
        entitled: 0.0,
        excess_s: 0.0,
        starved_since: None,
        reclaimed_at: None,
        lanes: Vec::new(),
    }
}

impl Index<TeamId> for Teams {
    type Output = Team;

    fn index(&self, id: TeamId) -> &Team {
        &self.all[id]
    }
}

impl IndexMut<TeamId> for Teams {
    fn index_mut(&mut self, id: TeamId) -> &mut Team {
        &mut self.all[id]
    }
}
