//! Stand-ins and callers for entries of different builds side by side.
//!
//! The program starts no entry: `scripts/upgrade` starts, stops and kills `goldcrestd` processes with the settings files written here.
//! It serves the key-value service, the list of VMs, upstreams and workers of two data centres, and sends requests and tasks until it
//! gets SIGTERM. It then waits for the accepted tasks and prints what became of everything: exit code 0 if no request and no task was
//! lost, crossed or run twice.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes as Body;
use goldcrest_demo::callers::{Callers, Plan, Tally, Targets};
use goldcrest_demo::submitters::Submitter;
use goldcrest_ports::fleet::{VmPhase, VmRecord, VmRole};
use goldcrest_ports::http::HttpCaller;
use goldcrest_standin::upstream::CallBook;
use goldcrest_standin::worker::RunBook;
use goldcrest_standin::{FleetFake, KvFake, UpstreamFake, WorkerFake};
use goldcrest_types::names::{DcName, TaskKey};
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};
use http::{HeaderMap, Method, StatusCode};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The data centres. Entries are placed in them in turn.
const DCS: [&str; 2] = ["lis-a", "lis-b"];

/// Upstreams and workers of each data centre.
const UPSTREAMS: u32 = 6;
const WORKERS: u32 = 4;

/// How long a reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(800);

/// How far the list of VMs lags.
const LIST_LAG: Duration = Duration::from_millis(300);

/// The pause between two tasks.
const TASK_PAUSE: Duration = Duration::from_millis(150);

/// How often a task is submitted under the same key before it counts as not accepted.
const TRIES_MAX: usize = 12;

/// How long accepted tasks may take once nothing is submitted any more.
const COMPLETION_TIMEOUT: Duration = Duration::from_mins(1);

/// The most tasks that are printed.
const SHOWN_MAX: usize = 3;

/// How often the state of open tasks is queried.
const POLL: Duration = Duration::from_millis(200);

/// The longest wait for the callers' last requests, whose own bound is 20 s.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(25);

struct Options {
    folder: PathBuf,
    entries: u16,
    first_port: u16,
}

/// The address of an entry's listener. The offsets are those of the settings: callers, tasks, operators, peers.
fn address(first_port: u16, number: u16, offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], first_port + 10 * number + offset))
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let mut options = || {
        Ok::<_, pico_args::Error>(Options {
            folder: args.value_from_str("--folder")?,
            entries: args.value_from_str("--entries")?,
            first_port: args.value_from_str("--first-port")?,
        })
    };
    let options = match options() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("upgrade: {error}: use --folder FOLDER --entries N --first-port PORT");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(&options))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("upgrade: {error}");
            ExitCode::from(2)
        }
    }
}

/// The stand-ins. They serve until they are dropped.
struct Site {
    fleet: FleetFake,
    calls: Arc<CallBook>,
    runs: Arc<RunBook>,
    stop: CancellationToken,
    upstreams: Vec<UpstreamFake>,
    workers: Vec<WorkerFake>,
}

fn invalid(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error.to_string())
}

fn record(vm: &str, dc: &DcName, role: VmRole, address: SocketAddr) -> io::Result<VmRecord> {
    Ok(VmRecord {
        name: vm.parse().map_err(invalid)?,
        data_centre: dc.clone(),
        rack: format!("rack-{dc}").parse().map_err(invalid)?,
        role,
        address,
        phase: VmPhase::Live,
        resources: Resources::new(
            CpuMillis::new(16_000),
            Bytes::new(32 << 30),
            Accelerators::ZERO,
        ),
        boots: 1,
    })
}

impl Site {
    /// Starts the stand-ins and writes the entries' settings files.
    async fn start(options: &Options) -> io::Result<Self> {
        let mut site = Self {
            fleet: FleetFake::new(REBOOT_TIME, LIST_LAG),
            calls: Arc::default(),
            runs: Arc::default(),
            stop: CancellationToken::new(),
            upstreams: Vec::new(),
            workers: Vec::new(),
        };
        let kv = KvFake::new();
        let mut platform = BTreeMap::new();
        for text in DCS {
            let dc: DcName = text.parse().map_err(invalid)?;
            let store = kv.listen(dc.clone(), site.stop.clone()).await?;
            let list = site.fleet.listen(dc.clone(), site.stop.clone()).await?;
            platform.insert(text, (store, list));
            for number in 1..=UPSTREAMS {
                let fake = UpstreamFake::new(Arc::clone(&site.calls));
                let address = fake.listen(site.stop.clone()).await?;
                let vm = format!("up-{dc}-{number}");
                site.fleet.put(record(&vm, &dc, VmRole::Upstream, address)?);
                site.upstreams.push(fake);
            }
            for number in 1..=WORKERS {
                let fake = WorkerFake::new(Arc::clone(&site.runs));
                let address = fake.listen(site.stop.clone()).await?;
                let vm = format!("work-{dc}-{number}");
                site.fleet.put(record(&vm, &dc, VmRole::Worker, address)?);
                site.workers.push(fake);
            }
        }
        for number in 1..=options.entries {
            let text = DCS[usize::from(number) % DCS.len()];
            let dc: DcName = text.parse().map_err(invalid)?;
            let vm = format!("entry-{number}");
            let peer = address(options.first_port, number, 3);
            site.fleet.put(record(&vm, &dc, VmRole::Entry, peer)?);
            let file = options.folder.join(format!("entry-{number}.yaml"));
            std::fs::write(file, settings(options, number, text, platform[text]))?;
        }
        Ok(site)
    }
}

fn settings(
    options: &Options,
    number: u16,
    dc: &str,
    (store, list): (SocketAddr, SocketAddr),
) -> String {
    let mut text = String::new();
    // Writing to a text does not fail.
    let _ = write!(
        text,
        "\
entry:
  vm: entry-{number}
  data_centre: {dc}
  caller_address: {}
  task_address: {}
  operator_address: {}
  first_operator_digest: a7937b64b8caa58f03721bb6bacf5c78cb235febe0e70b1b84cd99541461a08e
platform:
  store_address: {store}
  fleet_address: {list}
  fleet_poll_ms: 300
  list_lag_max_ms: 2000
peers:
  address: {}
  secret: between-entries
  first_addresses: [{}]
store:
  calls_per_second: 50
stop:
  settle_ms: 300
log:
  format: json
",
        address(options.first_port, number, 0),
        address(options.first_port, number, 1),
        address(options.first_port, number, 2),
        address(options.first_port, number, 3),
        address(options.first_port, 1, 3),
    );
    text
}

fn plan(queue: &'static str, key: Option<&str>, is_idempotent: bool, delay_ms: u32) -> Plan {
    Plan {
        queue,
        key: key.map(Into::into),
        is_idempotent,
        delay_ms,
    }
}

async fn run(options: &Options) -> io::Result<bool> {
    let site = Site::start(options).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    std::fs::write(options.folder.join("ready"), "")?;
    // The script puts the catalogue in force before it writes this file.
    let serving = options.folder.join("serving");
    while !serving.exists() {
        sleep(POLL).await;
    }
    let targets: Targets = Arc::default();
    let balancing = tokio::spawn(balance(
        options.entries,
        options.first_port,
        Arc::clone(&targets),
    ));
    let start =
        |label: &str, count, plan: Plan| Callers::start(label, count, &plan, &targets, &site.calls);
    let callers = [
        (
            "keyed, once only",
            start("once", 3, plan("merge", Some("agencies-example"), false, 5)),
        ),
        (
            "keyed",
            start("keyed", 2, plan("merge", Some("guides-example"), true, 20)),
        ),
        ("open", start("open", 2, plan("status", None, true, 2))),
    ];
    let entries: Vec<SocketAddr> = (1..=options.entries)
        .map(|number| address(options.first_port, number, 1))
        .collect();
    let stop = CancellationToken::new();
    let submitting = tokio::spawn(submit(entries.clone(), stop.clone()));
    terminate.recv().await;
    stop.cancel();
    balancing.abort();
    let mut holds = true;
    for (label, callers) in callers {
        if let Ok(tally) = timeout(CALLERS_TIMEOUT, callers.finish()).await {
            holds &= print_tally(label, &tally);
        } else {
            println!("{label}: requests have not ended");
            holds = false;
        }
    }
    let tasks = submitting.await.map_err(invalid)?;
    holds &= check_tasks(&site, &entries, &tasks).await;
    let twice = site.calls.run_twice();
    println!(
        "requests that are not idempotent: {} ran, {twice} twice",
        site.calls.once_only()
    );
    holds &= twice == 0;
    println!("reboots: {}", site.fleet.reboots().len());
    println!("{}", if holds { "held" } else { "NOT held" });
    Ok(holds)
}

/// Shows the callers the entries that are ready, as the balancer does.
async fn balance(entries: u16, first_port: u16, targets: Targets) {
    let http = HttpCaller::new(POLL);
    loop {
        let mut ready = Vec::new();
        for number in 1..=entries {
            let operator = address(first_port, number, 2);
            let answer = http.call(
                Method::GET,
                operator,
                "/readyz",
                HeaderMap::new(),
                Body::new(),
                Duration::ZERO,
            );
            if answer
                .await
                .is_ok_and(|answer| answer.status == StatusCode::OK)
            {
                ready.push(address(first_port, number, 0));
            }
        }
        *targets.lock().unwrap_or_else(PoisonError::into_inner) = ready;
        sleep(POLL).await;
    }
}

fn print_tally(label: &str, tally: &Tally) -> bool {
    println!(
        "{label}: {} sent, {} answered, {} not run, {} unknown of which {} cut, {} wrong, {} unclear, {} ran though refused{}",
        tally.sent,
        tally.answered,
        tally.not_run,
        tally.unknown,
        tally.cut,
        tally.wrong,
        tally.unclear,
        tally.not_run_but_ran,
        tally.codes_text()
    );
    tally.answered > 0 && tally.wrong + tally.unclear + tally.not_run_but_ran == 0
}

/// Submits tasks, each under one key at one entry after the other until it is accepted.
async fn submit(entries: Vec<SocketAddr>, stop: CancellationToken) -> Vec<(TaskKey, bool)> {
    let mut tasks = Vec::new();
    let mut number = 0;
    while !stop.is_cancelled() {
        number += 1;
        let key = TaskKey::new(rand::random());
        let (team, queue, run) = if number % 2 == 0 {
            ("agencies-example", "checks", Duration::from_millis(200))
        } else {
            ("guides-example", "backfill", Duration::from_millis(600))
        };
        let mut is_accepted = false;
        for attempt in 0..TRIES_MAX {
            let entry = entries[(number + attempt) % entries.len()];
            let submitter = Submitter::new(entry, team);
            is_accepted = submitter.submit(key, queue, run, false).await;
            if is_accepted {
                break;
            }
            sleep(TASK_PAUSE).await;
        }
        tasks.push((key, is_accepted));
        sleep(TASK_PAUSE).await;
    }
    tasks
}

/// Waits for the accepted tasks, and checks that each ran once.
async fn check_tasks(site: &Site, entries: &[SocketAddr], tasks: &[(TaskKey, bool)]) -> bool {
    let accepted: Vec<TaskKey> = tasks
        .iter()
        .filter(|(_, is_accepted)| *is_accepted)
        .map(|(key, _)| *key)
        .collect();
    let until = Instant::now() + COMPLETION_TIMEOUT;
    let mut open = accepted.clone();
    while !open.is_empty() && Instant::now() < until {
        open.retain(|key| site.runs.succeeded(*key) == 0);
        sleep(POLL).await;
    }
    let twice = tasks
        .iter()
        .filter(|(key, _)| site.runs.started(*key) > 1)
        .count();
    println!(
        "tasks: {} submitted, {} accepted, {} started twice, {} overlaps, {} not ended",
        tasks.len(),
        accepted.len(),
        twice,
        site.runs.overlaps(),
        open.len()
    );
    for key in open.iter().take(SHOWN_MAX) {
        let state = Submitter::new(entries[0], "agencies-example")
            .state(*key)
            .await;
        println!(
            "task {key}: {} starts, state {state:?}",
            site.runs.started(*key)
        );
    }
    !accepted.is_empty() && open.is_empty() && twice == 0 && site.runs.overlaps() == 0
}
