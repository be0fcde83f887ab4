//! Lazy capacity provisioning.
//!
//! For each size, the work function holds the cost of the best schedule of the past that ends at that size. If moves
//! are charged when a schedule grows, the size with the least cost is the lower bound; if they are charged when it
//! shrinks, that size is the upper bound. A pool keeps its size between the bounds, and otherwise moves to the nearer
//! one. The weights of the catalogue are the only parameters; nothing is tuned to a load.
//!
//! The method is known from right-sizing of data centres (Lin, Wierman, Andrew and Thereska, 2011), where it is
//! shown to cost at most three times the optimum on any load.

use std::time::Duration;

use super::history::{SAMPLE_RETENTION, whole_vms};
use super::{PoolState, Reason, Target, View};

/// How far the trend is extrapolated, in move times.
const TREND_HORIZON_MOVES: u32 = 4;

/// Number of sizes in the work function above the current need.
const MARGIN_VMS: usize = 4;

/// Cost units of one VM-hour: milliseconds of an hour times thousandths of a VM. Costs are weights times these units.
const UNITS_PER_VM_HOUR: u64 = 3_600_000 * 1_000;

/// The work function: the cost of the best schedule of the past that ends at each size.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkFunction {
    /// Indexed by size in VMs, relative to the least cost.
    costs: Vec<u64>,
}

/// Returns the nearer bound if the current size lies outside the bounds.
pub(super) fn target(state: &mut PoolState, view: &View) -> Option<Target> {
    let demand = expected_millis(state, view);
    let growth = growth_cost(view);
    state.lazy.widen(demand, view, growth);
    state.lazy.relax(growth);
    state.lazy.charge(demand, view);
    let lower = state.lazy.lower_bound();
    let upper = state.lazy.upper_bound(growth).max(lower);
    if view.supply < lower {
        let reason = Reason::UnmetOutweighsMove {
            cheapest_vms: lower,
        };
        return Some(Target { vms: lower, reason });
    }
    let reason = Reason::IdleOutweighsMove {
        cheapest_vms: upper,
    };
    let vms = upper;
    (view.supply > upper).then_some(Target { vms, reason })
}

/// Returns the demand extrapolated by the recent trend to the time when a move that begins now has paid off.
fn expected_millis(state: &PoolState, view: &View) -> u64 {
    let ahead = view.move_time * TREND_HORIZON_MOVES;
    let late = state.history.mean_millis(SAMPLE_RETENTION / 3);
    let early = state.history.mean_millis(SAMPLE_RETENTION);
    // The midpoints of the two windows are half the difference of their lengths apart.
    let apart_ms = millis(SAMPLE_RETENTION / 3);
    let change = late.abs_diff(early) * millis(ahead) / apart_ms;
    if late >= early {
        view.demand_millis + change
    } else {
        view.demand_millis.saturating_sub(change)
    }
}

/// Returns the cost of adding one VM and removing it again: two moves, and its idle time during a move.
fn growth_cost(view: &View) -> u64 {
    let weights = &view.cat.weights;
    let moves = u64::from(weights.one_move) * 2 * UNITS_PER_VM_HOUR;
    let idle = u64::from(weights.buffer_vm_hour) * millis(view.move_time) * 1_000;
    moves + idle
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl WorkFunction {
    /// Extends the function to the sizes needed now and [`MARGIN_VMS`] above, up to the pool's maximum.
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

    /// Lowers each cost to that of reaching the size from another one: growth costs `growth` per VM, shrinking nothing.
    fn relax(&mut self, growth: u64) {
        for size in 1..self.costs.len() {
            let grown = self.costs[size - 1] + growth;
            self.costs[size] = self.costs[size].min(grown);
        }
        for size in (1..self.costs.len()).rev() {
            self.costs[size - 1] = self.costs[size - 1].min(self.costs[size]);
        }
    }

    /// Adds the cost of the elapsed time at each size, then subtracts the least cost from all to keep the values small.
    fn charge(&mut self, demand_millis: u64, view: &View) {
        let step_ms = millis(view.elapsed);
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

    /// Returns the lower bound: the smallest size with the least cost when growth is charged.
    fn lower_bound(&self) -> u32 {
        let best = self.costs.iter().enumerate().min_by_key(|(_, cost)| **cost);
        best.map_or(0, |(size, _)| u32::try_from(size).unwrap_or(u32::MAX))
    }

    /// Returns the upper bound: the largest size with the least cost when shrinking is charged.
    fn upper_bound(&self, growth: u64) -> u32 {
        let mut best = (0, u64::MAX);
        let top = growth * self.costs.len() as u64;
        let mut refund = 0;
        for (size, cost) in self.costs.iter().enumerate() {
            // Charging shrinking instead of growth lowers the cost of each size by `growth` for each of its VMs.
            let shifted = cost + top - refund;
            if shifted <= best.1 {
                best = (size, shifted);
            }
            refund += growth;
        }
        u32::try_from(best.0).unwrap_or(u32::MAX)
    }
}
