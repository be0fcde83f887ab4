//! Pass 4: compares the estimated time for the remaining VMs with the time left in the period.
//!
//! A turn is the drain, reboot and verification of as many VMs of a group as its budget allows at once. A group needs
//! its remaining VMs divided by its budget, rounded up, in turns; a data centre needs as many as its longest group;
//! data centres are maintained one after the other. The length of a turn is a moving average.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::EntityRef;

use super::Context;
use crate::fleet::Fleet;

/// Safety factor on the estimated time, in percent. The deadline is close once the product exceeds the time left.
pub const RESERVE_PERCENT: u32 = 150;

/// Weight of a new turn in the moving average: one part in this many.
const LEARN_DIVISOR: u32 = 8;

/// Estimate of the turns left and of their length.
#[derive(Debug, Default)]
pub(super) struct Deadline {
    /// Moving average of the length of a turn; none until one has been measured.
    turn: Option<Duration>,
    /// The turns left in each data centre. Reused between plans.
    turns: Vec<u32>,
    /// Whether VMs with long-running tasks can no longer be deferred.
    pub(super) is_close: bool,
}

impl Deadline {
    /// Updates the moving average with the time that one VM took from its drain to its verification.
    pub(super) fn observe(&mut self, took: Duration) {
        let turn = match self.turn {
            Some(turn) => (turn * (LEARN_DIVISOR - 1) + took) / LEARN_DIVISOR,
            None => took,
        };
        self.turn = Some(turn);
    }
}

/// Estimates the time for the rest of the wave, by the longest reboot allowed until a turn has been measured.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let turn = ctx.deadline.turn.unwrap_or(cat.maintenance.reboot_max());
    let turns = turns(ctx, cat);
    ctx.status.needed = turn * turns;
    ctx.status.left = fleet.cycle.ends.saturating_duration_since(now);
    ctx.deadline.is_close = ctx.status.needed * RESERVE_PERCENT / 100 > ctx.status.left;
}

/// Returns the sum of the turns of all data centres.
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
