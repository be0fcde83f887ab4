//! How near each team comes to its share, and who waits for it, when all is full and every size is wrong.
//!
//! `cargo run --release -p goldcrest-bench --bin share` prints a table: the scheduler beside first in first out, strict
//! priority and round-robin over teams, each on the same seeded trace. Sizes and run times are off by up to a factor
//! of four either way, reports lag, one worker fails all it starts. Options: `--workers N`, `--minutes N`, `--seed N`, `--backlog N`,
//! `--scheduler-only`, `--by-team` for the teams that are farthest off.

mod policy;
mod sim;
mod teams;

use std::time::{Duration, Instant};

use goldcrest_sched::{Availability, Config, Decisions, Scheduler, WorkerSpec};
use goldcrest_types::catalogue::{
    Access, Catalogue, CatalogueSpec, Class, DcSpec, PoolKind, PoolSpec, QueueLimits, QueueSpec,
    TeamSpec,
};
use goldcrest_types::units::{
    Accelerators, Bytes, CpuMillis, Resources, Revision, Share, Slots, VmCount,
};
use policy::{Order, Ours, Policy, baseline};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sim::{CAPACITY, Error, REPORT_TICKS, Sim, SimTask, TICK, Usage};
use teams::TeamMinute;

const TEAMS: usize = 100;
/// Teams with an upper limit below their share.
const LIMITED_TEAMS: usize = 5;
const WARM_UP_MINUTES: usize = 3;
/// The tasks that wait for each team at any time.
const BACKLOG: usize = 200;
const TICKS_A_MINUTE: usize = 240;
/// The wait after which a backfill that was overtaken counts as starved.
const STARVED: Duration = Duration::from_mins(5);
const BACKFILL_EVERY_TICKS: usize = 20;

/// What a run is made of.
#[derive(Debug, Clone, Copy)]
struct Setting {
    workers: usize,
    minutes: usize,
    seed: u64,
    backlog: usize,
}

/// What a run shows.
#[derive(Debug, Default)]
struct Figures {
    /// Each team in each minute.
    minutes: Vec<TeamMinute>,
    urgent_waits: Vec<Duration>,
    urgent_unstarted: usize,
    interactive_waits: Vec<Duration>,
    backfills: usize,
    backfills_ended: usize,
    backfill_wait_worst: Duration,
    /// Backfills that have waited for [`STARVED`], still wait, and were overtaken.
    backfills_starved: usize,
    /// The most later tasks of its own queue and team that started before one backfill.
    backfill_overtaken: usize,
    ended: usize,
    moves: u32,
    used_percent: f64,
    bad_worker_failures: usize,
    rounds: Vec<Duration>,
    most_over_limit: u32,
}

fn name<T: std::str::FromStr>(prefix: &str, index: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}{index}").parse().expect("a name")
}

fn weight(team: usize) -> u32 {
    1 + u32::try_from(team % 4).unwrap_or(0)
}

fn limits(setting: &Setting) -> Vec<Slots> {
    let low = u32::try_from(setting.workers / 50).unwrap_or(1).max(1);
    (0..TEAMS)
        .map(|team| Slots::new(if team < LIMITED_TEAMS { low } else { 1_000_000 }))
        .collect()
}

fn catalogue() -> Catalogue {
    let mut spec = CatalogueSpec::default();
    spec.data_centres.push(DcSpec {
        name: name("dc", 1),
        region: name("r", 1),
    });
    spec.pools.push(PoolSpec {
        name: name("p", 1),
        kind: PoolKind::Workers,
        min_vms: VmCount::ZERO,
        max_vms: VmCount::MAX,
        max_unavailable_vms: VmCount::new(1),
        vm_slots: Slots::ZERO,
    });
    for team in 0..TEAMS {
        spec.teams.push(TeamSpec {
            name: name("t", team),
            share: Share::new(weight(team)),
            upper_limit_slots: Slots::new(1_000_000),
        });
        for class in Class::ALL {
            spec.queues.push(QueueSpec {
                name: name("q", team * 3 + class.index()),
                owner: name("t", team),
                class,
                pool: name("p", 1),
                access: Access::Keyed,
                limits: QueueLimits::default(),
            });
        }
    }
    Catalogue::resolve(&spec, Revision::new(1)).expect("a whole catalogue")
}

fn ours(setting: &Setting, now: Instant) -> Policy {
    let mut sched = Scheduler::new(Config::default());
    sched.set_catalogue(&catalogue());
    let workers: Vec<WorkerSpec> = (0..setting.workers)
        .map(|i| WorkerSpec {
            name: name("w", i),
            dc: name("dc", 1),
            rack: name("r", i / 4),
            pool: name("p", 1),
            capacity: CAPACITY,
            availability: Availability::Open,
        })
        .collect();
    sched.set_workers(&workers, now);
    Policy::Scheduler(Box::new(Ours {
        sched,
        out: Decisions::new(),
        teams: (0..TEAMS).map(|i| name("t", i)).collect(),
        queues: (0..TEAMS)
            .map(|i| [0, 1, 2].map(|class| name("q", i * 3 + class)))
            .collect(),
        workers: workers.into_iter().map(|worker| worker.name).collect(),
        limits: limits(setting),
        rounds: Vec::new(),
    }))
}

/// Draws the tasks of a trace.
struct Trace {
    rng: StdRng,
    errors: Vec<[Error; 3]>,
    waiting: Vec<usize>,
    backlog: usize,
    first_unstarted: usize,
}

impl Trace {
    fn new(setting: &Setting) -> Self {
        let mut rng = StdRng::seed_from_u64(setting.seed);
        let errors = (0..TEAMS)
            .map(|_| [0; 3].map(|_| Error::draw(&mut rng)))
            .collect();
        Self {
            rng,
            errors,
            waiting: vec![0; TEAMS],
            backlog: setting.backlog,
            first_unstarted: 0,
        }
    }

    fn task(&mut self, team: usize, class: Class, is_backfill: bool, now: Instant) -> SimTask {
        let rng = &mut self.rng;
        let (cpu, run_s) = match (class, is_backfill) {
            (_, true) => (4000, rng.random_range(60..240)),
            (Class::Urgent, _) => (1000, rng.random_range(5..10)),
            (Class::Interactive, _) => (rng.random_range(250..1000), rng.random_range(5..20)),
            (Class::Batch, _) => (rng.random_range(500..2000), rng.random_range(10..60)),
        };
        let memory_mib = rng.random_range(256..1024);
        let error = self.errors[team][class.index()];
        let declared_run = Duration::from_secs(run_s);
        SimTask {
            team,
            class,
            declared: Resources::new(
                CpuMillis::new(cpu),
                Bytes::new(u64::from(memory_mib) << 20),
                Accelerators::ZERO,
            ),
            truth: error.truth(rng, cpu, memory_mib),
            declared_run,
            rest_s: error.run_s(rng, declared_run),
            submitted: now,
            first_start: None,
            ended: None,
            checkpointable: is_backfill || rng.random_bool(0.5),
            is_backfill,
            moves: 0,
        }
    }

    /// Adds the tasks of one tick: each team's backlog is filled up, some urgent tasks and a backfill come.
    fn arrive(&mut self, sim: &mut Sim, policy: &mut Policy, tick: usize) {
        self.count_waiting(sim);
        for team in 0..TEAMS {
            for _ in self.waiting[team]..self.backlog {
                let class = if self.rng.random_bool(0.3) {
                    Class::Interactive
                } else {
                    Class::Batch
                };
                self.add(sim, policy, team, class, false);
            }
        }
        if self.rng.random_bool(0.5) {
            let team = self.rng.random_range(LIMITED_TEAMS..TEAMS);
            self.add(sim, policy, team, Class::Urgent, false);
        }
        if tick.is_multiple_of(BACKFILL_EVERY_TICKS) {
            let team = self.rng.random_range(LIMITED_TEAMS..TEAMS);
            self.add(sim, policy, team, Class::Batch, true);
        }
    }

    fn add(&mut self, sim: &mut Sim, policy: &mut Policy, team: usize, class: Class, long: bool) {
        let task = self.task(team, class, long, sim.now);
        sim.tasks.push(task);
        policy.submit(sim, sim.tasks.len() - 1);
    }

    fn count_waiting(&mut self, sim: &Sim) {
        self.waiting.fill(0);
        let is_started = |task: &SimTask| task.first_start.is_some();
        while sim.tasks.get(self.first_unstarted).is_some_and(is_started) {
            self.first_unstarted += 1;
        }
        for task in &sim.tasks[self.first_unstarted..] {
            if task.first_start.is_none() && task.class != Class::Urgent && !task.is_backfill {
                self.waiting[task.team] += 1;
            }
        }
    }
}

fn run(setting: &Setting, mut policy: Policy) -> Figures {
    let mut sim = Sim::new(setting.workers);
    let mut trace = Trace::new(setting);
    let mut figures = Figures::default();
    let mut usage = Usage::new(TEAMS, sim.now);
    let limits = limits(setting);
    sim.workers[setting.workers / 2].is_bad = true;
    for tick in 0..setting.minutes * TICKS_A_MINUTE {
        trace.arrive(&mut sim, &mut policy, tick);
        sim.step(&mut usage);
        for worker in (tick % REPORT_TICKS..setting.workers).step_by(REPORT_TICKS) {
            let report = sim.report(worker);
            policy.report(&sim, worker, &report);
        }
        policy.round(&mut sim);
        figures.most_over_limit = figures.most_over_limit.max(over_limit(&sim, &limits));
        if (tick + 1).is_multiple_of(TICKS_A_MINUTE) {
            let minute = tick / TICKS_A_MINUTE;
            if minute >= WARM_UP_MINUTES {
                close_minute(&usage, minute, setting, &mut figures);
            }
            usage = Usage::new(TEAMS, sim.now);
        }
    }
    figures.bad_worker_failures = sim.workers[setting.workers / 2].failed;
    if let Policy::Scheduler(ours) = &policy {
        figures.rounds.clone_from(&ours.rounds);
        figures.rounds.sort_unstable();
    }
    close(&sim, &mut figures);
    figures
}

/// By how many tasks a team is above its upper limit, at most.
fn over_limit(sim: &Sim, limits: &[Slots]) -> u32 {
    let mut running = vec![0_u32; TEAMS];
    for one in sim.workers.iter().flat_map(|worker| &worker.tries) {
        running[sim.tasks[one.task].team] += 1;
    }
    let over = running
        .iter()
        .zip(limits)
        .map(|(count, limit)| count.saturating_sub(limit.get()));
    over.max().unwrap_or(0)
}

fn close_minute(usage: &Usage, minute: usize, setting: &Setting, figures: &mut Figures) {
    let ticks = setting.workers * TICKS_A_MINUTE;
    figures
        .minutes
        .extend(teams::of_minute(usage, minute, ticks));
    let cpu: f64 = usage
        .used
        .iter()
        .map(|used| f64::from(used.cpu_millis.get()))
        .sum();
    let minutes = f64::from(u32::try_from(setting.minutes - WARM_UP_MINUTES).unwrap_or(1));
    let ticks = f64::from(u32::try_from(ticks).unwrap_or(u32::MAX));
    figures.used_percent += 100.0 * cpu / f64::from(CAPACITY.cpu_millis.get()) / ticks / minutes;
}

fn close(sim: &Sim, figures: &mut Figures) {
    let begin =
        sim.begin + TICK * u32::try_from(WARM_UP_MINUTES * TICKS_A_MINUTE).unwrap_or(u32::MAX);
    for task in sim.tasks.iter().filter(|task| task.submitted >= begin) {
        let waited = task.first_start.unwrap_or(sim.now) - task.submitted;
        figures.moves += task.moves;
        figures.ended += usize::from(task.ended.is_some());
        match task.class {
            // The last tasks have not had their time.
            Class::Urgent if sim.now - task.submitted < Duration::from_secs(10) => {}
            Class::Urgent => {
                figures.urgent_unstarted += usize::from(task.first_start.is_none());
                figures.urgent_waits.push(waited);
            }
            Class::Interactive => figures.interactive_waits.push(waited),
            Class::Batch => {}
        }
    }
    for task in sim.tasks.iter().filter(|task| task.is_backfill) {
        figures.backfills += 1;
        figures.backfills_ended += usize::from(task.ended.is_some());
        let waited = task.first_start.unwrap_or(sim.now) - task.submitted;
        figures.backfill_wait_worst = figures.backfill_wait_worst.max(waited);
        let overtaken = overtaken(sim, task);
        figures.backfill_overtaken = figures.backfill_overtaken.max(overtaken);
        let is_starved = task.first_start.is_none() && waited >= STARVED && overtaken > 0;
        figures.backfills_starved += usize::from(is_starved);
    }
    figures.urgent_waits.sort_unstable();
    figures.interactive_waits.sort_unstable();
}

/// How many later tasks of the same queue and team started before `task`.
fn overtaken(sim: &Sim, task: &SimTask) -> usize {
    let start = task.first_start.unwrap_or(sim.now);
    let passes = |other: &&SimTask| {
        other.team == task.team
            && other.class == task.class
            && other.submitted > task.submitted
            && other.first_start.is_some_and(|at| at < start)
    };
    sim.tasks.iter().filter(passes).count()
}

/// The value that `percent` of a sorted list do not pass.
fn at<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get(last * percent / 100)
        .copied()
        .unwrap_or_default()
}

fn print(label: &str, figures: &Figures) {
    let devs = teams::sorted(&figures.minutes, TeamMinute::off);
    let bounds = teams::sorted(&figures.minutes, TeamMinute::bound);
    println!(
        "| {label} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {} | {:.0} | {}/{} | {:.0} | {} | {} | {:.1} | {} | {} | {} | {} | {:.1} | {:.1} |",
        100.0 * teams::mean(&devs),
        100.0 * at(&devs, 95),
        100.0 * at(&devs, 100),
        100.0 * teams::mean(&bounds),
        100.0 * at(&bounds, 100),
        at(&figures.urgent_waits, 99).as_secs_f64(),
        at(&figures.urgent_waits, 100).as_secs_f64(),
        figures.urgent_unstarted,
        at(&figures.interactive_waits, 99).as_secs_f64(),
        figures.backfills_ended,
        figures.backfills,
        figures.backfill_wait_worst.as_secs_f64(),
        figures.backfill_overtaken,
        figures.backfills_starved,
        figures.used_percent,
        figures.ended,
        figures.moves,
        figures.bad_worker_failures,
        figures.most_over_limit,
        at(&figures.rounds, 50).as_secs_f64() * 1000.0,
        at(&figures.rounds, 99).as_secs_f64() * 1000.0,
    );
}

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let setting = Setting {
        workers: args.value_from_str("--workers").unwrap_or(1500),
        minutes: args.value_from_str("--minutes").unwrap_or(12),
        seed: args.value_from_str("--seed").unwrap_or(1),
        backlog: args.value_from_str("--backlog").unwrap_or(BACKLOG),
    };
    println!("{setting:?}");
    println!(
        "| candidate | share off mean % | p95 % | worst % | bound mean % | bound worst % | urgent p99 s | worst s | not started | interactive p99 s | backfills ended | worst wait s | overtaken by | starved | used % | ended | moves | bad worker's failures | above limit | round p50 ms | p99 ms |"
    );
    println!("|{}", " --- |".repeat(21));
    let limits = limits(&setting);
    let figures = run(&setting, ours(&setting, Instant::now()));
    print("scheduler", &figures);
    if args.contains("--by-team") {
        teams::print(&figures.minutes);
    }
    if args.contains("--scheduler-only") {
        return;
    }
    for order in [Order::Fifo, Order::StrictPriority, Order::TeamRoundRobin] {
        let policy = baseline(order, setting.workers, &limits);
        print(&format!("{order:?}"), &run(&setting, policy));
    }
}
