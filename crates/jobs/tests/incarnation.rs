//! A worker that is back under its id: nothing that is known of its earlier incarnation holds for the new one.

mod one_pool;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_jobs::id::{JobId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::{Command, InheritedIncarnations, Pool, StartCommand};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, JobSpec, Step};
use goldcrest_jobs::worker::{EndRow, Report, RunEnd, WorkerInfo};
use goldcrest_types::names::TeamName;

use one_pool::pool;

const CORE: u64 = 1_000;

fn info(started_ms: u64, label: &str, cpu_millis: u64) -> WorkerInfo {
    info_of("w1", started_ms, label, cpu_millis)
}

fn info_of(id: &str, started_ms: u64, label: &str, cpu_millis: u64) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
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

fn record(id: &str, label: &str, tasks: u32) -> JobRecord {
    JobRecord {
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
        route: None,
    }
}

fn submit(pool: &mut Pool, id: &str, label: &str, tasks: u32, now: Instant) {
    pool.submit(record(id, label, tasks), Duration::ZERO, now);
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
            Command::Stop { .. } | Command::Throttle { .. } | Command::QueryPermits(_) => None,
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

/// Lists workers, each with the start time of its incarnation.
fn list(pool: &mut Pool, workers: &[(&str, u64)], now: Instant) {
    let listed = workers.iter();
    let listed = listed.map(|(id, started_ms)| info_of(id, *started_ms, "a", CORE));
    pool.set_workers(listed.collect(), now);
}

/// The present workers that may hold a lease from a command to an earlier incarnation.
fn possible_strays(pool: &Pool) -> Vec<String> {
    let present = pool.workers().values();
    let strays = present.filter(|worker| !worker.has_departed && worker.may_hold_stray_lease());
    strays.map(|worker| worker.info.id.to_string()).collect()
}

fn successor(stray_leases: Option<BTreeSet<WorkerId>>, now: Instant) -> Pool {
    let mut pool = pool(7);
    let assigned = [WorkerId::from("w1"), WorkerId::from("w2")];
    pool.take_over(
        Vec::new(),
        assigned.into(),
        Some(Duration::from_secs(3)),
        now,
    );
    let inherited = InheritedIncarnations {
        has_predecessor: true,
        started_ms: [("w1", 1), ("w2", 1), ("gone", 1)]
            .map(|(id, started_ms)| (WorkerId::from(id), started_ms))
            .into(),
        present_ms: BTreeMap::new(),
        stray_leases,
    };
    pool.inherit_incarnations(inherited, now);
    pool
}

/// Guards against a lease that a successor takes for shorter than it may be, and against new workers that are taken for
/// returned ones, whose tasks would wait longer when they are lost.
#[test]
fn stray_lease_of_returned_and_of_new_workers() {
    let now = Instant::now();
    let mut pool = successor(Some([WorkerId::from("w2")].into()), now);
    list(
        &mut pool,
        &[("w1", 1), ("w2", 1), ("gone", 5), ("new", 9)],
        now,
    );
    assert_eq!(possible_strays(&pool), ["w2", "gone"]);
    // Departs, and is back after its registry entry has been dropped.
    let later = now + Duration::from_secs(5);
    list(&mut pool, &[("w1", 1), ("w2", 1), ("gone", 5)], later);
    pool.plan(later, 0);
    assert!(
        pool.departed_incarnations()
            .contains_key(&WorkerId::from("new"))
    );
    list(
        &mut pool,
        &[("w1", 4), ("w2", 1), ("new", 20), ("newer", 20)],
        later,
    );
    assert_eq!(possible_strays(&pool), ["w2", "gone", "w1", "new"]);
    // An older version did not store which workers may hold one.
    let mut pool = successor(None, now);
    list(&mut pool, &[("w1", 1), ("new", 9)], now);
    assert_eq!(possible_strays(&pool), ["w1", "new"]);
}

/// Guards against a returned worker that is taken for a new one because it does not state when it started.
#[test]
fn stray_lease_of_a_returned_worker_without_a_start_time() {
    let now = Instant::now();
    let mut pool = pool(7);
    let unstated = || WorkerInfo {
        started_ms: None,
        ..info(1, "a", CORE)
    };
    pool.set_workers(vec![unstated()], now);
    let worker = present(&pool);
    pool.worker_replaced(worker, now);
    pool.set_workers(vec![unstated()], now);
    assert_ne!(present(&pool), worker);
    assert_eq!(possible_strays(&pool), ["w1"]);
}

/// Guards against a team whose usage never decreases: a start of a job that has ended may still be carried out by its
/// worker's next incarnation, and the job is removed while that run is counted.
#[test]
fn run_that_outlives_its_job_is_counted_until_its_end() {
    let now = Instant::now();
    let mut pool = pool(7);
    pool.set_workers(vec![info(1, "a", 8 * CORE)], now);
    let worker = present(&pool);
    pool.report(worker, now, report(1), now);
    let team: TeamName = "team".parse().expect("a name");
    let record = JobRecord {
        team: Some(team.clone()),
        ..record("00000000000000a1", "a", 1)
    };
    let job = record.id;
    pool.submit(record, Duration::ZERO, now);
    let start = starts(&mut pool, now).remove(0);
    // The answer to the start is lost; a report shows the end of the run.
    pool.start_unanswered(worker, &"w1".into(), start.task, start.run, now);
    let later = now + Duration::from_secs(1);
    let end = EndRow {
        number: 1,
        task: start.task,
        run: start.run,
        end: RunEnd::Done,
        checkpoint: None,
    };
    let ended = Report {
        ended: vec![end],
        ..report(1)
    };
    pool.report(worker, later, ended, later);
    assert_eq!(starts(&mut pool, later), []);
    assert!(pool.jobs()[&job].outcome.is_some(), "the job has ended");
    // It is back before the end of the job is stored.
    pool.set_workers(vec![info(5, "a", 8 * CORE)], later);
    pool.remove_stored(job);
    let worker = present(&pool);
    pool.stop_confirmed(worker, start.task, start.run, later);
    let last = later + Duration::from_secs(1);
    pool.report(worker, last, report(5), last);
    assert_eq!(starts(&mut pool, last), []);
    assert!(pool.worker(worker).expect("it is present").runs.is_empty());
    let usage = pool.usage().get(&team).copied().unwrap_or_default();
    assert_eq!(usage, Resources::ZERO, "nothing is running");
}
