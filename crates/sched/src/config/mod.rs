//! The bounds and intervals of the passes, with their defaults.

use std::time::Duration;

use goldcrest_types::catalogue::{Class, Weights};

/// The bounds and intervals of a scheduler.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a worker runs a task without a renewal of its lease.
    pub lease: Duration,
    /// The time from a start or renewal to the next renewal.
    pub renew_after: Duration,
    /// The longest time after its decision at which a call to a worker can still take effect. The caller sends nothing
    /// later.
    pub call_max: Duration,
    /// How far the clock of a worker may fall behind the local one during one lease.
    pub drift_margin: Duration,
    /// The time without a report after which a worker gets no new task.
    pub contact_max: Duration,
    /// The time without a report after which the leases on a worker are no longer renewed.
    pub contact_lost: Duration,
    /// The number of failed attempts after which a task is parked.
    pub attempts_max: u32,
    /// The wait before the second attempt; it doubles with each further failure.
    pub retry_backoff: Duration,
    /// The number of failures in a row, each of another task, that eject a worker.
    pub suspect_failures: u32,
    /// How long a worker gets no task after its first ejection; doubles with each further one in a row.
    pub eject: Duration,
    /// The longest ejection of a worker.
    pub eject_max: Duration,
    /// The largest part of the workers of a pool that may be ejected at a time, in percent; at least one worker.
    pub ejected_percent_max: usize,
    /// The number of different workers on which a lane fails before its failures are attributed to the lane.
    pub lane_failed_workers: usize,
    /// The number of tasks of such a lane that run at a time.
    pub suspect_lane_running: u32,
    /// The number of tasks of a lane that are tried in one round without fitting a worker.
    pub lookahead_tasks: u32,
    /// The most tasks that start in one round.
    pub starts_max: usize,
    /// The number of fitting workers that are compared for one task.
    pub candidates: usize,
    /// How long an interactive task waits before a worker is held for it although its team is above its share.
    pub hold_after_interactive: Duration,
    /// How long a batch task waits before a worker is held for it although its team is above its share.
    pub hold_after_batch: Duration,
    /// How long one worker is held for a task before the hold is released and another worker may be held.
    pub hold_max: Duration,
    /// The largest part of the workers of a pool that may be held at a time, in percent; at least one worker.
    pub held_percent_max: usize,
    /// The time from submission to the due time of an interactive task without a deadline.
    pub interactive_due: Duration,
    /// The time from submission to the due time of a batch task without a deadline.
    pub batch_due: Duration,
    /// The number of tasks preempted for urgent tasks from which one round preempts no more.
    pub preempt_moves_max: usize,
    /// The most workers that are examined for preemptions for one urgent task in one round.
    pub preempt_search_each: usize,
    /// The most workers that are examined for preemptions in one round.
    pub preempt_search_max: usize,
    /// The most workers that are examined to hold one for a task.
    pub hold_search: usize,
    /// The most teams for which one round reclaims shares.
    pub reclaim_teams_max: usize,
    /// The number of preemptions after which a task is not preempted again.
    pub preemptions_max: u32,
    /// How long preempted tasks may take to save their state before the hold for the urgent task is released.
    pub checkpoint_grace: Duration,
    /// How long a team waits well below its share before tasks of teams above theirs are preempted for it.
    pub reclaim_after: Duration,
    /// The least time between two such preemptions for one team.
    pub reclaim_interval: Duration,
    /// The waiting time of a drain that costs as much as the move of one task, by the weights of the catalogue.
    pub move_cost: Duration,
    /// How long each action against an overload may take before the next, stronger one.
    pub overload_step: Duration,
    /// The quantile of the observed sizes that a new task reserves, in thousandths.
    pub size_quantile_permille: u32,
    /// The headroom that is added to the observed peak of memory of a running task, in thousandths of the peak.
    pub headroom_permille: u64,
    /// The time over which the order of teams compensates their excess usage.
    pub share_horizon: Duration,
    /// The half-life of the recorded excess of a team over its share.
    pub share_half_life: Duration,
}

/// Returns the waiting time that costs as much as the move of one task; [`Duration::MAX`] if waiting has no cost.
#[must_use]
pub fn move_cost(weights: &Weights) -> Duration {
    const HOUR_MS: u64 = 3_600_000;
    let move_ms = u64::from(weights.one_move) * HOUR_MS;
    let worth_ms = move_ms.checked_div(weights.roll_out_hour.into());
    worth_ms.map_or(Duration::MAX, Duration::from_millis)
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: Duration::from_mins(1),
            renew_after: Duration::from_secs(20),
            call_max: Duration::from_secs(2),
            drift_margin: Duration::from_secs(2),
            contact_max: Duration::from_secs(10),
            contact_lost: Duration::from_secs(30),
            attempts_max: 3,
            retry_backoff: Duration::from_millis(500),
            suspect_failures: 3,
            eject: Duration::from_mins(1),
            eject_max: Duration::from_hours(1),
            ejected_percent_max: 10,
            lane_failed_workers: 3,
            suspect_lane_running: 2,
            lookahead_tasks: 4,
            starts_max: 2000,
            candidates: 4,
            hold_after_interactive: Duration::from_secs(30),
            hold_after_batch: Duration::from_mins(2),
            hold_max: Duration::from_mins(10),
            held_percent_max: 50,
            interactive_due: Duration::from_hours(1),
            batch_due: Duration::from_hours(24),
            preempt_moves_max: 64,
            preempt_search_each: 128,
            preempt_search_max: 4096,
            hold_search: 32,
            reclaim_teams_max: 2,
            preemptions_max: 2,
            checkpoint_grace: Duration::from_millis(2500),
            reclaim_after: Duration::from_secs(30),
            reclaim_interval: Duration::from_secs(5),
            move_cost: move_cost(&Weights::default()),
            overload_step: Duration::from_secs(5),
            size_quantile_permille: 900,
            headroom_permille: 100,
            share_horizon: Duration::from_secs(10),
            share_half_life: Duration::from_mins(1),
        }
    }
}

impl Config {
    /// Returns the time from submission to the due time of a task of `class` without a deadline.
    #[must_use]
    pub const fn due_after(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Interactive => self.interactive_due,
            Class::Batch => self.batch_due,
        }
    }

    /// Returns how long a task of `class` waits before a worker is held for it although its team is above its share.
    #[must_use]
    pub const fn hold_after(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Interactive => self.hold_after_interactive,
            Class::Batch => self.hold_after_batch,
        }
    }

    /// Returns how long a task may still run after its start or renewal was decided, if nothing more is received.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        self.call_max + self.lease + self.drift_margin
    }
}
