//! Teams and queues, as the catalogue and the grants give them.

use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, Class};
use goldcrest_types::entity::{PoolId, PrimaryMap, QueueId, TeamId};
use goldcrest_types::names::{PoolName, QueueName, TeamName};
use goldcrest_types::units::{Resources, Share, Slots};

use super::lane::LaneId;
use super::names::NameMap;

/// A team and what it uses.
#[derive(Debug, Clone)]
pub struct Team {
    /// Whether the catalogue has it.
    pub is_known: bool,
    /// Its weight.
    pub share: Share,
    /// The most it may have running across the fleet.
    pub upper_limit: Slots,
    /// What it may have running here.
    pub granted: Slots,
    /// Until when that holds.
    pub granted_until: Option<Instant>,
    /// What it has running here.
    pub running: Slots,
    /// What it is charged for that.
    pub charge: Resources,
    /// What it uses in other data centres.
    pub elsewhere: Resources,
    /// The dominant part of the whole that it uses.
    pub dominant: f64,
    /// The dominant part of the whole that it is entitled to now.
    pub entitled: f64,
    /// What it used above (or, negative, below) its entitlement, fading, in seconds of the whole.
    pub excess_s: f64,
    /// Since when it waits well below its entitlement.
    pub under_since: Option<Instant>,
    /// When tasks were last preempted to give it its share.
    pub took_back: Option<Instant>,
    /// Its lanes.
    pub lanes: Vec<LaneId>,
}

impl Team {
    /// How many tasks it may have running here at `now`.
    #[must_use]
    pub fn usable(&self, now: Instant) -> Slots {
        match self.granted_until {
            Some(until) if now < until => self.granted.min(self.upper_limit),
            _ => Slots::ZERO,
        }
    }

    /// Its weight as a number above 0.
    #[must_use]
    pub fn weight(&self) -> f64 {
        f64::from(self.share.get().max(1))
    }
}

/// A queue.
#[derive(Debug, Clone)]
pub struct QueueState {
    /// Whether the catalogue has it.
    pub is_known: bool,
    /// How urgent it is.
    pub class: Class,
    /// The pool whose workers do its work.
    pub pool: PoolId,
    /// The longest run of a task.
    pub run_max: Duration,
}

/// All teams and queues that were ever in a catalogue.
#[derive(Debug, Default)]
pub struct Teams {
    /// The names of the teams.
    pub names: NameMap<TeamName, TeamId>,
    /// The names of the queues.
    pub queue_names: NameMap<QueueName, QueueId>,
    /// The names of the pools.
    pub pool_names: NameMap<PoolName, PoolId>,
    /// The queues.
    pub queues: PrimaryMap<QueueId, QueueState>,
    /// What the workers of other data centres have in all.
    pub capacity_elsewhere: Resources,
    all: PrimaryMap<TeamId, Team>,
}

impl Teams {
    /// Takes over the teams and queues of a catalogue.
    pub fn set_catalogue(&mut self, cat: &Catalogue) {
        for (_, team) in self.all.iter_mut() {
            team.is_known = false;
        }
        for (_, queue) in self.queues.iter_mut() {
            queue.is_known = false;
        }
        for team in cat.teams.values() {
            let id = self.names.draw(&team.name);
            if self.all.get(id).is_none() {
                self.all.push(new_team());
            }
            let known = &mut self.all[id];
            known.is_known = true;
            known.share = team.share;
            known.upper_limit = team.upper_limit;
        }
        for queue in cat.queues.values() {
            let pool = self.pool_names.draw(&cat.pools[queue.pool].name);
            let state = QueueState {
                is_known: true,
                class: queue.class,
                pool,
                run_max: queue.limits.run_max(),
            };
            let id = self.queue_names.draw(&queue.name);
            if self.queues.get(id).is_none() {
                self.queues.push(state);
            } else {
                self.queues[id] = state;
            }
        }
    }

    /// The team of this name, if a catalogue ever had it.
    #[must_use]
    pub fn find(&self, name: &TeamName) -> Option<TeamId> {
        self.names.get(name)
    }

    /// The queue of this name, if a catalogue ever had it.
    #[must_use]
    pub fn queue(&self, name: &QueueName) -> Option<QueueId> {
        self.queue_names.get(name)
    }

    /// All teams with their ids, in order.
    pub fn iter(&self) -> impl Iterator<Item = (TeamId, &Team)> {
        self.all.iter()
    }

    /// All teams for change, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (TeamId, &mut Team)> {
        self.all.iter_mut()
    }

    /// The ids of all teams, in order.
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
        under_since: None,
        took_back: None,
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
