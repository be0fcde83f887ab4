//! How long one round takes, and its slopes over workers, teams and waiting tasks.
//!
//! `cargo run --release -p goldcrest-bench --bin placement` prints a table. Each row is a fleet of its own: workers of 16
//! cores, some with accelerators, teams with three queues each, and waiting tasks whose declared sizes vary. The first
//! round finds the fleet empty and starts as many tasks as one round may; "full" is a round after the fleet was filled,
//! with everything else still waiting.

use std::time::{Duration, Instant};

use goldcrest_sched::{
    Availability, Config, Decisions, ObservedPhase, Scheduler, StartOutcome, TaskObservation,
    TaskSpec, WorkerSpec,
};
use goldcrest_types::catalogue::{
    Access, Catalogue, CatalogueSpec, Class, DcSpec, PoolKind, PoolSpec, QueueLimits, QueueSpec,
    TeamSpec,
};
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::{
    Accelerators, Bytes, CpuMillis, Resources, Revision, Share, Slots, VmCount,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 1;
const ROUNDS: usize = 20;
const GIB: u64 = 1 << 30;

/// The size of one row.
#[derive(Debug, Clone, Copy)]
struct Size {
    workers: usize,
    accelerators: u32,
    teams: usize,
    waiting: usize,
    pools: usize,
}

const LETTER: Size = Size {
    workers: 1500,
    accelerators: 2100,
    teams: 100,
    waiting: 50_000,
    pools: 20,
};

fn name<T: std::str::FromStr>(prefix: &str, index: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}{index}").parse().expect("a name")
}

fn catalogue(size: &Size) -> Catalogue {
    let mut spec = CatalogueSpec::default();
    spec.data_centres.push(DcSpec {
        name: name("dc", 1),
        region: name("r", 1),
    });
    for pool in 0..size.pools {
        spec.pools.push(PoolSpec {
            name: name("p", pool),
            kind: PoolKind::Workers,
            min_vms: VmCount::ZERO,
            max_vms: VmCount::MAX,
            max_unavailable_vms: VmCount::new(1),
            vm_slots: Slots::ZERO,
        });
    }
    for team in 0..size.teams {
        spec.teams.push(TeamSpec {
            name: name("t", team),
            share: Share::new(1),
            upper_limit_slots: Slots::new(100_000),
        });
        for (nth, class) in Class::ALL.into_iter().enumerate() {
            spec.queues.push(QueueSpec {
                name: name("q", team * 3 + nth),
                owner: name("t", team),
                class,
                pool: name("p", (team + nth) % size.pools),
                access: Access::Keyed,
                limits: QueueLimits::default(),
            });
        }
    }
    Catalogue::resolve(&spec, Revision::new(1)).expect("a whole catalogue")
}

fn workers(size: &Size) -> Vec<WorkerSpec> {
    let accelerated = usize::try_from(size.accelerators / 4).unwrap_or(0);
    (0..size.workers)
        .map(|i| WorkerSpec {
            name: name("w", i),
            dc: name("dc", 1),
            rack: name("r", i / 4),
            pool: name("p", i % size.pools),
            capacity: Resources::new(
                CpuMillis::new(16_000),
                Bytes::new(32 * GIB),
                Accelerators::new(if i < accelerated { 4 } else { 0 }),
            ),
            availability: Availability::Open,
        })
        .collect()
}

fn task(rng: &mut StdRng, key: usize, size: &Size) -> TaskSpec {
    let team = rng.random_range(0..size.teams);
    let class = match rng.random_range(0..10) {
        0 => 0,
        1..=4 => 1,
        _ => 2,
    };
    let needs_accelerator = rng.random_bool(0.1);
    TaskSpec {
        key: TaskKey::new(key as u128),
        team: name("t", team),
        queue: name("q", team * 3 + class),
        declared: Resources::new(
            CpuMillis::new(rng.random_range(500..8000)),
            Bytes::new(rng.random_range(1..16) * GIB),
            Accelerators::new(u32::from(needs_accelerator)),
        ),
        declared_run: Duration::from_secs(rng.random_range(10..3600)),
        deadline: None,
        checkpointable: rng.random_bool(0.5),
        idempotent: true,
    }
}

/// What one row shows.
#[derive(Debug)]
struct Row {
    first: Duration,
    starts: usize,
    full: Duration,
    full_worst: Duration,
    busy: Duration,
    cancel_each: Duration,
}

fn grant(sched: &mut Scheduler, teams: &[TeamName], now: Instant) {
    let all = teams.iter().map(|team| (team, Slots::new(100_000)));
    sched.set_grants(all, now + Duration::from_mins(1));
}

/// Lets each worker report that its tasks run as declared.
fn report_all(sched: &mut Scheduler, now: Instant, end_one_in: usize) {
    let mut reports = Vec::new();
    for (vm, worker) in sched.state().workers.iter() {
        let seen = worker.tasks.iter().enumerate().map(|(nth, id)| {
            let task = &sched.state().tasks[*id];
            let ends = end_one_in > 0 && (nth + task.attempt as usize).is_multiple_of(end_one_in);
            TaskObservation {
                key: task.key,
                attempt: task.attempt,
                phase: if ends {
                    ObservedPhase::Succeeded
                } else {
                    ObservedPhase::Running
                },
                used: task.declared,
            }
        });
        reports.push((vm, seen.collect::<Vec<_>>()));
    }
    for (vm, report) in reports {
        sched.on_report(vm, &report, now, now);
    }
}

fn accept(sched: &mut Scheduler, out: &Decisions, now: Instant) {
    for start in &out.starts {
        sched.on_start(&start.key, start.attempt, StartOutcome::Accepted, now);
    }
}

fn measure(size: &Size) -> Row {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut now = Instant::now();
    let mut sched = Scheduler::new(Config::default());
    sched.set_catalogue(&catalogue(size));
    sched.set_workers(&workers(size), now);
    let teams: Vec<TeamName> = (0..size.teams).map(|i| name("t", i)).collect();
    grant(&mut sched, &teams, now);
    let mut keys = 0;
    let top_up = |sched: &mut Scheduler, rng: &mut StdRng, keys: &mut usize, now| {
        while waiting(sched) < size.waiting {
            *keys += 1;
            sched.submit(&task(rng, *keys, size), now).expect("taken");
        }
    };
    top_up(&mut sched, &mut rng, &mut keys, now);
    let mut out = Decisions::new();
    let begin = Instant::now();
    sched.round(now, &mut out);
    let first = begin.elapsed();
    let starts = out.starts.len();
    // Filled up, with the usage known.
    for _ in 0..60 {
        accept(&mut sched, &out, now);
        now += Duration::from_secs(1);
        grant(&mut sched, &teams, now);
        report_all(&mut sched, now, 0);
        sched.round(now, &mut out);
    }
    top_up(&mut sched, &mut rng, &mut keys, now);
    sched.round(now, &mut out);
    let full = timed(&mut sched, &mut now, &teams, 0);
    let busy = timed(&mut sched, &mut now, &teams, 10);
    Row {
        first,
        starts,
        full: full[ROUNDS / 2],
        full_worst: full[ROUNDS - 1],
        busy: busy[ROUNDS / 2],
        cancel_each: cancel_wave(&mut sched, keys),
    }
}

fn waiting(sched: &Scheduler) -> usize {
    sched
        .state()
        .lanes
        .iter()
        .map(|(_, lane)| lane.waiting)
        .sum()
}

/// The times of rounds in order; before each, one in `end_one_in` running tasks ends.
fn timed(
    sched: &mut Scheduler,
    now: &mut Instant,
    teams: &[TeamName],
    end_one_in: usize,
) -> Vec<Duration> {
    let mut out = Decisions::new();
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            *now += Duration::from_millis(250);
            grant(sched, teams, *now);
            report_all(sched, *now, end_one_in);
            let begin = Instant::now();
            sched.round(*now, &mut out);
            let time = begin.elapsed();
            accept(sched, &out, *now);
            time
        })
        .collect();
    times.sort_unstable();
    times
}

fn cancel_wave(sched: &mut Scheduler, keys: usize) -> Duration {
    let begin = Instant::now();
    for key in 1..=keys {
        sched.cancel(&TaskKey::new(key as u128));
    }
    begin.elapsed() / u32::try_from(keys.max(1)).unwrap_or(u32::MAX)
}

/// The sizes that are measured: letter 1's, and each of its dimensions by itself.
const ROWS: [Size; 9] = [
    LETTER,
    Size { pools: 1, ..LETTER },
    Size {
        workers: 750,
        accelerators: 1050,
        ..LETTER
    },
    Size {
        workers: 3000,
        accelerators: 4200,
        ..LETTER
    },
    Size {
        teams: 50,
        ..LETTER
    },
    Size {
        teams: 200,
        ..LETTER
    },
    Size {
        waiting: 25_000,
        ..LETTER
    },
    Size {
        waiting: 100_000,
        ..LETTER
    },
    Size {
        workers: 136,
        accelerators: 192,
        teams: 100,
        waiting: 4545,
        pools: 20,
    },
];

fn main() {
    println!(
        "| workers | accelerators | teams | waiting | pools | empty fleet ms | starts | full ms | full worst ms | 1 in 10 ends ms | cancel ns |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for size in ROWS {
        let row = measure(&size);
        let ms = |time: Duration| time.as_secs_f64() * 1000.0;
        println!(
            "| {} | {} | {} | {} | {} | {:.2} | {} | {:.2} | {:.2} | {:.2} | {} |",
            size.workers,
            size.accelerators,
            size.teams,
            size.waiting,
            size.pools,
            ms(row.first),
            row.starts,
            ms(row.full),
            ms(row.full_worst),
            ms(row.busy),
            row.cancel_each.as_nanos()
        );
    }
}
