//! Extreme values: an accepted job or a worker's report must not crash a pool's scheduler, whatever it contains.

mod one_pool;

use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, RunNumber, StepId, TaskId, WorkerId};
use goldcrest_jobs::pool::Pool;
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{
    DEMAND_MAX, ESTIMATE_MAX, Feature, JobRecord, JobSpec, Schedule, SpecError, Step, TASKS_MAX,
};
use goldcrest_jobs::worker::{EndRow, Report, RunEnd, RunningRow, WorkerInfo};
use quickcheck::quickcheck;

const FEATURES: [Feature; 6] = [
    Feature::Checkpointing,
    Feature::Gang,
    Feature::SameRack,
    Feature::Speculative,
    Feature::Service,
    Feature::BestEffort,
];

fn id() -> JobId {
    "00000000000000a1".parse().expect("an id")
}

/// The pool with one worker.
fn pool() -> Pool {
    let mut pool = one_pool::pool(1);
    let info = WorkerInfo {
        id: WorkerId::from("w"),
        started_ms: Some(1),
        address: "w".into(),
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
    pool.set_workers(vec![info], Instant::now());
    pool
}

/// Tasks, an amount of each resource, an estimate in milliseconds, and bits that choose features.
type StepValues = (u32, u64, u64, u8);

fn step(at: usize, (tasks, amount, estimate_ms, bits): StepValues) -> Step {
    let chosen = FEATURES
        .iter()
        .enumerate()
        .filter(|(bit, _)| bits & (1 << bit) != 0);
    Step {
        tasks,
        demand: Resources {
            cpu_millis: amount,
            memory_mb: amount,
            accelerators: 0,
        },
        estimate: Duration::from_millis(estimate_ms),
        after: at
            .checked_sub(1)
            .and_then(|before| u32::try_from(before).ok())
            .into_iter()
            .collect(),
        features: chosen.map(|(_, feature)| *feature).collect(),
        ..Step::default()
    }
}

fn record(steps: Vec<Step>, schedule: Option<Schedule>) -> JobRecord {
    JobRecord {
        id: id(),
        queue: "q".parse().expect("a name"),
        team: None,
        accepted_ms: 0,
        spec: JobSpec {
            payload: "".into(),
            steps,
            schedule,
        },
        is_cancelled: false,
        policy: None,
        route: None,
    }
}

fn plan(pool: &mut Pool, now: Instant) {
    pool.plan(now, 1_000_000);
    let _ = pool.backlog();
    let _ = pool.demand_millis(now);
    pool.take_events();
}

quickcheck! {
    fn submit_any_job_that_is_taken(
        steps: Vec<StepValues>,
        schedule: Option<(u32, u64, u64)>,
        age_ms: u64
    ) -> bool {
        // A step of many tasks is slow in a debug build. The limit on their number is checked elsewhere.
        let longest_ms = u64::try_from(ESTIMATE_MAX.as_millis()).expect("a month");
        let steps = steps.into_iter().map(|(tasks, amount, ms, bits)| {
            (tasks % 500 + 1, amount % (DEMAND_MAX + 1), ms % (longest_ms + 1), bits)
        });
        let steps: Vec<Step> = steps.enumerate().map(|(at, values)| step(at, values)).collect();
        let has_no_steps = steps.is_empty();
        let schedule = schedule.map(|(occurrences, first_due_ms, interval_ms)| Schedule {
            occurrences,
            first_due_ms,
            interval: Duration::from_millis(interval_ms),
        });
        let record = record(steps, schedule);
        let is_taken = record.spec.check().is_ok();
        if is_taken {
            let mut pool = pool();
            let now = Instant::now();
            pool.submit(record, Duration::from_millis(age_ms), now);
            plan(&mut pool, now);
        }
        is_taken || has_no_steps
    }

    fn report_any_values(
        clock_ms: u64,
        started_ms: Option<u64>,
        running: Vec<(u64, u32, u32, u32)>,
        ended: Vec<(u64, u64, u32)>
    ) -> bool {
        let mut pool = pool();
        let now = Instant::now();
        pool.submit(record(vec![step(0, (2, 1, 1, 0))], None), Duration::ZERO, now);
        let worker = *pool.workers().keys().next().expect("a worker");
        let task = |occurrence, index| TaskId {
            step: StepId { job: id(), occurrence, step: 0 },
            index,
        };
        let report = Report {
            clock_ms,
            started_ms,
            running: running
                .into_iter()
                .map(|(run, occurrence, index, percent)| RunningRow {
                    task: task(occurrence, index),
                    run: RunNumber(run),
                    checkpoint: None,
                    percent,
                    load: f64::from(percent) * f64::MAX,
                })
                .collect(),
            ended: ended
                .into_iter()
                .map(|(number, run, index)| EndRow {
                    number,
                    task: task(0, index),
                    run: RunNumber(run),
                    end: RunEnd::Failed,
                    checkpoint: None,
                })
                .collect(),
        };
        pool.report(worker, now, report, now);
        plan(&mut pool, now);
        true
    }
}

/// Two steps with the longest possible duration each: the sum of their chain overflowed, which crashed the pool's
/// scheduler and each of its successors.
#[test]
fn check_estimates_beyond_all_time() {
    let mut steps: Vec<Step> = (0..2).map(|at| step(at, (1, 1, 1, 0))).collect();
    for step in &mut steps {
        step.estimate = Duration::MAX;
    }
    let spec = record(steps, None).spec;
    assert_eq!(spec.check(), Err(SpecError::Estimate(0)));
}

#[test]
fn check_demand_beyond_any_worker() {
    let spec = record(vec![step(0, (1, u64::MAX, 1, 0))], None).spec;
    assert_eq!(spec.check(), Err(SpecError::Demand(0)));
}

/// All occurrences of a job are due at once: the open ones must not have more tasks than one submission may have.
#[test]
fn open_due_occurrences_within_the_bound() {
    let schedule = Schedule {
        occurrences: u32::MAX,
        first_due_ms: 0,
        interval: Duration::ZERO,
    };
    let mut pool = pool();
    let now = Instant::now();
    let steps = vec![step(0, (10_000, 1, 1, 0))];
    pool.submit(record(steps, Some(schedule)), Duration::ZERO, now);
    plan(&mut pool, now);
    let open: usize = pool.jobs()[&id()]
        .occurrences
        .values()
        .flat_map(|occurrence| &occurrence.steps)
        .map(|step| step.tasks.len())
        .sum();
    assert_eq!(u64::try_from(open), Ok(TASKS_MAX));
}

/// A corrupt report names the highest run number, before the first plan has opened the job.
#[test]
fn report_end_of_the_highest_run() {
    let mut pool = pool();
    let now = Instant::now();
    pool.submit(
        record(vec![step(0, (2, 1, 1, 0))], None),
        Duration::ZERO,
        now,
    );
    let worker = *pool.workers().keys().next().expect("a worker");
    let ended = EndRow {
        number: 1,
        task: TaskId {
            step: StepId {
                job: id(),
                occurrence: 0,
                step: 0,
            },
            index: 0,
        },
        run: RunNumber(u64::MAX),
        end: RunEnd::Failed,
        checkpoint: None,
    };
    let report = Report {
        clock_ms: 1_000,
        ended: vec![ended],
        ..Report::default()
    };
    pool.report(worker, now, report, now);
    plan(&mut pool, now);
}
