//! The pick itself: least loaded of a few random candidates.

use std::time::Instant;

use goldcrest_types::entity::PoolId;
use goldcrest_types::units::Slots;
use rand::Rng;

use super::{Router, SLOW_START, Upstream, UpstreamId};

/// How many candidates one pick compares.
const CANDIDATES: usize = 3;
/// The least part of its load that an upstream in slow start gets.
const EASED_PART_MIN: f32 = 0.1;

impl Router {
    /// How many upstreams of `pool` may get new work: those of the own data centre, or else those of the others.
    #[must_use]
    pub fn in_service(&self, pool: PoolId, now: Instant) -> u32 {
        let table = &self.pools[pool];
        match self.count(&table.local, now) {
            0 => self.count(&table.remote, now),
            local => local,
        }
    }

    /// Picks an upstream of `pool` with fewer than `cap` open requests and counts the request as open there.
    ///
    /// `tried` is passed over as long as another one can be had.
    pub fn pick(
        &mut self,
        pool: PoolId,
        cap: Slots,
        tried: Option<UpstreamId>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<UpstreamId> {
        let table = &self.pools[pool];
        let near = if self.count(&table.local, now) == 0 {
            &table.remote
        } else {
            &table.local
        };
        let open_to = |id: UpstreamId| {
            let upstream = &self.upstreams[id];
            upstream.takes_work(now) && upstream.open < cap.get() && Some(id) != tried
        };
        let picked = self
            .draw(near, now, open_to, rng)
            .or_else(|| self.least(near, now, open_to))
            .or_else(|| self.least(&table.remote, now, open_to))
            .or_else(|| tried.filter(|id| self.is_open(*id, pool, cap, now)))?;
        let upstream = &mut self.upstreams[picked];
        upstream.open += 1;
        upstream.last_pick = Some(now);
        Some(picked)
    }

    fn is_open(&self, id: UpstreamId, pool: PoolId, cap: Slots, now: Instant) -> bool {
        let table = &self.pools[pool];
        let belongs = table.local.contains(&id) || table.remote.contains(&id);
        let upstream = &self.upstreams[id];
        belongs && upstream.takes_work(now) && upstream.open < cap.get()
    }

    fn count(&self, ids: &[UpstreamId], now: Instant) -> u32 {
        let serving = ids.iter().filter(|id| self.upstreams[**id].takes_work(now));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    fn draw(
        &self,
        ids: &[UpstreamId],
        now: Instant,
        open_to: impl Fn(UpstreamId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<UpstreamId> {
        if ids.is_empty() {
            return None;
        }
        let mut drawn = [ids[0]; CANDIDATES];
        for slot in &mut drawn {
            *slot = ids[rng.random_range(0..ids.len())];
        }
        self.least(&drawn, now, open_to)
    }

    fn least(
        &self,
        ids: &[UpstreamId],
        now: Instant,
        open_to: impl Fn(UpstreamId) -> bool,
    ) -> Option<UpstreamId> {
        let candidates = ids.iter().copied().filter(|id| open_to(*id));
        let load = |id: &UpstreamId| self.upstreams[*id].load(now);
        candidates.min_by(|a, b| load(a).total_cmp(&load(b)))
    }
}

impl Upstream {
    /// Open requests, the new one included, times the decayed latency; more while it starts slowly.
    fn load(&self, now: Instant) -> f32 {
        let open = f32::from(u16::try_from(self.open + 1).unwrap_or(u16::MAX));
        open * self.latency_us.max(1.0) / self.eased_part(now)
    }

    fn eased_part(&self, now: Instant) -> f32 {
        let left = self.eased_until.saturating_duration_since(now);
        if left.is_zero() {
            return 1.0;
        }
        (1.0 - left.as_secs_f32() / SLOW_START.as_secs_f32()).max(EASED_PART_MIN)
    }
}
