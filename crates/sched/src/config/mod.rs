//! The bounds that the passes keep to.

use std::time::Duration;

use goldcrest_types::catalogue::{Class, Weights};

/// The bounds of a scheduler.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a task runs on a worker without a renewal.
    pub lease: Duration,
    /// How long after a start or renewal the next renewal goes out.
    pub renew_after: Duration,
    /// The longest that a call to a worker can still take effect after it was decided. The caller sends nothing later.
    pub call_max: Duration,
    /// How far a worker's clock may run behind ours over one lease.
    pub drift_margin: Duration,
    /// A worker without a report for this long gets no new task.
    pub contact_max: Duration,
    /// The leases on a worker without a report for this long are no longer renewed.
    pub contact_lost: Duration,
    /// How many tries a task has before it is parked.
    pub attempts_max: u32,
    /// The wait before the second try; it doubles with each further one.
    pub retry_backoff: Duration,
    /// How many failures in a row, each of another task, make a worker suspect.
    pub suspect_failures: u32,
    /// How long a suspect worker gets no task the first time; it doubles each time.
    pub eject: Duration,
    /// The longest that a suspect worker gets no task.
    pub eject_max: Duration,
    /// The largest part of a pool that may be ejected at one time, in percent.
    pub ejected_percent_max: usize,
    /// On how many different workers a lane fails before its failures are taken as its own.
    pub lane_failed_workers: usize,
    /// How many tasks of such a lane run at one time.
    pub suspect_lane_running: u32,
    /// How many tasks of a lane are tried in one round when they find no room.
    pub lookahead_tasks: u32,
    /// How many tasks start in one round at most.
    pub starts_max: usize,
    /// How many workers with room are compared for one task.
    pub candidates: usize,
    /// How long an interactive task waits before room is kept for it, also if its team is above its share.
    pub hold_after_interactive: Duration,
    /// How long a batch task waits before room is kept for it, also if its team is above its share.
    pub hold_after_batch: Duration,
    /// How long room is kept on one worker before another worker is looked for.
    pub hold_max: Duration,
    /// The largest part of a pool's workers on which room is kept at one time, in percent.
    pub held_percent_max: usize,
    /// The due time of an interactive task that brings no deadline, after its submission.
    pub interactive_due: Duration,
    /// The due time of a batch task that brings no deadline, after its submission.
    pub batch_due: Duration,
    /// How many tasks one round preempts at most.
    pub preempt_moves_max: usize,
    /// How many workers are looked at for one urgent task in one round, to find who gives way.
    pub preempt_search_each: usize,
    /// How many workers one round looks at for this in all.
    pub preempt_search_max: usize,
    /// How many workers are looked at to keep room for one task.
    pub hold_search: usize,
    /// For how many teams one round takes back shares at most.
    pub take_back_teams_max: usize,
    /// How often one task is preempted at most.
    pub preemptions_max: u32,
    /// How long a preempted task may take for its checkpoint before the urgent task looks elsewhere.
    pub checkpoint_grace: Duration,
    /// How long a team waits well below its share before tasks of teams above theirs are preempted.
    pub take_back_after: Duration,
    /// The least time between two such preemptions for one team.
    pub take_back_every: Duration,
    /// The wait that weighs as much as a move of one task, as the catalogue's weights have it.
    pub move_worth: Duration,
    /// How long a worker may stay overloaded before the next stronger measure.
    pub overload_step: Duration,
    /// The quantile of observed sizes that a new task is packed by, in thousandths.
    pub size_quantile_permille: u32,
    /// What is added to a running task's observed peak of memory, in thousandths of it.
    pub headroom_permille: u64,
    /// Over which time a team's excess over its share is worked off.
    pub share_horizon: Duration,
    /// The half-life of a team's excess over its share.
    pub share_half_life: Duration,
}

/// The wait that weighs as much as a move of one task.
#[must_use]
pub fn move_worth(weights: &Weights) -> Duration {
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
            take_back_teams_max: 2,
            preemptions_max: 2,
            checkpoint_grace: Duration::from_millis(2500),
            take_back_after: Duration::from_secs(30),
            take_back_every: Duration::from_secs(5),
            move_worth: move_worth(&Weights::default()),
            overload_step: Duration::from_secs(5),
            size_quantile_permille: 900,
            headroom_permille: 100,
            share_horizon: Duration::from_secs(10),
            share_half_life: Duration::from_mins(1),
        }
    }
}

impl Config {
    /// When a task of `class` without a deadline is due, after its submission.
    #[must_use]
    pub const fn due_after(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Interactive => self.interactive_due,
            Class::Batch => self.batch_due,
        }
    }

    /// How long a task of `class` waits without room before a worker is held for it.
    #[must_use]
    pub const fn hold_after(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Interactive => self.hold_after_interactive,
            Class::Batch => self.hold_after_batch,
        }
    }

    /// How long a task may still run after a start or renewal was decided and nothing more was heard.
    #[must_use]
    pub fn lease_bound(&self) -> Duration {
        self.call_max + self.lease + self.drift_margin
    }
}
