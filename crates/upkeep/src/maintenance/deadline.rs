//! Pass 4: what is left against the time left in the period.
//!
//! A group needs as many turns as its VMs left divided by its budget; a data centre needs those of its longest
//! group; the data centres go one after the other. The length of a turn is learned.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::EntityRef;

use super::Context;
use crate::fleet::Fleet;

/// How much longer than expected the rest may take before the wave must hurry, in percent.
pub const RESERVE_PERCENT: u32 = 150;

/// A new turn changes the learned length by one part in this many.
const LEARN_DIVISOR: u32 = 8;

/// What the context has learned about turns.
#[derive(Debug, Default)]
pub(super) struct Deadline {
    turn: Option<Duration>,
    /// The turns left in each data centre, reused.
    turns: Vec<u32>,
    /// Whether VMs with long tasks can no longer be put off.
    pub(super) is_close: bool,
}

impl Deadline {
    /// Takes in the length of one turn: drain, reboot and verification.
    pub(super) fn learn(&mut self, took: Duration) {
        let turn = match self.turn {
            Some(turn) => (turn * (LEARN_DIVISOR - 1) + took) / LEARN_DIVISOR,
            None => took,
        };
        self.turn = Some(turn);
    }
}

/// Estimates the rest of the wave.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let turn = ctx.deadline.turn.unwrap_or(cat.maintenance.reboot_max());
    let turns = turns(ctx, cat);
    ctx.status.needed = turn * turns;
    ctx.status.left = fleet.cycle.ends.saturating_duration_since(now);
    ctx.deadline.is_close = ctx.status.needed * RESERVE_PERCENT / 100 > ctx.status.left;
}

/// The turns of all data centres, one after the other.
fn turns(ctx: &mut Context, cat: &Catalogue) -> u32 {
    let by_dc = &mut ctx.deadline.turns;
    by_dc.clear();
    by_dc.resize(cat.dcs.len(), 0);
    for (group, count) in ctx.census.iter().filter(|(_, count)| count.due > 0) {
        let budget = cat.pools[group.pool].max_unavailable_vms.get();
        let turns = &mut by_dc[group.dc.index()];
        *turns = count.due.div_ceil(budget.max(1)).max(*turns);
    }
    by_dc.iter().sum()
}
