//! The status of an entry and of the fleet as the entry knows it.

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

/// Returns why the balancer must not route callers to this entry; none if the entry is ready.
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

/// Returns the catalogue revision in force on each entry, as reported by the entries of all data centres.
pub async fn in_force(world: &World) -> InForce {
    let reports = world.peers.in_force().await;
    let entries = reports.into_iter().map(|report| EntryRevision {
        entry: report.member.entry,
        vm: report.member.vm,
        data_centre: report.member.dc,
        revision: report.revision,
    });
    InForce {
        entries: entries.collect(),
    }
}

/// The query for the status lines of the entry that runs the maintenance wave.
pub const WAVES: &str = "waves";

/// Returns the status of this entry, completed by queries to other entries and the key-value service.
pub async fn whole_status(world: &World) -> Status {
    let mut status = status(world);
    status.waves = waves(world).await;
    status.tasks = tasks(world).await;
    status.shares = shares(world).await;
    status
}

/// The prefix of a data centre's name in the query for the teams' shares, which the scheduler of its tasks answers.
pub const SHARES: &str = "shares/";

/// Returns the teams' shares in `dc` as JSON for other entries; none unless this entry schedules that data centre.
pub fn shares_text(world: &World, dc: &str) -> Option<Box<str>> {
    if world.settings.entry.data_centre.as_str() != dc {
        return None;
    }
    let shares = world.task_shares.borrow();
    let text = serde_json::to_string(&*shares).ok()?;
    (!shares.is_empty()).then(|| text.into())
}

/// Returns the teams' shares of this data centre's workers, queried from the entry that schedules its tasks. Empty if
/// none answers.
pub async fn shares(world: &World) -> Vec<TeamShare> {
    let own = world.task_shares.borrow().clone();
    if !own.is_empty() {
        return own;
    }
    let id = format!("{SHARES}{}", world.settings.entry.data_centre).into();
    let reply = world.peers.explain(ExplainAsk { id }).await;
    let shares = reply.and_then(|text| serde_json::from_str(&text).ok());
    shares.unwrap_or_default()
}

/// Returns the status lines of the maintenance wave, queried from the entry that runs it.
async fn waves(world: &World) -> Vec<Box<str>> {
    let own = world.waves.borrow().clone();
    if !own.is_empty() {
        return own;
    }
    match world.peers.explain(ExplainAsk { id: WAVES.into() }).await {
        Some(reply) => reply.lines().map(Into::into).collect(),
        None => vec!["no entry runs the maintenance wave now".into()],
    }
}

/// Returns the number of tasks of this data centre by state, from the tasks documents.
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

/// Returns the status from the state of this process alone, without any query.
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
