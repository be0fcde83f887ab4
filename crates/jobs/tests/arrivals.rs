//! Demand from the work of newly submitted jobs, the earliest sign of a busy period.

mod one_pool;

use std::time::{Duration, Instant};

use goldcrest_jobs::id::JobId;
use goldcrest_jobs::pool::Pool;
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, Step};

use one_pool::pool;

/// A job of two steps, each a second of one core.
fn job(number: u64) -> JobRecord {
    let id = format!("{number:016x}");
    let id: JobId = id.parse().expect("an id");
    let step = Step {
        tasks: 1,
        demand: Resources {
            cpu_millis: 1_000,
            memory_mb: 0,
            accelerators: 0,
        },
        estimate: Duration::from_secs(1),
        ..Step::default()
    };
    let second = Step {
        after: vec![0],
        ..step.clone()
    };
    JobRecord {
        id,
        queue: "q".parse().expect("a name"),
        team: None,
        accepted_ms: 0,
        spec: JobSpec {
            payload: "".into(),
            steps: vec![step, second],
            schedule: None,
        },
        is_cancelled: false,
        policy: None,
        route: None,
    }
}

/// Submits jobs at even intervals and returns the demand after the last one.
fn demand_after(pool: &mut Pool, jobs: u64, interval: Duration, from: Instant) -> u64 {
    let mut now = from;
    for number in 0..jobs {
        now += interval;
        pool.submit(job(number), Duration::ZERO, now);
    }
    pool.demand_millis(now)
}

/// Load pattern: a busy period begins with 100 jobs a second of two core-seconds each. After 0.3 s, when none of them
/// has done its first step, the demand covers most of the 200 cores that they need.
#[test]
fn demand_busy_period_before_its_backlog() {
    let demand = demand_after(&mut pool(1), 30, Duration::from_millis(10), Instant::now());
    assert!((150_000..=200_000).contains(&demand), "{demand}");
}

/// A few jobs that arrive together are no busy period: VMs moved for them would arrive after the jobs are done.
#[test]
fn demand_few_jobs_no_busy_period() {
    let demand = demand_after(&mut pool(1), 7, Duration::from_millis(1), Instant::now());
    assert_eq!(demand, 0);
}

#[test]
fn demand_ends_with_the_arrivals() {
    let mut pool = pool(1);
    let from = Instant::now();
    let demand = demand_after(&mut pool, 200, Duration::from_millis(10), from);
    assert!(demand > 0);
    let later = from + Duration::from_millis(3_100);
    assert_eq!(pool.demand_millis(later), 0);
}
