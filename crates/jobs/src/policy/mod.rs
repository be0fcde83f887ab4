//! What a job was promised when it was accepted.
//!
//! The operators may change or remove a queue or a team while its jobs are open. An [`AcceptedPolicy`] is stored with the
//! job, so every scheduler treats the job alike, whatever its catalogue says by then:
//!
//! - The attempts of a task and the objective are promises to the submitter: always those of the acceptance.
//! - Priority, permits and the team's upper limit are the operators' means to control the fleet: those of the catalogue
//!   in force, or those of the acceptance once the queue or the team is no longer in it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalogue::{Queue, Team, objective};
use crate::query_times::QueryTimes;
use crate::resources::Resources;

/// The policy of a job's queue and team at its acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedPolicy {
    /// The priority of the queue's jobs. Lower numbers are placed first.
    pub priority: u32,
    /// The number of failures of a task that fails the job.
    pub attempts_max: u32,
    /// The latency objective, as a multiple of the job's longest chain, in thousandths.
    pub stretch_milli: u64,
    /// A constant part of the latency objective.
    pub target_latency: Duration,
    /// Whether placement needs permits of an external service.
    pub needs_permits: bool,
    /// The times of that service. Absent in records of older versions.
    #[serde(default)]
    pub permit_queries: Option<QueryTimes>,
    /// The most that the team may have running. 0 of a kind means no limit.
    pub cap: Resources,
}

impl AcceptedPolicy {
    /// The policy for a job of the queue and the team.
    #[must_use]
    pub fn new(queue: &Queue, team: Option<&Team>) -> Self {
        Self {
            priority: queue.priority,
            attempts_max: queue.attempts_max,
            stretch_milli: queue.stretch_milli,
            target_latency: queue.target_latency,
            needs_permits: queue.permit_queries.is_some(),
            permit_queries: queue.permit_queries,
            cap: team.map_or(Resources::ZERO, |team| team.cap),
        }
    }

    /// The time from submission to completion that the submitter expects of a job with this longest chain.
    #[must_use]
    pub fn objective(&self, longest_chain: Duration) -> Duration {
        objective(longest_chain, self.stretch_milli, self.target_latency)
    }
}
