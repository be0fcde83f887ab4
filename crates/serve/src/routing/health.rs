//! What the end of a request says about its upstream.

use std::time::{Duration, Instant};

use goldcrest_types::entity::PoolId;

use super::{EJECTED_PERCENT_MAX, Router, SLOW_START, Upstream, UpstreamId};

/// The weight of an earlier latency falls to 1/e in this time.
const LATENCY_WINDOW: Duration = Duration::from_secs(10);
/// This many failures in a row eject an upstream.
const FAILURES_MAX: u32 = 3;
/// The first ejection lasts this long; each further one doubles it.
const EJECTION_BASE: Duration = Duration::from_secs(2);
/// No ejection lasts longer.
const EJECTION_MAX: Duration = Duration::from_mins(1);

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// It answered; the time to the head of the answer.
    Answered(Duration),
    /// It failed, or answered what cannot be handed on.
    Failed,
    /// It took no connection.
    Unreachable,
    /// The end says nothing about it, such as a caller that went away.
    Neutral,
}

impl Router {
    /// Records the end of a request that was picked for `id`, and ejects the upstream if it fails too much.
    pub fn finish(&mut self, id: UpstreamId, pool: Option<PoolId>, how: Finish, now: Instant) {
        let upstream = &mut self.upstreams[id];
        debug_assert!(upstream.open > 0, "{id} has a request to end");
        upstream.open = upstream.open.saturating_sub(1);
        if upstream.gone {
            if upstream.open == 0 {
                self.free.push(id);
            }
            return;
        }
        match how {
            Finish::Answered(latency) => upstream.answered(latency, now),
            Finish::Failed => upstream.failures += 1,
            Finish::Unreachable => upstream.failures += FAILURES_MAX,
            Finish::Neutral => {}
        }
        let fails = upstream.failures >= FAILURES_MAX && upstream.takes_work(now);
        if fails && pool.is_some_and(|pool| self.may_eject(pool, now)) {
            self.upstreams[id].eject(now);
        }
    }

    fn may_eject(&self, pool: PoolId, now: Instant) -> bool {
        let present = self.pool(pool).count();
        let out = self.pool(pool).filter(|(_, u)| !u.takes_work(now)).count();
        (out + 1) * 100 <= present * EJECTED_PERCENT_MAX
    }
}

impl Upstream {
    fn answered(&mut self, latency: Duration, now: Instant) {
        self.failures = 0;
        if now >= self.eased_until {
            self.ejections = 0;
        }
        let sample = latency.as_secs_f32() * 1e6;
        let passed = now.saturating_duration_since(self.measured_at);
        let keep = (-passed.as_secs_f32() / LATENCY_WINDOW.as_secs_f32()).exp();
        // A rise counts at once and a fall only with time, so that a stalled upstream is avoided soon.
        self.latency_us = if sample > self.latency_us {
            self.latency_us.midpoint(sample)
        } else {
            self.latency_us * keep + sample * (1.0 - keep)
        };
        self.measured_at = now;
    }

    fn eject(&mut self, now: Instant) {
        let time = EJECTION_BASE * (1 << self.ejections.min(5));
        let until = now + time.min(EJECTION_MAX);
        self.ejected_until = Some(until);
        self.eased_until = until + SLOW_START;
        self.ejections += 1;
        self.failures = 0;
    }
}
