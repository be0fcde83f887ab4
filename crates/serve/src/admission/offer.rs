//! The decision on a new request: start, wait or refuse.

use std::time::{Duration, Instant};

use goldcrest_types::entity::EntityRef;
use goldcrest_types::units::Slots;

use super::estimate::retry_after;
use super::lane::Waiting;
use super::{
    Admission, AdmissionDecision, AdmissionRequest, Dequeued, LaneId, Phase, Work, WorkId, id_at,
};
use crate::outcome::NotRunCode;

impl Admission {
    /// Decides whether a request starts, waits or is refused. A less urgent waiting request that is shed in its favour
    /// is appended to `dequeued`.
    pub fn offer(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
        dequeued: &mut Vec<Dequeued>,
    ) -> AdmissionDecision {
        match self.evaluate(request, now) {
            Err(refused) => refused,
            Ok((lane, None)) => AdmissionDecision::Start(self.start_new(lane, request, now)),
            Ok((lane, Some(wait))) => self.wait_or_shed(lane, request, wait, dequeued),
        }
    }

    /// Returns the refusal that [`Self::offer`] would return now, and changes nothing. The entry's waiting limit, and
    /// so shedding, is not considered.
    #[must_use]
    pub fn refusal(&self, request: &AdmissionRequest, now: Instant) -> Option<AdmissionDecision> {
        self.evaluate(request, now).err()
    }

    /// Returns the lane of a request and its estimated wait (none if it can start at once), or the refusal.
    fn evaluate(
        &self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<(LaneId, Option<Duration>), AdmissionDecision> {
        let Some(lane) = self.lane(request.queue, request.team) else {
            return Err(refuse(NotRunCode::QueueUnknown, Duration::ZERO));
        };
        if request.deadline <= now {
            return Err(refuse(NotRunCode::DeadlinePassed, Duration::ZERO));
        }
        if request.key.is_some() && !self.keys_fresh(now) {
            return Err(refuse(NotRunCode::KeysNotFresh, Duration::ZERO));
        }
        let state = &self.lanes[lane.index()];
        if self.pools[state.pool].in_service == 0 {
            return Err(refuse(NotRunCode::NoUpstream, Duration::ZERO));
        }
        let Some(blocker) = self.blocker(lane, now) else {
            return Ok((lane, None));
        };
        let wait = self.wait_estimate(lane, blocker, now);
        if state.waiting_len() >= state.waiting_max.get() {
            return Err(refuse(NotRunCode::QueueFull, wait));
        }
        if now + wait >= request.deadline {
            return Err(refuse(NotRunCode::TooLateToStart, wait));
        }
        Ok((lane, Some(wait)))
    }

    /// Checks whether a started request may be sent at `now`. The process may have been paused since the start, so
    /// everything that can expire is checked again: the key, its freshness, the deadline and the team's quota.
    ///
    /// # Errors
    ///
    /// Returns the code of the first check that fails.
    pub fn may_send(&self, id: WorkId, now: Instant) -> Result<(), NotRunCode> {
        let work = self.work(id).ok_or(NotRunCode::QueueUnknown)?;
        let lane = work.lane.ok_or(NotRunCode::QueueUnknown)?;
        if work.is_keyed && work.key.is_none() {
            return Err(NotRunCode::KeyWithdrawn);
        }
        if work.is_keyed && !self.keys_fresh(now) {
            return Err(NotRunCode::KeysNotFresh);
        }
        if work.deadline <= now {
            return Err(NotRunCode::DeadlinePassed);
        }
        let team = self.lanes[lane.index()].team;
        if self.teams[team].running > self.usable(team, now).get() {
            return Err(NotRunCode::QuotaLapsed);
        }
        Ok(())
    }

    fn wait_or_shed(
        &mut self,
        lane: LaneId,
        request: &AdmissionRequest,
        wait: Duration,
        dequeued: &mut Vec<Dequeued>,
    ) -> AdmissionDecision {
        let class = self.lanes[lane.index()].class;
        if self.waiting >= self.cfg.waiting_max.get() && !self.shed_below(class, wait, dequeued) {
            return refuse(NotRunCode::Shed, wait);
        }
        AdmissionDecision::Wait(self.enqueue_new(lane, request))
    }

    fn start_new(&mut self, lane: LaneId, request: &AdmissionRequest, now: Instant) -> WorkId {
        let id = self.new_work(lane, request);
        self.run(id, now);
        id
    }

    fn enqueue_new(&mut self, lane: LaneId, request: &AdmissionRequest) -> WorkId {
        let id = self.new_work(lane, request);
        let item = Waiting {
            deadline: request.deadline,
            work: id,
        };
        self.link(lane, item);
        id
    }

    fn new_work(&mut self, lane: LaneId, request: &AdmissionRequest) -> WorkId {
        let work = Work {
            lane: Some(lane),
            key: request.key,
            is_keyed: request.key.is_some(),
            deadline: request.deadline,
            phase: Phase::Waiting,
            generation: 0,
        };
        let Some(index) = self.free.pop() else {
            self.works.push(work);
            return id_at(self.works.len() - 1, 0);
        };
        let slot = &mut self.works[index as usize];
        let generation = slot.generation.wrapping_add(1);
        *slot = Work { generation, ..work };
        id_at(index as usize, generation)
    }

    /// Marks a request as running and counts it. No limit of its lane may block it.
    pub(super) fn run(&mut self, id: WorkId, now: Instant) {
        let Some(lane) = self.works[id.index()].lane else {
            debug_assert!(false, "a request without a lane was started");
            return;
        };
        let lane = &mut self.lanes[lane.index()];
        lane.running += 1;
        let team = lane.team;
        self.pools[lane.pool].running += 1;
        self.teams[team].running += 1;
        self.running += 1;
        let team_running = Slots::new(self.teams[team].running);
        let team_usable = self.usable(team, now);
        debug_assert!(
            team_running <= team_usable,
            "{team} runs {team_running} requests, usable {team_usable}"
        );
        self.works[id.index()].phase = Phase::Running {
            since: now,
            team_running,
            team_usable,
        };
    }

    /// Adds a waiting request to its lane and the sums.
    pub(super) fn link(&mut self, lane_id: LaneId, item: Waiting) {
        let lane = &mut self.lanes[lane_id.index()];
        lane.enqueue(item);
        let pool = &mut self.pools[lane.pool];
        let team = &mut self.teams[lane.team];
        if lane.waiting.len() == 1 {
            pool.active.push(lane_id);
            team.active.push(lane_id);
        }
        pool.waiting += 1;
        team.waiting += 1;
        self.waiting += 1;
    }
}

fn refuse(code: NotRunCode, wait: Duration) -> AdmissionDecision {
    AdmissionDecision::Refuse(code, retry_after(wait))
}
