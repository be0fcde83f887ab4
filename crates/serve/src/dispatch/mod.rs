//! One entry's decisions, joined: admission, routing and retries over one catalogue revision.
//!
//! A [`Dispatch`] keeps its [`Catalogue`] next to the state that uses its ids, so the two always agree. The caller
//! holds one lock around it and passes the time in. Requests that waited get their turn in [`Dispatch::take_turns`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{QueueId, SecondaryMap};
use goldcrest_types::names::DcName;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::{
    Admission, AdmissionCfg, Ask, Decision, Phase, PoolUsage, TeamGrants, TeamUsage, Turn, WorkId,
};
use crate::outcome::NotRunCode;
use crate::retry::{RetryBudget, backoff};
use crate::routing::{Finish, Router, UpstreamId, UpstreamSet};

/// What becomes of a request that waited, with its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// It starts.
    Start,
    /// It is refused.
    Refuse(NotRunCode, Duration),
}

/// The decisions of one entry process.
#[derive(Debug)]
pub struct Dispatch {
    cat: Option<Arc<Catalogue>>,
    admission: Admission,
    router: Router,
    budgets: SecondaryMap<QueueId, RetryBudget>,
    upstreams: UpstreamSet,
    rng: SmallRng,
    turns: Vec<Turn>,
}

impl Dispatch {
    /// Decisions for an entry in `dc`, random ones drawn from `seed`.
    #[must_use]
    pub fn new(dc: DcName, cfg: AdmissionCfg, seed: u64) -> Self {
        Self {
            cat: None,
            admission: Admission::new(cfg),
            router: Router::new(dc),
            budgets: SecondaryMap::new(),
            upstreams: UpstreamSet::default(),
            rng: SmallRng::seed_from_u64(seed),
            turns: Vec::new(),
        }
    }

    /// The catalogue in force.
    #[must_use]
    pub const fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.cat.as_ref()
    }

    /// The admission.
    #[must_use]
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// The upstreams.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// What each team has running and waiting here.
    #[must_use]
    pub fn usage(&self) -> Vec<TeamUsage> {
        let cat = self.cat.as_deref();
        cat.map_or_else(Vec::new, |cat| self.admission.usage(cat))
    }

    /// What each pool has running and waiting from here.
    #[must_use]
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        let cat = self.cat.as_deref();
        cat.map_or_else(Vec::new, |cat| self.admission.pool_usage(cat))
    }

    /// Puts a catalogue in force, unless it is older than the one in force. Answers whether it was taken.
    pub fn set_catalogue(&mut self, cat: Arc<Catalogue>, now: Instant) -> bool {
        let old = self.cat.take();
        if old
            .as_ref()
            .is_some_and(|old| old.revision() > cat.revision())
        {
            self.cat = old;
            return false;
        }
        let old = old.as_deref();
        self.admission.set_catalogue(old, &cat, &mut self.turns);
        let mut budgets = SecondaryMap::new();
        for (id, queue) in cat.queues.iter() {
            let before = old.and_then(|old| old.queue(queue.name.as_str()));
            budgets[id] = before.map_or_else(RetryBudget::new, |id| self.budgets[id].clone());
        }
        self.budgets = budgets;
        self.router.set_upstreams(&self.upstreams, &cat, now);
        self.cat = Some(cat);
        self.turn_all(now);
        true
    }

    /// Takes over what the fleet shows.
    pub fn set_upstreams(&mut self, set: UpstreamSet, now: Instant) {
        self.upstreams = set;
        if let Some(cat) = &self.cat {
            self.router.set_upstreams(&self.upstreams, cat, now);
        }
        self.turn_all(now);
    }

    /// Takes over what the teams may use.
    pub fn set_grants(&mut self, grants: TeamGrants, now: Instant) {
        match &self.cat {
            Some(cat) => self.admission.set_grants(grants, cat),
            None => self.admission.hold_grants(grants),
        }
        self.turn_all(now);
    }

    /// Sets until when keyed work may start.
    pub fn set_keys_fresh_until(&mut self, until: Option<Instant>) {
        self.admission.set_keys_fresh_until(until);
    }

    /// Decides on a request. The ids of `ask` must be of the catalogue in force.
    pub fn offer(&mut self, ask: &Ask, now: Instant) -> Decision {
        let Some(cat) = &self.cat else {
            return Decision::Refuse(NotRunCode::NotReady, Duration::from_secs(1));
        };
        let pool = cat.queues[ask.queue].pool;
        let in_service = self.router.in_service(pool, now);
        self.admission.set_in_service(pool, in_service);
        self.admission.offer(ask, now, &mut self.turns)
    }

    /// The refusal that [`Self::offer`] would answer now, if it would. It takes no slot. The ids of `ask` must be of the
    /// catalogue in force.
    pub fn refusal(&mut self, ask: &Ask, now: Instant) -> Option<Decision> {
        let pool = self.cat.as_ref()?.queues[ask.queue].pool;
        let in_service = self.router.in_service(pool, now);
        self.admission.set_in_service(pool, in_service);
        self.admission.refusal(ask, now)
    }

    /// Picks an upstream for a request that starts or is sent again, another one than `tried` if there is one.
    ///
    /// # Errors
    ///
    /// Why it may not be sent any more, or that there is no upstream.
    pub fn pick(
        &mut self,
        work: WorkId,
        tried: Option<UpstreamId>,
        now: Instant,
    ) -> Result<UpstreamId, NotRunCode> {
        self.admission.may_send(work, now)?;
        let lane = self.admission.lane_of(work);
        let lane = lane.ok_or(NotRunCode::QueueUnknown)?;
        let (pool, cap) = (lane.pool, lane.upstream_slots);
        let picked = self.router.pick(pool, cap, tried, now, &mut self.rng);
        picked.ok_or(NotRunCode::NoUpstream)
    }

    /// Records how a send to `upstream` ended.
    pub fn sent(&mut self, work: WorkId, upstream: UpstreamId, how: Finish, now: Instant) {
        let lane = self.admission.lane_of(work);
        let pool = lane.map(|lane| (lane.pool, lane.queue));
        if let (Finish::Answered(_), Some((_, queue))) = (how, pool) {
            self.budgets[queue].succeeded(now);
        }
        self.router
            .finish(upstream, pool.map(|(pool, _)| pool), how, now);
    }

    /// The pause before `work` may be sent again for the `attempt`th time, if it may be.
    pub fn retry(&mut self, work: WorkId, attempt: u32, now: Instant) -> Option<Duration> {
        let deadline = self.admission.work(work)?.deadline;
        let queue = self.admission.lane_of(work)?.queue;
        let percent = self.cat.as_ref()?.queues[queue].limits.retry_percent;
        let pause = backoff(attempt, now, deadline, &mut self.rng)?;
        self.budgets[queue].take(percent, now).then_some(pause)
    }

    /// Records that a running request has ended.
    pub fn finish(&mut self, work: WorkId, now: Instant) {
        if let Some(pool) = self.admission.lane_of(work).map(|lane| lane.pool) {
            let in_service = self.router.in_service(pool, now);
            self.admission.set_in_service(pool, in_service);
        }
        self.admission.finish(work, now, &mut self.turns);
    }

    /// Ends a request wherever it stands: it gives up its wait or its slot. One that has ended stays so.
    pub fn end(&mut self, work: WorkId, now: Instant) {
        match self.admission.work(work).map(|work| work.phase) {
            Some(Phase::Waiting) => self.admission.abandon(work),
            Some(Phase::Running { .. }) => self.finish(work, now),
            Some(Phase::Free) | None => {}
        }
    }

    /// How many records the tables have room for. It stays the same while nothing is allocated.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.admission.capacity() + self.turns.capacity()
    }

    /// Hands what waiting requests have come to since the last call to `wake`.
    pub fn take_turns(&mut self, mut wake: impl FnMut(WorkId, Wake)) {
        for turn in self.turns.drain(..) {
            match turn {
                Turn::Start(work) => wake(work, Wake::Start),
                Turn::Refuse(work, code, after) => wake(work, Wake::Refuse(code, after)),
            }
        }
    }

    fn turn_all(&mut self, now: Instant) {
        let Some(cat) = &self.cat else {
            return;
        };
        for pool in cat.pools.keys() {
            let in_service = self.router.in_service(pool, now);
            self.admission.set_in_service(pool, in_service);
        }
        self.admission.turn_all(now, &mut self.turns);
    }
}
