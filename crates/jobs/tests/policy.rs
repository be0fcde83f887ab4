//! The policy under which a job was accepted, and jobs of older versions that lack it.

mod one_pool;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{JobId, RunNumber};
use goldcrest_jobs::policy::AcceptedPolicy;
use goldcrest_jobs::pool::Pool;
use goldcrest_jobs::progress::{OccurrenceProgress, Progress, StepProgress, TaskProgress};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, JobState, Step};

use one_pool::{catalogue, pool};

fn job() -> JobId {
    "00000000000000a1".parse().expect("an id")
}

fn policy(attempts_max: u32) -> AcceptedPolicy {
    AcceptedPolicy {
        priority: 0,
        attempts_max,
        stretch_milli: 1_600,
        target_latency: Duration::from_millis(600),
        needs_permits: false,
        permit_queries: None,
        cap: Resources::ZERO,
    }
}

fn record(policy: Option<AcceptedPolicy>) -> JobRecord {
    JobRecord {
        id: job(),
        queue: "q".parse().expect("a name"),
        team: None,
        accepted_ms: 0,
        spec: JobSpec {
            payload: "".into(),
            steps: vec![Step {
                tasks: 1,
                ..Step::default()
            }],
            schedule: None,
        },
        is_cancelled: false,
        policy,
        route: None,
    }
}

/// The only task has failed in these runs.
fn progress(failed_runs: &[u64]) -> Progress {
    Progress {
        has_begun: true,
        occurrences: vec![OccurrenceProgress {
            occurrence: 0,
            steps: vec![StepProgress {
                ended: vec![TaskProgress {
                    index: 0,
                    failed_runs: failed_runs.iter().map(|run| RunNumber(*run)).collect(),
                    last_run: failed_runs.last().map(|run| RunNumber(*run)),
                    checkpoint: None,
                }],
                ..StepProgress::default()
            }],
        }],
        ..Progress::default()
    }
}

/// A pool whose catalogue has no queue, and that has taken over a job whose task has failed in these runs.
fn taken_over(policy: Option<AcceptedPolicy>, failed_runs: &[u64]) -> Pool {
    let now = Instant::now();
    let mut pool = pool(7);
    pool.set_catalogue(Arc::new(Catalogue::default()));
    let jobs = vec![(record(policy), progress(failed_runs), Duration::ZERO)];
    pool.take_over(jobs, BTreeSet::new(), Some(Duration::ZERO), now);
    pool.plan(now, 0);
    pool
}

#[test]
fn attempts_are_those_of_the_acceptance() {
    let pool = taken_over(Some(policy(4)), &[1, 2, 3]);
    let open = &pool.jobs()[&job()];
    assert_eq!(
        (open.state(), open.awaits_policy()),
        (JobState::Running, false)
    );
    let pool = taken_over(Some(policy(3)), &[1, 2, 3]);
    assert_eq!(pool.jobs()[&job()].state(), JobState::Failed);
}

/// The catalogue in force allows two attempts; the one of the acceptance allowed four.
#[test]
fn attempts_of_the_acceptance_outlast_a_newer_catalogue() {
    let mut pool = taken_over(Some(policy(4)), &[1, 2, 3]);
    pool.set_catalogue(Arc::new(catalogue()));
    assert_eq!(pool.jobs()[&job()].state(), JobState::Running);
}

/// A job that an older version accepted, whose queue is not in the catalogue: neither failed nor started again before
/// the number of its attempts is known.
#[test]
fn attempts_unknown_wait_for_the_queue() {
    for (failed_runs, state) in [(&[1][..], JobState::Running), (&[1, 2], JobState::Failed)] {
        let mut pool = taken_over(None, failed_runs);
        let open = &pool.jobs()[&job()];
        assert_eq!(
            (open.state(), open.awaits_policy()),
            (JobState::Running, true)
        );
        pool.set_catalogue(Arc::new(catalogue()));
        let open = &pool.jobs()[&job()];
        assert_eq!((open.state(), open.awaits_policy()), (state, false));
        // Known once, the number stays.
        pool.set_catalogue(Arc::new(Catalogue::default()));
        assert_eq!(pool.jobs()[&job()].attempts_max(), Some(2));
    }
}

#[test]
fn objective_of_extreme_values_does_not_overflow() {
    let extreme = AcceptedPolicy {
        stretch_milli: u64::MAX,
        target_latency: Duration::MAX,
        ..policy(1)
    };
    let objective = extreme.objective(Duration::MAX);
    assert!(Instant::now().checked_add(objective * 3).is_some());
}
