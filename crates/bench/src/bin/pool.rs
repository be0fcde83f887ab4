//! What a pool's scheduler costs while its queue is in its turn: processor time of a plan, a start and a report.
//!
//! `cargo run --release -p goldcrest-bench --bin pool -- [--workers N] [--jobs N] [--seconds N] [--waiting N]`
//!
//! The pool is driven without network, in steps of [`STEP`]: jobs arrive, plans are made, every start is carried out
//! and every end is reported. The time of a plan is compared with [`PLAN_MAX`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::{Catalogue, PoolSpec, Queue};
use goldcrest_jobs::id::{FencingToken, JobId, RunNumber, TaskId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::{Bounds, Command, Pool, StartAnswer};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, Step};
use goldcrest_jobs::worker::{EndRow, Report, RunEnd, RunningRow, WorkerInfo};
use goldcrest_types::names::PoolName;
use hdrhistogram::Histogram;

/// The time between two plans under load.
const STEP: Duration = Duration::from_millis(4);

/// A plan with 50,000 waiting tasks on 1,500 workers takes less than this.
const PLAN_MAX: Duration = Duration::from_millis(10);

/// How long a task runs.
const RUN: Duration = Duration::from_millis(640);

/// Tasks of a job.
const TASKS: u32 = 12;

/// A worker's ends and what it runs.
#[derive(Default)]
struct Simulated {
    running: BTreeMap<(TaskId, RunNumber), Instant>,
    ends: Vec<EndRow>,
    ended: u64,
}

/// Where the time went.
struct Times {
    plan: Histogram<u64>,
    start: Duration,
    starts: u32,
    report: Duration,
    reports: u32,
    save: Duration,
    saves: u32,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let workers: usize = args.opt_value_from_str("--workers")?.unwrap_or(85);
    let jobs_per_s: u64 = args.opt_value_from_str("--jobs")?.unwrap_or(140);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(5);
    let waiting: u64 = args.opt_value_from_str("--waiting")?.unwrap_or(0);
    let times = run(workers, jobs_per_s, Duration::from_secs(seconds), waiting)?;
    let plan_max = Duration::from_nanos(times.plan.value_at_quantile(0.99));
    println!(
        "sizes: {workers} workers, {jobs_per_s} jobs a second of {TASKS} tasks, {waiting} jobs waiting at first"
    );
    println!(
        "plan: median {} us, 99th percentile {} us, {} plans",
        times.plan.value_at_quantile(0.5) / 1_000,
        plan_max.as_micros(),
        times.plan.len()
    );
    let each = |total: Duration, count: u32| total.checked_div(count).unwrap_or_default();
    println!(
        "start: {:?} each, {} starts",
        each(times.start, times.starts),
        times.starts
    );
    println!(
        "report: {:?} each, {} reports",
        each(times.report, times.reports),
        times.reports
    );
    println!(
        "save: {:?} each job, {} saves",
        each(times.save, times.saves),
        times.saves
    );
    if plan_max >= PLAN_MAX {
        return Err(
            format!("a plan takes {plan_max:?}: look at the last change of crates/jobs").into(),
        );
    }
    Ok(())
}

fn catalogue(pool: &PoolName) -> Result<Catalogue, Box<dyn Error>> {
    let queue = Queue {
        name: "q1".parse()?,
        host: "q".into(),
        prefix: "/1/".into(),
        pool: pool.clone(),
        is_open: true,
        priority: 0,
        attempts_max: 4,
        stretch_milli: 1_600,
        target_latency: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        permit_queries: None,
    };
    let spec = PoolSpec {
        name: pool.clone(),
        has_admission_control: true,
        is_spare: false,
    };
    Ok(Catalogue::new(1, vec![queue], vec![spec], Vec::new()))
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId::from(&*format!("i-{number:010}")),
        started_ms: Some(1),
        address: "192.0.2.1:80".into(),
        dc: None,
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mb: 32_768,
            accelerators: 0,
        },
        labels: Vec::new(),
        is_draining: false,
        remaining: None,
        is_cold: false,
    }
}

fn record(number: u64) -> Result<JobRecord, Box<dyn Error>> {
    let step = |after: Vec<u32>| Step {
        tasks: TASKS / 2,
        demand: Resources {
            cpu_millis: 1_500,
            memory_mb: 1_300,
            accelerators: 0,
        },
        estimate: RUN,
        after,
        ..Step::default()
    };
    Ok(JobRecord {
        id: format!("{number:016x}").parse::<JobId>()?,
        queue: "q1".parse()?,
        team: None,
        accepted_ms: 0,
        spec: JobSpec {
            payload: "payload".into(),
            steps: vec![step(Vec::new()), step(vec![0])],
            schedule: None,
        },
        is_cancelled: false,
        policy: None,
        route: None,
    })
}

fn run(
    workers: usize,
    jobs_per_s: u64,
    length: Duration,
    waiting: u64,
) -> Result<Times, Box<dyn Error>> {
    let name: PoolName = "p".parse()?;
    let catalogue = Arc::new(catalogue(&name)?);
    let mut pool = Pool::new(name, FencingToken(1), Bounds::default(), catalogue);
    let start = Instant::now();
    let mut now = start;
    pool.take_over(Vec::new(), BTreeSet::new(), None, now);
    pool.set_workers((0..workers).map(info).collect(), now);
    let refs: Vec<WorkerRef> = pool.workers().keys().copied().collect();
    let mut fleet: HashMap<WorkerRef, Simulated> = HashMap::new();
    for worker in &refs {
        pool.report(
            *worker,
            now,
            report(now - start, &Simulated::default()),
            now,
        );
        fleet.insert(*worker, Simulated::default());
    }
    let mut times = Times {
        plan: Histogram::new(3)?,
        start: Duration::ZERO,
        starts: 0,
        report: Duration::ZERO,
        reports: 0,
        save: Duration::ZERO,
        saves: 0,
    };
    let mut submitted = 0;
    for _ in 0..waiting {
        submitted += 1;
        pool.submit(record(submitted)?, Duration::ZERO, now);
    }
    while now < start + length {
        now += STEP;
        let due = jobs_per_s * u64::try_from((now - start).as_millis())? / 1_000 + waiting;
        while submitted < due {
            submitted += 1;
            pool.submit(record(submitted)?, Duration::ZERO, now);
        }
        step(&mut pool, &mut fleet, start, now, &mut times)?;
    }
    Ok(times)
}

fn step(
    pool: &mut Pool,
    fleet: &mut HashMap<WorkerRef, Simulated>,
    start: Instant,
    now: Instant,
    times: &mut Times,
) -> Result<(), Box<dyn Error>> {
    for (worker, it) in fleet.iter_mut() {
        if !end_due(it, now) {
            continue;
        }
        let report = report(now - start, it);
        it.ends.clear();
        let began = Instant::now();
        pool.report(*worker, now, report, now);
        times.report += began.elapsed();
        times.reports += 1;
    }
    let began = Instant::now();
    let orders = pool.plan(now, 0);
    times
        .plan
        .record(u64::try_from(began.elapsed().as_nanos())?)?;
    for cmd in orders {
        let Command::Start(order) = cmd else { continue };
        let ends_at = now + RUN;
        let it = fleet.entry(order.worker).or_default();
        it.running.insert((order.task, order.run), ends_at);
        let began = Instant::now();
        pool.start_answered(
            order.worker,
            order.task,
            order.run,
            StartAnswer::Started,
            now,
        );
        times.start += began.elapsed();
        times.starts += 1;
    }
    let began = Instant::now();
    for id in pool.take_unsaved() {
        let Some(job) = pool.jobs().get(&id) else {
            continue;
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&job.to_progress(), &mut bytes)?;
        times.saves += 1;
        if job.outcome.is_some() && job.live() == 0 {
            pool.remove_stored(id);
        }
    }
    times.save += began.elapsed();
    pool.take_events();
    Ok(())
}

/// Ends the runs that are due; returns whether there were any.
fn end_due(it: &mut Simulated, now: Instant) -> bool {
    let due: Vec<_> = it
        .running
        .iter()
        .filter(|(_, at)| **at <= now)
        .map(|(key, _)| *key)
        .collect();
    for (task, run) in &due {
        it.running.remove(&(*task, *run));
        it.ended += 1;
        it.ends.push(EndRow {
            number: it.ended,
            task: *task,
            run: *run,
            end: RunEnd::Done,
            checkpoint: None,
        });
    }
    !due.is_empty()
}

fn report(age: Duration, it: &Simulated) -> Report {
    let running = it.running.keys().map(|(task, run)| RunningRow {
        task: *task,
        run: *run,
        checkpoint: None,
        percent: 50,
        load: 0.0,
    });
    Report {
        clock_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        started_ms: Some(1),
        running: running.collect(),
        ended: it.ends.clone(),
    }
}
