//! Upper limits with all parts of the quota maintenance running: rows, moves and role holders, under faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::common::{FakeStore, Faults};
use crate::world::{Entry, Fleet, dc_quota, pass, pass_until, quota_role};

const LIMIT: u32 = 100;

/// The time within which a team can use 95 % of its limit after a shift of demand.
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
    fleet.set_demand(entries[0].id, 200);
    pass(&fleet, &entries, 5, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.set_demand(entries[0].id, 0);
    fleet.set_demand(entries[3].id, 200);
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
    fleet.set_demand(entries[0].id, 200);
    pass(&fleet, &entries, SHIFT_S, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.set_demand(entries[0].id, 0);
    fleet.set_demand(entries[5].id, 200);
    pass(&fleet, &entries, SHIFT_S, LIMIT).await;
    assert!(
        fleet.running_at(entries[5].id) >= 95,
        "{} running",
        fleet.running()
    );
}

/// Distributes demand over all entries by `weights`, scaled so that the sum is at least the limit.
fn distribute(fleet: &Fleet, entries: &[Entry], weights: &[u32]) {
    let sum: u32 = weights.iter().sum();
    for (entry, weight) in entries.iter().zip(weights) {
        fleet.set_demand(entry.id, (weight * LIMIT).div_ceil(sum.max(1)));
    }
}

/// Shifts demand between random distributions, 20 s or less apart. Every call takes 20 ms and counts against the
/// entry's rate limit.
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
        // Few entries have demand in some distributions, all of them in others.
        let active = rng.random_range(1..=entries.len());
        let mut weights: Vec<u32> = entries.iter().map(|_| rng.random_range(0..10)).collect();
        weights[active..].fill(0);
        weights[active - 1] += 1;
        weights.shuffle(&mut rng);
        distribute(&fleet, &entries, &weights);
        // Work above the new demand has ended by the next step.
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
        fleet.set_demand(entry.id, 20);
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
        fleet.set_demand(entry.id, 0);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        fleet.set_demand(entry.id, 20);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    assert_eq!(
        fleet.running(),
        80,
        "entries keep their floors through the outage"
    );
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
            let demanded = if index as u64 % 6 == round { 200 } else { 5 };
            fleet.set_demand(entry.id, demanded);
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
        fleet.set_demand(entry.id, 50);
    }
    pass(&fleet, &entries, 15, LIMIT).await;
    assert!(fleet.running() >= 95);
    for entry in &entries {
        fleet.set_demand(entry.id, 0);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    fleet.set_limit(2, 40, 2);
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        fleet.set_demand(entry.id, 50);
    }
    // Parts are scaled at once, before any document has changed.
    pass(&fleet, &entries, 30, 40).await;
    assert!(fleet.running() >= 38, "{} running", fleet.running());
    fleet.set_limit(2, 80, 3);
    pass(&fleet, &entries, 30, 80).await;
    assert!(fleet.running() >= 76, "{} running", fleet.running());
    let allocations = (0..2).map(|number| dc_quota(&store, number));
    let held: u32 = allocations
        .map(|doc| doc.teams()[&crate::world::team()].allocation.get())
        .sum();
    assert!(held <= 80);
}

#[tokio::test(start_paused = true)]
async fn run_crash_keeps_its_row() {
    let (store, fleet, entries) = world(1, 3).await;
    fleet.set_demand(entries[0].id, 50);
    pass(&fleet, &entries, 10, LIMIT).await;
    assert_eq!(fleet.running_at(entries[0].id), 50);
    entries[0].crash();
    fleet.set_demand(entries[1].id, 200);
    // The work of the crashed entry still runs, so the others must stay below the rest of the limit.
    pass(&fleet, &entries, 60, LIMIT).await;
    assert_eq!(dc_quota(&store, 0).rows().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn run_stop_gives_the_row_back() {
    let (store, fleet, entries) = world(1, 2).await;
    fleet.set_demand(entries[0].id, 90);
    pass(&fleet, &entries, 10, LIMIT).await;
    fleet.set_demand(entries[0].id, 0);
    pass(&fleet, &entries, 1, LIMIT).await;
    entries[0].stop().await;
    assert_eq!(dc_quota(&store, 0).rows().len(), 1);
    fleet.set_demand(entries[1].id, 200);
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
        .expect("the holder");
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
        .expect("the holder");
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
    // One renewal every 5 s, one check of the own document every 3 s, and one of the fleet's by the holder every 10 s.
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
            // One entry demands the whole limit while the others, which hold it, alternate between high and low demand.
            for (index, entry) in entries.iter().enumerate() {
                let is_high = (round / 5) % 3 == index || (round + index) % 2 == 0;
                fleet.set_demand(entry.id, if is_high { 200 } else { 3 });
            }
            pass(&fleet, &entries[..0], 1, LIMIT).await;
        }
    }
}

/// Guards against a data centre that keeps all of a team's slots after a burst, so that the others can start none of
/// the team's work during an outage.
#[tokio::test(start_paused = true)]
async fn run_outage_after_a_burst() {
    let (_, fleet, entries) = world(3, 2).await;
    fleet.set_demand(entries[0].id, 200);
    pass(&fleet, &entries, 15, LIMIT).await;
    assert!(fleet.running() >= 95, "{} running", fleet.running());
    fleet.set_demand(entries[0].id, 0);
    pass(&fleet, &entries, 20, LIMIT).await;
    for entry in &entries {
        entry.store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }
    pass(&fleet, &entries, 15, LIMIT).await;
    for entry in &entries {
        fleet.set_demand(entry.id, 1);
    }
    pass(&fleet, &entries, 1, LIMIT).await;
    for entry in &entries {
        assert_eq!(fleet.running_at(entry.id), 1, "at entry {}", entry.id);
    }
}

/// With a small limit, all demand moves from one entry to another every 4 to 8 s and then ends. Five seconds later,
/// when an outage begins, every entry must hold a slot.
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
            fleet.set_demand(entry.id, if index == busy { 10 } else { 0 });
        }
        pass(&fleet, &entries, rng.random_range(4..=8), SMALL).await;
    }
    for entry in &entries {
        fleet.set_demand(entry.id, 0);
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
        fleet.set_demand(entry.id, 1);
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

/// Guards against an entry that holds no slot of a team during an outage although the team is almost idle.
#[tokio::test(start_paused = true)]
async fn run_outage_after_jumps_of_demand() {
    for seed in 1..=6 {
        outage_after_jumps(seed).await;
    }
}
