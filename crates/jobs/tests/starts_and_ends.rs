//! Random days of a pool whose workers restart, move and are cut off around the starts and ends of runs.
//!
//! `PLAYER_SEEDS=FROM..TO` plays other seeds, `PLAYER_TRACE=1` prints the trace of each breach, `PLAYER_ALL=1` also names those
//! that no scheduler could have avoided.

mod restarting_fleet;

use std::collections::BTreeMap;
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};

use restarting_fleet::Sim;

/// The seeds that are played by default.
const SEEDS: Range<u64> = 0..1_200;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("PLAYER_SEEDS") else {
        return SEEDS;
    };
    let bounds = text.split_once("..").expect("FROM..TO");
    let bound = |text: &str| text.parse().expect("a seed");
    bound(bounds.0)..bound(bounds.1)
}

/// Plays a seed again and prints all that happens.
fn print_all(seed: u64) {
    let mut sim = Sim::new(seed, true);
    let _ = catch_unwind(AssertUnwindSafe(|| sim.play()));
    for line in sim.trace() {
        println!("    {line}");
    }
}

/// Guards against a task that runs on two workers, one that starts again after its acknowledged end, and a job that never
/// ends.
#[test]
fn random_days_hold() {
    let is_traced = std::env::var("PLAYER_TRACE").is_ok();
    let is_all = std::env::var("PLAYER_ALL").is_ok();
    let mut counts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut starts = 0;
    for seed in seeds() {
        let mut sim = Sim::new(seed, false);
        let played = catch_unwind(AssertUnwindSafe(|| sim.play()));
        let Ok(breaches) = played else {
            // The pool checks its own invariants after each plan.
            println!("seed {seed}: panic");
            counts.entry("PANIC".into()).or_default().push(seed);
            if is_traced {
                print_all(seed);
            }
            continue;
        };
        starts += sim.starts();
        for breach in &breaches {
            let left_out = if breach.class.is_left_out() {
                "left out: "
            } else {
                ""
            };
            let kind = format!("{left_out}{} {:?}", breach.rule, breach.class);
            counts.entry(kind).or_default().push(seed);
        }
        if !sim.open_jobs().is_empty() {
            println!("seed {seed}: not ended: {:?}", sim.open_jobs());
            counts.entry("STUCK".into()).or_default().push(seed);
        }
        for job in sim.miscounted() {
            println!("seed {seed}: given up by one run that counted as several: {job}");
            counts.entry("MISCOUNTED".into()).or_default().push(seed);
            if is_traced {
                print_all(seed);
            }
        }
        let first = breaches
            .iter()
            .find(|breach| is_all || !breach.class.is_left_out());
        if let Some(breach) = first {
            println!("seed {seed}: {:.3} s {}", breach.seconds(), breach.text);
            if is_traced {
                let mut again = Sim::new(seed, true);
                again.play();
                for line in again.trace_of(breach) {
                    println!("    {line}");
                }
            }
        }
    }
    println!("{starts} starts");
    for (kind, seeds) in &counts {
        println!("{kind}: {} {seeds:?}", seeds.len());
    }
    counts.retain(|kind, _| !kind.starts_with("left out"));
    assert!(counts.is_empty(), "{counts:?}");
}
