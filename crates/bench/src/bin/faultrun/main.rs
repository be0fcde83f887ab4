//! A seeded run of faults against three whole entries, with a table of what became of every request.
//!
//! `cargo run --release -p goldcrest-bench --bin faultrun -- [--seed N] [--requests N] [--only TEXT]`
//!
//! Every request carries a number. The upstreams count how often each number ran, and the callers note what they were
//! told; the table sets the two against each other. A POST that broke off or whose outcome is unknown is sent again
//! through another entry with the same idempotency key. The run fails if a request that is not idempotent ran twice, if a
//! request that was refused as "not run" ran, if a caller got another request's answer, if a planned stop cut one, if an
//! outage of the key-value service for all refused one, or if a data centre that is cut off refused open work or no keyed
//! work at all. It also fails if an upstream's fault befell no request, since the row would show nothing then.

mod caller;
mod scenario;
mod site;
mod upstream;

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;

use tokio::time::sleep;

use caller::{Callers, Told};
use scenario::{Fault, Scenario};
use site::Site;
use upstream::Pool;

type AnyError = Box<dyn Error + Send + Sync>;

/// Upstreams of the pool.
const UPSTREAMS: usize = 6;
/// Rows whose entries are started at one time.
const ROWS_AT_ONCE: usize = 4;

/// One row of the table.
#[derive(Debug, Default)]
struct Row {
    sent: usize,
    answered: usize,
    not_run: usize,
    not_run_open: usize,
    unknown: usize,
    broken: usize,
    run_twice: usize,
    refused_but_ran: usize,
    foreign: usize,
    /// Requests that the struck upstream has taken: before it was killed, or while it did something wrong.
    struck: usize,
    codes: BTreeMap<Box<str>, usize>,
}

/// A row that is ready to run.
struct Stage {
    scenario: Scenario,
    pool: Arc<Pool>,
    site: Site,
    callers: Callers,
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut args = pico_args::Arguments::from_env();
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let requests: usize = args.opt_value_from_str("--requests")?.unwrap_or(3_000);
    let only: Option<String> = args.opt_value_from_str("--only")?;
    let is_wanted = |scenario: &Scenario| match &only {
        Some(text) => scenario.name.contains(text.as_str()),
        None => true,
    };
    let wanted: Vec<Scenario> = scenario::ALL.into_iter().filter(is_wanted).collect();
    print_head(seed, requests);
    let (light, steady): (Vec<Scenario>, Vec<Scenario>) =
        wanted.into_iter().partition(Scenario::is_light);
    let (long, slow): (Vec<Scenario>, Vec<Scenario>) =
        light.into_iter().partition(Scenario::is_long);
    // These send little, so they run beside the others.
    let (long, slow, steady) = tokio::join!(
        run_all(&long, seed, requests),
        run_all(&slow, seed, requests),
        run_all(&steady, seed, requests)
    );
    if long? & slow? & steady? {
        return Ok(());
    }
    Err("a promise is broken: see the row that is marked".into())
}

fn print_head(seed: u64, requests: usize) {
    println!(
        "seed {seed}, {requests} requests a fault, three entries in two data centres, {UPSTREAMS} upstreams, half of the requests POST"
    );
    println!();
    println!(
        "| fault | sent | answered | refused \"not run\" | of these open | unknown | connection broken | run twice, not idempotent | refusals that ran | foreign answers |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}

/// Runs rows one after another. Returns whether every promise held.
async fn run_all(scenarios: &[Scenario], seed: u64, requests: usize) -> Result<bool, AnyError> {
    let mut holds = true;
    for some in scenarios.chunks(ROWS_AT_ONCE) {
        let stages = some.iter().map(|scenario| Stage::build(*scenario));
        for stage in futures_util::future::join_all(stages).await {
            let stage = stage?;
            let scenario = stage.scenario;
            let row = stage.run(seed, requests).await?;
            let is_kept = row.holds(&scenario);
            row.print(&scenario, is_kept);
            holds &= is_kept;
        }
    }
    Ok(holds)
}

impl Stage {
    async fn build(scenario: Scenario) -> Result<Self, AnyError> {
        let pool = Pool::start(UPSTREAMS).await?;
        let site = Site::start(&pool.addresses(), scenario.repeat_window()).await?;
        let callers = Callers::new(site.addresses(), scenario.patience());
        site.settle(&callers).await?;
        Ok(Self {
            scenario,
            pool,
            site,
            callers,
        })
    }

    async fn run(mut self, seed: u64, requests: usize) -> Result<Row, AnyError> {
        let load = self.scenario.load(seed, requests);
        let (begins, lasts) = self.scenario.window(&load);
        let sending = tokio::spawn(self.callers.clone().send(load));
        let fault = async {
            sleep(begins).await;
            let (pool, callers) = (&self.pool, &self.callers);
            let began = self.scenario.begin(pool, &mut self.site, callers, lasts);
            began.await?;
            Ok::<_, AnyError>(())
        };
        let ((), fault) = tokio::join!(sleep(begins + lasts), fault);
        fault?;
        scenario::end(&self.pool, &self.site);
        let told = sending.await??;
        self.site.stop().await;
        Ok(account(&told, &self.pool))
    }
}

impl Row {
    /// Whether every promise held.
    fn holds(&self, scenario: &Scenario) -> bool {
        let ended = self.answered + self.not_run + self.unknown + self.broken + self.foreign;
        let mut holds = self.run_twice + self.refused_but_ran + self.foreign == 0;
        holds &= ended == self.sent;
        if scenario.strikes_upstream() {
            holds &= self.struck > 0;
        }
        if scenario.is_planned() {
            holds &= self.broken == 0;
        }
        if scenario.is_long() {
            holds &= self.not_run == 0;
        }
        if scenario.has(Fault::DcCutOff) {
            holds &= self.not_run > 0 && self.not_run_open == 0;
        }
        holds
    }

    fn print(&self, scenario: &Scenario, holds: bool) {
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            scenario.name,
            self.sent,
            self.answered,
            self.not_run,
            self.not_run_open,
            self.unknown,
            self.broken,
            self.run_twice,
            self.refused_but_ran,
            self.foreign
        );
        let codes: Vec<String> = self
            .codes
            .iter()
            .map(|(code, count)| format!("{code} {count}"))
            .collect();
        if scenario.strikes_upstream() {
            eprintln!(
                "  {}: taken by the struck upstream {}",
                scenario.name, self.struck
            );
        }
        if !codes.is_empty() {
            eprintln!("  {}: {}", scenario.name, codes.join(", "));
        }
        if !holds {
            eprintln!("  {}: BROKEN", scenario.name);
        }
    }
}

fn account(told: &[Told], pool: &Arc<Pool>) -> Row {
    let mut row = Row {
        struck: pool.struck(),
        ..Row::default()
    };
    for (number, told) in told.iter().enumerate() {
        let runs = pool.runs(number);
        row.sent += 1;
        match told {
            Told::Answered => row.answered += 1,
            Told::NotRun(code) => {
                row.not_run += 1;
                row.not_run_open += usize::from(caller::queue_of(number) == caller::OPEN_QUEUE);
                *row.codes.entry(code.clone()).or_default() += 1;
            }
            Told::Unknown(code) => {
                row.unknown += 1;
                *row.codes.entry(code.clone()).or_default() += 1;
            }
            Told::Broken => row.broken += 1,
            Told::Foreign => row.foreign += 1,
        }
        row.run_twice += usize::from(!caller::is_idempotent(number) && runs > 1);
        row.refused_but_ran += usize::from(matches!(told, Told::NotRun(_)) && runs > 0);
    }
    row
}
