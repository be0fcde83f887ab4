//! One record's change, with the record as the operator saw it.

use goldcrest_types::catalogue::{
    CatalogueSpec, DcSpec, KeySpec, MaintenanceSpec, OperatorSpec, PoolSpec, QueueSpec, TeamSpec,
    Weights,
};
use goldcrest_types::names::{KeyName, TeamName};
use serde::{Deserialize, Serialize};

use super::text;

/// A record before and after a change; none stands for no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// The record as the operator saw it.
    pub before: Option<T>,
    /// The record as it shall be.
    pub after: Option<T>,
}

impl<T> Delta<T> {
    /// A record that is put where there was none.
    pub const fn put(after: T) -> Self {
        Self {
            before: None,
            after: Some(after),
        }
    }

    /// A record that takes another's place.
    pub const fn replace(before: T, after: T) -> Self {
        Self {
            before: Some(before),
            after: Some(after),
        }
    }

    /// A record that is removed.
    pub const fn remove(before: T) -> Self {
        Self {
            before: Some(before),
            after: None,
        }
    }
}

/// The change of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A data centre.
    Dc(Delta<DcSpec>),
    /// A pool.
    Pool(Delta<PoolSpec>),
    /// A team.
    Team(Delta<TeamSpec>),
    /// A queue.
    Queue(Delta<QueueSpec>),
    /// A caller's key: put is granted, removed is withdrawn.
    Key(Delta<KeySpec>),
    /// An operator's key.
    Operator(Delta<OperatorSpec>),
    /// The weights of the measures.
    Weights(Delta<Weights>),
    /// How VMs are maintained.
    Maintenance(Delta<MaintenanceSpec>),
}

/// A change that does not fit the record in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The change as asked for.
    pub wanted: Change,
    /// What the operator saw and what is in force instead.
    pub meanwhile: Change,
}

impl Change {
    /// Grants a key.
    #[must_use]
    pub const fn grant(key: KeySpec) -> Self {
        Self::Key(Delta::put(key))
    }

    /// Withdraws a key, or none if it is not granted.
    #[must_use]
    pub fn withdraw(spec: &CatalogueSpec, key: &KeyName) -> Option<Self> {
        let found = spec.keys.iter().find(|known| known.name == *key)?;
        Some(Self::Key(Delta::remove(found.clone())))
    }

    /// Withdraws every key of a team.
    #[must_use]
    pub fn withdraw_all(spec: &CatalogueSpec, team: &TeamName) -> Vec<Self> {
        let of_team = spec.keys.iter().filter(|key| key.team == *team);
        of_team
            .map(|key| Self::Key(Delta::remove(key.clone())))
            .collect()
    }

    /// Applies the change to `spec`. A record that already is as it shall be is left alone.
    ///
    /// # Errors
    ///
    /// The record in force is neither as the operator saw it nor as it shall be.
    pub fn apply(&self, spec: &mut CatalogueSpec) -> Result<(), Box<Conflict>> {
        let meanwhile = match self {
            Self::Dc(delta) => apply_record(&mut spec.data_centres, delta).map(Self::Dc),
            Self::Pool(delta) => apply_record(&mut spec.pools, delta).map(Self::Pool),
            Self::Team(delta) => apply_record(&mut spec.teams, delta).map(Self::Team),
            Self::Queue(delta) => apply_record(&mut spec.queues, delta).map(Self::Queue),
            Self::Key(delta) => apply_record(&mut spec.keys, delta).map(Self::Key),
            Self::Operator(delta) => apply_record(&mut spec.operators, delta).map(Self::Operator),
            Self::Weights(delta) => apply_block(&mut spec.weights, delta).map(Self::Weights),
            Self::Maintenance(delta) => {
                apply_block(&mut spec.maintenance, delta).map(Self::Maintenance)
            }
        };
        match meanwhile {
            None => Ok(()),
            Some(meanwhile) => Err(Box::new(Conflict {
                wanted: self.clone(),
                meanwhile,
            })),
        }
    }
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&text::change(self))
    }
}

/// A record that is known by its name.
pub(super) trait Named: Clone + PartialEq {
    /// The name as text.
    fn name_text(&self) -> &str;
}

macro_rules! named {
    ($($record:ty),*) => {
        $(impl Named for $record {
            fn name_text(&self) -> &str {
                self.name.as_str()
            }
        })*
    };
}

named!(DcSpec, PoolSpec, TeamSpec, QueueSpec, KeySpec, OperatorSpec);

/// Applies `delta` to a list, or returns what came between.
fn apply_record<T: Named>(records: &mut Vec<T>, delta: &Delta<T>) -> Option<Delta<T>> {
    let named = delta.after.as_ref().or(delta.before.as_ref())?.name_text();
    let at = records
        .iter()
        .position(|record| record.name_text() == named);
    let current = at.map(|index| &records[index]);
    if current == delta.after.as_ref() {
        return None;
    }
    if current != delta.before.as_ref() {
        return Some(Delta {
            before: delta.before.clone(),
            after: current.cloned(),
        });
    }
    match (at, &delta.after) {
        (Some(index), Some(after)) => records[index] = after.clone(),
        (Some(index), None) => {
            records.remove(index);
        }
        (None, Some(after)) => records.push(after.clone()),
        (None, None) => {}
    }
    None
}

/// Applies `delta` to a block that always exists, or returns what came between.
fn apply_block<T: Clone + PartialEq + Default>(
    block: &mut T,
    delta: &Delta<T>,
) -> Option<Delta<T>> {
    let after = delta.after.clone().unwrap_or_default();
    let before = delta.before.clone().unwrap_or_default();
    if *block != after && *block != before {
        return Some(Delta::replace(before, block.clone()));
    }
    *block = after;
    None
}
