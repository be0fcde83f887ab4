//! Admission, routing and retries of one entry, combined over one catalogue revision.
//!
//! A [`Dispatch`] keeps its [`Catalogue`] next to the state that uses its ids, so the ids always match. The caller
//! guards it with one lock and passes the time in. [`Dispatch::drain_dequeued`] reports the waiting requests that have
//! started or were refused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{QueueId, SecondaryMap};
use goldcrest_types::names::DcName;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::{
    Admission, AdmissionCfg, AdmissionDecision, AdmissionRequest, Dequeued, Phase, PoolUsage,
    TeamGrants, TeamUsage, WorkId,
};
use crate::outcome::NotRunCode;
use crate::retry::{RetryBudget, backoff};
use crate::routing::{Router, SendOutcome, UpstreamId, UpstreamSet};

/// Result for a waiting request, with which its waiter is woken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitResult {
    /// The request starts.
    Start,
    /// The request is refused; the duration is the value of `Retry-After`.
    Refuse(NotRunCode, Duration),
}

/// Serving decisions of one entry process.
#[derive(Debug)]
pub struct Dispatch {
    cat: Option<Arc<Catalogue>>,
    admission: Admission,
    router: Router,
    budgets: SecondaryMap<QueueId, RetryBudget>,
    upstreams: UpstreamSet,
    rng: SmallRng,
    dequeued: Vec<Dequeued>,
}

impl Dispatch {
    /// Creates the state of an entry in `dc`, without a catalogue. `seed` seeds picks and backoff.
    #[must_use]
    pub fn new(dc: DcName, cfg: AdmissionCfg, seed: u64) -> Self {
        Self {
            cat: None,
            admission: Admission::new(cfg),
            router: Router::new(dc),
            budgets: SecondaryMap::new(),
            upstreams: UpstreamSet::default(),
            rng: SmallRng::seed_from_u64(seed),
            dequeued: Vec::new(),
        }
    }

    /// Returns the catalogue in force. None until the first one is set.
    #[must_use]
    pub const fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.cat.as_ref()
    }

    /// Returns the admission state.
    #[must_use]
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns the router.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the load of each team at this entry. Empty without a catalogue.
    #[must_use]
    pub fn usage(&self) -> Vec<TeamUsage> {
        let cat = self.cat.as_deref();
        cat.map_or_else(Vec::new, |cat| self.admission.usage(cat))
    }

    /// Returns the load of each pool from this entry. Empty without a catalogue.
    #[must_use]
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        let cat = self.cat.as_deref();
        cat.map_or_else(Vec::new, |cat| self.admission.pool_usage(cat))
    }

    /// Puts a catalogue in force unless its revision is older than the one in force. Returns whether it did.
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
        self.admission.set_catalogue(old, &cat, &mut self.dequeued);
        let mut budgets = SecondaryMap::new();
        for (id, queue) in cat.queues.iter() {
            let before = old.and_then(|old| old.queue(queue.name.as_str()));
            budgets[id] = before.map_or_else(RetryBudget::new, |id| self.budgets[id].clone());
        }
        self.budgets = budgets;
        self.router.set_upstreams(&self.upstreams, &cat, now);
        self.cat = Some(cat);
        self.dequeue_all(now);
        true
    }

    /// Replaces the set of upstreams and starts the waiting requests that now can.
    pub fn set_upstreams(&mut self, set: UpstreamSet, now: Instant) {
        self.upstreams = set;
        if let Some(cat) = &self.cat {
            self.router.set_upstreams(&self.upstreams, cat, now);
        }
        self.dequeue_all(now);
    }

    /// Replaces the teams' grants and starts the waiting requests that now can.
    pub fn set_grants(&mut self, grants: TeamGrants, now: Instant) {
        match &self.cat {
            Some(cat) => self.admission.set_grants(grants, cat),
            None => self.admission.defer_grants(grants),
        }
        self.dequeue_all(now);
    }

    /// Sets until when requests with a key may start. None: they may not.
    pub fn set_keys_fresh_until(&mut self, until: Option<Instant>) {
        self.admission.set_keys_fresh_until(until);
    }

    /// Decides whether a request starts, waits or is refused. The ids of `request` must be of the catalogue in force.
    pub fn offer(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        let Some(cat) = &self.cat else {
            return AdmissionDecision::Refuse(NotRunCode::NotReady, Duration::from_secs(1));
        };
        let pool = cat.queues[request.queue].pool;
        let in_service = self.router.in_service(pool, now);
        self.admission.set_in_service(pool, in_service);
        self.admission.offer(request, now, &mut self.dequeued)
    }

    /// Returns the refusal that [`Self::offer`] would return now, and takes no slot. The entry's waiting limit is not
    /// considered. None without a catalogue. The ids of `request` must be of the catalogue in force.
    pub fn refusal(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Option<AdmissionDecision> {
        let pool = self.cat.as_ref()?.queues[request.queue].pool;
        let in_service = self.router.in_service(pool, now);
        self.admission.set_in_service(pool, in_service);
        self.admission.refusal(request, now)
    }

    /// Picks an upstream for a request that starts or is retried. `tried` is picked only if no other is available.
    ///
    /// # Errors
    ///
    /// Returns why the request may no longer be sent, or `NoUpstream` if no upstream is available.
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

    /// Records the outcome of a send to `upstream`. An answer also counts towards the queue's retry budget.
    pub fn record_send_outcome(
        &mut self,
        work: WorkId,
        upstream: UpstreamId,
        outcome: SendOutcome,
        now: Instant,
    ) {
        let lane = self.admission.lane_of(work);
        let pool = lane.map(|lane| (lane.pool, lane.queue));
        if let (SendOutcome::Answered(_), Some((_, queue))) = (outcome, pool) {
            self.budgets[queue].record_success(now);
        }
        self.router
            .finish(upstream, pool.map(|(pool, _)| pool), outcome, now);
    }

    /// Takes a retry from the queue's budget and returns the pause before it. `attempt` counts retries from 1. None if
    /// the budget is used up, the pause would reach the deadline, or the request has ended.
    pub fn retry(&mut self, work: WorkId, attempt: u32, now: Instant) -> Option<Duration> {
        let deadline = self.admission.work(work)?.deadline;
        let queue = self.admission.lane_of(work)?.queue;
        let percent = self.cat.as_ref()?.queues[queue].limits.retry_percent;
        let pause = backoff(attempt, now, deadline, &mut self.rng)?;
        self.budgets[queue].take(percent, now).then_some(pause)
    }

    /// Ends a running request and starts the waiting requests that now can.
    pub fn finish(&mut self, work: WorkId, now: Instant) {
        if let Some(pool) = self.admission.lane_of(work).map(|lane| lane.pool) {
            let in_service = self.router.in_service(pool, now);
            self.admission.set_in_service(pool, in_service);
        }
        self.admission.finish(work, now, &mut self.dequeued);
    }

    /// Ends a request in any phase: removes it from its lane or frees its slot. No effect if it has ended already.
    pub fn end(&mut self, work: WorkId, now: Instant) {
        match self.admission.work(work).map(|work| work.phase) {
            Some(Phase::Waiting) => self.admission.abandon(work),
            Some(Phase::Running { .. }) => self.finish(work, now),
            Some(Phase::Free) | None => {}
        }
    }

    /// Returns the sum of the tables' capacities, in records. It is constant while nothing allocates.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.admission.capacity() + self.dequeued.capacity()
    }

    /// Calls `wake` for each waiting request that has started or was refused since the last call of this function.
    pub fn drain_dequeued(&mut self, mut wake: impl FnMut(WorkId, WaitResult)) {
        for turn in self.dequeued.drain(..) {
            match turn {
                Dequeued::Start(work) => wake(work, WaitResult::Start),
                Dequeued::Refuse(work, code, after) => wake(work, WaitResult::Refuse(code, after)),
            }
        }
    }

    fn dequeue_all(&mut self, now: Instant) {
        let Some(cat) = &self.cat else {
            return;
        };
        for pool in cat.pools.keys() {
            let in_service = self.router.in_service(pool, now);
            self.admission.set_in_service(pool, in_service);
        }
        self.admission.dequeue_all(now, &mut self.dequeued);
    }
}
