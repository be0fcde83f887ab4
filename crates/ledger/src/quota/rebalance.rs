//! Rebalancing of the parts within a data centre, by demand.
//!
//! Every entry of a data centre receives the demand of its peers and computes the same division of each team's
//! allocation. It then sets only its own parts: it gives back slots above its target when another entry has a
//! shortfall, and acquires free slots when it has a shortfall itself. So a shift of demand takes two cycles, and demand
//! that is covered by the slots held costs no write.

use std::collections::BTreeMap;

use goldcrest_types::names::{EntryId, TeamName};
use goldcrest_types::units::Slots;

use super::fill::fill;
use super::{DcQuota, Part, RowId, RowPhase, TeamPart, TeamQuota};

/// Divisor of the demand that gives the headroom of a raised floor: a floor is raised to 5/4 of the demand.
const FLOOR_HEADROOM: u32 = 4;

/// The slots of every team to which an entry is entitled without demand, as far as the allocation suffices for all
/// entries. An entry that holds no slots of a team could start none of its work during an outage of the key-value
/// service.
pub const IDLE_SLOTS: Slots = Slots::new(1);

/// The demand of entries for each team: running and waiting work, in slots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    entries: BTreeMap<EntryId, BTreeMap<TeamName, Slots>>,
}

impl Demand {
    /// Creates an empty demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the demand of one entry for a team.
    pub fn set(&mut self, entry: EntryId, team: &TeamName, slots: Slots) {
        let teams = self.entries.entry(entry).or_default();
        teams.insert(team.clone(), slots);
    }

    /// Returns the demand of an entry for a team, or zero if none was set.
    #[must_use]
    pub fn of(&self, entry: EntryId, team: &TeamName) -> Slots {
        let teams = self.entries.get(&entry);
        let slots = teams.and_then(|teams| teams.get(team));
        slots.copied().unwrap_or(Slots::ZERO)
    }
}

/// Buffers that [`rebalance`] reuses between calls.
#[derive(Debug, Default)]
pub struct RebalanceContext {
    recipients: Vec<RowId>,
    demands: Vec<Slots>,
}

impl RebalanceContext {
    /// Creates empty buffers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// Returns the parts that `owner` has to change in `doc`; none if its row is not held. `running` is the number of slots
/// that its running work uses, by team: it never gives these back.
#[must_use]
pub fn rebalance(
    ctx: &mut RebalanceContext,
    doc: &DcQuota,
    owner: EntryId,
    demand: &Demand,
    running: &BTreeMap<TeamName, Slots>,
) -> Vec<TeamPart> {
    let mut out = Vec::new();
    let Some(own) = doc.row_of(owner) else {
        return out;
    };
    if doc.rows()[&own].phase != RowPhase::Held {
        return out;
    }
    let held = |row: &RowId| doc.rows()[row].phase == RowPhase::Held;
    ctx.recipients.clear();
    ctx.recipients
        .extend(doc.rows().keys().copied().filter(held));
    for (team, quota) in doc.teams() {
        let demand_of = |row: &RowId| demand.of(doc.rows()[row].owner, team);
        ctx.demands.clear();
        ctx.demands.extend(ctx.recipients.iter().map(demand_of));
        let running = running.get(team).copied().unwrap_or(Slots::ZERO);
        if let Some(part) = next_part(ctx, quota, own, running) {
            let team = team.clone();
            out.push(TeamPart { team, part });
        }
    }
    out
}

fn next_part(
    ctx: &RebalanceContext,
    quota: &TeamQuota,
    own: RowId,
    running: Slots,
) -> Option<Part> {
    let held_by_recipients: Slots = ctx
        .recipients
        .iter()
        .map(|row| quota.part(*row).total())
        .sum();
    let held_by_others = quota.held() - held_by_recipients;
    let capacity = quota.ceiling() - held_by_others;
    let targets = fill(capacity, &ctx.demands);
    let at = ctx.recipients.iter().position(|row| *row == own)?;
    let before = quota.part(own);
    let demand = ctx.demands[at];
    let total = next_total(ctx, quota, &targets, at, running);
    let after = divided(before, total, demand);
    (after != before).then_some(after)
}

/// Returns the sum of floor and lent slots that the recipient at index `at` should hold.
fn next_total(
    ctx: &RebalanceContext,
    quota: &TeamQuota,
    targets: &[Slots],
    at: usize,
    running: Slots,
) -> Slots {
    let held = quota.part(ctx.recipients[at]).total();
    let target = targets[at];
    if held > target {
        let is_recalled = quota.held() > quota.ceiling();
        if is_recalled || is_other_short(ctx, quota, targets, at) {
            return target.max(running.min(held));
        }
        return held;
    }
    let is_short = held < ctx.demands[at];
    let is_unused = held.is_zero() && !target.is_zero();
    if is_short || is_unused {
        let free = quota.ceiling() - quota.held();
        return target.min(held + free);
    }
    held
}

/// Returns whether the free slots do not cover the shortfall of the other recipients.
fn is_other_short(ctx: &RebalanceContext, quota: &TeamQuota, targets: &[Slots], at: usize) -> bool {
    let mut shortfall = Slots::ZERO;
    for (index, row) in ctx.recipients.iter().enumerate() {
        let entitled = targets[index].min(ctx.demands[index].max(IDLE_SLOTS));
        if index != at {
            shortfall += entitled - quota.part(*row).total();
        }
    }
    shortfall > quota.ceiling() - quota.held()
}

/// Divides `total` into floor and lent part. The floor covers the demand, so that an outage of the key-value service
/// interrupts no work; it is raised with some headroom, and lowered only when the total changes.
fn divided(before: Part, total: Slots, demand: Slots) -> Part {
    let covers = before.floor >= demand.max(IDLE_SLOTS).min(total);
    if total == before.total() && covers {
        return before;
    }
    let headroom = Slots::new(demand.get().div_ceil(FLOOR_HEADROOM));
    let floor = total.min((demand + headroom).max(IDLE_SLOTS));
    Part::new(floor, total - floor)
}
