//! Admission control of one entry: which requests start, wait or are refused.
//!
//! An [`Admission`] holds one [`Lane`] for each queue and team, a sum for each team and each pool, and a slab of
//! the requests that wait or run. A request starts if its lane, its team's quota, its pool and the entry all have
//! free capacity. Otherwise it waits if it can start before its deadline, and is refused early if it cannot.
//!
//! Waiting requests start by class, then by the lowest ratio of the team's running requests to its share, then by
//! deadline.
//!
//! Invariants, checked by [`crate::verify`]: the sums equal the records; a lane's waiting list is ordered and
//! within its bound; no request starts beyond the usable quota that its team has at that moment; every key of a
//! waiting request is in the catalogue in force.

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
pub use turn::Dequeued;
pub use usage::PoolUsage;

use crate::outcome::NotRunCode;
use estimate::MeanRunTime;

goldcrest_types::entity_id!(
    /// The lane of one queue and one team.
    LaneId,
    "lane"
);

/// Handle of a waiting or running request: a slab index and the generation of that slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId {
    index: u32,
    generation: u32,
}

impl WorkId {
    /// Returns the slab index. It is reused once the request has ended.
    #[must_use]
    pub const fn index(self) -> usize {
        self.index as usize
    }
}

/// Limits of one entry over all lanes.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionCfg {
    /// Limit of requests that run at one time.
    pub running_max: Slots,
    /// Limit of requests that wait at one time.
    pub waiting_max: Slots,
}

/// A request for admission. Its ids are of the catalogue in force.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Queue that the request came to.
    pub queue: QueueId,
    /// Team that the request is charged to.
    pub team: TeamId,
    /// Key that the request came with. None if an open queue admitted it without one.
    pub key: Option<KeyId>,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
}

/// Result of [`Admission::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request starts now and holds a slot until [`Admission::finish`].
    Start(WorkId),
    /// The request waits; a later [`Dequeued`] starts or refuses it.
    Wait(WorkId),
    /// The request is refused; the duration is the value of `Retry-After`.
    Refuse(NotRunCode, Duration),
}

/// Phase of a slab slot and its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The request is in its lane's waiting list.
    Waiting,
    /// The request holds a slot.
    Running {
        /// When it started.
        since: Instant,
        /// Running requests of the team right after the start, this one included.
        team_running: Slots,
        /// Usable slots of the team at the start.
        team_usable: Slots,
    },
    /// The slot is free.
    Free,
}

/// One slab slot: the record of a request, or free.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Lane of the request. None once its queue or team was removed from the catalogue.
    pub lane: Option<LaneId>,
    /// Key that the request came with. None without a key or once the key was withdrawn.
    pub key: Option<KeyId>,
    /// Whether the request came with a key.
    pub is_keyed: bool,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Phase of the slot.
    pub phase: Phase,
    generation: u32,
}

/// Grant and load of one team at this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamState {
    pub(crate) share: Share,
    pub(crate) floor: Slots,
    pub(crate) lent: Slots,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    active: Vec<LaneId>,
}

/// Upstreams in service of one pool, and its load from this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolState {
    pub(crate) in_service: u32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    mean_run_time: MeanRunTime,
    active: Vec<LaneId>,
}

/// Admission state of one entry process.
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
    /// Creates a state without a catalogue. It has no lanes, so it refuses every request.
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

    /// Returns the lane of `queue` and `team`. None if an id is out of range.
    #[must_use]
    pub fn lane(&self, queue: QueueId, team: TeamId) -> Option<LaneId> {
        let index = queue.index() * self.team_count + team.index();
        let known = team.index() < self.team_count && index < self.lanes.len();
        known.then(|| LaneId::new(index))
    }

    /// Returns the lane of a request. None if it has ended, or if its queue or team was removed.
    #[must_use]
    pub fn lane_of(&self, work: WorkId) -> Option<&Lane> {
        let lane = self.work(work)?.lane?;
        self.lanes.get(lane.index())
    }

    /// Returns the record of a request. None if it has ended.
    #[must_use]
    pub fn work(&self, id: WorkId) -> Option<&Work> {
        let work = self.works.get(id.index())?;
        (work.generation == id.generation && work.phase != Phase::Free).then_some(work)
    }

    /// Iterates over the requests that wait or run.
    pub fn works(&self) -> impl Iterator<Item = (WorkId, &Work)> {
        let used = self.works.iter().enumerate();
        used.filter(|(_, work)| work.phase != Phase::Free)
            .map(|(index, work)| (id_at(index, work.generation), work))
    }

    /// Iterates over the lanes in the order of their ids.
    pub fn lanes(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        let lanes = self.lanes.iter().enumerate();
        lanes.map(|(index, lane)| (LaneId::new(index), lane))
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the limits of the entry.
    #[must_use]
    pub const fn cfg(&self) -> &AdmissionCfg {
        &self.cfg
    }

    /// Returns the slots that `team` may use at `now`. Lent slots count only until they expire.
    #[must_use]
    pub fn usable(&self, team: TeamId, now: Instant) -> Slots {
        let state = &self.teams[team];
        if self.grants.lent_until.is_some_and(|until| now < until) {
            state.floor + state.lent
        } else {
            state.floor
        }
    }

    /// Returns whether requests with a key may start at `now`.
    #[must_use]
    pub fn keys_fresh(&self, now: Instant) -> bool {
        self.keys_fresh_until.is_some_and(|until| now < until)
    }

    /// Sets until when requests with a key may start. None: they may not.
    pub fn set_keys_fresh_until(&mut self, until: Option<Instant>) {
        self.keys_fresh_until = until;
    }

    /// Sets the number of upstreams of `pool` that are in service.
    pub fn set_in_service(&mut self, pool: PoolId, upstreams: u32) {
        self.pools[pool].in_service = upstreams;
    }

    /// Returns the load of each team of `cat`, which must be the catalogue in force.
    #[must_use]
    pub fn usage(&self, cat: &Catalogue) -> Vec<TeamUsage> {
        let usage = |(id, team): (TeamId, &goldcrest_types::catalogue::Team)| TeamUsage {
            team: team.name.clone(),
            running: Slots::new(self.teams[id].running),
            waiting: Slots::new(self.teams[id].waiting),
        };
        cat.teams.iter().map(usage).collect()
    }

    /// Returns the sum of the tables' capacities, in records. It is constant while nothing allocates.
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
