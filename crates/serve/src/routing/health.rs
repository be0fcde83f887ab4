//! Passive health tracking: request outcomes update an upstream's latency and eject it after repeated failures.

use std::time::{Duration, Instant};

use goldcrest_types::entity::PoolId;

use super::{EJECTED_PERCENT_MAX, Router, SLOW_START, Upstream, UpstreamId};

/// Time constant of the latency average: the weight of a sample falls to 1/e in this time.
const LATENCY_WINDOW: Duration = Duration::from_secs(10);
/// Number of consecutive failures that eject an upstream.
const FAILURES_MAX: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_secs(2);
/// Upper bound of an ejection's duration.
const EJECTION_MAX: Duration = Duration::from_mins(1);

/// Outcome of one send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The upstream answered; the duration is the time to the head of the answer.
    Answered(Duration),
    /// The upstream failed, or its answer cannot be passed on.
    Failed,
    /// The upstream accepted no connection. One such outcome suffices for an ejection.
    Unreachable,
    /// The end says nothing about the upstream, for example because the caller disconnected.
    Neutral,
}

impl Router {
    /// Records the outcome of a request that [`Router::pick`] sent to `id`, and ejects the upstream after too many
    /// failures. Without a `pool` it is never ejected.
    pub fn finish(
        &mut self,
        id: UpstreamId,
        pool: Option<PoolId>,
        outcome: SendOutcome,
        now: Instant,
    ) {
        let upstream = &mut self.upstreams[id];
        debug_assert!(upstream.open > 0, "{id} has no open request to end");
        upstream.open = upstream.open.saturating_sub(1);
        if upstream.removed {
            if upstream.open == 0 {
                self.free.push(id);
            }
            return;
        }
        match outcome {
            SendOutcome::Answered(latency) => upstream.record_latency(latency, now),
            SendOutcome::Failed => upstream.failures += 1,
            SendOutcome::Unreachable => upstream.failures += FAILURES_MAX,
            SendOutcome::Neutral => {}
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
    fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.failures = 0;
        if now >= self.slow_start_until {
            self.ejections = 0;
        }
        let sample = latency.as_secs_f32() * 1e6;
        let passed = now.saturating_duration_since(self.measured_at);
        let keep = (-passed.as_secs_f32() / LATENCY_WINDOW.as_secs_f32()).exp();
        // A rise moves the average halfway at once, a fall only with time, so a stalled upstream is avoided quickly.
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
        self.slow_start_until = until + SLOW_START;
        self.ejections += 1;
        self.failures = 0;
    }
}
