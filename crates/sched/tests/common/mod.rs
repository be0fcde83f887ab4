//! Catalogues, workers and tasks for the tests.

use std::fmt::Write as _;
use std::time::Duration;

use goldcrest_sched::{Availability, TaskSpec, WorkerSpec};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::names::TaskKey;
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources, Revision};

/// Returns a catalogue of one data centre with these teams (name, share, limit) and queues (name, class, pool, longest
/// run in ms).
pub fn catalogue(
    teams: &[(String, u32, u32)],
    queues: &[(String, String, String, u64)],
) -> Catalogue {
    let mut text = String::from("data_centres: [{name: dc1, region: r1}]\npools:\n");
    let mut pools: Vec<&String> = queues.iter().map(|(_, _, pool, _)| pool).collect();
    pools.sort();
    pools.dedup();
    for pool in pools {
        writeln!(
            text,
            "- {{name: {pool}, kind: workers, max_unavailable_vms: 1}}"
        )
        .unwrap();
    }
    text.push_str("teams:\n");
    for (name, share, limit) in teams {
        writeln!(
            text,
            "- {{name: {name}, share: {share}, upper_limit_slots: {limit}}}"
        )
        .unwrap();
    }
    text.push_str("queues:\n");
    for (name, class, pool, run_max_ms) in queues {
        let owner = &teams[0].0;
        writeln!(
            text,
            "- {{name: {name}, owner: {owner}, class: {class}, pool: {pool}, limits: {{run_max_ms: {run_max_ms}}}}}"
        )
        .unwrap();
    }
    let spec = parse(&text).unwrap_or_else(|findings| panic!("{findings}\n{text}"));
    Catalogue::resolve(&spec, Revision::new(1)).expect("the catalogue resolves")
}

/// Returns an amount of processors in thousandths, memory in mebibytes, and accelerators.
pub fn resources(cpu: u32, memory_mib: u64, accelerators: u32) -> Resources {
    Resources::new(
        CpuMillis::new(cpu),
        Bytes::new(memory_mib << 20),
        Accelerators::new(accelerators),
    )
}

/// Returns a worker that accepts tasks.
pub fn worker(name: &str, rack: &str, pool: &str, capacity: Resources) -> WorkerSpec {
    WorkerSpec {
        name: name.parse().expect("a name"),
        dc: "dc1".parse().expect("a name"),
        rack: rack.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        capacity,
        availability: Availability::Open,
    }
}

/// Returns a task that may run again and cannot save its state.
pub fn task(key: u128, team: &str, queue: &str, declared: Resources) -> TaskSpec {
    TaskSpec {
        key: TaskKey::new(key),
        team: team.parse().expect("a name"),
        queue: queue.parse().expect("a name"),
        declared,
        declared_run: Duration::from_secs(10),
        deadline: None,
        checkpointable: false,
        idempotent: true,
    }
}
