//! Checks of the promises that depend on the documents.
//!
//! Each function reports every broken invariant with its entity. The `_step` functions compare a document before and
//! after a change, for invariants that a single state can't show.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::names::{DcName, EntryId, PoolName, TeamName, VmName};
use goldcrest_types::units::{Revision, Slots, VmCount};

use crate::catalogue::Head;
use crate::fleet::FleetDoc;
use crate::jobs::{Checkpoint, JobsDoc};
use crate::quota::{DcQuota, FleetQuota};
use crate::role::RoleDoc;

/// The running work of one team that one entry has admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The entry that has admitted the work.
    pub entry: EntryId,
    /// The team that the work is charged to.
    pub team: TeamName,
    /// Number of slots that the work uses.
    pub slots: Slots,
}

/// An admission of keyed work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The instant of the admission.
    pub at: Instant,
    /// The catalogue revision by which the work was admitted.
    pub revision: Revision,
}

/// The acceptance of a catalogue revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acceptance {
    /// The instant at which the operator got the reply.
    pub at: Instant,
    /// The revision that was accepted.
    pub revision: Revision,
}

/// Checks that each VM has a record in the document of one data centre only.
pub fn one_pool(docs: &BTreeMap<DcName, FleetDoc>, out: &mut Breaches) {
    let mut seen: BTreeMap<&VmName, &DcName> = BTreeMap::new();
    for (dc, doc) in docs {
        for vm in doc.vms().keys() {
            if let Some(other) = seen.insert(vm, dc) {
                let detail = format!("VM {vm}: recorded in data centres {other} and {dc}");
                out.push(Promise::OnePool, detail);
            }
        }
    }
}

/// Checks that no more VMs of a pool are out of service by permit than its budget allows.
pub fn budget(doc: &FleetDoc, budgets: &BTreeMap<PoolName, VmCount>, out: &mut Breaches) {
    for (pool, budget) in budgets {
        let permitted = doc.permitted(pool);
        if permitted > *budget {
            let detail = format!("pool {pool}: {permitted} VMs by permit, budget {budget}");
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}

/// Checks that a change that gave a permit left no more VMs out of service, failed ones included, than the budget
/// allows.
pub fn budget_step(
    before: &FleetDoc,
    after: &FleetDoc,
    budgets: &BTreeMap<PoolName, VmCount>,
    out: &mut Breaches,
) {
    for (pool, budget) in budgets {
        let is_given = after.permitted(pool) > before.permitted(pool);
        let unavailable = after.unavailable(pool);
        if is_given && unavailable > *budget {
            let detail = format!("pool {pool}: {unavailable} VMs out of service, budget {budget}");
            out.push(Promise::AvailabilityBudget, detail);
        }
    }
}

/// Checks that the parts of a data centre's rows stay within its allocations and belong to existing rows.
pub fn allocations(doc: &DcQuota, out: &mut Breaches) {
    for (team, quota) in doc.teams() {
        if quota.held() > quota.allocation {
            let (held, allocation) = (quota.held(), quota.allocation);
            let detail = format!("team {team}: rows hold {held}, allocation {allocation}");
            out.push(Promise::UpperLimit, detail);
        }
        for row in quota
            .parts
            .keys()
            .filter(|row| !doc.rows().contains_key(row))
        {
            let detail = format!("team {team}: {row} holds a part and does not exist");
            out.push(Promise::UpperLimit, detail);
        }
    }
}

/// Checks that the allocations and free slots of each team add up to its limit and outstanding slots.
pub fn limits(doc: &FleetQuota, out: &mut Breaches) {
    for (team, t) in doc.teams() {
        let issued: Slots = t.allocations.values().copied().sum();
        if issued + t.free != t.limit + t.outstanding {
            let detail = format!(
                "team {team}: allocations {issued} and free {} against limit {} and outstanding {}",
                t.free, t.limit, t.outstanding
            );
            out.push(Promise::UpperLimit, detail);
        }
    }
}

/// Checks that no data centre's document holds a larger allocation than the fleet's document counts for it.
pub fn allocations_counted(
    fleet: &FleetQuota,
    dcs: &BTreeMap<DcName, DcQuota>,
    out: &mut Breaches,
) {
    for (dc, doc) in dcs {
        for (team, quota) in doc.teams() {
            let counted = fleet.teams().get(team);
            let counted = counted.map_or(Slots::ZERO, |team| team.allocation(dc));
            if quota.allocation > counted {
                let allocation = quota.allocation;
                let detail = format!("team {team}: {dc} holds {allocation}, {counted} is counted");
                out.push(Promise::UpperLimit, detail);
            }
        }
    }
}

/// Checks that the running work of no team exceeds its upper limit.
pub fn upper_limit(running: &[Running], limits: &BTreeMap<TeamName, Slots>, out: &mut Breaches) {
    for (team, limit) in limits {
        let of_team = || running.iter().filter(|work| work.team == *team);
        let sum: Slots = of_team().map(|work| work.slots).sum();
        if sum > *limit {
            let parts: Vec<String> = of_team()
                .map(|work| format!("{}: {}", work.entry, work.slots))
                .collect();
            let parts = parts.join(", ");
            let detail = format!("team {team}: {sum} running, upper limit {limit} ({parts})");
            out.push(Promise::UpperLimit, detail);
        }
    }
}

/// Checks that the revision rises with each change of the catalogue and never falls.
pub fn revision_step(before: &Head, after: &Head, out: &mut Breaches) {
    let (old, new) = (before.revision(), after.revision());
    let is_changed = before.spec() != after.spec();
    if new < old || (is_changed && new == old) {
        let detail = format!("revision {old} was followed by {new}");
        out.push(Promise::ConfigurationInForce, detail);
    }
}

/// Checks that a role's epoch never falls, and rises with each change of the holder.
pub fn role_step(before: &RoleDoc, after: &RoleDoc, out: &mut Breaches) {
    let (old, new) = (before.epoch(), after.epoch());
    let is_taken = after.holder().is_some() && after.holder() != before.holder();
    if new < old || (is_taken && new == old) {
        let detail = format!("role: epoch {old} was followed by {new}");
        out.push(Promise::AtMostOnce, detail);
    }
}

/// Checks that no ended task is live, and that a non-idempotent task has no second attempt without a checkpoint.
pub fn at_most_once(doc: &JobsDoc, out: &mut Breaches) {
    let ended: HashSet<_> = doc.ended().map(|ended| ended.key).collect();
    for (key, task) in doc.tasks() {
        if ended.contains(key) {
            out.push(Promise::AtMostOnce, format!("task {key}: ended and live"));
        }
        if !task.is_idempotent && task.attempts > 1 && task.checkpoint != Checkpoint::Saved {
            let detail = format!("task {key}: non-idempotent, {} attempts", task.attempts);
            out.push(Promise::AtMostOnce, detail);
        }
    }
}

/// Checks that no keyed work was admitted by a revision that had been replaced for longer than `bound`.
pub fn key_authority(
    admissions: &[Admission],
    acceptances: &[Acceptance],
    bound: Duration,
    out: &mut Breaches,
) {
    for admission in admissions {
        let is_late = |accepted: &&Acceptance| {
            accepted.revision > admission.revision && accepted.at + bound < admission.at
        };
        if let Some(accepted) = acceptances.iter().find(is_late) {
            let detail = format!(
                "admitted by revision {} though {} was accepted {} ms before",
                admission.revision,
                accepted.revision,
                admission.at.duration_since(accepted.at).as_millis()
            );
            out.push(Promise::KeyAuthority, detail);
        }
    }
}
