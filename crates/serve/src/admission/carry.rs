//! The step from one catalogue revision to the next.
//!
//! Ids of one revision mean nothing in another, so every record is carried over by name: running work keeps
//! counting where its queue and team still exist, and waiting work whose queue is gone or whose key is withdrawn is
//! refused at once.

use std::time::Duration;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{KeyId, QueueId, TeamId};

use super::estimate::retry_after;
use super::lane::{Lane, Waiting};
use super::{Admission, LaneId, Phase, PoolState, TeamState, Turn, WorkId, id_at};
use crate::outcome::NotRunCode;
use goldcrest_types::entity::{EntityRef, SecondaryMap};

impl Admission {
    /// Goes from the catalogue `old`, if there was one, to `new`. The pools' upstreams must be set anew afterwards.
    pub fn set_catalogue(
        &mut self,
        old: Option<&Catalogue>,
        new: &Catalogue,
        turns: &mut Vec<Turn>,
    ) {
        let old_lanes = std::mem::take(&mut self.lanes);
        self.build(new);
        for index in 0..self.works.len() {
            if self.works[index].phase == Phase::Free {
                continue;
            }
            let lane = self.works[index].lane;
            let before = lane.map(|lane| &old_lanes[lane.index()]);
            let place = old.zip(before);
            let place = place.and_then(|(old, before)| place_in(new, old, before));
            let old_key = old.zip(self.works[index].key);
            let key = old_key.and_then(|(old, key)| same_key(old, key, new));
            let id = id_at(index, self.works[index].generation);
            self.carry(id, place, key, turns);
        }
        self.carry_pace(old, new, &old_lanes);
    }

    fn carry_pace(&mut self, old: Option<&Catalogue>, new: &Catalogue, old_lanes: &[Lane]) {
        for before in old_lanes {
            let place = old.and_then(|old| place_in(new, old, before));
            let lane = place.and_then(|(queue, team)| self.lane(queue, team));
            if let Some(lane) = lane {
                self.lanes[lane.index()].pace = before.pace;
            }
        }
    }

    fn build(&mut self, cat: &Catalogue) {
        self.team_count = cat.teams.len();
        self.lanes.clear();
        for (queue_id, queue) in cat.queues.iter() {
            let lanes = cat
                .teams
                .keys()
                .map(|team| Lane::new(queue_id, queue, team));
            self.lanes.extend(lanes);
        }
        self.teams = SecondaryMap::new();
        for (id, team) in cat.teams.iter() {
            self.teams[id] = TeamState {
                share: team.share,
                ..TeamState::default()
            };
        }
        self.pools = SecondaryMap::new();
        for id in cat.pools.keys() {
            self.pools[id] = PoolState::default();
        }
        self.waiting = 0;
        self.resolve_grants(cat);
    }

    fn carry(
        &mut self,
        id: WorkId,
        place: Option<(QueueId, TeamId)>,
        key: Option<KeyId>,
        turns: &mut Vec<Turn>,
    ) {
        let lane = place.and_then(|(queue, team)| self.lane(queue, team));
        let work = &mut self.works[id.index()];
        work.lane = lane;
        work.key = key;
        match (work.phase, lane) {
            (Phase::Running { .. }, Some(lane)) => self.count_running(lane),
            (Phase::Running { .. } | Phase::Free, _) => {}
            (Phase::Waiting, _) if work.is_keyed && key.is_none() => {
                self.drop_waiting(id, NotRunCode::KeyWithdrawn, turns);
            }
            (Phase::Waiting, None) => self.drop_waiting(id, NotRunCode::QueueUnknown, turns),
            (Phase::Waiting, Some(lane)) => {
                let deadline = work.deadline;
                self.link(lane, Waiting { deadline, work: id });
            }
        }
    }

    fn count_running(&mut self, lane: LaneId) {
        let lane = &mut self.lanes[lane.index()];
        lane.running += 1;
        self.pools[lane.pool].running += 1;
        self.teams[lane.team].running += 1;
    }

    fn drop_waiting(&mut self, id: WorkId, code: NotRunCode, turns: &mut Vec<Turn>) {
        self.release(id);
        turns.push(Turn::Refuse(id, code, retry_after(Duration::ZERO)));
    }
}

/// The queue and team of an old lane in a new catalogue.
fn place_in(new: &Catalogue, old: &Catalogue, before: &Lane) -> Option<(QueueId, TeamId)> {
    let queue = new.queue(old.queues[before.queue].name.as_str())?;
    let team = new.team(old.teams[before.team].name.as_str())?;
    Some((queue, team))
}

/// The key of `new` with the digest and team of `key` in `old`.
fn same_key(old: &Catalogue, key: KeyId, new: &Catalogue) -> Option<KeyId> {
    let old_key = &old.keys[key];
    let team = new.team(old.teams[old_key.team].name.as_str())?;
    let same =
        |key: &goldcrest_types::catalogue::Key| key.team == team && key.digest == old_key.digest;
    new.keys.iter().find(|(_, key)| same(key)).map(|(id, _)| id)
}
