//! Roll-out time, task moves and budgets of maintenance waves, over seeded traces with correlated failures.
//!
//! `cargo run --release -p goldcrest-bench --bin rollout -- [--waves N] [--seed N] [--tasks short|long]` prints one table for each size.

mod fake;
mod trace;

use std::time::{Duration, Instant};

use fake::{Fake, Outcome};
use goldcrest_upkeep::maintenance::Context;
use trace::{Faults, Load, Size, Trace};

const WAVES: u64 = 1_000;
const SEED: u64 = 1;

/// Waves that run side by side.
const THREADS: usize = 4;

/// How the next steps are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Candidate {
    /// One VM of the whole fleet at a time.
    Serial,
    /// Batches as wide as the budgets; the next begins when the last is back.
    Batches,
    /// The plan of the crate.
    Plan,
    /// The plan, with a catalogue where an hour of roll-out weighs as much as 50 moves.
    Hasty,
}

impl Candidate {
    const ALL: [Self; 4] = [Self::Serial, Self::Batches, Self::Plan, Self::Hasty];

    /// The part of the waves that is run: a baseline needs fewer for a mean.
    fn waves(self, waves: u64) -> u64 {
        match self {
            Self::Plan => waves,
            Self::Serial | Self::Batches | Self::Hasty => waves.div_ceil(20),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Serial => "one at a time",
            Self::Batches => "batches",
            Self::Plan => "plan",
            Self::Hasty => "plan, hasty weights",
        }
    }

    /// Leaves out those drains of the plan that the baseline would not begin yet.
    fn keep(self, fake: &Fake, begun: usize) -> bool {
        match self {
            Self::Plan | Self::Hasty => true,
            Self::Serial => fake.in_work() + begun == 0,
            Self::Batches => fake.in_work() == 0,
        }
    }
}

/// Sums over many waves.
#[derive(Debug, Default)]
struct Totals {
    waves: u64,
    unfinished: u64,
    violations: u64,
    overrun_s: u64,
    moved: u64,
    cut: u64,
    failed: u64,
    ratios: Vec<f64>,
    task_ratios: Vec<f64>,
    turn_ratios: Vec<f64>,
    fault_ratios: Vec<f64>,
    hours: f64,
    bound_hours: f64,
    plans: u64,
    plan_time: Duration,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        self.waves += 1;
        self.unfinished += u64::from(!outcome.is_done);
        self.violations += outcome.violations;
        self.overrun_s += outcome.overrun_s;
        self.moved += outcome.moved;
        self.cut += outcome.cut;
        self.failed += outcome.failed;
        self.hours += hours(outcome.took);
        self.bound_hours += hours(outcome.bound);
        let to = |bound: Duration| outcome.took.as_secs_f64() / bound.as_secs_f64();
        self.ratios.push(to(outcome.bound));
        self.task_ratios.push(to(outcome.task_bound));
        self.turn_ratios.push(to(outcome.turn_bound));
        self.fault_ratios.push(to(outcome.fault_bound));
        self.plans += outcome.plans;
        self.plan_time += outcome.plan_time;
    }

    fn print(&mut self, size: Size, faults: Faults, load: Load, candidate: Candidate) {
        let lists = [
            &mut self.ratios,
            &mut self.task_ratios,
            &mut self.turn_ratios,
            &mut self.fault_ratios,
        ];
        for ratios in lists {
            ratios.sort_by(f64::total_cmp);
        }
        let waves = self.waves.max(1);
        println!(
            "| {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {:.1} | {} | {} | {:.0} |",
            size.name(),
            faults.name(),
            load.name(),
            candidate.name(),
            self.waves,
            self.hours / per(waves),
            self.bound_hours / per(waves),
            at(&self.ratios, 50),
            at(&self.ratios, 95),
            at(&self.task_ratios, 50),
            at(&self.turn_ratios, 50),
            at(&self.fault_ratios, 50),
            at(&self.fault_ratios, 95),
            self.violations,
            self.overrun_s / waves,
            self.failed,
            per(self.moved) / per(waves),
            self.cut,
            self.unfinished,
            self.plan_time.as_secs_f64() * 1e6 / per(self.plans.max(1)),
        );
    }
}

/// The value that `percent` of a sorted list do not pass.
fn at(sorted: &[f64], percent: usize) -> f64 {
    sorted[(sorted.len() - 1) * percent / 100]
}

fn hours(time: Duration) -> f64 {
    time.as_secs_f64() / 3_600.0
}

fn per(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn main() -> Result<(), pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let waves = args.opt_value_from_str("--waves")?.unwrap_or(WAVES);
    let only: Option<String> = args.opt_value_from_str("--tasks")?;
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(SEED);
    println!(
        "| size | faults | tasks | candidate | waves | hours | bound | ratio p50 | p95 | to task bound | to turn bound | to fault bound p50 | p95 | violations | over budget s \
         | failed | tasks moved | cut | unfinished | plan us |"
    );
    println!("|{}", "---|".repeat(20));
    for size in Size::ALL {
        for faults in Faults::ALL {
            let chosen = |load: &Load| only.as_deref().is_none_or(|name| name == load.name());
            for load in Load::ALL.into_iter().filter(chosen) {
                for candidate in Candidate::ALL {
                    let waves = candidate.waves(size.waves(waves));
                    run(size, faults, load, candidate, waves, seed);
                }
            }
        }
    }
    Ok(())
}

fn run(size: Size, faults: Faults, load: Load, candidate: Candidate, waves: u64, seed: u64) {
    let one = |wave: u64| one_wave(Trace::new(size, faults, load, seed + wave), candidate);
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let part = |thread: u64| {
            (thread..waves)
                .step_by(THREADS)
                .map(one)
                .collect::<Vec<_>>()
        };
        let threads = (0..THREADS as u64).map(|thread| scope.spawn(move || part(thread)));
        let threads: Vec<_> = threads.collect();
        let outcomes = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        outcomes
            .flat_map(|part| part.expect("a thread that ended"))
            .collect()
    });
    let mut totals = Totals::default();
    for outcome in &outcomes {
        totals.add(outcome);
    }
    totals.print(size, faults, load, candidate);
}

fn one_wave(trace: Trace, candidate: Candidate) -> Outcome {
    let mut fake = Fake::new(trace);
    if candidate == Candidate::Hasty {
        fake.cat.weights.roll_out_hour = 50 * fake.cat.weights.one_move;
    }
    let mut ctx = Context::new();
    while !fake.is_over() {
        if fake.take_crash() {
            ctx = Context::new();
        }
        let begin = Instant::now();
        let steps = ctx.plan(&fake.fleet, &fake.cat, fake.now);
        let took = begin.elapsed();
        let steps = steps.to_vec();
        fake.carry_out(&steps, took, |fake, begun| candidate.keep(fake, begun));
        fake.pass();
    }
    fake.outcome()
}
