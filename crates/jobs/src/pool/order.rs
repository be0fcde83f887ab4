//! The order in which jobs get room.
//!
//! Load pattern: a turn asks for more than the pool holds, and a backlog of some seconds makes jobs late.
//!
//! Services come first, as each moment of theirs counts. Among the others those that can still meet their objective go
//! before those that can't, urgent queues before others, and then the earliest deadline. Those that are late already are
//! worth the same whenever they end, as long as they do: the one with the least work left goes first, so that the most of them
//! end. What has missed three times its objective comes last and still gets what is left, in the same order.
//!
//! While the overload lasts, jobs that can be in time keep coming, and late ones would wait until they are worth nothing. So a late
//! job goes before those of its queue's urgency once it has used two thirds of its time: its submitter gets an answer, at the price of few that are late.

use std::time::{Duration, Instant};

use crate::job::{Job, Occurrence};
use crate::pool::Pool;

/// Up to this multiple of the objective a completion still has some value.
const LATE_FACTOR: u32 = 3;

/// From this multiple of the objective on, a late job goes before those that can be in time. A third of the time in which it has some
/// value is left. Measured (docs/WORTH.md).
const EXPIRING_FACTOR: u32 = 2;

/// How a job stands against its objective. Earlier variants get room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// A service or a scheduled job, whose value accrues with time.
    Running,
    /// The objective is missed, and the time in which a completion is still worth something ends soon.
    Expiring,
    /// The objective can be met.
    Reachable,
    /// The objective is missed, but a completion is still worth something.
    Late,
    /// Too late to be of value.
    Lost,
}

impl Standing {
    /// Jobs of one rank get room by the urgency of their queues first.
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
        .filter(|job| job.outcome.is_none() && has_idle(job))
        .filter(|job| job.held_until.is_none_or(|until| now >= until))
        .map(|job| {
            let priority = pool
                .catalogue
                .queue(job.queue())
                .map_or(u32::MAX, |queue| queue.priority);
            let standing = standing(job, now);
            let work = match standing {
                Standing::Running | Standing::Reachable => 0,
                Standing::Expiring | Standing::Late | Standing::Lost => remaining_work(job),
            };
            let deadline = job.accepted_at + job.objective;
            (
                standing.rank(),
                priority,
                standing,
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

/// How a job stands against its objective.
#[must_use]
pub fn standing(job: &Job, now: Instant) -> Standing {
    if job.record.spec.is_service() || job.record.spec.schedule.is_some() {
        return Standing::Running;
    }
    let expected = now.saturating_duration_since(job.accepted_at) + remaining_chain(job);
    if expected <= job.objective {
        Standing::Reachable
    } else if expected <= job.objective * EXPIRING_FACTOR {
        Standing::Late
    } else if expected <= job.objective * LATE_FACTOR {
        Standing::Expiring
    } else {
        Standing::Lost
    }
}

/// The estimated time of the longest chain of steps that aren't done.
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
