//! Explanations of requests, tasks, VMs, teams and refusals for operators.

use goldcrest_api::{Explanation, Subject};
use goldcrest_ledger::fleet::{FleetVm, Purpose};
use goldcrest_ledger::jobs::{JobsDoc, Task, TaskState};
use goldcrest_peer::message::ExplainAsk;
use goldcrest_serve::outcome::{NotRunCode, UnknownCode};
use goldcrest_types::names::{DcName, RequestId, TaskKey, TeamName, VmName};

use super::status;
use crate::scheduler::jobs_key;
use crate::scheduler::plan::shard_of;
use crate::scheduler::told;
use crate::world::World;

/// Explains a request, task, VM, team or refusal; none if no entry that answers has a record of it.
pub async fn explain(world: &World, subject: Subject, id: &str) -> Option<Explanation> {
    let lines = match subject {
        Subject::Task => task(world, id.parse().ok()?).await?,
        Subject::Request => split(&known_somewhere(world, id).await?),
        Subject::Vm => vm(world, &id.parse().ok()?).await?,
        Subject::Team => team(world, &id.parse().ok()?).await?,
        Subject::Refusal => refusal(id)?,
    };
    Some(Explanation { lines })
}

fn split(text: &str) -> Vec<Box<str>> {
    text.lines().map(Into::into).collect()
}

/// Explains a refusal's code and names the caller's remedy.
fn refusal(code: &str) -> Option<Vec<Box<str>>> {
    let not_run = NotRunCode::ALL.iter().find(|known| known.as_str() == code);
    if let Some(known) = not_run {
        return Some(vec![
            format!("{code}: the work did not run").into(),
            known.remedy().into(),
        ]);
    }
    let unknown = UnknownCode::ALL
        .iter()
        .find(|known| known.as_str() == code)?;
    Some(vec![
        format!("{code}: the work may have run").into(),
        unknown.remedy().into(),
    ])
}

/// Returns the explanation of this entry, or else the first one of another entry.
async fn known_somewhere(world: &World, id: &str) -> Option<Box<str>> {
    match known_here(world, id).await {
        Some(found) => Some(found),
        None => world.peers.explain(ExplainAsk { id: id.into() }).await,
    }
}

/// Answers a query from this entry's own state: a request's id, or one of the query prefixes and names that entries use
/// among themselves. None if this entry has no record of it.
pub async fn known_here(world: &World, id: &str) -> Option<Box<str>> {
    if let Some(key) = id.strip_prefix(TASK) {
        return told::task_reason(world, key.parse().ok()?).await;
    }
    if let Some(dc) = id.strip_prefix(status::SHARES) {
        return status::shares_text(world, dc);
    }
    if let Some(vm) = id.strip_prefix(MOVE) {
        let vm = vm.parse().ok()?;
        return world.sizing.borrow().explain(&vm, world.now());
    }
    let lines = match id {
        status::WAVES => world.waves.borrow().clone(),
        id => request(world, &id.parse().ok()?)?,
    };
    (!lines.is_empty()).then(|| lines.join("\n").into())
}

/// Explains a task from the tasks documents, those of this data centre first.
async fn task(world: &World, key: TaskKey) -> Option<Vec<Box<str>>> {
    let cat = world.cat()?;
    let own = &world.settings.entry.data_centre;
    let others = cat.dcs.values().map(|dc| &dc.name).filter(|dc| *dc != own);
    for dc in std::iter::once(own).chain(others) {
        let doc_key = jobs_key(dc, shard_of(key));
        let Ok((doc, _)) = world.session.read::<JobsDoc>(&doc_key).await else {
            continue;
        };
        if let Some(task) = doc.tasks().get(&key) {
            let mut lines = task_lines(key, dc, task);
            let id = format!("{TASK}{key}");
            if let Some(reason) = known_somewhere(world, &id).await {
                lines.push(format!("its scheduler says: {reason}").into());
            }
            return Some(lines);
        }
        if let Some(outcome) = doc.outcome(key) {
            return Some(vec![format!("task {key} in {dc}: {outcome}").into()]);
        }
    }
    None
}

fn task_lines(key: TaskKey, dc: &DcName, task: &Task) -> Vec<Box<str>> {
    let state = match &task.state {
        TaskState::Waiting => "waits for a place".into(),
        TaskState::Running {
            worker,
            attempt,
            epoch,
        } => format!("was given to {worker} as attempt {attempt} in epoch {epoch}"),
        TaskState::Parked { reason } => format!("is parked: {reason}"),
    };
    let of = format!(
        "task {key} in {dc}: queue {}, team {}, {} class",
        task.queue, task.team, task.class
    );
    let needs = format!(
        "declared to need {} thousandths of a core and {} bytes for {} ms",
        task.need.cpu_millis, task.need.memory_bytes, task.run_ms
    );
    let mut lines: Vec<Box<str>> = vec![of.into(), needs.into(), format!("it {state}").into()];
    if task.is_cancelled {
        lines.push("it was cancelled while it ran and is being stopped".into());
    }
    if task.attempts > 0 {
        lines.push(format!("given to workers {} times so far", task.attempts).into());
    }
    lines
}

fn request(world: &World, id: &RequestId) -> Option<Vec<Box<str>>> {
    let found = world.front.explain(*id)?;
    let queue = found
        .queue
        .map_or_else(|| "no queue".into(), |queue| format!("queue {queue}"));
    let team = found
        .team
        .map_or_else(|| "no team".into(), |team| format!("team {team}"));
    let mut lines: Vec<Box<str>> = vec![format!("request {id}: {queue}, {team}").into()];
    if let Some(revision) = found.revision {
        lines.push(format!("decided by catalogue revision {revision}").into());
    }
    lines.extend(found.steps.iter().map(|step| step.to_string().into()));
    Some(lines)
}

/// The prefix of a task's key in a query for the reason of its state.
const TASK: &str = "task/";

/// The prefix of a VM's name in a query for the reason of its last move.
const MOVE: &str = "move/";

async fn vm(world: &World, name: &VmName) -> Option<Vec<Box<str>>> {
    let mut lines = vm_lines(world, name)?;
    lines.extend(known_somewhere(world, &format!("{MOVE}{name}")).await);
    Some(lines)
}

fn vm_lines(world: &World, name: &VmName) -> Option<Vec<Box<str>>> {
    let mut lines = Vec::new();
    let listing = world.listing.borrow();
    if let Some(listed) = listing.vms.iter().find(|vm| vm.name == *name) {
        lines.push(
            format!(
                "the platform lists {name} in {} rack {} as {:?}, started {} times",
                listed.data_centre, listed.rack, listed.phase, listed.boots
            )
            .into(),
        );
    }
    let fleets = world.fleets.borrow();
    for (dc, doc) in fleets.iter() {
        if let Some(record) = doc.vms().get(name) {
            lines.extend(record_lines(dc, record));
        }
    }
    (!lines.is_empty()).then_some(lines)
}

fn record_lines(dc: &DcName, record: &FleetVm) -> Vec<Box<str>> {
    let mut lines = vec![
        format!(
            "it is in pool {} of {dc} and {}, last maintained in wave {}",
            record.pool, record.state, record.wave
        )
        .into(),
    ];
    if let Some(permit) = &record.permit {
        let purpose = match &permit.purpose {
            Purpose::Maintain { wave } => format!("maintenance wave {wave}"),
            Purpose::Move { to } => format!("a move to pool {to}"),
        };
        let by = permit.holder;
        let epoch = permit.epoch;
        lines.push(
            format!("it is out of service for {purpose}, by entry {by} in epoch {epoch}").into(),
        );
    }
    lines
}

async fn team(world: &World, name: &TeamName) -> Option<Vec<Box<str>>> {
    let status = status::status(world);
    let row = status.teams.iter().find(|row| row.team == *name)?;
    let quota = format!(
        "team {name} may run {} over the fleet and {} through this entry now",
        row.upper_limit_slots, row.usable_slots
    );
    let work = format!(
        "{} run and {} wait through this entry",
        row.running_slots, row.waiting_slots
    );
    let keys = format!("keyed work is {}", status.store.key_freshness);
    let mut lines: Vec<Box<str>> = vec![quota.into(), work.into(), keys.into()];
    let shares = status::shares(world).await;
    if let Some(share) = shares.iter().find(|share| share.team == *name) {
        let (used, entitled) = (share.used_ratio, share.entitled_ratio);
        let dc = &world.settings.entry.data_centre;
        let line = format!(
            "its tasks use {used:.3} of the workers of {dc}, and may use {entitled:.3} when all is full"
        );
        lines.push(line.into());
    }
    Some(lines)
}
