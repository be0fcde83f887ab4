//! Sorts the jobs that have idle tasks into the order in which they are placed.
//!
//! Load pattern: a busy period needs more than the pool holds, and a backlog of some seconds makes jobs late.
//!
//! Services and scheduled jobs come first, because their value accrues with time. Next come the jobs that can still
//! meet their objective, by the priority of their queue and then by the earliest deadline. A late job has the same
//! value whenever it ends within its limit, so the late job with the least remaining work comes first, which lets the
//! most of them end. Jobs past three times their objective come last and get what capacity is left, in the same order.
//!
//! While the overload lasts, jobs that can be on time keep arriving, and late ones would wait until they have no value.
//! Once a late job has used two thirds of the time in which it has value, it therefore precedes the jobs of the same
//! priority that can be on time. Its submitter gets an answer, at the cost of making few others late.

use std::time::{Duration, Instant};

use crate::job::{Job, Occurrence};
use crate::pool::Pool;

/// Up to this multiple of the objective a completion still has some value.
const LATE_FACTOR: u32 = 3;

/// From this multiple of the objective on, a late job precedes those that can be on time. A third of the time in which
/// it has value is left.
const EXPIRING_FACTOR: u32 = 2;

/// A job's expected completion, relative to its objective. Earlier variants are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectiveStatus {
    /// A service or a scheduled job, whose value accrues with time.
    Running,
    /// The objective is missed, and the time in which a completion still has value ends soon.
    Expiring,
    /// The objective can be met.
    Reachable,
    /// The objective is missed, but a completion still has value.
    Late,
    /// A completion has no value any more.
    Lost,
}

impl ObjectiveStatus {
    /// Jobs of the same rank are sorted by the priority of their queues first.
    fn rank(self) -> u8 {
        match self {
            Self::Running => 0,
            Self::Expiring | Self::Reachable => 1,
            Self::Late => 2,
            Self::Lost => 3,
        }
    }
}

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    let mut keyed: Vec<_> = pool
        .jobs
        .values()
        .filter(|job| is_placeable(job, now) && has_idle(job))
        .map(|job| {
            let queue = pool.catalogue.queue_of(&job.record);
            let accepted = job.record.policy.as_ref();
            let priority = queue
                .map(|queue| queue.priority)
                .or_else(|| accepted.map(|policy| policy.priority))
                .unwrap_or(u32::MAX);
            let objective_status = objective_status(job, now);
            let work = match objective_status {
                ObjectiveStatus::Running | ObjectiveStatus::Reachable => 0,
                ObjectiveStatus::Expiring | ObjectiveStatus::Late | ObjectiveStatus::Lost => {
                    remaining_work(job)
                }
            };
            let deadline = job.accepted_at + job.objective;
            (
                objective_status.rank(),
                priority,
                objective_status,
                work,
                deadline,
                job.id(),
            )
        })
        .collect();
    keyed.sort_unstable();
    pool.queue_order.clear();
    pool.queue_order
        .extend(keyed.into_iter().map(|(.., id)| id));
}

/// Whether tasks of the job may be started.
#[must_use]
pub fn is_placeable(job: &Job, now: Instant) -> bool {
    job.outcome.is_none()
        && !job.awaits_policy()
        && job.paused_until.is_none_or(|until| now >= until)
}

/// The work of the tasks that have not started, in thousandths of a core times milliseconds.
fn remaining_work(job: &Job) -> u64 {
    let steps = job.record.spec.steps.iter().zip(&job.step_times);
    let of_tasks = |occurrence: &Occurrence| -> u64 {
        let steps = steps.clone().zip(&occurrence.steps);
        steps
            .map(|((step, time), state)| step.work(state.idle, *time))
            .fold(0, u64::saturating_add)
    };
    let occurrences = job.occurrences.values();
    occurrences.map(of_tasks).fold(0, u64::saturating_add)
}

fn has_idle(job: &Job) -> bool {
    job.occurrences
        .values()
        .flat_map(|occurrence| &occurrence.steps)
        .any(|step| step.idle > 0)
}

/// Classifies a job by its expected time of completion.
#[must_use]
pub fn objective_status(job: &Job, now: Instant) -> ObjectiveStatus {
    if job.record.spec.is_service() || job.record.spec.schedule.is_some() {
        return ObjectiveStatus::Running;
    }
    let expected = now.saturating_duration_since(job.accepted_at) + remaining_chain(job);
    if expected <= job.objective {
        ObjectiveStatus::Reachable
    } else if expected <= job.objective * EXPIRING_FACTOR {
        ObjectiveStatus::Late
    } else if expected <= job.objective * LATE_FACTOR {
        ObjectiveStatus::Expiring
    } else {
        ObjectiveStatus::Lost
    }
}

/// The estimated time of the longest chain of unfinished steps, in the first open occurrence.
#[must_use]
pub fn remaining_chain(job: &Job) -> Duration {
    let Some(occurrence) = job.occurrences.values().next() else {
        return Duration::ZERO;
    };
    let steps = occurrence.steps.iter().zip(&job.step_times);
    let times = steps.map(|(state, time)| {
        if state.is_done() {
            Duration::ZERO
        } else {
            *time
        }
    });
    job.record.spec.longest_chain(times)
}
