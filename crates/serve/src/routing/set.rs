//! Updates of the router's tables from the fleet's list of upstreams and from the catalogue.

use std::collections::HashSet;
use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::PoolId;

use super::{
    EJECTED_PERCENT_MAX, Router, SLOW_START, Upstream, UpstreamId, UpstreamSet, UpstreamSpec,
    UpstreamState,
};

/// Assumed latency of an upstream before its first answer, in microseconds.
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
            slow_start_until: now + SLOW_START,
            ejected_until: None,
            removed: false,
            last_pick: None,
        }
    }
}

impl Router {
    /// Replaces the set of upstreams. One that is missing from `set` or leaving gets no new request from now on.
    pub fn set_upstreams(&mut self, set: &UpstreamSet, cat: &Catalogue, now: Instant) {
        let mut listed = HashSet::with_capacity(set.upstreams.len());
        for spec in &set.upstreams {
            let id = self.upsert(spec, now);
            listed.insert(id);
        }
        let ids: Vec<UpstreamId> = self.by_vm.values().copied().collect();
        for id in ids.into_iter().filter(|id| !listed.contains(id)) {
            self.retire(id);
        }
        self.set_catalogue(cat, now);
    }

    /// Assigns the upstreams to the pools of a new catalogue revision. One whose pool is unknown is in no pool.
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

    /// Ends ejections, the earliest to expire first, until at most [`EJECTED_PERCENT_MAX`] of `pool` is ejected. A pool
    /// that shrinks would otherwise keep too few upstreams in service.
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
            upstream.slow_start_until = now + SLOW_START;
        }
    }

    fn upsert(&mut self, spec: &UpstreamSpec, now: Instant) -> UpstreamId {
        let known = self.by_vm.get(&spec.vm).copied();
        if let Some(id) = known {
            if self.upstreams[id].spec.address == spec.address {
                self.update(id, spec, now);
                return id;
            }
            self.retire(id);
        }
        let id = self.insert(spec, now);
        self.by_vm.insert(spec.vm.clone(), id);
        id
    }

    fn update(&mut self, id: UpstreamId, spec: &UpstreamSpec, now: Instant) {
        let upstream = &mut self.upstreams[id];
        let is_back = upstream.spec.leaving && !spec.leaving;
        if is_back || upstream.spec.pool != spec.pool {
            upstream.slow_start_until = now + SLOW_START;
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
        upstream.removed = true;
        self.by_vm.remove(&upstream.spec.vm);
        if upstream.open == 0 {
            self.free.push(id);
        }
    }
}
