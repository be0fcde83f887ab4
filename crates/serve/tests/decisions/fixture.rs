//! A small fleet, and helpers that offer, end and inspect requests on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{
    AdmissionCfg, AdmissionDecision, AdmissionRequest, TeamGrant, TeamGrants, WorkId,
};
use goldcrest_serve::dispatch::{Dispatch, WaitResult};
use goldcrest_serve::routing::{UpstreamSet, UpstreamSpec};
use goldcrest_serve::verify;
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::units::{Revision, Slots};

/// Three queues on one pool of two data centres, one for each class, and one queue on a pool without upstreams.
pub const CATALOGUE: &str = "
data_centres: [{name: dc1, region: west}, {name: dc2, region: west}]
pools:
  - {name: web, kind: upstreams, max_unavailable_vms: 1}
  - {name: bare, kind: upstreams, max_unavailable_vms: 1}
teams:
  - {name: desk, share: 3, upper_limit_slots: 1000}
  - {name: tours, share: 1, upper_limit_slots: 1000}
queues:
  - {name: hurry, owner: desk, class: urgent, pool: web, limits: {upstream_slots: 2}}
  - {name: merge, owner: desk, class: interactive, pool: web, limits: {upstream_slots: 2, waiting_slots: 4}}
  - {name: fill, owner: tours, class: batch, pool: web, limits: {upstream_slots: 2}}
  - {name: lost, owner: desk, class: interactive, pool: bare}
";

/// Serving state with a clock that only the test advances.
pub struct Fixture {
    pub dispatch: Dispatch,
    pub now: Instant,
}

pub fn cat(text: &str, revision: u64) -> Arc<Catalogue> {
    let spec = parse(text).unwrap_or_else(|findings| panic!("{findings:?}"));
    let cat = Catalogue::resolve(&spec, Revision::new(revision));
    Arc::new(cat.unwrap_or_else(|findings| panic!("{findings:?}")))
}

/// An upstream `vm<index>` of the pool `web`.
pub fn upstream(index: u16, dc: &str) -> UpstreamSpec {
    UpstreamSpec {
        vm: format!("vm{index}").parse().expect("a name"),
        pool: "web".parse().expect("a name"),
        dc: dc.parse().expect("a name"),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
        leaving: false,
    }
}

pub fn grants(desk: u32, tours: u32, lent: u32, lent_until: Option<Instant>) -> TeamGrants {
    let grant = |team: &str, floor| TeamGrant {
        team: team.parse().expect("a name"),
        floor: Slots::new(floor),
        lent: Slots::new(lent),
    };
    TeamGrants {
        teams: vec![grant("desk", desk), grant("tours", tours)],
        lent_until,
    }
}

impl Fixture {
    /// Two upstreams in `dc1`, so four slots in the pool, and more quota than that.
    pub fn new() -> Self {
        Self::with_bounds(1_000, 1_000)
    }

    pub fn with_bounds(running: u32, waiting: u32) -> Self {
        let cfg = AdmissionCfg {
            running_max: Slots::new(running),
            waiting_max: Slots::new(waiting),
        };
        let now = Instant::now();
        let mut dispatch = Dispatch::new("dc1".parse().expect("a name"), cfg, 3);
        assert!(dispatch.set_catalogue(cat(CATALOGUE, 1), now));
        dispatch.set_grants(grants(100, 100, 0, None), now);
        let mut fixture = Self { dispatch, now };
        fixture.set(vec![upstream(0, "dc1"), upstream(1, "dc1")]);
        fixture
    }

    pub fn set(&mut self, upstreams: Vec<UpstreamSpec>) {
        let now = self.now;
        self.dispatch.set_upstreams(UpstreamSet { upstreams }, now);
        self.check();
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn offer(&mut self, queue: &str, team: &str, deadline: Duration) -> AdmissionDecision {
        let cat = self.dispatch.catalogue().expect("a catalogue");
        let request = AdmissionRequest {
            queue: cat.queue(queue).expect("a queue"),
            team: cat.team(team).expect("a team"),
            key: None,
            deadline: self.now + deadline,
        };
        let decision = self.dispatch.offer(&request, self.now);
        self.check();
        decision
    }

    /// Offers with a deadline of 1 min.
    pub fn offer_minute(&mut self, queue: &str, team: &str) -> AdmissionDecision {
        self.offer(queue, team, Duration::from_mins(1))
    }

    pub fn start(&mut self, queue: &str, team: &str) -> WorkId {
        match self.offer_minute(queue, team) {
            AdmissionDecision::Start(work) => work,
            other => panic!("{other:?}"),
        }
    }

    pub fn wait(&mut self, queue: &str, team: &str, deadline: Duration) -> WorkId {
        match self.offer(queue, team, deadline) {
            AdmissionDecision::Wait(work) => work,
            other => panic!("{other:?}"),
        }
    }

    /// Ends a request and returns the waiting requests that started or were refused since the last call.
    pub fn end(&mut self, work: WorkId) -> Vec<(WorkId, WaitResult)> {
        self.dispatch.end(work, self.now);
        self.check();
        self.dequeued()
    }

    pub fn dequeued(&mut self) -> Vec<(WorkId, WaitResult)> {
        let mut dequeued = Vec::new();
        self.dispatch
            .drain_dequeued(|work, wake| dequeued.push((work, wake)));
        dequeued
    }

    pub fn check(&self) {
        let breaches = verify::all(&self.dispatch, self.now);
        assert!(breaches.is_empty(), "{breaches}");
    }
}
