//! What an entry gives back and takes, by demand.
//!
//! Every entry of a data centre hears the others' demand and works out the same division of each team's portion. It
//! then sets only its own parts: it gives back what is above its target when another entry is short, and takes what
//! is free when it is short itself. So a shift of demand costs two rounds, and no demand within what is held costs a
//! write.

use std::collections::BTreeMap;

use goldcrest_types::names::{EntryId, TeamName};
use goldcrest_types::units::Slots;

use super::fill::fill;
use super::{DcQuota, Part, RowId, RowPhase, TeamPart, TeamQuota};

/// How much room above the demand a floor is given when it is raised, as one part in this many.
const FLOOR_HEADROOM: u32 = 4;

/// What every entry is due of every team without any demand, as far as it goes round. An entry that holds nothing of a
/// team could start none of its work through an outage of the key-value service.
pub const IDLE_SLOTS: Slots = Slots::new(1);

/// What entries want of each team: running and waiting together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    entries: BTreeMap<EntryId, BTreeMap<TeamName, Slots>>,
}

impl Demand {
    /// No demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what one entry wants of a team.
    pub fn set(&mut self, entry: EntryId, team: &TeamName, slots: Slots) {
        let teams = self.entries.entry(entry).or_default();
        teams.insert(team.clone(), slots);
    }

    /// What an entry wants of a team.
    #[must_use]
    pub fn of(&self, entry: EntryId, team: &TeamName) -> Slots {
        let teams = self.entries.get(&entry);
        let slots = teams.and_then(|teams| teams.get(team));
        slots.copied().unwrap_or(Slots::ZERO)
    }
}

/// The buffers of [`rebalance`], for reuse.
#[derive(Debug, Default)]
pub struct RebalanceContext {
    takers: Vec<RowId>,
    demands: Vec<Slots>,
}

impl RebalanceContext {
    /// Empty buffers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// The parts that `owner` shall set in `doc`. `running` is what it has running of each team: it never gives that back.
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
    ctx.takers.clear();
    ctx.takers.extend(doc.rows().keys().copied().filter(held));
    for (team, quota) in doc.teams() {
        let wanted = |row: &RowId| demand.of(doc.rows()[row].owner, team);
        ctx.demands.clear();
        ctx.demands.extend(ctx.takers.iter().map(wanted));
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
    let held_by_takers: Slots = ctx.takers.iter().map(|row| quota.part(*row).total()).sum();
    let held_by_others = quota.held() - held_by_takers;
    let capacity = quota.ceiling() - held_by_others;
    let targets = fill(capacity, &ctx.demands);
    let at = ctx.takers.iter().position(|row| *row == own)?;
    let before = quota.part(own);
    let demand = ctx.demands[at];
    let total = next_total(ctx, quota, &targets, at, running);
    let after = divided(before, total, demand);
    (after != before).then_some(after)
}

/// What the owner at index `at` shall hold in sum.
fn next_total(
    ctx: &RebalanceContext,
    quota: &TeamQuota,
    targets: &[Slots],
    at: usize,
    running: Slots,
) -> Slots {
    let held = quota.part(ctx.takers[at]).total();
    let target = targets[at];
    if held > target {
        let is_asked_back = quota.held() > quota.ceiling();
        if is_asked_back || is_other_short(ctx, quota, targets, at) {
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

/// Whether another taker holds less than it demands and is due, and nothing is free for it.
fn is_other_short(ctx: &RebalanceContext, quota: &TeamQuota, targets: &[Slots], at: usize) -> bool {
    let mut missing = Slots::ZERO;
    for (index, row) in ctx.takers.iter().enumerate() {
        let due = targets[index].min(ctx.demands[index].max(IDLE_SLOTS));
        if index != at {
            missing += due - quota.part(*row).total();
        }
    }
    missing > quota.ceiling() - quota.held()
}

/// Divides `total` into floor and lent part. The floor covers the demand, so that an outage of the key-value service
/// cuts no work; it is raised with some room and lowered only when the total changes.
fn divided(before: Part, total: Slots, demand: Slots) -> Part {
    let covers = before.floor >= demand.max(IDLE_SLOTS).min(total);
    if total == before.total() && covers {
        return before;
    }
    let room = Slots::new(demand.get().div_ceil(FLOOR_HEADROOM));
    let floor = total.min((demand + room).max(IDLE_SLOTS));
    Part::new(floor, total - floor)
}
