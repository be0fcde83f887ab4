//! The optimum that knows the future: dynamic programming over each pool's size.
//!
//! It is a lower bound: it has as many spares as it likes, no VM of it fails, and it orders VMs ahead, so that it
//! pays for the time of a move as buffer but never waits for it.

use goldcrest_types::catalogue::Weights;

use crate::fake::{BOOT, Tally};
use crate::trace::{PoolTrace, Trace, vms_f64, whole};

/// How often the weight of unmet demand is halved between bounds to meet a given amount.
const ROUNDS: u32 = 14;

/// What each choice costs in one tick or move.
struct Costs {
    buffer: f64,
    unmet: f64,
    grow: f64,
    shrink: f64,
    tick_hours: f64,
}

/// The optimum whose unmet demand is at most that given, and as near to it as a weight brings it.
pub fn at_equal_unmet(trace: &Trace, weights: &Weights, unmet_vm_hours: f64) -> Tally {
    let (mut low, mut high) = (0.01_f64, 1e5_f64);
    let mut best = run(trace, weights, high);
    for _ in 0..ROUNDS {
        let middle = (low * high).sqrt();
        let tally = run(trace, weights, middle);
        if tally.unmet_vm_hours <= unmet_vm_hours + 0.01 {
            high = middle;
            best = tally;
        } else {
            low = middle;
        }
    }
    best
}

/// The cheapest sizes where an hour of unmet demand weighs `unmet`.
pub fn run(trace: &Trace, weights: &Weights, unmet: f64) -> Tally {
    let boot_hours = BOOT.as_secs_f64() / 3_600.0;
    let buffer = f64::from(weights.buffer_vm_hour);
    let one_move = f64::from(weights.one_move);
    let tick_hours = trace.step.as_secs_f64() / 3_600.0;
    let costs = Costs {
        buffer: buffer * tick_hours,
        unmet: unmet * tick_hours,
        grow: one_move + buffer * boot_hours,
        shrink: one_move,
        tick_hours,
    };
    let mut total = Tally::default();
    for pool in &trace.pools {
        add_pool(&mut total, pool, &costs, boot_hours);
    }
    total
}

fn add_pool(total: &mut Tally, pool: &PoolTrace, costs: &Costs, boot_hours: f64) {
    let peak = pool.demand_millis.iter().max().copied().unwrap_or(0);
    let sizes = whole(peak.div_ceil(1_000)).max(pool.vms) + 2;
    let ticks = pool.demand_millis.len();
    let mut cost: Vec<f64> = (0..sizes)
        .map(|size| step_cost(pool.vms, size, costs))
        .collect();
    let mut from = vec![0_u16; sizes * ticks];
    for tick in 0..ticks {
        if tick > 0 {
            relax(&mut cost, &mut from[tick * sizes..][..sizes], costs);
        }
        let demand = millis_f64(pool.demand_millis[tick]);
        for (size, cost) in cost.iter_mut().enumerate() {
            *cost += match size {
                // Every pool keeps one VM, as the policies must.
                0 => f64::INFINITY,
                _ => tick_cost(size, demand, costs),
            };
        }
    }
    let ends = cost.iter().enumerate();
    let end = ends
        .min_by(|a, b| a.1.total_cmp(b.1))
        .map_or(0, |(size, _)| size);
    let mut size = end;
    for tick in (0..ticks).rev() {
        let demand = millis_f64(pool.demand_millis[tick]);
        let vms = vms_f64(size);
        total.unmet_vm_hours += f64::max(demand - vms, 0.0) * costs.tick_hours;
        total.buffer_vm_hours += f64::max(vms - demand, 0.0) * costs.tick_hours;
        let before = match tick {
            0 => pool.vms,
            _ => usize::from(from[tick * sizes + size]),
        };
        total.moves += vms_f64(size.abs_diff(before));
        total.buffer_vm_hours += vms_f64(size.saturating_sub(before)) * boot_hours;
        size = before;
    }
}

fn step_cost(from: usize, to: usize, costs: &Costs) -> f64 {
    let grown = vms_f64(to.saturating_sub(from)) * costs.grow;
    grown + vms_f64(from.saturating_sub(to)) * costs.shrink
}

fn tick_cost(size: usize, demand: f64, costs: &Costs) -> f64 {
    let idle = vms_f64(size) - demand;
    if idle >= 0.0 {
        idle * costs.buffer
    } else {
        -idle * costs.unmet
    }
}

/// Lets each size be reached from its neighbours, and notes where from.
fn relax(cost: &mut [f64], from: &mut [u16], costs: &Costs) {
    for (size, from) in from.iter_mut().enumerate() {
        *from = u16::try_from(size).unwrap_or(u16::MAX);
    }
    for size in 1..cost.len() {
        if cost[size - 1] + costs.grow < cost[size] {
            cost[size] = cost[size - 1] + costs.grow;
            from[size] = from[size - 1];
        }
    }
    for size in (1..cost.len()).rev() {
        if cost[size] + costs.shrink < cost[size - 1] {
            cost[size - 1] = cost[size] + costs.shrink;
            from[size - 1] = from[size];
        }
    }
}

fn millis_f64(millis: u64) -> f64 {
    f64::from(u32::try_from(millis).unwrap_or(u32::MAX)) / 1_000.0
}
