//! The time from an accepted edit of the catalogue to its being in force on all entries.
//!
//! 66 entries in 11 data centres run in one process, over an in-memory key-value service whose calls take a few
//! milliseconds, and real loopback sockets. Edits go through entries drawn at random. With one fault a data centre is cut
//! off from the service; with two, the relay of another has crashed besides. Reported are milliseconds from the answer to
//! the operator until the last entry that runs has the revision in force.
//!
//! Options: `--seed` (1), `--edits` for each case (40).

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use goldcrest_bench::entries::store::{FakeStore, Faults};
use goldcrest_bench::entries::{Entry, dc_name, first_edit, key_edit};
use goldcrest_session::{HeadCopy, Updated};
use goldcrest_types::units::Revision;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DCS: usize = 11;
const ENTRIES_PER_DC: usize = 6;
const TEAMS: usize = 100;
const STORE_LATENCY: Duration = Duration::from_millis(5);

/// The longest that an edit is waited for.
const PATIENCE: Duration = Duration::from_mins(1);

/// The pause between edits, at the most.
const PAUSE_MAX_MS: u64 = 1_500;

#[derive(Debug, Clone, Copy)]
enum Case {
    NoFault,
    OneFault,
    TwoFaults,
}

impl Case {
    const ALL: [Self; 3] = [Self::NoFault, Self::OneFault, Self::TwoFaults];

    const fn name(self) -> &'static str {
        match self {
            Self::NoFault => "none",
            Self::OneFault => "a data centre without the service",
            Self::TwoFaults => "the same, and another's relay crashed",
        }
    }
}

fn faults(is_down: bool) -> Faults {
    Faults {
        down: is_down,
        latency: STORE_LATENCY,
        ..Faults::default()
    }
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let edits = args.opt_value_from_str("--edits")?.unwrap_or(40);
    println!("| faults | edits | median ms | 9 of 10 ms | worst ms | not in force everywhere |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for case in Case::ALL {
        run(case, seed, edits).await;
    }
    Ok(())
}

async fn run(case: Case, seed: u64, edits: usize) {
    let store = FakeStore::default();
    let mut entries = Entry::start_all(&store, DCS, ENTRIES_PER_DC).await;
    for entry in &entries {
        entry.store.set_faults(faults(false));
    }
    let first = entries[0].follower.edit(&first_edit(DCS, TEAMS)).await;
    assert!(matches!(first, Ok(Updated::Applied { .. })), "{first:?}");
    in_force(&entries, Revision::new(1)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut times_ms = Vec::new();
    let mut late = 0;
    for number in 0..edits {
        if number == 0 {
            inject(case, &mut entries);
        }
        let pause_ms = rng.random_range(0..PAUSE_MAX_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let with_contact = entries.iter().filter(|entry| entry.dc != dc_name(0));
        let with_contact: Vec<&Entry> = with_contact.collect();
        let through = with_contact[rng.random_range(0..with_contact.len())];
        let accepted = through.follower.edit(&key_edit(number)).await;
        let Ok(Updated::Applied { value, .. }) = accepted else {
            println!("edit {number} was not accepted: {accepted:?}");
            continue;
        };
        let start = Instant::now();
        match tokio::time::timeout(PATIENCE, in_force(&entries, value.revision)).await {
            Ok(()) => times_ms.push(start.elapsed().as_secs_f64() * 1_000.0),
            Err(_) => late += 1,
        }
    }
    report(case, &mut times_ms, late);
    for entry in &entries {
        entry.crash();
    }
}

fn inject(case: Case, entries: &mut Vec<Entry>) {
    if matches!(case, Case::OneFault | Case::TwoFaults) {
        for entry in entries.iter().filter(|entry| entry.dc == dc_name(0)) {
            entry.store.set_faults(faults(true));
        }
    }
    if matches!(case, Case::TwoFaults) {
        let is_relay = |entry: &Entry| entry.dc == dc_name(1) && *entry.peers.is_relay().borrow();
        if let Some(at) = entries.iter().position(is_relay) {
            entries.remove(at).crash();
        }
    }
}

/// Waits until every entry has at least `revision` in force.
async fn in_force(entries: &[Entry], revision: Revision) {
    let has = |head: &Option<HeadCopy>| head.as_ref().is_some_and(|h| h.revision() >= revision);
    let waits = entries.iter().map(async |entry| {
        let mut head = entry.follower.head();
        // The follower outlives this wait, so it ends only when the revision is in force.
        let found = head.wait_for(has).await;
        debug_assert!(found.is_ok(), "the follower lives");
    });
    join_all(waits).await;
}

fn report(case: Case, times_ms: &mut [f64], late: usize) {
    times_ms.sort_by(f64::total_cmp);
    let at = |part: usize| {
        let index = (times_ms.len() * part / 10).min(times_ms.len().saturating_sub(1));
        times_ms.get(index).copied().unwrap_or(f64::NAN)
    };
    println!(
        "| {} | {} | {:.0} | {:.0} | {:.0} | {late} |",
        case.name(),
        times_ms.len(),
        at(5),
        at(9),
        at(10),
    );
}
