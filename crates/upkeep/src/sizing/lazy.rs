//! Lazy capacity provisioning.
//!
//! For each size the work function holds what the best schedule of the past would have cost that ends there. When
//! growing is what a schedule pays for, the cheapest end is the least size worth having; when shrinking is, it is
//! the greatest. A pool stays as it is between the two, and moves only to the nearer one when it lies outside. The
//! weights of the catalogue are its only parameters: there is nothing to tune to a load.
//!
//! The method is known from right-sizing of data centres (Lin, Wierman, Andrew and Thereska, 2011), where it is
//! shown to cost at most three times the optimum on any load.

use std::time::Duration;

use super::history::{SPAN, whole_vms};
use super::{PoolState, Reason, View, Want};

/// How many move times the trend is followed ahead.
const AHEAD_MOVES: u32 = 4;

/// Sizes kept above what is needed now.
const MARGIN_VMS: usize = 4;

/// Milliseconds in an hour times the thousandths of a VM: costs are weights times these.
const UNITS_PER_VM_HOUR: u64 = 3_600_000 * 1_000;

/// The work function: the cost of the best schedule of the past that ends at each size.
#[derive(Debug, Clone, Default)]
pub(super) struct Work {
    costs: Vec<u64>,
}

/// Stays between the bounds of the past's best schedules.
pub(super) fn want(state: &mut PoolState, view: &View) -> Option<Want> {
    let demand = expected_millis(state, view);
    let growth = growth_cost(view);
    state.lazy.widen(demand, view, growth);
    state.lazy.relax(growth);
    state.lazy.charge(demand, view);
    let least = state.lazy.least();
    let greatest = state.lazy.greatest(growth).max(least);
    if view.supply < least {
        let reason = Reason::UnmetOutweighsMove {
            cheapest_vms: least,
        };
        return Some(Want { vms: least, reason });
    }
    let reason = Reason::IdleOutweighsMove {
        cheapest_vms: greatest,
    };
    let vms = greatest;
    (view.supply > greatest).then_some(Want { vms, reason })
}

/// The demand that is expected when a move that begins now has paid for itself, going by the trend.
fn expected_millis(state: &PoolState, view: &View) -> u64 {
    let ahead = view.move_time * AHEAD_MOVES;
    let late = state.history.mean_millis(SPAN / 3);
    let early = state.history.mean_millis(SPAN);
    // The middles of the two windows lie half the difference of their lengths apart.
    let apart_ms = millis(SPAN / 3);
    let change = late.abs_diff(early) * millis(ahead) / apart_ms;
    if late >= early {
        view.demand_millis + change
    } else {
        view.demand_millis.saturating_sub(change)
    }
}

/// What one VM costs that comes and goes again: two moves, and idle while it moves.
fn growth_cost(view: &View) -> u64 {
    let weights = &view.cat.weights;
    let moves = u64::from(weights.one_move) * 2 * UNITS_PER_VM_HOUR;
    let idle = u64::from(weights.buffer_vm_hour) * millis(view.move_time) * 1_000;
    moves + idle
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Work {
    /// Makes room for every size that may be worth having.
    fn widen(&mut self, demand_millis: u64, view: &View, growth: u64) {
        let needed = whole_vms(demand_millis).max(view.supply) as usize + MARGIN_VMS;
        let needed = needed.min(view.max_vms as usize) + 1;
        if self.costs.is_empty() {
            self.costs.push(0);
        }
        while self.costs.len() < needed {
            let last = self.costs.last().copied().unwrap_or(0);
            self.costs.push(last + growth);
        }
    }

    /// Lets the schedule grow by paying, and shrink for nothing.
    fn relax(&mut self, growth: u64) {
        for size in 1..self.costs.len() {
            let grown = self.costs[size - 1] + growth;
            self.costs[size] = self.costs[size].min(grown);
        }
        for size in (1..self.costs.len()).rev() {
            self.costs[size - 1] = self.costs[size - 1].min(self.costs[size]);
        }
    }

    /// Adds what the last step cost at each size, and keeps the numbers small.
    fn charge(&mut self, demand_millis: u64, view: &View) {
        let step_ms = millis(view.step);
        let unmet = u64::from(view.cat.weights.unmet_vm_hour) * step_ms;
        let idle = u64::from(view.cat.weights.buffer_vm_hour) * step_ms;
        let mut supply_millis = 0_u64;
        for cost in &mut self.costs {
            *cost += unmet * demand_millis.saturating_sub(supply_millis);
            *cost += idle * supply_millis.saturating_sub(demand_millis);
            supply_millis += 1_000;
        }
        let least = self.costs.iter().copied().min().unwrap_or(0);
        for cost in &mut self.costs {
            *cost -= least;
        }
    }

    /// The least size that ends a best schedule when growing is paid for.
    fn least(&self) -> u32 {
        let best = self.costs.iter().enumerate().min_by_key(|(_, cost)| **cost);
        best.map_or(0, |(size, _)| u32::try_from(size).unwrap_or(u32::MAX))
    }

    /// The greatest size that ends a best schedule when shrinking is paid for.
    fn greatest(&self, growth: u64) -> u32 {
        let mut best = (0, u64::MAX);
        let top = growth * self.costs.len() as u64;
        let mut refund = 0;
        for (size, cost) in self.costs.iter().enumerate() {
            // Paying at the end instead of the start takes the same amount from every size for each VM it has.
            let shifted = cost + top - refund;
            if shifted <= best.1 {
                best = (size, shifted);
            }
            refund += growth;
        }
        u32::try_from(best.0).unwrap_or(u32::MAX)
    }
}
