//! A request ends or gives up, and others get their turn.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{EntityRef, PoolId, TeamId};

use super::estimate::retry_after;
use super::lane::Waiting;
use super::{Admission, Lane, LaneId, Phase, WorkId};
use crate::outcome::NotRunCode;

/// What becomes of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It starts.
    Start(WorkId),
    /// It is refused.
    Refuse(WorkId, NotRunCode, Duration),
}

impl Admission {
    /// Records that a running request has ended, and adds to `turns` what can start in its place.
    pub fn finish(&mut self, id: WorkId, now: Instant, turns: &mut Vec<Turn>) {
        let Some(work) = self.work(id).copied() else {
            debug_assert!(false, "{id:?} has not ended before");
            return;
        };
        let Phase::Running { since, .. } = work.phase else {
            debug_assert!(false, "{id:?} runs");
            return;
        };
        let was_full = self.running >= self.cfg.running_max.get();
        self.running -= 1;
        self.release(id);
        let Some(lane_id) = work.lane else {
            self.turn_all(now, turns);
            return;
        };
        let ran = now.saturating_duration_since(since);
        let lane = &mut self.lanes[lane_id.index()];
        lane.running -= 1;
        lane.pace.record(ran);
        let (pool, team) = (lane.pool, lane.team);
        self.pools[pool].running -= 1;
        self.pools[pool].pace.record(ran);
        self.teams[team].running -= 1;
        if self.waiting == 0 {
            return;
        }
        if was_full {
            self.turn_all(now, turns);
        } else {
            self.turn_around(pool, team, now, turns);
        }
    }

    /// Takes a waiting request out, since its caller has gone or its deadline has passed.
    pub fn abandon(&mut self, id: WorkId) {
        let Some(work) = self.work(id).copied() else {
            return;
        };
        if work.phase != Phase::Waiting {
            return;
        }
        if let Some(lane) = work.lane {
            let deadline = work.deadline;
            self.unlink(lane, Waiting { deadline, work: id });
        }
        self.release(id);
    }

    /// Starts all that can start now, after the quota, the catalogue or the upstreams have changed.
    pub fn turn_all(&mut self, now: Instant, turns: &mut Vec<Turn>) {
        while self.waiting > 0 {
            let lanes = self.pools.values().flat_map(|pool| &pool.active);
            let Some(lane) = self.best(lanes.copied(), now) else {
                return;
            };
            self.turn_lane(lane, now, turns);
        }
    }

    /// Refuses every waiting request, since the entry goes.
    pub fn refuse_all(&mut self, code: NotRunCode, turns: &mut Vec<Turn>) {
        for index in 0..self.lanes.len() {
            let lane = LaneId::new(index);
            while let Some(item) = self.lanes[index].head() {
                self.refuse(lane, item, code, turns);
            }
        }
    }

    /// Makes room for a request of `class` by refusing the least urgent waiting one below it.
    pub(super) fn shed_below(
        &mut self,
        class: Class,
        wait: Duration,
        turns: &mut Vec<Turn>,
    ) -> bool {
        let lanes = self.pools.values().flat_map(|pool| &pool.active);
        let last = |id: &LaneId| {
            let lane = &self.lanes[id.index()];
            let item = lane.waiting.first().copied();
            item.map(|item| (lane.class, item.deadline, *id, item))
        };
        let Some((found, _, lane, item)) = lanes.filter_map(last).max() else {
            return false;
        };
        if found <= class {
            return false;
        }
        self.unlink(lane, item);
        self.release(item.work);
        turns.push(Turn::Refuse(item.work, NotRunCode::Shed, retry_after(wait)));
        true
    }

    fn turn_around(&mut self, pool: PoolId, team: TeamId, now: Instant, turns: &mut Vec<Turn>) {
        loop {
            let around = self.pools[pool].active.iter();
            let lanes = around.chain(&self.teams[team].active);
            let Some(lane) = self.best(lanes.copied(), now) else {
                return;
            };
            self.turn_lane(lane, now, turns);
        }
    }

    /// The lane whose head goes next: by class, then least running for the share, then deadline.
    fn best(&self, lanes: impl Iterator<Item = LaneId>, now: Instant) -> Option<LaneId> {
        let startable = lanes.filter(|id| self.hold(*id, now).is_none());
        startable.min_by(|a, b| {
            let (a, b) = (&self.lanes[a.index()], &self.lanes[b.index()]);
            let by_class = a.class.cmp(&b.class);
            let by_share = || self.load(a, b).cmp(&self.load(b, a));
            let deadline = |lane: &Lane| lane.head().map(|item| item.deadline);
            by_class
                .then_with(by_share)
                .then_with(|| deadline(a).cmp(&deadline(b)))
        })
    }

    /// What the team of `lane` runs, weighed by the share of the team of `other`.
    fn load(&self, lane: &Lane, other: &Lane) -> u64 {
        let running = u64::from(self.teams[lane.team].running);
        running * u64::from(self.teams[other.team].share.get().max(1))
    }

    fn turn_lane(&mut self, lane: LaneId, now: Instant, turns: &mut Vec<Turn>) {
        let Some(item) = self.lanes[lane.index()].head() else {
            debug_assert!(false, "{lane} is active and has a head");
            return;
        };
        if item.deadline <= now {
            self.refuse(lane, item, NotRunCode::DeadlinePassed, turns);
            return;
        }
        let keyed = self.works[item.work.index()].is_keyed;
        if keyed && !self.keys_fresh(now) {
            self.refuse(lane, item, NotRunCode::KeysNotFresh, turns);
            return;
        }
        self.unlink(lane, item);
        self.run(item.work, now);
        turns.push(Turn::Start(item.work));
    }

    fn refuse(&mut self, lane: LaneId, item: Waiting, code: NotRunCode, turns: &mut Vec<Turn>) {
        self.unlink(lane, item);
        self.release(item.work);
        turns.push(Turn::Refuse(item.work, code, retry_after(Duration::ZERO)));
    }

    fn unlink(&mut self, lane_id: LaneId, item: Waiting) {
        let lane = &mut self.lanes[lane_id.index()];
        let found = lane.remove(item);
        debug_assert!(found, "{lane_id} holds what it gives up");
        let pool = &mut self.pools[lane.pool];
        let team = &mut self.teams[lane.team];
        if lane.waiting.is_empty() {
            pool.active.retain(|id| *id != lane_id);
            team.active.retain(|id| *id != lane_id);
        }
        pool.waiting -= 1;
        team.waiting -= 1;
        self.waiting -= 1;
    }

    pub(super) fn release(&mut self, id: WorkId) {
        self.works[id.index()].phase = Phase::Free;
        self.free.push(id.index);
    }
}
