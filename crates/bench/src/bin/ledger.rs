//! Sizes and processor time of the stored documents, at the size of `docs/CAPACITY.md` and their slopes.
//!
//! `cargo run --release -p goldcrest-bench --bin ledger`

use std::hint::black_box;
use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{CatalogueEdit, Change, Delta, Head, diff};
use goldcrest_ledger::fleet::{FleetDoc, Permit, Purpose, VmEdit};
use goldcrest_ledger::jobs::{Checkpoint, JobEdit, JobsDoc, Task, TaskState};
use goldcrest_ledger::quota::rebalance::{Demand, RebalanceContext, rebalance};
use goldcrest_ledger::quota::{
    DcEdit, DcQuota, FleetEdit, FleetQuota, Grants, Moved, Part, SessionId, TeamPart, TeamSlots,
    Transfer,
};
use goldcrest_types::catalogue::{
    Access, Catalogue, CatalogueSpec, Class, DcSpec, KeySpec, PoolKind, PoolSpec, QueueLimits,
    QueueSpec, TeamSpec,
};
use goldcrest_types::entity::{EntityRef, TeamId};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, EditId, EntryId, TaskKey, TeamName, TransferId, VmName};
use goldcrest_types::units::{Epoch, Resources, Revision, Share, Slots, VmCount};

/// How long each figure is measured.
const MEASURE: Duration = Duration::from_millis(200);

const LIMIT: u32 = 200;
const DCS: usize = 11;
const TEAMS: usize = 100;
const POOLS: usize = 81;
const ENTRIES: usize = 6;
const VMS: usize = 140;
const TASKS: usize = 500;
const PAYLOAD_BYTES: usize = 400;
const QUEUES_PER_POOL: usize = 2;
const KEYS_PER_TEAM: usize = 3;

fn name<T: std::str::FromStr>(prefix: &str, index: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{index:03}").parse().expect("a name")
}

fn count(value: usize) -> u32 {
    u32::try_from(value).expect("a small number")
}

fn id(value: usize) -> u128 {
    // The high bits make the ids as wide as drawn ones.
    (1 << 127) + u128::try_from(value).expect("a small number")
}

/// The median time of one call, in microseconds.
fn time<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut times = Vec::new();
    let end = Instant::now() + MEASURE;
    while Instant::now() < end {
        let start = Instant::now();
        black_box(call());
        times.push(start.elapsed());
    }
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}

struct Line {
    what: String,
    bytes: usize,
    encode_us: f64,
    decode_us: f64,
    apply_us: f64,
}

fn measure<D: Document + Clone>(what: &str, doc: &D, apply: impl Fn(&mut D)) -> Line {
    let bytes = doc.encode().expect("it fits in a value");
    let copy_us = time(|| doc.clone());
    let both_us = time(|| {
        let mut copy = doc.clone();
        apply(&mut copy);
        copy
    });
    Line {
        what: what.to_owned(),
        bytes: bytes.len(),
        encode_us: time(|| doc.encode()),
        decode_us: time(|| D::decode(&bytes)),
        apply_us: (both_us - copy_us).max(0.0),
    }
}

fn print(line: &Line) {
    println!(
        "| {} | {} | {:.1} | {:.1} | {:.1} |",
        line.what, line.bytes, line.encode_us, line.decode_us, line.apply_us
    );
}

/// What one more unit of `what` costs, from a document with `more` units more.
fn print_slope(what: &str, base: &Line, grown: &Line, more: usize) {
    let units = f64::from(count(more));
    let bytes = f64::from(count(grown.bytes)) - f64::from(count(base.bytes));
    println!(
        "| each {what} | {:.1} | {:.2} | {:.2} | {:.2} |",
        bytes / units,
        (grown.encode_us - base.encode_us) / units,
        (grown.decode_us - base.decode_us) / units,
        (grown.apply_us - base.apply_us) / units
    );
}

fn spec(teams: usize, pools: usize) -> CatalogueSpec {
    let pool = |index| PoolSpec {
        name: name("pool", index),
        kind: PoolKind::Workers,
        min_vms: VmCount::new(2),
        max_vms: VmCount::new(60),
        max_unavailable_vms: VmCount::new(2),
        vm_slots: Slots::ZERO,
    };
    let queue = |index: usize| QueueSpec {
        name: name("queue", index),
        owner: name("team", index % teams),
        class: Class::Interactive,
        pool: name("pool", index / QUEUES_PER_POOL),
        access: Access::Keyed,
        limits: QueueLimits::default(),
    };
    let key = |index: usize| KeySpec {
        name: name("key", index),
        team: name("team", index % teams),
        digest: KeyDigest::of(&index.to_string()),
    };
    let team = |index| TeamSpec {
        name: name("team", index),
        share: Share::new(1),
        upper_limit_slots: Slots::new(LIMIT),
    };
    let dc = |index| DcSpec {
        name: name("dc", index),
        region: name("region", index % 5),
    };
    CatalogueSpec {
        data_centres: (0..DCS).map(dc).collect(),
        pools: (0..pools).map(pool).collect(),
        teams: (0..teams).map(team).collect(),
        queues: (0..pools * QUEUES_PER_POOL).map(queue).collect(),
        keys: (0..teams * KEYS_PER_TEAM).map(key).collect(),
        ..CatalogueSpec::default()
    }
}

fn head(teams: usize, pools: usize) -> Line {
    let mut head = Head::empty();
    let edit = |index: usize, changes| CatalogueEdit {
        id: EditId::new(id(index)),
        operator: name("operator", 1),
        changes,
    };
    let changes = diff(&CatalogueSpec::default(), &spec(teams, pools));
    head.apply(&edit(0, changes)).expect("a valid catalogue");
    let limit = |head: &Head, slots| {
        let before = head.spec().teams[0].clone();
        let mut after = before.clone();
        after.upper_limit_slots = Slots::new(slots);
        vec![Change::Team(Delta::replace(before, after))]
    };
    for index in 1..70 {
        let changes = limit(&head, LIMIT + count(index));
        head.apply(&edit(index, changes)).expect("a valid edit");
    }
    let next = edit(1_000, limit(&head, 1));
    measure("catalogue/head", &head, |doc| {
        doc.apply(&next).expect("a valid edit");
    })
}

fn parts(teams: usize, part: Part) -> Vec<TeamPart> {
    let part = |index| TeamPart {
        team: name("team", index),
        part,
    };
    (0..teams).map(part).collect()
}

fn dc_quota_doc(entries: usize, teams: usize) -> DcQuota {
    let mut doc = DcQuota::empty();
    let moved = Moved {
        slots: Slots::new(LIMIT),
        limit: Slots::new(LIMIT),
    };
    let allocations = (0..teams).map(|index| (name::<TeamName>("team", index), moved));
    let raise = Transfer {
        id: TransferId::new(id(0)),
        seq: 1,
        teams: allocations.collect(),
    };
    let edit = EditId::new(id(0));
    doc.apply(edit, &[DcEdit::Raise(raise)]).expect("raised");
    for index in 0..entries {
        let owner = EntryId::new(id(index));
        let session = SessionId::new(u64::MAX);
        let join = DcEdit::Join {
            owner,
            vm: name::<VmName>("entry", index),
            boots: 1,
            session,
        };
        let parts = parts(teams, Part::new(Slots::new(5), Slots::new(5)));
        let set = DcEdit::Set {
            owner,
            session,
            parts,
        };
        let edit = EditId::new(id(index + 1));
        doc.apply(edit, &[join, set]).expect("joined");
    }
    for index in 100..170 {
        doc.apply(EditId::new(id(index)), &[]).expect("no steps");
    }
    doc
}

fn dc_quota(entries: usize, teams: usize) -> Line {
    let doc = dc_quota_doc(entries, teams);
    let set = [DcEdit::Set {
        owner: EntryId::new(id(0)),
        session: SessionId::new(u64::MAX),
        parts: parts(teams, Part::new(Slots::new(6), Slots::new(6))),
    }];
    measure("quota/<dc>", &doc, |doc| {
        doc.apply(EditId::new(id(1_000)), &set).expect("set");
    })
}

fn fleet_quota(dcs: usize, teams: usize) -> Line {
    let mut doc = FleetQuota::empty();
    let slots = |slots: u32| -> Vec<TeamSlots> {
        let of_team = |index| TeamSlots {
            team: name("team", index),
            slots: Slots::new(slots),
        };
        (0..teams).map(of_team).collect()
    };
    let mut steps = vec![FleetEdit::SetLimits {
        revision: Revision::new(1),
        limits: slots(LIMIT),
        announced: Vec::new(),
    }];
    for index in 0..dcs {
        let dc: DcName = name("dc", index);
        steps.push(FleetEdit::BeginIssue {
            dc: dc.clone(),
            id: TransferId::new(id(index)),
            teams: slots(10),
        });
        steps.push(FleetEdit::EndIssue { dc, raised_seq: 1 });
    }
    doc.apply(EditId::new(id(0)), Epoch::ZERO, &steps)
        .expect("issued");
    let release = [FleetEdit::BeginRelease {
        dc: name("dc", 0),
        id: TransferId::new(id(1_000)),
        teams: slots(5),
    }];
    measure("quota/fleet", &doc, |doc| {
        let edit = EditId::new(id(1));
        doc.apply(edit, Epoch::ZERO, &release).expect("released");
    })
}

fn fleet(vms: usize) -> Line {
    let mut doc = FleetDoc::empty();
    for index in 0..vms {
        let vm: VmName = name("worker", index);
        let steps = [
            VmEdit::Enrol {
                vm: vm.clone(),
                pool: name("pool", index % POOLS),
                rack: name("rack", index / 4),
                boots: 1,
            },
            VmEdit::Serve { vm, boots: 1 },
        ];
        let edit = EditId::new(id(index));
        doc.apply(edit, &steps).expect("enrolled");
    }
    let drain = [VmEdit::Drain {
        vm: name("worker", 0),
        permit: Permit {
            holder: EntryId::new(id(0)),
            epoch: Epoch::new(1),
            purpose: Purpose::Maintain { wave: 1 },
        },
        budget: VmCount::new(2),
    }];
    measure("fleet/<dc>", &doc, |doc| {
        doc.apply(EditId::new(id(1_000)), &drain).expect("drained");
    })
}

fn task() -> Task {
    Task {
        queue: name("queue", 1),
        team: name("team", 1),
        class: Class::Batch,
        need: Resources::ZERO,
        run_ms: 600_000,
        payload: "x".repeat(PAYLOAD_BYTES).into(),
        is_idempotent: true,
        attempts: 0,
        checkpoint: Checkpoint::Possible,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}

fn jobs(tasks: usize) -> Line {
    let accept = |index| JobEdit::Accept {
        key: TaskKey::new(id(index)),
        task: task(),
    };
    let mut doc = JobsDoc::empty();
    let steps: Vec<JobEdit> = (0..tasks).map(accept).collect();
    doc.apply(EditId::new(id(0)), &steps);
    let batch: Vec<JobEdit> = (10_000..10_100).map(accept).collect();
    measure("jobs/<dc>/<shard>, a batch of 100", &doc, |doc| {
        doc.apply(EditId::new(id(1)), &batch);
    })
}

/// What an entry does each second and right before each admission.
fn print_decisions() {
    let doc = dc_quota_doc(ENTRIES, TEAMS);
    let cat = Catalogue::resolve(&spec(TEAMS, POOLS), Revision::new(1)).expect("valid");
    let owner = EntryId::new(id(0));
    let mut demand = Demand::new();
    for index in 0..ENTRIES {
        for team in 0..TEAMS {
            let slots = Slots::new(count((index * 7 + team) % 40));
            demand.set(EntryId::new(id(index)), &name("team", team), slots);
        }
    }
    let running = std::collections::BTreeMap::new();
    let mut ctx = RebalanceContext::new();
    let grants = Grants::of(&doc, owner, &cat, None);
    let now = Instant::now();
    let rebalance_us = time(|| rebalance(&mut ctx, &doc, owner, &demand, &running));
    let grants_us = time(|| Grants::of(&doc, owner, &cat, None));
    let usable_us = time(|| {
        let teams = (0..TEAMS).map(|team| grants.usable(TeamId::new(team), now));
        teams.sum::<Slots>()
    });
    println!("\n| decision | us |\n|---|---|");
    println!("| rebalance, {ENTRIES} entries, {TEAMS} teams | {rebalance_us:.1} |");
    println!("| Grants::of, {TEAMS} teams | {grants_us:.1} |");
    println!("| Grants::usable of {TEAMS} teams | {usable_us:.2} |");
}

fn main() {
    println!(
        "{DCS} data centres, {ENTRIES} entries and {VMS} VMs in each, {TEAMS} teams, {POOLS} pools,"
    );
    println!(
        "{QUEUES_PER_POOL} queues a pool, {KEYS_PER_TEAM} keys a team, {TASKS} tasks of {PAYLOAD_BYTES} B a shard\n"
    );
    println!("| document | bytes | encode us | decode us | apply us |\n|---|---|---|---|---|");
    let (head_line, dc_line) = (head(TEAMS, POOLS), dc_quota(ENTRIES, TEAMS));
    let (portions_line, fleet_line) = (fleet_quota(DCS, TEAMS), fleet(VMS));
    let jobs_line = jobs(TASKS);
    for line in [
        &head_line,
        &dc_line,
        &portions_line,
        &fleet_line,
        &jobs_line,
    ] {
        print(line);
    }
    println!("\n| slope | bytes | encode us | decode us | apply us |\n|---|---|---|---|---|");
    let more_teams = head(TEAMS * 2, POOLS);
    print_slope("team in catalogue/head", &head_line, &more_teams, TEAMS);
    let more_pools = head(TEAMS, POOLS * 2);
    print_slope("pool in catalogue/head", &head_line, &more_pools, POOLS);
    let more_entries = dc_quota(ENTRIES * 2, TEAMS);
    print_slope("entry in quota/<dc>", &dc_line, &more_entries, ENTRIES);
    let more_teams = dc_quota(ENTRIES, TEAMS * 2);
    print_slope("team in quota/<dc>", &dc_line, &more_teams, TEAMS);
    let more_dcs = fleet_quota(DCS + 8, TEAMS);
    print_slope("data centre in quota/fleet", &portions_line, &more_dcs, 8);
    let more_teams = fleet_quota(DCS, TEAMS * 2);
    print_slope("team in quota/fleet", &portions_line, &more_teams, TEAMS);
    print_slope("VM in fleet/<dc>", &fleet_line, &fleet(VMS * 2), VMS);
    print_slope(
        "task in jobs/<dc>/<shard>",
        &jobs_line,
        &jobs(TASKS * 2),
        TASKS,
    );
    print_decisions();
}
