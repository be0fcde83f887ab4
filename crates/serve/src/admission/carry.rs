//! Migration of the admission state from one catalogue revision to the next.
//!
//! Ids of one revision are invalid in another, so every record is carried over by name. Running requests stay counted
//! if their queue and team still exist. Waiting requests whose queue or team was removed, or whose key was
//! withdrawn, are refused at once.

use std::time::Duration;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{KeyId, QueueId, TeamId};

use super::estimate::retry_after;
use super::lane::{Lane, Waiting};
use super::{Admission, Dequeued, LaneId, Phase, PoolState, TeamState, WorkId, id_at};
use crate::outcome::NotRunCode;
use goldcrest_types::entity::{EntityRef, SecondaryMap};

impl Admission {
    /// Migrates from the catalogue `old`, if there was one, to `new`, and appends the waiting requests that are
    /// refused to `dequeued`. Resets the upstreams in service of every pool to 0: the caller must set them again.
    pub fn set_catalogue(
        &mut self,
        old: Option<&Catalogue>,
        new: &Catalogue,
        dequeued: &mut Vec<Dequeued>,
    ) {
        let old_lanes = std::mem::take(&mut self.lanes);
        self.build(new);
        for index in 0..self.works.len() {
            if self.works[index].phase == Phase::Free {
                continue;
            }
            let lane = self.works[index].lane;
            let old_lane = lane.map(|lane| &old_lanes[lane.index()]);
            let queue_and_team = old.zip(old_lane);
            let queue_and_team =
                queue_and_team.and_then(|(old, old_lane)| find_queue_and_team(new, old, old_lane));
            let old_key = old.zip(self.works[index].key);
            let key = old_key.and_then(|(old, key)| find_same_key(old, key, new));
            let id = id_at(index, self.works[index].generation);
            self.carry(id, queue_and_team, key, dequeued);
        }
        self.carry_run_times(old, new, &old_lanes);
    }

    fn carry_run_times(&mut self, old: Option<&Catalogue>, new: &Catalogue, old_lanes: &[Lane]) {
        for old_lane in old_lanes {
            let queue_and_team = old.and_then(|old| find_queue_and_team(new, old, old_lane));
            let lane = queue_and_team.and_then(|(queue, team)| self.lane(queue, team));
            if let Some(lane) = lane {
                self.lanes[lane.index()].mean_run_time = old_lane.mean_run_time;
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
        queue_and_team: Option<(QueueId, TeamId)>,
        key: Option<KeyId>,
        dequeued: &mut Vec<Dequeued>,
    ) {
        let lane = queue_and_team.and_then(|(queue, team)| self.lane(queue, team));
        let work = &mut self.works[id.index()];
        work.lane = lane;
        work.key = key;
        match (work.phase, lane) {
            (Phase::Running { .. }, Some(lane)) => self.count_running(lane),
            (Phase::Running { .. } | Phase::Free, _) => {}
            (Phase::Waiting, _) if work.is_keyed && key.is_none() => {
                self.drop_waiting(id, NotRunCode::KeyWithdrawn, dequeued);
            }
            (Phase::Waiting, None) => self.drop_waiting(id, NotRunCode::QueueUnknown, dequeued),
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

    fn drop_waiting(&mut self, id: WorkId, code: NotRunCode, dequeued: &mut Vec<Dequeued>) {
        self.release(id);
        dequeued.push(Dequeued::Refuse(id, code, retry_after(Duration::ZERO)));
    }
}

/// Returns the ids in `new` of the queue and team of `old_lane`, a lane of `old`. None if either was removed.
fn find_queue_and_team(
    new: &Catalogue,
    old: &Catalogue,
    old_lane: &Lane,
) -> Option<(QueueId, TeamId)> {
    let queue = new.queue(old.queues[old_lane.queue].name.as_str())?;
    let team = new.team(old.teams[old_lane.team].name.as_str())?;
    Some((queue, team))
}

/// Returns the key of `new` that has the digest and team of `key` in `old`.
fn find_same_key(old: &Catalogue, key: KeyId, new: &Catalogue) -> Option<KeyId> {
    let old_key = &old.keys[key];
    let team = new.team(old.teams[old_key.team].name.as_str())?;
    let same =
        |key: &goldcrest_types::catalogue::Key| key.team == team && key.digest == old_key.digest;
    new.keys.iter().find(|(_, key)| same(key)).map(|(id, _)| id)
}
