//! The fleet's view into the router's tables.

use std::collections::HashSet;
use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::PoolId;

use super::{
    EJECTED_PERCENT_MAX, Router, SLOW_START, Upstream, UpstreamId, UpstreamSet, UpstreamSpec,
    UpstreamState,
};

/// The latency that an upstream is taken to have before the first answer, in microseconds.
const LATENCY_START_US: f32 = 1_000.0;

impl Upstream {
    pub(super) fn new(spec: UpstreamSpec, now: Instant) -> Self {
        Self {
            leaving_since: spec.leaving.then_some(now),
            spec,
            open: 0,
            failures: 0,
            ejections: 0,
            latency_us: LATENCY_START_US,
            measured_at: now,
            eased_until: now + SLOW_START,
            ejected_until: None,
            gone: false,
            last_pick: None,
        }
    }
}

impl Router {
    /// Takes over what the fleet shows now. An upstream that is missing or leaving gets nothing new from here on.
    pub fn set_upstreams(&mut self, set: &UpstreamSet, cat: &Catalogue, now: Instant) {
        let mut seen = HashSet::with_capacity(set.upstreams.len());
        for spec in &set.upstreams {
            let id = self.see(spec, now);
            seen.insert(id);
        }
        let lost: Vec<UpstreamId> = self.by_vm.values().copied().collect();
        for id in lost.into_iter().filter(|id| !seen.contains(id)) {
            self.retire(id);
        }
        self.set_catalogue(cat, now);
    }

    /// Sorts the upstreams into the pools of another catalogue revision.
    pub fn set_catalogue(&mut self, cat: &Catalogue, now: Instant) {
        self.pools.clear();
        let mut ids: Vec<UpstreamId> = self.by_vm.values().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let spec = &self.upstreams[id].spec;
            let Some(pool) = cat.pool(spec.pool.as_str()) else {
                continue;
            };
            let is_local = spec.dc == self.dc;
            let table = &mut self.pools[pool];
            if is_local {
                table.local.push(id);
            } else {
                table.remote.push(id);
            }
        }
        for pool in cat.pools.keys() {
            self.readmit(pool, now);
        }
    }

    /// Ends ejections, the next to end first, until no more of `pool` is ejected than may be. A pool that shrinks
    /// would otherwise keep too few in service.
    fn readmit(&mut self, pool: PoolId, now: Instant) {
        loop {
            let present = self.pool(pool).count();
            let is_ejected = |u: &Upstream| u.state(now) == UpstreamState::Ejected;
            let ejected = || self.pool(pool).filter(|(_, u)| is_ejected(u));
            if ejected().count() * 100 <= present * EJECTED_PERCENT_MAX {
                return;
            }
            let next = ejected().min_by_key(|(_, u)| u.ejected_until);
            let Some((id, _)) = next else {
                return;
            };
            let upstream = &mut self.upstreams[id];
            upstream.ejected_until = None;
            upstream.eased_until = now + SLOW_START;
        }
    }

    fn see(&mut self, spec: &UpstreamSpec, now: Instant) -> UpstreamId {
        let known = self.by_vm.get(&spec.vm).copied();
        if let Some(id) = known {
            if self.upstreams[id].spec.address == spec.address {
                self.update(id, spec, now);
                return id;
            }
            self.retire(id);
        }
        let id = self.record(spec, now);
        self.by_vm.insert(spec.vm.clone(), id);
        id
    }

    fn update(&mut self, id: UpstreamId, spec: &UpstreamSpec, now: Instant) {
        let upstream = &mut self.upstreams[id];
        let is_back = upstream.spec.leaving && !spec.leaving;
        if is_back || upstream.spec.pool != spec.pool {
            upstream.eased_until = now + SLOW_START;
        }
        upstream.leaving_since = match (spec.leaving, upstream.leaving_since) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
        };
        if upstream.spec != *spec {
            upstream.spec = spec.clone();
        }
    }

    fn retire(&mut self, id: UpstreamId) {
        let upstream = &mut self.upstreams[id];
        upstream.gone = true;
        self.by_vm.remove(&upstream.spec.vm);
        if upstream.open == 0 {
            self.free.push(id);
        }
    }
}
