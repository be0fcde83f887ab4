//! What an entry knows of itself and the fleet.

use std::collections::BTreeMap;

use goldcrest_api::{
    EntryRevision, InForce, PoolStatus, Status, StoreStatus, TeamShare, TeamStatus,
};
use goldcrest_front::{TeamGrants, TeamUsage};
use goldcrest_ledger::fleet::{FleetDoc, VmState};
use goldcrest_ledger::freshness::Freshness;
use goldcrest_ledger::jobs::{JobsDoc, TaskState};
use goldcrest_peer::message::ExplainAsk;
use goldcrest_types::catalogue::{Catalogue, Pool};
use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::{Slots, VmCount};

use crate::scheduler::jobs_key;
use crate::scheduler::plan::SHARDS;
use crate::world::World;

/// Why the balancer must not send callers, or none if it may.
#[must_use]
pub fn not_ready(world: &World) -> Option<Box<str>> {
    if world.stopping.is_cancelled() {
        return Some("not ready: stopping".into());
    }
    if world.cat().is_none() {
        return Some("not ready: no catalogue has been read yet".into());
    }
    (!world.front.is_ready()).then(|| "not ready: the serving path has not started".into())
}

/// On which entries which revision is in force, as every data centre tells.
pub async fn in_force(world: &World) -> InForce {
    let told = world.peers.in_force().await;
    let entries = told.into_iter().map(|told| EntryRevision {
        entry: told.member.entry,
        vm: told.member.vm,
        data_centre: told.member.dc,
        revision: told.revision,
    });
    InForce {
        entries: entries.collect(),
    }
}

/// The question by which the entry that runs the maintenance wave is asked about it.
pub const WAVES: &str = "waves";

/// The state of things as this entry knows it, with what other entries and the key-value service have to be asked for.
pub async fn whole_status(world: &World) -> Status {
    let mut status = status(world);
    status.waves = waves(world).await;
    status.tasks = tasks(world).await;
    status.shares = shares(world).await;
    status
}

/// What stands before a data centre's name in the question by which the entry that schedules its tasks is asked for the
/// teams' shares.
pub const SHARES: &str = "shares/";

/// The teams' shares as this entry tells others, if it schedules.
pub fn shares_text(world: &World, dc: &str) -> Option<Box<str>> {
    if world.settings.entry.data_centre.as_str() != dc {
        return None;
    }
    let shares = world.task_shares.borrow();
    let text = serde_json::to_string(&*shares).ok()?;
    (!shares.is_empty()).then(|| text.into())
}

/// The teams' shares of this data centre's workers. Only the entry that schedules its tasks knows.
pub async fn shares(world: &World) -> Vec<TeamShare> {
    let own = world.task_shares.borrow().clone();
    if !own.is_empty() {
        return own;
    }
    let id = format!("{SHARES}{}", world.settings.entry.data_centre).into();
    let told = world.peers.explain(ExplainAsk { id }).await;
    let shares = told.and_then(|text| serde_json::from_str(&text).ok());
    shares.unwrap_or_default()
}

/// How the maintenance wave stands. Only the entry that runs it knows.
async fn waves(world: &World) -> Vec<Box<str>> {
    let own = world.waves.borrow().clone();
    if !own.is_empty() {
        return own;
    }
    match world.peers.explain(ExplainAsk { id: WAVES.into() }).await {
        Some(told) => told.lines().map(Into::into).collect(),
        None => vec!["no entry runs the maintenance wave now".into()],
    }
}

/// The tasks of this data centre, counted by state.
async fn tasks(world: &World) -> Vec<Box<str>> {
    let dc = &world.settings.entry.data_centre;
    let (mut waiting, mut running, mut parked) = (0, 0, 0);
    for shard in 0..SHARDS {
        let doc = match world.session.read::<JobsDoc>(&jobs_key(dc, shard)).await {
            Ok((doc, _)) => doc,
            Err(error) => return vec![format!("tasks in {dc}: {error}").into()],
        };
        for task in doc.tasks().values() {
            match task.state {
                TaskState::Waiting => waiting += 1,
                TaskState::Running { .. } => running += 1,
                TaskState::Parked { .. } => parked += 1,
            }
        }
    }
    vec![format!("tasks in {dc}: {waiting} waiting, {running} running, {parked} parked").into()]
}

/// The state of things as this process knows it, without asking anybody.
#[must_use]
pub fn status(world: &World) -> Status {
    let cat = world.cat();
    let cat = cat.as_deref();
    Status {
        entry: world.entry,
        vm: world.settings.entry.vm.clone(),
        data_centre: world.settings.entry.data_centre.clone(),
        revision: world.revision(),
        ready: not_ready(world).unwrap_or_else(|| "ready".into()),
        store: store(world),
        pools: cat.map_or_else(Vec::new, |cat| pools(world, cat)),
        teams: cat.map_or_else(Vec::new, |cat| teams(world, cat)),
        shares: Vec::new(),
        waves: Vec::new(),
        tasks: Vec::new(),
    }
}

fn store(world: &World) -> StoreStatus {
    let counts = world.session.counts();
    let now = world.now();
    let freshness = *world.freshness.borrow();
    StoreStatus {
        calls: counts.total(),
        failed_calls: counts.unreachable + counts.outcomes_unknown,
        has_session: world.session.valid_until(now).is_some(),
        key_freshness: freshness_text(freshness, freshness.holds(now)),
    }
}

fn freshness_text(freshness: Freshness, holds: bool) -> Box<str> {
    match freshness {
        Freshness::Fresh { kind, .. } if holds => format!("taken ({kind:?})").into(),
        Freshness::Fresh { .. } => "refused (the last proof is too old)".into(),
        Freshness::Stale(reason) => format!("refused ({reason:?})").into(),
    }
}

fn pools(world: &World, cat: &Catalogue) -> Vec<PoolStatus> {
    let fleets = world.fleets.borrow();
    let mut rows = Vec::new();
    for pool in cat.pools.values() {
        for (dc, doc) in fleets.iter() {
            rows.push(pool_row(pool, dc, doc));
        }
    }
    rows
}

fn pool_row(pool: &Pool, dc: &DcName, doc: &FleetDoc) -> PoolStatus {
    let count = |state: VmState| {
        let of_pool = doc.vms().values().filter(|vm| vm.pool == pool.name);
        let found = of_pool.filter(|vm| vm.state == state).count();
        VmCount::new(u32::try_from(found).unwrap_or(u32::MAX))
    };
    PoolStatus {
        pool: pool.name.clone(),
        data_centre: dc.clone(),
        kind: pool.kind,
        serving_vms: count(VmState::Serving),
        draining_vms: count(VmState::Draining),
        rebooting_vms: count(VmState::Rebooting),
        failed_vms: count(VmState::Failed),
        joining_vms: count(VmState::Joining),
        max_unavailable_vms: pool.max_unavailable_vms,
    }
}

fn teams(world: &World, cat: &Catalogue) -> Vec<TeamStatus> {
    let usage: BTreeMap<TeamName, TeamUsage> = world
        .front
        .usage()
        .into_iter()
        .map(|usage| (usage.team.clone(), usage))
        .collect();
    let grants = world.split.front_grants();
    let rows = cat.teams.values().map(|team| {
        let used = usage.get(&team.name);
        TeamStatus {
            team: team.name.clone(),
            share: team.share,
            upper_limit_slots: team.upper_limit,
            usable_slots: usable(world, &grants, &team.name),
            running_slots: used.map_or(Slots::ZERO, |used| used.running),
            waiting_slots: used.map_or(Slots::ZERO, |used| used.waiting),
        }
    });
    rows.collect()
}

fn usable(world: &World, grants: &TeamGrants, team: &TeamName) -> Slots {
    let Some(grant) = grants.teams.iter().find(|grant| grant.team == *team) else {
        return Slots::ZERO;
    };
    let has_lent = grants.lent_until.is_some_and(|until| world.now() < until);
    let lent = if has_lent { grant.lent } else { Slots::ZERO };
    grant.floor + lent
}
