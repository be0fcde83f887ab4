//! What an entry knows of itself and the fleet.

use std::collections::BTreeMap;

use goldcrest_api::{EntryRevision, InForce, PoolStatus, Status, StoreStatus, TeamStatus};
use goldcrest_front::{TeamGrants, TeamUsage};
use goldcrest_ledger::fleet::{FleetDoc, VmState};
use goldcrest_ledger::freshness::Freshness;
use goldcrest_types::catalogue::{Catalogue, Pool};
use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::{Slots, VmCount};

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

/// The state of things as this entry knows it.
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
