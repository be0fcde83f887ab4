//! The count of jobs of which no task has started.

mod one_pool;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, WorkerId};
use goldcrest_jobs::pool::{Command, Pool, StartAnswer};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, JobState, Step};
use goldcrest_jobs::worker::{Report, WorkerInfo};

use one_pool::pool;

fn job() -> JobId {
    "00000000000000a1".parse().expect("an id")
}

/// A pool with a worker that has reported, and a job of one task.
fn pool_with_job(now: Instant) -> Pool {
    let mut pool = pool(7);
    let worker = WorkerInfo {
        id: WorkerId::from("w1"),
        started_ms: None,
        address: "w1".into(),
        dc: None,
        capacity: Resources {
            cpu_millis: 4_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        is_draining: false,
        remaining: None,
        is_cold: false,
    };
    pool.set_workers(vec![worker], now);
    let worker = *pool.workers().keys().next().expect("a worker");
    pool.report(worker, now, Report::default(), now);
    let record = JobRecord {
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
        policy: None,
        route: None,
    };
    pool.submit(record, Duration::ZERO, now);
    pool
}

/// Plans, answers the one start and returns the number of waiting jobs before and after the answer.
fn waiting_around(answer: StartAnswer) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
    let now = Instant::now();
    let mut pool = pool_with_job(now);
    let commands = pool.plan(now, 0);
    let [Command::Start(start)] = &commands[..] else {
        panic!("{commands:?}");
    };
    let waiting = |pool: &Pool| {
        let waiting = pool.waiting().into_iter();
        waiting
            .map(|(queue, count)| (queue.to_owned(), count))
            .collect()
    };
    let before = waiting(&pool);
    pool.start_answered(start.worker, start.task, start.run, answer, now);
    assert_eq!(pool.jobs()[&job()].state(), JobState::Running);
    (before, waiting(&pool))
}

/// Guards against jobs that are left out of the count though each of their starts is refused.
#[test]
fn waiting_counts_a_job_whose_start_was_refused() {
    let one = BTreeMap::from([("q".to_owned(), 1)]);
    for answer in [
        StartAnswer::NoPermit,
        StartAnswer::NoRoom,
        StartAnswer::Unknown,
    ] {
        assert_eq!(waiting_around(answer), (one.clone(), one.clone()));
    }
}

#[test]
fn waiting_counts_no_job_that_has_started() {
    let (before, after) = waiting_around(StartAnswer::Started);
    assert_eq!((before.len(), after.len()), (1, 0));
}
