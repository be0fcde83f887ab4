//! The change of one record, with the record as the operator saw it.

use goldcrest_types::catalogue::{
    CatalogueSpec, DcSpec, KeySpec, MaintenanceSpec, OperatorSpec, PoolSpec, QueueSpec, TeamSpec,
    Weights,
};
use goldcrest_types::names::{KeyName, TeamName};
use serde::{Deserialize, Serialize};

use super::text;

/// A record before and after a change; `None` stands for no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// The record as the operator saw it.
    pub before: Option<T>,
    /// The record after the change.
    pub after: Option<T>,
}

impl<T> Delta<T> {
    /// Creates the addition of a record.
    pub const fn put(after: T) -> Self {
        Self {
            before: None,
            after: Some(after),
        }
    }

    /// Creates the replacement of a record.
    pub const fn replace(before: T, after: T) -> Self {
        Self {
            before: Some(before),
            after: Some(after),
        }
    }

    /// Creates the removal of a record.
    pub const fn remove(before: T) -> Self {
        Self {
            before: Some(before),
            after: None,
        }
    }
}

/// The change of one record, by its section of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Changes a data centre.
    Dc(Delta<DcSpec>),
    /// Changes a pool.
    Pool(Delta<PoolSpec>),
    /// Changes a team.
    Team(Delta<TeamSpec>),
    /// Changes a queue.
    Queue(Delta<QueueSpec>),
    /// Changes a caller's key: an addition grants it, a removal withdraws it.
    Key(Delta<KeySpec>),
    /// Changes an operator's key.
    Operator(Delta<OperatorSpec>),
    /// Changes the weights of the cost measures.
    Weights(Delta<Weights>),
    /// Changes the maintenance settings of the VMs.
    Maintenance(Delta<MaintenanceSpec>),
}

/// A change that does not fit the record in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The requested change.
    pub wanted: Change,
    /// The record as the operator saw it, and the record in force.
    pub meanwhile: Change,
}

impl Change {
    /// Returns the change that grants a key.
    #[must_use]
    pub const fn grant(key: KeySpec) -> Self {
        Self::Key(Delta::put(key))
    }

    /// Returns the change that withdraws a key, or `None` if it is not granted in `spec`.
    #[must_use]
    pub fn withdraw(spec: &CatalogueSpec, key: &KeyName) -> Option<Self> {
        let found = spec.keys.iter().find(|known| known.name == *key)?;
        Some(Self::Key(Delta::remove(found.clone())))
    }

    /// Returns the changes that withdraw all keys of a team.
    #[must_use]
    pub fn withdraw_all(spec: &CatalogueSpec, team: &TeamName) -> Vec<Self> {
        let of_team = spec.keys.iter().filter(|key| key.team == *team);
        of_team
            .map(|key| Self::Key(Delta::remove(key.clone())))
            .collect()
    }

    /// Applies the change to `spec`. Does nothing if the record already has the state after the change.
    ///
    /// # Errors
    ///
    /// The record in force is neither in the state before nor in the state after the change.
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

/// A record that its name identifies within its section.
pub(super) trait Named: Clone + PartialEq {
    /// Returns the name as text.
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

/// Applies `delta` to a section's records, or returns the difference between `delta.before` and the record in force.
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

/// Applies `delta` to a block that always exists, or returns the difference between `delta.before` and the block in
/// force.
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
