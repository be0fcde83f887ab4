//! What may start at this entry, what waits, and what is refused.
//!
//! An [`Admission`] holds one [`Lane`] for each queue and team, a sum for each team and each pool, and a slab of
//! the requests that wait or run. A request starts if its lane, its team's quota, its pool and the entry all have
//! room; it waits if it can start before its deadline; and it is refused early otherwise.
//!
//! Waiting requests start by class, then by the team with the least running for its share, then by deadline.
//!
//! Invariants, checked by [`crate::verify`]: the sums equal the records; a lane's waiting list is ordered and
//! within its bound; nothing starts past the team's usable quota at that moment; no waiting request has a key that
//! the catalogue in force lacks.

mod carry;
mod estimate;
mod grants;
mod lane;
mod offer;
mod turn;
mod usage;

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{EntityRef, KeyId, PoolId, QueueId, SecondaryMap, TeamId};
use goldcrest_types::units::{Share, Slots};

pub use grants::{TeamGrant, TeamGrants, TeamUsage};
pub use lane::Lane;
pub use turn::Turn;
pub use usage::PoolUsage;

use crate::outcome::NotRunCode;
use estimate::Pace;

goldcrest_types::entity_id!(
    /// The lane of one queue and one team.
    LaneId,
    "lane"
);

/// A request that waits or runs: a place in the slab and the count of its uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId {
    index: u32,
    generation: u32,
}

impl WorkId {
    /// The place in the slab. It is used again once the request has ended.
    #[must_use]
    pub const fn index(self) -> usize {
        self.index as usize
    }
}

/// The bounds of an entry.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionCfg {
    /// The most requests that run at one time.
    pub running_max: Slots,
    /// The most requests that wait at one time.
    pub waiting_max: Slots,
}

/// A request that asks to start.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// The queue it came to.
    pub queue: QueueId,
    /// The team it counts for.
    pub team: TeamId,
    /// The key it came with, if any.
    pub key: Option<KeyId>,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What becomes of a request that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It starts now.
    Start(WorkId),
    /// It waits for its turn.
    Wait(WorkId),
    /// It is refused.
    Refuse(NotRunCode, Duration),
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits.
    Waiting,
    /// It runs.
    Running {
        /// Since when.
        since: Instant,
        /// What its team had running at the start, itself included.
        team_running: Slots,
        /// What its team could use at the start.
        team_usable: Slots,
    },
    /// The place in the slab is free.
    Free,
}

/// One place in the slab.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Its lane; none once the queue or team has left the catalogue.
    pub lane: Option<LaneId>,
    /// The key it came with, if it is still granted.
    pub key: Option<KeyId>,
    /// Whether it came with a key.
    pub is_keyed: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Where it stands.
    pub phase: Phase,
    generation: u32,
}

/// What one team has at this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamState {
    pub(crate) share: Share,
    pub(crate) floor: Slots,
    pub(crate) lent: Slots,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    active: Vec<LaneId>,
}

/// What one pool has from this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolState {
    pub(crate) in_service: u32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pace: Pace,
    active: Vec<LaneId>,
}

/// The admission of one entry process.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionCfg,
    lanes: Vec<Lane>,
    team_count: usize,
    teams: SecondaryMap<TeamId, TeamState>,
    pools: SecondaryMap<PoolId, PoolState>,
    works: Vec<Work>,
    free: Vec<u32>,
    running: u32,
    waiting: u32,
    grants: TeamGrants,
    keys_fresh_until: Option<Instant>,
}

impl Admission {
    /// An admission with these bounds that knows no catalogue and refuses everything.
    #[must_use]
    pub fn new(cfg: AdmissionCfg) -> Self {
        Self {
            cfg,
            lanes: Vec::new(),
            team_count: 0,
            teams: SecondaryMap::new(),
            pools: SecondaryMap::new(),
            works: Vec::new(),
            free: Vec::new(),
            running: 0,
            waiting: 0,
            grants: TeamGrants::default(),
            keys_fresh_until: None,
        }
    }

    /// The lane of `queue` and `team`.
    #[must_use]
    pub fn lane(&self, queue: QueueId, team: TeamId) -> Option<LaneId> {
        let index = queue.index() * self.team_count + team.index();
        let known = team.index() < self.team_count && index < self.lanes.len();
        known.then(|| LaneId::new(index))
    }

    /// The lane of a request that waits or runs.
    #[must_use]
    pub fn lane_of(&self, work: WorkId) -> Option<&Lane> {
        let lane = self.work(work)?.lane?;
        self.lanes.get(lane.index())
    }

    /// The record of a request, unless it has ended.
    #[must_use]
    pub fn work(&self, id: WorkId) -> Option<&Work> {
        let work = self.works.get(id.index())?;
        (work.generation == id.generation && work.phase != Phase::Free).then_some(work)
    }

    /// All requests that wait or run.
    pub fn works(&self) -> impl Iterator<Item = (WorkId, &Work)> {
        let used = self.works.iter().enumerate();
        used.filter(|(_, work)| work.phase != Phase::Free)
            .map(|(index, work)| (id_at(index, work.generation), work))
    }

    /// All lanes, in the order of their ids.
    pub fn lanes(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        let lanes = self.lanes.iter().enumerate();
        lanes.map(|(index, lane)| (LaneId::new(index), lane))
    }

    /// How many requests run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// How many requests wait.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// The bounds.
    #[must_use]
    pub const fn cfg(&self) -> &AdmissionCfg {
        &self.cfg
    }

    /// How many slots `team` may use here at `now`. The lent part counts only until it lapses.
    #[must_use]
    pub fn usable(&self, team: TeamId, now: Instant) -> Slots {
        let state = &self.teams[team];
        if self.grants.lent_until.is_some_and(|until| now < until) {
            state.floor + state.lent
        } else {
            state.floor
        }
    }

    /// Whether work that came with a key may start at `now`.
    #[must_use]
    pub fn keys_fresh(&self, now: Instant) -> bool {
        self.keys_fresh_until.is_some_and(|until| now < until)
    }

    /// Sets until when keyed work may start.
    pub fn set_keys_fresh_until(&mut self, until: Option<Instant>) {
        self.keys_fresh_until = until;
    }

    /// Sets how many upstreams of `pool` are in service.
    pub fn set_in_service(&mut self, pool: PoolId, upstreams: u32) {
        self.pools[pool].in_service = upstreams;
    }

    /// What each team of `cat` has running and waiting here.
    #[must_use]
    pub fn usage(&self, cat: &Catalogue) -> Vec<TeamUsage> {
        let usage = |(id, team): (TeamId, &goldcrest_types::catalogue::Team)| TeamUsage {
            team: team.name.clone(),
            running: Slots::new(self.teams[id].running),
            waiting: Slots::new(self.teams[id].waiting),
        };
        cat.teams.iter().map(usage).collect()
    }

    /// How many records the tables have room for.
    #[must_use]
    pub fn capacity(&self) -> usize {
        let lanes = self.lanes.iter().map(|lane| lane.waiting.capacity());
        let pools = self.pools.values().map(|pool| pool.active.capacity());
        let teams = self.teams.values().map(|team| team.active.capacity());
        let tables = lanes.chain(pools).chain(teams).sum::<usize>();
        tables + self.lanes.capacity() + self.works.capacity() + self.free.capacity()
    }

    pub(crate) fn team_state(&self, team: TeamId) -> &TeamState {
        &self.teams[team]
    }
}

fn id_at(index: usize, generation: u32) -> WorkId {
    // The slab is bounded by `running_max` and `waiting_max`, which are 32 bits each.
    debug_assert!(u32::try_from(index).is_ok());
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    WorkId { index, generation }
}
