//! Teams that use far more of the pool than their share.
//!
//! Load pattern: one team sends many times its usual while the pool is full. In the order of deadlines alone its jobs would take
//! room from all others in proportion to their number, up to its limit. While others wait, a team that has
//! [`EXCESS_PERCENT`] of its fair share at work comes after them. Nothing is held back for that: what the others leave it gets.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_types::names::TeamName;

use crate::pool::Pool;

/// What a team must have at work for its jobs to come last, in percent of its fair share. Below that deadlines decide, as
/// shares are uneven from moment to moment.
const EXCESS_PERCENT: u64 = 200;

/// The teams in excess. Services are not counted: they stay where they are, and each is placed once.
#[must_use]
pub fn teams(pool: &Pool) -> BTreeSet<TeamName> {
    let mut used: BTreeMap<&TeamName, u64> = BTreeMap::new();
    for (team, usage) in &pool.usage {
        used.insert(team, usage.cpu_millis);
    }
    for job in pool.jobs.values().filter(|job| job.outcome.is_none()) {
        let Some(team) = &job.record.team else {
            continue;
        };
        let of_team = used.entry(team).or_default();
        if job.record.spec.is_service() {
            *of_team = of_team.saturating_sub(job.reserved_cpu_millis());
        }
    }
    let weight = |team: &TeamName| pool.catalogue.team(team).map_or(0, |team| team.weight);
    let weights: u64 = used.keys().map(|team| weight(team)).sum();
    let whole: u64 = used.values().sum();
    let is_in_excess = |(team, used): &(&TeamName, u64)| {
        // What is at work now is what there is to share.
        let fair = u128::from(whole) * u128::from(weight(team));
        *used > 0
            && u128::from(*used) * u128::from(weights) * 100 >= fair * u128::from(EXCESS_PERCENT)
    };
    let in_excess = used.into_iter().filter(is_in_excess);
    in_excess.map(|(team, _)| team.clone()).collect()
}
