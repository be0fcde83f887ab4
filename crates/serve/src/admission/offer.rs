//! A request asks to start.

use std::time::{Duration, Instant};

use goldcrest_types::entity::EntityRef;
use goldcrest_types::units::Slots;

use super::estimate::retry_after;
use super::lane::Waiting;
use super::{Admission, Ask, Decision, LaneId, Phase, Turn, Work, WorkId, id_at};
use crate::outcome::NotRunCode;

impl Admission {
    /// Decides whether a request starts, waits or is refused. A waiting request that has to make room for it is
    /// added to `turns`.
    pub fn offer(&mut self, ask: &Ask, now: Instant, turns: &mut Vec<Turn>) -> Decision {
        match self.place(ask, now) {
            Err(refused) => refused,
            Ok((lane, None)) => Decision::Start(self.start_new(lane, ask, now)),
            Ok((lane, Some(wait))) => self.wait_or_shed(lane, ask, wait, turns),
        }
    }

    /// The refusal that [`Self::offer`] would answer now, less urgent requests that would make room left aside. It changes
    /// nothing.
    #[must_use]
    pub fn refusal(&self, ask: &Ask, now: Instant) -> Option<Decision> {
        self.place(ask, now).err()
    }

    /// The lane of a request with the time it would wait there, none if it can start at once; or its refusal.
    fn place(&self, ask: &Ask, now: Instant) -> Result<(LaneId, Option<Duration>), Decision> {
        let Some(lane) = self.lane(ask.queue, ask.team) else {
            return Err(refuse(NotRunCode::QueueUnknown, Duration::ZERO));
        };
        if ask.deadline <= now {
            return Err(refuse(NotRunCode::DeadlinePassed, Duration::ZERO));
        }
        if ask.key.is_some() && !self.keys_fresh(now) {
            return Err(refuse(NotRunCode::KeysNotFresh, Duration::ZERO));
        }
        let state = &self.lanes[lane.index()];
        if self.pools[state.pool].in_service == 0 {
            return Err(refuse(NotRunCode::NoUpstream, Duration::ZERO));
        }
        let Some(hold) = self.hold(lane, now) else {
            return Ok((lane, None));
        };
        let wait = self.wait_estimate(lane, hold, now);
        if state.waiting_len() >= state.waiting_max.get() {
            return Err(refuse(NotRunCode::QueueFull, wait));
        }
        if now + wait >= ask.deadline {
            return Err(refuse(NotRunCode::TooLateToStart, wait));
        }
        Ok((lane, Some(wait)))
    }

    /// Whether a request that started may be sent at `now`. The process may have been paused since, so all that can
    /// lapse is looked at again: the key, its freshness and the team's quota.
    ///
    /// # Errors
    ///
    /// The code of what has lapsed.
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
        ask: &Ask,
        wait: Duration,
        turns: &mut Vec<Turn>,
    ) -> Decision {
        let class = self.lanes[lane.index()].class;
        if self.waiting >= self.cfg.waiting_max.get() && !self.shed_below(class, wait, turns) {
            return refuse(NotRunCode::Shed, wait);
        }
        Decision::Wait(self.enqueue_new(lane, ask))
    }

    fn start_new(&mut self, lane: LaneId, ask: &Ask, now: Instant) -> WorkId {
        let id = self.new_work(lane, ask);
        self.run(id, now);
        id
    }

    fn enqueue_new(&mut self, lane: LaneId, ask: &Ask) -> WorkId {
        let id = self.new_work(lane, ask);
        let item = Waiting {
            deadline: ask.deadline,
            work: id,
        };
        self.link(lane, item);
        id
    }

    fn new_work(&mut self, lane: LaneId, ask: &Ask) -> WorkId {
        let work = Work {
            lane: Some(lane),
            key: ask.key,
            is_keyed: ask.key.is_some(),
            deadline: ask.deadline,
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

    /// Counts a request as running. Its lane must have room.
    pub(super) fn run(&mut self, id: WorkId, now: Instant) {
        let Some(lane) = self.works[id.index()].lane else {
            debug_assert!(false, "a request without a lane never starts");
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
        debug_assert!(team_running <= team_usable, "{team} is within its quota");
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

fn refuse(code: NotRunCode, wait: Duration) -> Decision {
    Decision::Refuse(code, retry_after(wait))
}
