//! Upper limits through the whole loop: rows, moves and their holders, under faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::common::{FakeStore, Faults};
use crate::world::{Entry, Fleet, dc_quota, pass, pass_until, quota_role};

const LIMIT: u32 = 100;

/// Within so many seconds of a shift of demand a team can use 0.95 of its limit.
const SHIFT_S: u32 = 5;

async fn world(dcs: usize, per_dc: u128) -> (FakeStore, std::sync::Arc<Fleet>, Vec<Entry>) {
    let store = FakeStore::default();
    let fleet = Fleet::new(dcs, LIMIT);
    let mut entries = Vec::new();
    for number in 0..dcs {
        for index in 0..per_dc {
            let bits = number as u128 * per_dc + index + 1;
            entries.push(Entry::start(&store, &fleet, bits, number));
        }
    }
    pass(&fleet, &entries, 20, LIMIT).await;
    (store, fleet, entries)
}

#[tokio::test(start_paused = true)]
async fn run_shift_of_demand_in_a_dc() {
    let (_, fleet, entries) = world(1, 4).await;
    fleet.want(entries[0].id, 200);
    pass(&fleet, &entries, 5, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.want(entries[0].id, 0);
    fleet.want(entries[3].id, 200);
    pass(&fleet, &entries, 5, LIMIT).await;
    assert!(
        fleet.running_at(entries[3].id) >= 95,
        "{} running",
        fleet.running()
    );
}

#[tokio::test(start_paused = true)]
async fn run_shift_of_demand_between_dcs() {
    let (_, fleet, entries) = world(3, 2).await;
    fleet.want(entries[0].id, 200);
    pass(&fleet, &entries, SHIFT_S, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.want(entries[0].id, 0);
    fleet.want(entries[5].id, 200);
    pass(&fleet, &entries, SHIFT_S, LIMIT).await;
    assert!(
        fleet.running_at(entries[5].id) >= 95,
        "{} running",
        fleet.running()
    );
}

/// Sets the demand of all entries to `weights`, scaled so that it is the limit in sum or more.
fn spread(fleet: &Fleet, entries: &[Entry], weights: &[u32]) {
    let sum: u32 = weights.iter().sum();
    for (entry, weight) in entries.iter().zip(weights) {
        fleet.want(entry.id, (weight * LIMIT).div_ceil(sum.max(1)));
    }
}

/// Shifts between random spreads, each some seconds after the one before. The calls of all entries take 20 ms, and keep
/// to each entry's rate.
async fn shift_at_random(dcs: usize, per_dc: u128, shifts: usize, seed: u64) {
    let (_, fleet, entries) = world(dcs, per_dc).await;
    for entry in &entries {
        entry.store.set_faults(Faults {
            latency: Duration::from_millis(20),
            ..Faults::default()
        });
    }
    let mut rng = StdRng::seed_from_u64(seed);
    for shift in 0..shifts {
        // Few entries have demand in some spreads, all of them in others.
        let some = rng.random_range(1..=entries.len());
        let mut weights: Vec<u32> = entries.iter().map(|_| rng.random_range(0..10)).collect();
        weights[some..].fill(0);
        weights[some - 1] += 1;
        weights.shuffle(&mut rng);
        spread(&fleet, &entries, &weights);
        // Work that the shift has ended is gone by the next moment.
        pass(&fleet, &entries, 1, LIMIT).await;
        let took = pass_until(&fleet, &entries, SHIFT_S - 1, LIMIT, 95).await;
        println!("shift {shift}: {} ms", took.as_millis() + 1_000);
        let running = fleet.running();
        assert!(
            running >= 95,
            "{running} running after shift {shift} to {weights:?}"
        );
        pass(&fleet, &entries, 15, LIMIT).await;
    }
}

#[tokio::test(start_paused = true)]
async fn run_random_shifts_between_three_dcs() {
    shift_at_random(3, 2, 12, 1).await;
}

#[tokio::test(start_paused = true)]
async fn run_random_shifts_between_eleven_dcs() {
    shift_at_random(11, 6, 4, 2).await;
}

#[tokio::test(start_paused = true)]
async fn run_service_down_for_all_keeps_floors() {
    let (_, fleet, entries) = world(2, 2).await;
    for entry in &entries {
        fleet.want(entry.id, 20);
    }
    pass(&fleet, &entries, 15, LIMIT).await;
    assert_eq!(fleet.running(), 80);
    for entry in &entries {
        entry.store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }
    pass(&fleet, &entries, 60, LIMIT).await;
    for entry in &entries {
        fleet.want(entry.id, 0);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        fleet.want(entry.id, 20);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    assert_eq!(fleet.running(), 80, "what was held stays held");
}

#[tokio::test(start_paused = true)]
async fn run_answers_lost_everywhere() {
    let (_, fleet, entries) = world(2, 3).await;
    for round in 0..6 {
        for (index, entry) in entries.iter().enumerate() {
            entry.store.set_faults(Faults {
                answers_lost: 2,
                changes_lost: 1,
                changes_late: 1,
                late_by: Duration::from_secs(2 + round),
                ..Faults::default()
            });
            let wanted = if index as u64 % 6 == round { 200 } else { 5 };
            fleet.want(entry.id, wanted);
        }
        pass(&fleet, &entries, 12, LIMIT).await;
    }
    for entry in &entries {
        entry.store.set_faults(Faults::default());
    }
    pass(&fleet, &entries, 20, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
}

#[tokio::test(start_paused = true)]
async fn run_limit_lowered_and_raised() {
    let (store, fleet, entries) = world(2, 2).await;
    for entry in &entries {
        fleet.want(entry.id, 50);
    }
    pass(&fleet, &entries, 15, LIMIT).await;
    assert!(fleet.running() >= 95);
    for entry in &entries {
        fleet.want(entry.id, 0);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    fleet.set_limit(2, 40, 2);
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        fleet.want(entry.id, 50);
    }
    // Parts are scaled at once, before any document has changed.
    pass(&fleet, &entries, 30, 40).await;
    assert!(fleet.running() >= 38, "{} running", fleet.running());
    fleet.set_limit(2, 80, 3);
    pass(&fleet, &entries, 30, 80).await;
    assert!(fleet.running() >= 76, "{} running", fleet.running());
    let portions = (0..2).map(|number| dc_quota(&store, number));
    let held: u32 = portions
        .map(|doc| doc.teams()[&crate::world::team()].portion.get())
        .sum();
    assert!(held <= 80);
}

#[tokio::test(start_paused = true)]
async fn run_crash_keeps_its_row() {
    let (store, fleet, entries) = world(1, 3).await;
    fleet.want(entries[0].id, 50);
    pass(&fleet, &entries, 10, LIMIT).await;
    assert_eq!(fleet.running_at(entries[0].id), 50);
    entries[0].crash();
    fleet.want(entries[1].id, 200);
    // What the crashed entry has started still runs, and the others stay below the rest.
    pass(&fleet, &entries, 60, LIMIT).await;
    assert_eq!(dc_quota(&store, 0).rows().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn run_stop_gives_the_row_back() {
    let (store, fleet, entries) = world(1, 2).await;
    fleet.want(entries[0].id, 90);
    pass(&fleet, &entries, 10, LIMIT).await;
    fleet.want(entries[0].id, 0);
    pass(&fleet, &entries, 1, LIMIT).await;
    entries[0].stop().await;
    assert_eq!(dc_quota(&store, 0).rows().len(), 1);
    fleet.want(entries[1].id, 200);
    pass(&fleet, &entries, 10, LIMIT).await;
    assert!(fleet.running_at(entries[1].id) >= 95);
}

#[tokio::test(start_paused = true)]
async fn run_role_is_taken_over_and_fenced() {
    let (_, fleet, entries) = world(3, 1).await;
    let holder = |entries: &[Entry]| {
        let holds = |entry: &&Entry| entry.roles.epoch(&quota_role()).is_some();
        entries
            .iter()
            .filter(holds)
            .map(|entry| entry.id)
            .collect::<Vec<_>>()
    };
    let first = holder(&entries);
    assert_eq!(first.len(), 1);
    let at = entries
        .iter()
        .position(|entry| entry.id == first[0])
        .expect("it");
    let epoch = entries[at].roles.epoch(&quota_role()).expect("an epoch");
    entries[at].store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    pass(&fleet, &entries, 20, LIMIT).await;
    let second = holder(&entries);
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
    let by = entries
        .iter()
        .find(|entry| entry.id == second[0])
        .expect("it");
    assert!(by.roles.epoch(&quota_role()).expect("an epoch") > epoch);
    entries[at].store.set_faults(Faults::default());
    pass(&fleet, &entries, 20, LIMIT).await;
    assert_eq!(holder(&entries), first, "the role goes back to its home");
}

#[tokio::test(start_paused = true)]
async fn epoch_paused_holder() {
    let (_, _, entries) = world(1, 1).await;
    assert!(entries[0].roles.epoch(&quota_role()).is_some());
    tokio::time::advance(Duration::from_secs(12)).await;
    assert_eq!(entries[0].roles.epoch(&quota_role()), None);
}

#[tokio::test(start_paused = true)]
async fn run_idle_costs_few_calls() {
    let (store, _, _entries) = world(2, 3).await;
    let before = store.calls();
    tokio::time::sleep(Duration::from_mins(1)).await;
    let per_entry = (store.calls() - before) / 6;
    // One renewal each 5 s, the own row's newness each 3 s, and the fleet's document by the holder each 10 s.
    assert!(per_entry <= 36, "{per_entry} calls a minute");
}

#[tokio::test(start_paused = true)]
async fn run_demand_jumps_while_giving_back() {
    let (_, fleet, entries) = world(1, 3).await;
    for latency_ms in [50, 150, 400] {
        for entry in &entries {
            entry.store.set_faults(Faults {
                latency: Duration::from_millis(latency_ms),
                ..Faults::default()
            });
        }
        for round in 0..60 {
            // One entry asks for all while the others, which hold it, jump up and down.
            for (index, entry) in entries.iter().enumerate() {
                let is_high = (round / 5) % 3 == index || (round + index) % 2 == 0;
                fleet.want(entry.id, if is_high { 200 } else { 3 });
            }
            pass(&fleet, &entries[..0], 1, LIMIT).await;
        }
    }
}

/// Found in the demonstration: after a burst one data centre kept all of a team's slots, and the others could start none
/// of its work through an outage.
#[tokio::test(start_paused = true)]
async fn run_outage_after_a_burst() {
    let (_, fleet, entries) = world(3, 2).await;
    fleet.want(entries[0].id, 200);
    pass(&fleet, &entries, 15, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.want(entries[0].id, 0);
    pass(&fleet, &entries, 20, LIMIT).await;
    for entry in &entries {
        entry.store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }
    pass(&fleet, &entries, 15, LIMIT).await;
    for entry in &entries {
        fleet.want(entry.id, 1);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        assert_eq!(fleet.running_at(entry.id), 1, "at entry {}", entry.id);
    }
}

/// A small limit, and demand for all of it at one entry after the other for 4 to 8 seconds each, as in the
/// demonstration; then nothing. Five seconds later an outage finds every entry with a slot of its own.
async fn outage_after_jumps(seed: u64) {
    const SMALL: u32 = 6;
    let store = FakeStore::default();
    let fleet = Fleet::new(2, SMALL);
    let places = [(1, 0), (2, 0), (3, 1), (4, 1)];
    let entries = places.map(|(bits, dc)| Entry::start(&store, &fleet, bits, dc));
    pass(&fleet, &entries, 20, SMALL).await;
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..6 {
        let busy = rng.random_range(0..entries.len());
        for (index, entry) in entries.iter().enumerate() {
            fleet.want(entry.id, if index == busy { 10 } else { 0 });
        }
        pass(&fleet, &entries, rng.random_range(4..=8), SMALL).await;
    }
    for entry in &entries {
        fleet.want(entry.id, 0);
    }
    pass(&fleet, &entries, SHIFT_S, SMALL).await;
    for entry in &entries {
        entry.store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }
    pass(&fleet, &entries, 15, SMALL).await;
    for entry in &entries {
        fleet.want(entry.id, 1);
    }
    pass(&fleet, &entries, 1, SMALL).await;
    for entry in &entries {
        assert_eq!(
            fleet.running_at(entry.id),
            1,
            "seed {seed}, entry {}",
            entry.id
        );
    }
}

/// Found in the demonstration: an entry held no slot of a team in an outage, though the team used next to nothing.
#[tokio::test(start_paused = true)]
async fn run_outage_after_jumps_of_demand() {
    for seed in 1..=6 {
        outage_after_jumps(seed).await;
    }
}
