//! The memory of a whole entry, by what it has to know.
//!
//! One entry in each data centre, each with all of its parts, runs in this process beside fakes of the key-value service and
//! of the platform's list. Reported is the resident memory that came with them, for one of them, after the catalogue is in
//! force, every VM is enrolled in a pool and some time has passed. The fakes' own documents are in the figure. One process
//! measures one size, since freed memory stays resident: run it once for each row.
//!
//! Options: `--dcs` (11), `--teams` (100), `--pools` (81), `--vms` (1500), `--seconds` to settle (30).

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_bench::entries::{dc_name, sized_edit};
use goldcrest_daemon::entry::Entry;
use goldcrest_daemon::settings::{Settings, parse};
use goldcrest_ports::fleet::{VmPhase, VmRecord, VmRole};
use goldcrest_session::Updated;
use goldcrest_standin::{FleetFake, KvFake};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};
use pico_args::Arguments;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// The size of a page of memory, in KiB.
const PAGE_KIB: u64 = 4;

/// The time between looks whether every VM is enrolled.
const LOOK: Duration = Duration::from_millis(500);

/// VMs of one rack.
const RACK_VMS: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Size {
    dcs: usize,
    teams: usize,
    pools: usize,
    vms: usize,
}

type AnyError = Box<dyn Error>;

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    let mut args = Arguments::from_env();
    let size = Size {
        dcs: args.opt_value_from_str("--dcs")?.unwrap_or(11),
        teams: args.opt_value_from_str("--teams")?.unwrap_or(100),
        pools: args.opt_value_from_str("--pools")?.unwrap_or(81),
        vms: args.opt_value_from_str("--vms")?.unwrap_or(1_500),
    };
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(30);
    let fleet = FleetFake::new(LOOK, LOOK);
    for number in 0..size.vms {
        fleet.put(vm(number, size.dcs)?);
    }
    let before = resident_kib()?;
    let entries = start(size.dcs, &fleet).await?;
    let edit = sized_edit(size.dcs, size.teams, size.pools);
    let accepted = entries[0].world().follower.edit(&edit).await;
    if !matches!(accepted, Ok(Updated::Applied { .. })) {
        return Err(format!("the catalogue is not accepted: {accepted:?}").into());
    }
    while entries.iter().any(|entry| enrolled(entry) < size.vms) {
        sleep(LOOK).await;
    }
    sleep(Duration::from_secs(seconds)).await;
    let Size {
        dcs,
        teams,
        pools,
        vms,
    } = size;
    let each = resident_kib()?.saturating_sub(before) / u64::try_from(dcs)?;
    println!("| data centres | teams | pools | VMs | KiB for each entry |");
    println!("| --- | --- | --- | --- | --- |");
    println!("| {dcs} | {teams} | {pools} | {vms} | {each} |");
    Ok(())
}

/// Starts an entry in each data centre, over one key-value service and one list.
async fn start(dcs: usize, fleet: &FleetFake) -> Result<Vec<Entry>, AnyError> {
    let (kv, stop) = (KvFake::new(), CancellationToken::new());
    let mut entries: Vec<Entry> = Vec::new();
    for number in 0..dcs {
        let dc = dc_name(number);
        let store = kv.listen(dc.clone(), stop.clone()).await?;
        let list = fleet.listen(dc, stop.clone()).await?;
        let first = entries.first().map(|entry| entry.addresses().peer);
        let settings = settings(number, store, list, first)?;
        entries.push(Entry::start(settings, Arc::new(SystemClock))?);
    }
    Ok(entries)
}

/// The VMs that are in a pool, as the entry knows.
fn enrolled(entry: &Entry) -> usize {
    let fleets = entry.world().fleets.borrow();
    fleets.iter().map(|(_, doc)| doc.vms().len()).sum()
}

fn settings(
    number: usize,
    store: SocketAddr,
    list: SocketAddr,
    first: Option<SocketAddr>,
) -> Result<Settings, AnyError> {
    let first = first.map_or_else(String::new, |first| format!("'{first}'"));
    let text = format!(
        "entry: {{vm: entry-{number}, data_centre: {}, caller_address: '127.0.0.1:0', task_address: '127.0.0.1:0', \
         operator_address: '127.0.0.1:0'}}\n\
         platform: {{store_address: '{store}', fleet_address: '{list}'}}\n\
         peers: {{address: '127.0.0.1:0', secret: between-all-entries, first_addresses: [{first}]}}\n",
        dc_name(number)
    );
    parse(&text).map_err(|errors| errors.to_string().into())
}

/// An upstream that is on the list; nothing is sent to it.
fn vm(number: usize, dcs: usize) -> Result<VmRecord, AnyError> {
    Ok(VmRecord {
        name: format!("up-{number}").parse()?,
        data_centre: dc_name(number % dcs),
        rack: format!("rack-{}", number / dcs / RACK_VMS).parse()?,
        role: VmRole::Upstream,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        phase: VmPhase::Live,
        resources: Resources::new(
            CpuMillis::new(16_000),
            Bytes::new(32 << 30),
            Accelerators::ZERO,
        ),
        boots: 1,
    })
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> Result<u64, AnyError> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_KIB)
}
