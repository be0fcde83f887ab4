//! A seeded run of faults against two entries, with a table of what became of every request.
//!
//! `cargo run --release -p goldcrest-bench --bin faultrun -- [--seed N] [--requests N]`
//!
//! Every request carries a number. The upstreams count how often each number ran, and the callers note what they were
//! told; the table sets the two against each other. A POST that broke off or whose outcome is unknown is sent again
//! through another entry with the same idempotency key. The run fails if a request that is not idempotent ran twice, if a
//! request that was refused as "not run" ran, if a caller got another request's answer, or if a planned stop cut one.

mod caller;
mod entry;
mod upstream;

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_front::KeyFreshness;

use caller::{Load, Told};
use entry::Entries;
use upstream::{Fault, Pool};

type AnyError = Box<dyn Error + Send + Sync>;

/// Upstreams of the pool.
const UPSTREAMS: usize = 4;
/// Requests a second outside bursts.
const RATE: f64 = 1_000.0;

/// One kind of fault, which comes after a third of the requests and goes after two thirds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    None,
    UpstreamKilled,
    UpstreamRefusing,
    UpstreamSlow,
    UpstreamCrossed,
    UpstreamCutOff,
    Burst,
    KeysNotFresh,
    EntryDrained,
    EntryRestarted,
    EntryKilled,
}

impl Scenario {
    const ALL: [(Self, &'static str); 11] = [
        (Self::None, "none"),
        (Self::UpstreamKilled, "upstream killed"),
        (Self::UpstreamRefusing, "upstream refusing"),
        (Self::UpstreamSlow, "upstream slow (400 ms)"),
        (Self::UpstreamCrossed, "upstream answering crossed"),
        (Self::UpstreamCutOff, "upstream cutting off mid-answer"),
        (Self::Burst, "burst of five times the mean"),
        (Self::KeysNotFresh, "keys not known to be fresh"),
        (Self::EntryDrained, "entry drained"),
        (Self::EntryRestarted, "entry drained and restarted"),
        (Self::EntryKilled, "entry killed"),
    ];
}

/// One row of the table.
#[derive(Debug, Default)]
struct Row {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    broken: usize,
    run_twice: usize,
    refused_but_ran: usize,
    foreign: usize,
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut args = pico_args::Arguments::from_env();
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let requests: usize = args.opt_value_from_str("--requests")?.unwrap_or(3_000);
    println!(
        "seed {seed}, {requests} requests a fault, two entries, {UPSTREAMS} upstreams, half of the requests POST"
    );
    println!();
    println!(
        "| fault | sent | answered | refused \"not run\" | unknown | connection broken | run twice, not idempotent | refusals that ran | foreign answers |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut holds = true;
    for (scenario, name) in Scenario::ALL {
        let row = run(scenario, seed, requests).await?;
        println!(
            "| {name} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.sent,
            row.answered,
            row.not_run,
            row.unknown,
            row.broken,
            row.run_twice,
            row.refused_but_ran,
            row.foreign
        );
        let is_planned = matches!(scenario, Scenario::EntryDrained | Scenario::EntryRestarted);
        let cut = if is_planned { row.broken } else { 0 };
        let ended = row.answered + row.not_run + row.unknown + row.broken;
        holds &= row.run_twice + row.refused_but_ran + row.foreign + cut == 0;
        holds &= ended == row.sent;
    }
    if holds {
        return Ok(());
    }
    Err("a promise is broken: see the row whose last columns are not 0".into())
}

async fn run(scenario: Scenario, seed: u64, requests: usize) -> Result<Row, AnyError> {
    let pool = Pool::start(UPSTREAMS).await?;
    let mut entries = Entries::start(&pool.addresses())?;
    let load = Load::new(seed, requests, RATE, scenario == Scenario::Burst);
    let (begins, ends) = load.fault_window();
    let told = tokio::spawn(caller::send(load, entries.addresses()));
    tokio::time::sleep(begins).await;
    begin(scenario, &pool, &mut entries).await?;
    tokio::time::sleep(ends.saturating_sub(begins)).await;
    end(scenario, &pool, &entries);
    let told = told.await??;
    entries.stop();
    Ok(account(&told, &pool))
}

async fn begin(scenario: Scenario, pool: &Pool, entries: &mut Entries) -> Result<(), AnyError> {
    match scenario {
        Scenario::None | Scenario::Burst => {}
        Scenario::UpstreamKilled => pool.kill(0),
        Scenario::UpstreamRefusing => pool.set(0, Fault::Refuses),
        Scenario::UpstreamSlow => pool.set(0, Fault::Slow(Duration::from_millis(400))),
        Scenario::UpstreamCrossed => pool.set(0, Fault::Crosses),
        Scenario::UpstreamCutOff => pool.set(0, Fault::CutsOff),
        Scenario::KeysNotFresh => entries.set_freshness(KeyFreshness { until: None }),
        Scenario::EntryDrained => entries.drain(0).await?,
        Scenario::EntryRestarted => {
            entries.drain(0).await?;
            entries.restart(0)?;
        }
        Scenario::EntryKilled => entries.kill(0),
    }
    Ok(())
}

fn end(scenario: Scenario, pool: &Pool, entries: &Entries) {
    pool.set(0, Fault::None);
    if scenario == Scenario::KeysNotFresh {
        entries.set_freshness(entry::fresh());
    }
}

fn account(told: &[caller::Told], pool: &Arc<Pool>) -> Row {
    let mut row = Row::default();
    for (number, told) in told.iter().enumerate() {
        let runs = pool.runs(number);
        row.sent += 1;
        match told {
            Told::Answered => row.answered += 1,
            Told::NotRun => row.not_run += 1,
            Told::Unknown => row.unknown += 1,
            Told::Broken => row.broken += 1,
            Told::Foreign => row.foreign += 1,
        }
        row.run_twice += usize::from(!caller::is_idempotent(number) && runs > 1);
        row.refused_but_ran += usize::from(*told == Told::NotRun && runs > 0);
    }
    row
}
