//! Ends of requests, and the waiting requests that start or are refused in consequence.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{EntityRef, PoolId, TeamId};

use super::estimate::retry_after;
use super::lane::Waiting;
use super::{Admission, Lane, LaneId, Phase, WorkId};
use crate::outcome::NotRunCode;

/// A request that left its lane's waiting list, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// The request starts.
    Start(WorkId),
    /// The request is refused; the duration is the value of `Retry-After`.
    Refuse(WorkId, NotRunCode, Duration),
}

impl Admission {
    /// Ends a running request, and appends the waiting requests that now start or are refused to `dequeued`.
    pub fn finish(&mut self, id: WorkId, now: Instant, dequeued: &mut Vec<Dequeued>) {
        let Some(work) = self.work(id).copied() else {
            debug_assert!(false, "{id:?} has ended already");
            return;
        };
        let Phase::Running { since, .. } = work.phase else {
            debug_assert!(false, "{id:?} is not running");
            return;
        };
        let was_full = self.running >= self.cfg.running_max.get();
        self.running -= 1;
        self.release(id);
        let Some(lane_id) = work.lane else {
            self.dequeue_all(now, dequeued);
            return;
        };
        let ran = now.saturating_duration_since(since);
        let lane = &mut self.lanes[lane_id.index()];
        lane.running -= 1;
        lane.mean_run_time.record(ran);
        let (pool, team) = (lane.pool, lane.team);
        self.pools[pool].running -= 1;
        self.pools[pool].mean_run_time.record(ran);
        self.teams[team].running -= 1;
        if self.waiting == 0 {
            return;
        }
        if was_full {
            self.dequeue_all(now, dequeued);
        } else {
            self.dequeue_pool_and_team(pool, team, now, dequeued);
        }
    }

    /// Removes a waiting request because its caller disconnected or its deadline passed.
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

    /// Starts every waiting request that can start now. To be called after quota, catalogue or upstreams changed.
    pub fn dequeue_all(&mut self, now: Instant, dequeued: &mut Vec<Dequeued>) {
        while self.waiting > 0 {
            let lanes = self.pools.values().flat_map(|pool| &pool.active);
            let Some(lane) = self.next_lane(lanes.copied(), now) else {
                return;
            };
            self.dequeue_head(lane, now, dequeued);
        }
    }

    /// Refuses every waiting request because the entry shuts down.
    pub fn refuse_all(&mut self, code: NotRunCode, dequeued: &mut Vec<Dequeued>) {
        for index in 0..self.lanes.len() {
            let lane = LaneId::new(index);
            while let Some(item) = self.lanes[index].head() {
                self.refuse(lane, item, code, dequeued);
            }
        }
    }

    /// Refuses the least urgent waiting request if its class is below `class`. Returns whether it refused one.
    pub(super) fn shed_below(
        &mut self,
        class: Class,
        wait: Duration,
        dequeued: &mut Vec<Dequeued>,
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
        dequeued.push(Dequeued::Refuse(
            item.work,
            NotRunCode::Shed,
            retry_after(wait),
        ));
        true
    }

    fn dequeue_pool_and_team(
        &mut self,
        pool: PoolId,
        team: TeamId,
        now: Instant,
        dequeued: &mut Vec<Dequeued>,
    ) {
        loop {
            let around = self.pools[pool].active.iter();
            let lanes = around.chain(&self.teams[team].active);
            let Some(lane) = self.next_lane(lanes.copied(), now) else {
                return;
            };
            self.dequeue_head(lane, now, dequeued);
        }
    }

    /// Returns the lane whose head starts next: by class, then by the team's running requests over its share, then by
    /// deadline. None if every lane is blocked.
    fn next_lane(&self, lanes: impl Iterator<Item = LaneId>, now: Instant) -> Option<LaneId> {
        let startable = lanes.filter(|id| self.blocker(*id, now).is_none());
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

    /// Returns the running requests of the team of `lane` times the share of the team of `other`. Comparing it with
    /// swapped arguments compares running over share without a division.
    fn load(&self, lane: &Lane, other: &Lane) -> u64 {
        let running = u64::from(self.teams[lane.team].running);
        running * u64::from(self.teams[other.team].share.get().max(1))
    }

    fn dequeue_head(&mut self, lane: LaneId, now: Instant, dequeued: &mut Vec<Dequeued>) {
        let Some(item) = self.lanes[lane.index()].head() else {
            debug_assert!(false, "{lane} is active without a waiting request");
            return;
        };
        if item.deadline <= now {
            self.refuse(lane, item, NotRunCode::DeadlinePassed, dequeued);
            return;
        }
        let keyed = self.works[item.work.index()].is_keyed;
        if keyed && !self.keys_fresh(now) {
            self.refuse(lane, item, NotRunCode::KeysNotFresh, dequeued);
            return;
        }
        self.unlink(lane, item);
        self.run(item.work, now);
        dequeued.push(Dequeued::Start(item.work));
    }

    fn refuse(
        &mut self,
        lane: LaneId,
        item: Waiting,
        code: NotRunCode,
        dequeued: &mut Vec<Dequeued>,
    ) {
        self.unlink(lane, item);
        self.release(item.work);
        dequeued.push(Dequeued::Refuse(
            item.work,
            code,
            retry_after(Duration::ZERO),
        ));
    }

    fn unlink(&mut self, lane_id: LaneId, item: Waiting) {
        let lane = &mut self.lanes[lane_id.index()];
        let found = lane.remove(item);
        debug_assert!(found, "{lane_id} does not list the request to remove");
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
