//! A catalogue at a given size, and edits of it.

use goldcrest_ledger::catalogue::{CatalogueEdit, Change, Delta, diff};
use goldcrest_types::catalogue::{
    Access, CatalogueSpec, Class, DcSpec, KeySpec, PoolKind, PoolSpec, QueueLimits, QueueSpec,
    TeamSpec,
};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, EditId, TeamName};
use goldcrest_types::units::{Share, Slots, VmCount};

/// Pools of the catalogue.
const POOLS: usize = 81;

/// The upper limit of each team, in slots.
const LIMIT_SLOTS: u32 = 220;

/// The name of a data centre.
///
/// # Panics
///
/// Never: the text is a name.
#[must_use]
pub fn dc_name(number: usize) -> DcName {
    format!("dc-{number}").parse().expect("a name")
}

/// The name of a team.
///
/// # Panics
///
/// Never: the text is a name.
#[must_use]
pub fn team_name(number: usize) -> TeamName {
    format!("team-{number}").parse().expect("a name")
}

fn named<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn key(name: &str, team: usize) -> KeySpec {
    KeySpec {
        name: named(name),
        team: team_name(team),
        digest: KeyDigest::of(name),
    }
}

fn spec(dcs: usize, teams: usize, pools: usize) -> CatalogueSpec {
    CatalogueSpec {
        data_centres: (0..dcs)
            .map(|number| DcSpec {
                name: dc_name(number),
                region: named(&format!("region-{}", number % 5)),
            })
            .collect(),
        pools: (0..pools)
            .map(|number| PoolSpec {
                name: named(&format!("pool-{number}")),
                kind: PoolKind::Upstreams,
                min_vms: VmCount::new(1),
                max_vms: VmCount::new(40),
                max_unavailable_vms: VmCount::new(1),
                vm_slots: Slots::ZERO,
            })
            .collect(),
        teams: (0..teams)
            .map(|number| TeamSpec {
                name: team_name(number),
                share: Share::new(1),
                upper_limit_slots: Slots::new(LIMIT_SLOTS),
            })
            .collect(),
        queues: (0..teams)
            .map(|number| QueueSpec {
                name: named(&format!("queue-{number}")),
                owner: team_name(number),
                class: Class::Interactive,
                pool: named(&format!("pool-{}", number % pools)),
                access: Access::Keyed,
                limits: QueueLimits::default(),
            })
            .collect(),
        keys: (0..teams)
            .map(|number| key(&format!("key-{number}"), number))
            .collect(),
        ..CatalogueSpec::default()
    }
}

/// The edit that makes the whole catalogue: a queue and a key for each team, and 81 pools.
#[must_use]
pub fn first_edit(dcs: usize, teams: usize) -> CatalogueEdit {
    sized_edit(dcs, teams, POOLS)
}

/// The same with this many pools, of which there must be one.
#[must_use]
pub fn sized_edit(dcs: usize, teams: usize, pools: usize) -> CatalogueEdit {
    CatalogueEdit {
        id: EditId::new(1),
        operator: named("bench"),
        changes: diff(&CatalogueSpec::default(), &spec(dcs, teams, pools)),
    }
}

/// The edit that grants one more key.
#[must_use]
pub fn key_edit(number: usize) -> CatalogueEdit {
    CatalogueEdit {
        id: EditId::new(number as u128 + 2),
        operator: named("bench"),
        changes: vec![Change::Key(Delta::put(key(&format!("extra-{number}"), 0)))],
    }
}
