//! Buffer, unmet demand and moves of every sizing policy, against a static size and an optimum that knows the future.
//!
//! `cargo run --release -p goldcrest-bench --bin sizing -- [--seed N]` prints one table.

mod candidate;
mod fake;
mod optimum;
mod trace;

use std::time::Instant;

use candidate::{Candidate, Decider};
use fake::{Fake, Tally};
use goldcrest_types::catalogue::Weights;
use trace::{Shape, Trace};

const SEED: u64 = 1;

/// The tally of one candidate, with the optimum at its unmet demand.
struct Row {
    tally: Tally,
    equal: Tally,
}

fn main() -> Result<(), pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(SEED);
    println!(
        "| trace | candidate | buffer VMh | unmet VMh | moves | cost | optimum's buffer at equal unmet | ratio | plan us |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for shape in Shape::ALL {
        let trace = Trace::new(shape, seed);
        for candidate in Candidate::all() {
            print_row(shape, &candidate.to_string(), &row(&trace, candidate));
        }
        let weights = Weights::default();
        let best = optimum::run(&trace, &weights, f64::from(weights.unmet_vm_hour));
        let equal = best.clone();
        print_row(shape, "optimum", &Row { tally: best, equal });
    }
    Ok(())
}

fn row(trace: &Trace, candidate: Candidate) -> Row {
    let tally = simulate(trace, candidate);
    let equal = optimum::at_equal_unmet(trace, &Weights::default(), tally.unmet_vm_hours);
    Row { tally, equal }
}

fn simulate(trace: &Trace, candidate: Candidate) -> Tally {
    let mut fake = Fake::new(trace);
    let mut decider = Decider::new(candidate);
    for tick in 0..trace.ticks() {
        fake.begin(tick);
        let begin = Instant::now();
        if let Some(moves) = decider.decide(&fake) {
            fake.carry_out(&moves, begin.elapsed());
        }
        fake.end();
    }
    fake.tally
}

fn print_row(shape: Shape, name: &str, row: &Row) {
    let Row { tally, equal } = row;
    println!(
        "| {} | {name} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} | {:.2} | {:.0} |",
        shape.name(),
        tally.buffer_vm_hours,
        tally.unmet_vm_hours,
        tally.moves,
        tally.cost(&Weights::default()),
        equal.buffer_vm_hours,
        tally.buffer_vm_hours / equal.buffer_vm_hours.max(0.01),
        tally.plan_us(),
    );
}
