//! A worker that is back under its id: nothing that is known of its earlier incarnation holds for the new one.

mod one_pool;

use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, WorkerRef};
use goldcrest_jobs::pool::{Command, Pool, StartCommand};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, Step};
use goldcrest_jobs::worker::{Report, WorkerInfo};

use one_pool::pool;

const CORE: u64 = 1_000;

fn info(started_ms: u64, label: &str, cpu_millis: u64) -> WorkerInfo {
    WorkerInfo {
        id: "w1".into(),
        started_ms: Some(started_ms),
        address: "".into(),
        dc: None,
        capacity: Resources {
            cpu_millis,
            memory_mb: 8_000,
            accelerators: 0,
        },
        labels: vec![label.into()],
        is_draining: false,
        remaining: None,
        is_cold: false,
    }
}

fn report(started_ms: u64) -> Report {
    Report {
        clock_ms: 100,
        started_ms: Some(started_ms),
        ..Report::default()
    }
}

fn submit(pool: &mut Pool, id: &str, label: &str, tasks: u32, now: Instant) {
    let record = JobRecord {
        id: id.parse::<JobId>().expect("an id"),
        queue: "q".parse().expect("a name"),
        team: None,
        accepted_ms: 0,
        spec: JobSpec {
            payload: "".into(),
            steps: vec![Step {
                tasks,
                requires: Some(label.into()),
                demand: Resources {
                    cpu_millis: CORE,
                    memory_mb: 100,
                    accelerators: 0,
                },
                ..Step::default()
            }],
            schedule: None,
        },
        is_cancelled: false,
        policy: None,
    };
    pool.submit(record, Duration::ZERO, now);
}

/// The only worker that has not departed.
fn present(pool: &Pool) -> WorkerRef {
    let mut workers = pool.workers().iter();
    let present = workers.find(|(_, worker)| !worker.has_departed);
    *present.expect("a worker").0
}

fn starts(pool: &mut Pool, now: Instant) -> Vec<StartCommand> {
    let commands = pool.plan(now, 0).into_iter();
    commands
        .filter_map(|command| match command {
            Command::Start(order) => Some(order),
            Command::Stop { .. } | Command::Throttle { .. } | Command::QueryPermits { .. } => None,
        })
        .collect()
}

/// Guards against starts by the labels or the capacity of an earlier incarnation: a worker is back as another kind with less
/// capacity, and its report arrives before the registry is read.
#[test]
fn report_of_a_later_incarnation_waits_for_its_entry() {
    let now = Instant::now();
    let mut pool = pool(7);
    pool.set_workers(vec![info(1, "a", 8 * CORE)], now);
    let worker = present(&pool);
    pool.report(worker, now, report(1), now);
    pool.report(worker, now, report(5), now);
    submit(&mut pool, "00000000000000a1", "a", 2, now);
    submit(&mut pool, "00000000000000b1", "b", 4, now);
    assert_eq!(starts(&mut pool, now), [], "by the earlier entry");
    // A list that was requested before the restart shows the earlier incarnation.
    pool.set_workers(vec![info(1, "a", 8 * CORE)], now);
    assert_eq!(starts(&mut pool, now), [], "by an old list");
    pool.set_workers(vec![info(5, "b", 2 * CORE)], now);
    let worker = present(&pool);
    pool.report(worker, now, report(5), now);
    let later = now + Duration::from_millis(50);
    let started = starts(&mut pool, later);
    let started: Vec<String> = started
        .iter()
        .map(|order| order.task.step.job.to_string())
        .collect();
    assert_eq!(started, ["00000000000000b1", "00000000000000b1"]);
}
