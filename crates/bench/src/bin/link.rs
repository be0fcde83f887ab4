//! What control costs an entry: calls and bytes of the key-value service, bytes between entries, processor, memory.
//!
//! All entries run in one process over an in-memory service and real loopback sockets, so processor time and memory are
//! the process's, divided by the entries, and hold the in-memory service too; memory is told for the first size only,
//! since later ones use what earlier ones have freed. Each second every entry changes what a
//! tenth of its teams run. Edits of the catalogue are made at `--edit-every-s`. Bytes of the service are those of values
//! and keys; bytes between entries are those of frames, each counted where it is sent and where it is received.
//!
//! Options: `--seed` (1), `--seconds` measured for each size (20), `--edit-every-s` (24), `--changing` teams in a
//! thousand a second (100), `--sizes` how many sizes, `--first` the index of the first.

use std::time::Duration;

use goldcrest_bench::entries::store::{FakeStore, Faults, TokioClock};
use goldcrest_bench::entries::{Entry, first_edit, key_edit, team_name};
use goldcrest_types::clock::Clock;
use goldcrest_types::units::Slots;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The time before measuring, in which entries find each other and quota is divided.
const WARM_UP: Duration = Duration::from_secs(25);

/// Clock ticks of processor time a second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

#[derive(Debug, Clone, Copy)]
struct Size {
    dcs: usize,
    per_dc: usize,
    teams: usize,
}

/// The size of letter 1 in the middle of each row of sizes.
const SIZES: [Size; 9] = [
    Size {
        dcs: 11,
        per_dc: 6,
        teams: 100,
    },
    Size {
        dcs: 3,
        per_dc: 6,
        teams: 100,
    },
    Size {
        dcs: 6,
        per_dc: 6,
        teams: 100,
    },
    Size {
        dcs: 16,
        per_dc: 6,
        teams: 100,
    },
    Size {
        dcs: 11,
        per_dc: 3,
        teams: 100,
    },
    Size {
        dcs: 11,
        per_dc: 9,
        teams: 100,
    },
    Size {
        dcs: 11,
        per_dc: 6,
        teams: 25,
    },
    Size {
        dcs: 11,
        per_dc: 6,
        teams: 50,
    },
    Size {
        dcs: 11,
        per_dc: 6,
        teams: 200,
    },
];

#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    seconds: u64,
    edit_every_s: u64,
    changing: u32,
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let options = Options {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(20),
        edit_every_s: args.opt_value_from_str("--edit-every-s")?.unwrap_or(24),
        changing: args.opt_value_from_str("--changing")?.unwrap_or(100),
    };
    let sizes = args.opt_value_from_str("--sizes")?.unwrap_or(SIZES.len());
    let first = args.opt_value_from_str("--first")?.unwrap_or(0);
    println!(
        "| data centres | entries | teams | reads/s all | changes/s all | leases/s all | watches/s all \
         | service B/s entry | peer B/s entry | peer B/s busiest | frames/s busiest \
         | both B/s relay | both B/s busiest | core % entry | MB entry |"
    );
    println!("|{}", " --- |".repeat(15));
    for (index, size) in SIZES.iter().skip(first).take(sizes).enumerate() {
        run(*size, options, index == 0).await;
    }
    Ok(())
}

/// What has been spent up to a moment.
#[derive(Debug, Clone, Default)]
struct Spent {
    reads: u64,
    changes: u64,
    leases: u64,
    watches: u64,
    service_bytes: u64,
    node_bytes: Vec<u64>,
    peer_bytes: Vec<u64>,
    peer_frames: Vec<u64>,
    cpu_s: f64,
}

fn spent(entries: &[Entry]) -> Spent {
    let mut sum = Spent {
        cpu_s: cpu_seconds(),
        ..Spent::default()
    };
    for entry in entries {
        let counts = entry.session.counts();
        sum.reads += counts.reads;
        sum.changes += counts.changes;
        sum.leases += counts.leases;
        sum.watches += counts.watches;
        let service_bytes = counts.sent_bytes + counts.received_bytes;
        sum.service_bytes += service_bytes;
        let traffic = entry.peers.traffic();
        let peer_bytes = traffic.sent_bytes() + traffic.received_bytes();
        sum.peer_bytes.push(peer_bytes);
        sum.node_bytes.push(service_bytes + peer_bytes);
        sum.peer_frames.push(traffic.frames());
    }
    sum
}

async fn run(size: Size, options: Options, is_first: bool) {
    let resident = resident_bytes();
    let store = FakeStore::default();
    let entries = Entry::start_all(&store, size.dcs, size.per_dc).await;
    for entry in &entries {
        entry.store.set_faults(Faults {
            latency: Duration::from_millis(5),
            ..Faults::default()
        });
    }
    let first = entries[0]
        .follower
        .edit(&first_edit(size.dcs, size.teams))
        .await;
    assert!(first.is_ok(), "{first:?}");
    let mut rng = StdRng::seed_from_u64(options.seed);
    for entry in &entries {
        for team in 0..size.teams {
            let slots = Slots::new(rng.random_range(0..4));
            entry.load.want(team_name(team), slots);
        }
    }
    load(&entries, size, options, &mut rng, WARM_UP.as_secs(), 0).await;
    let before = spent(&entries);
    load(&entries, size, options, &mut rng, options.seconds, 1_000).await;
    let after = spent(&entries);
    let memory = resident_bytes() - resident;
    let memory = is_first.then_some(memory);
    let are_relays = entries.iter().map(|entry| *entry.peers.is_relay().borrow());
    let are_relays: Vec<bool> = are_relays.collect();
    let measured = Measured {
        before,
        after,
        are_relays,
        memory,
    };
    report(size, options, &measured);
    for entry in &entries {
        entry.crash();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
}

/// Changes what teams run for some seconds, and edits the catalogue now and then.
async fn load(
    entries: &[Entry],
    size: Size,
    options: Options,
    rng: &mut StdRng,
    seconds: u64,
    first_edit: usize,
) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    for second in 0..seconds {
        ticks.tick().await;
        for entry in entries {
            for team in 0..size.teams {
                if rng.random_range(0..1_000) < options.changing {
                    let slots = Slots::new(rng.random_range(0..4));
                    entry.load.want(team_name(team), slots);
                }
            }
            entry.load.admit(TokioClock.now());
        }
        if (second + 1) % options.edit_every_s == 0 {
            let through = &entries[rng.random_range(0..entries.len())];
            let number = first_edit + usize::try_from(second).unwrap_or(0);
            let edited = through.follower.edit(&key_edit(number)).await;
            assert!(edited.is_ok(), "{edited:?}");
        }
    }
}

/// A count as a real number. Counts of one measurement are far below the largest 32-bit one.
fn real(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// What was spent before and after the measurement.
struct Measured {
    before: Spent,
    after: Spent,
    are_relays: Vec<bool>,
    memory: Option<f64>,
}

fn report(size: Size, options: Options, measured: &Measured) {
    let Measured {
        before,
        after,
        are_relays,
        memory,
    } = measured;
    let entries = real(u64::try_from(size.dcs * size.per_dc).unwrap_or(u64::MAX));
    let seconds = real(options.seconds);
    let rate = |before: u64, after: u64| real(after - before) / seconds;
    let rates = |before: &[u64], after: &[u64]| {
        let pairs = before.iter().zip(after);
        pairs
            .map(|(before, after)| rate(*before, *after))
            .collect::<Vec<f64>>()
    };
    let peer = rates(&before.peer_bytes, &after.peer_bytes);
    let frames = rates(&before.peer_frames, &after.peer_frames);
    let node = rates(&before.node_bytes, &after.node_bytes);
    let relays = node.iter().zip(are_relays);
    let relays = relays.filter(|(_, is_relay)| **is_relay);
    let relays: Vec<f64> = relays.map(|(rate, _)| *rate).collect();
    println!(
        "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {} |",
        size.dcs,
        entries,
        size.teams,
        rate(before.reads, after.reads),
        rate(before.changes, after.changes),
        rate(before.leases, after.leases),
        rate(before.watches, after.watches),
        rate(before.service_bytes, after.service_bytes) / entries,
        peer.iter().sum::<f64>() / entries,
        peer.iter().copied().fold(0.0, f64::max),
        frames.iter().copied().fold(0.0, f64::max),
        relays.iter().sum::<f64>() / real(u64::try_from(relays.len().max(1)).unwrap_or(1)),
        node.iter().copied().fold(0.0, f64::max),
        (after.cpu_s - before.cpu_s) / seconds / entries * 100.0,
        memory.map_or_else(
            || "-".to_owned(),
            |bytes| format!("{:.2}", bytes / entries / 1e6)
        ),
    );
}

fn proc_field(path: &str, index: usize) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    // The name of the program, in brackets, may hold spaces.
    let text = text
        .rsplit_once(") ")
        .map_or(text.as_str(), |(_, rest)| rest);
    let field = text.split_whitespace().nth(index);
    field.and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

/// Processor time of this process, in seconds.
fn cpu_seconds() -> f64 {
    (proc_field("/proc/self/stat", 11) + proc_field("/proc/self/stat", 12)) / TICKS_PER_SECOND
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    proc_field("/proc/self/statm", 1) * PAGE_BYTES
}
