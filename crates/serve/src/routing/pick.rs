//! Picks the least loaded of a few random candidates.

use std::time::Instant;

use goldcrest_types::entity::PoolId;
use goldcrest_types::units::Slots;
use rand::Rng;

use super::{Router, SLOW_START, Upstream, UpstreamId};

/// Number of random candidates that one pick compares. The same upstream can be drawn twice.
const SAMPLE_SIZE: usize = 3;
/// Lower bound of the part of its full load that an upstream in slow start gets.
const SLOW_START_FRACTION_MIN: f32 = 0.1;

impl Router {
    /// Counts the upstreams of `pool` that take new requests: those of the own data centre, or the remote ones if it
    /// has none.
    #[must_use]
    pub fn in_service(&self, pool: PoolId, now: Instant) -> u32 {
        let table = &self.pools[pool];
        match self.count_serving(&table.local, now) {
            0 => self.count_serving(&table.remote, now),
            local => local,
        }
    }

    /// Picks an upstream of `pool` with fewer than `cap` open requests and counts the request as open there.
    ///
    /// `tried` is picked only if no other upstream is available. Returns none if all are unavailable or at `cap`.
    pub fn pick(
        &mut self,
        pool: PoolId,
        cap: Slots,
        tried: Option<UpstreamId>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<UpstreamId> {
        let table = &self.pools[pool];
        let preferred = if self.count_serving(&table.local, now) == 0 {
            &table.remote
        } else {
            &table.local
        };
        let is_candidate = |id: UpstreamId| {
            let upstream = &self.upstreams[id];
            upstream.takes_work(now) && upstream.open < cap.get() && Some(id) != tried
        };
        let picked = self
            .least_loaded_of_sample(preferred, now, is_candidate, rng)
            .or_else(|| self.least_loaded(preferred, now, is_candidate))
            .or_else(|| self.least_loaded(&table.remote, now, is_candidate))
            .or_else(|| tried.filter(|id| self.has_capacity(*id, pool, cap, now)))?;
        let upstream = &mut self.upstreams[picked];
        upstream.open += 1;
        upstream.last_pick = Some(now);
        Some(picked)
    }

    fn has_capacity(&self, id: UpstreamId, pool: PoolId, cap: Slots, now: Instant) -> bool {
        let table = &self.pools[pool];
        let belongs = table.local.contains(&id) || table.remote.contains(&id);
        let upstream = &self.upstreams[id];
        belongs && upstream.takes_work(now) && upstream.open < cap.get()
    }

    fn count_serving(&self, ids: &[UpstreamId], now: Instant) -> u32 {
        let serving = ids.iter().filter(|id| self.upstreams[**id].takes_work(now));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    fn least_loaded_of_sample(
        &self,
        ids: &[UpstreamId],
        now: Instant,
        is_candidate: impl Fn(UpstreamId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<UpstreamId> {
        if ids.is_empty() {
            return None;
        }
        let mut drawn = [ids[0]; SAMPLE_SIZE];
        for slot in &mut drawn {
            *slot = ids[rng.random_range(0..ids.len())];
        }
        self.least_loaded(&drawn, now, is_candidate)
    }

    fn least_loaded(
        &self,
        ids: &[UpstreamId],
        now: Instant,
        is_candidate: impl Fn(UpstreamId) -> bool,
    ) -> Option<UpstreamId> {
        let candidates = ids.iter().copied().filter(|id| is_candidate(*id));
        let load = |id: &UpstreamId| self.upstreams[*id].load(now);
        candidates.min_by(|a, b| load(a).total_cmp(&load(b)))
    }
}

impl Upstream {
    /// Returns the open requests, the new one included, times the decayed latency, divided by the slow-start fraction.
    fn load(&self, now: Instant) -> f32 {
        let open = f32::from(u16::try_from(self.open + 1).unwrap_or(u16::MAX));
        open * self.latency_us.max(1.0) / self.slow_start_fraction(now)
    }

    fn slow_start_fraction(&self, now: Instant) -> f32 {
        let left = self.slow_start_until.saturating_duration_since(now);
        if left.is_zero() {
            return 1.0;
        }
        (1.0 - left.as_secs_f32() / SLOW_START.as_secs_f32()).max(SLOW_START_FRACTION_MIN)
    }
}
