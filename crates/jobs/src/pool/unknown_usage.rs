//! Counts what an earlier scheduler's runs may reserve on workers that have not reported yet.
//!
//! After a takeover a task is unknown until every worker of its job has reported, or every lease has expired. It may be
//! running, so its team's usage counts it; otherwise a worker that is cut off from the new scheduler would let the team
//! exceed its upper limit. The earlier scheduler stayed within the pool's row of the limit, so what it can have running
//! is within that row too, whatever this count says.

use std::collections::BTreeMap;

use goldcrest_types::names::TeamName;

use crate::job::{Job, Occurrence};
use crate::pool::Pool;
use crate::resources::Resources;

/// Runs the pass.
pub fn run(pool: &mut Pool) {
    pool.unknown_usage.clear();
    if pool.takeover.is_none() {
        return;
    }
    let mut usage: BTreeMap<TeamName, Resources> = BTreeMap::new();
    for job in pool.jobs.values().filter(|job| !job.awaited.is_empty()) {
        if let Some(team) = &job.record.team {
            *usage.entry(team.clone()).or_default() += of_job(job);
        }
    }
    pool.unknown_usage = usage;
}

fn of_job(job: &Job) -> Resources {
    let of_occurrence = |occurrence: &Occurrence| {
        let steps = job.record.spec.steps.iter().zip(&occurrence.steps);
        let open = steps.filter(|(step, _)| occurrence.is_open(step));
        open.fold(Resources::ZERO, |sum, (step, state)| {
            let tasks = state.tasks.iter();
            let unknown = tasks.filter(|task| task.is_unknown && task.live == 0);
            let count = u64::try_from(unknown.count()).unwrap_or(u64::MAX);
            let each = step.reserved();
            sum + each.zip(each, |amount, _| amount.saturating_mul(count))
        })
    };
    let occurrences = job.occurrences.values();
    occurrences.fold(Resources::ZERO, |sum, occurrence| {
        sum + of_occurrence(occurrence)
    })
}

impl Pool {
    /// What the team's runs reserve in this pool, and what unknown runs of an earlier scheduler may reserve within the
    /// pool's row of the team's limit, as of the last plan.
    #[must_use]
    pub fn usage_within(&self, team: &TeamName, row: Resources) -> Resources {
        let known = self.usage.get(team).copied().unwrap_or_default();
        let unknown = self.unknown_usage.get(team).copied().unwrap_or_default();
        known + unknown.zip(row - known, u64::min)
    }
}
