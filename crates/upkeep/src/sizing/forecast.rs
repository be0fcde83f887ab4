//! The cheapest sequence of sizes over a short forecast.
//!
//! A line fitted to the recent demand gives its level and trend; the residuals give the spread of the demand around the
//! line and how fast a deviation decays. From these follows the expected cost of each size over the horizon, as a mean
//! over quantiles of the residuals. The plan is the cheapest sequence of sizes over the horizon, and only its first
//! step is taken; the next plan starts over (receding horizon).

use std::collections::VecDeque;
use std::time::Duration;

use super::{PoolState, Reason, Target, View};

/// Time window of the samples that the line is fitted to.
const FIT_WINDOW: Duration = Duration::from_mins(90);

/// Length of the planning horizon in move times: one hour at the default move time.
const HORIZON_MOVES: usize = 30;

/// Number of evenly spaced quantiles that represent the distribution of the residuals.
const RESIDUAL_QUANTILES: usize = 16;

/// Sizes considered: at most this many VMs above or below the current size.
const SEARCH_RADIUS_VMS: u32 = 8;

/// Minimum number of samples for a slope; with fewer, the line is flat at their mean.
const SAMPLES_MIN: usize = 20;

/// Model of the recent demand of one pool, in VMs and seconds.
#[derive(Debug, Clone, Default)]
pub(super) struct Model {
    /// Model clock in seconds and demand in VMs, oldest first.
    samples: VecDeque<(f64, f64)>,
    /// Sum of the times between plans, without pauses.
    clock_s: f64,
    /// Quantiles of the residuals, in VMs, ascending.
    residuals: Vec<f64>,
    /// Value of the line at the last sample.
    level: f64,
    slope_per_s: f64,
    /// The residual of the last sample.
    residual: f64,
    /// The fraction of a residual expected to remain after one second, from the autocorrelation at lag one.
    residual_decay_per_s: f64,
    /// Least cost from the end of the first step to the horizon, for each size considered.
    costs: Vec<f64>,
    /// Buffer of [`Model::cost_to_go`].
    next: Vec<f64>,
}

/// Returns the cheapest size by the forecast, if it differs from the current one.
pub(super) fn target(state: &mut PoolState, view: &View) -> Option<Target> {
    let model = &mut state.forecast;
    model.push(view);
    model.fit();
    let cheapest = model.cheapest(view);
    let reason = if cheapest > view.supply {
        Reason::UnmetOutweighsMove {
            cheapest_vms: cheapest,
        }
    } else {
        Reason::IdleOutweighsMove {
            cheapest_vms: cheapest,
        }
    };
    let vms = cheapest;
    (cheapest != view.supply).then_some(Target { vms, reason })
}

/// Costs per VM by the weights of the catalogue; `idle_s` and `unmet_s` are per second.
#[derive(Debug, Clone, Copy)]
struct Costs {
    idle_s: f64,
    unmet_s: f64,
    grow: f64,
    shrink: f64,
    move_s: f64,
}

impl Costs {
    fn new(view: &View) -> Self {
        let weights = &view.cat.weights;
        let idle_s = f64::from(weights.buffer_vm_hour) / 3_600.0;
        let one_move = f64::from(weights.one_move);
        let move_s = view.move_time.as_secs_f64().max(1.0);
        Self {
            idle_s,
            unmet_s: f64::from(weights.unmet_vm_hour) / 3_600.0,
            grow: one_move + idle_s * move_s,
            shrink: one_move,
            move_s,
        }
    }

    fn switch_cost(&self, from: u32, to: u32) -> f64 {
        f64::from(to.saturating_sub(from)) * self.grow
            + f64::from(from.saturating_sub(to)) * self.shrink
    }
}

impl Model {
    fn push(&mut self, view: &View) {
        self.clock_s += view.elapsed.as_secs_f64();
        let millis = u32::try_from(view.demand_millis).unwrap_or(u32::MAX);
        self.samples
            .push_back((self.clock_s, f64::from(millis) / 1_000.0));
        let oldest = self.clock_s - FIT_WINDOW.as_secs_f64();
        while self.samples.front().is_some_and(|(at, _)| *at < oldest) {
            self.samples.pop_front();
        }
    }

    /// Fits the line by least squares and updates the residuals.
    fn fit(&mut self) {
        let count = count_f64(self.samples.len());
        let mean_at = self.samples.iter().map(|(at, _)| at).sum::<f64>() / count;
        let mean = self.samples.iter().map(|(_, vms)| vms).sum::<f64>() / count;
        let (mut square, mut product) = (0.0, 0.0);
        for (at, vms) in &self.samples {
            square += (at - mean_at).powi(2);
            product += (at - mean_at) * (vms - mean);
        }
        let has_slope = self.samples.len() >= SAMPLES_MIN && square > 0.0;
        self.slope_per_s = if has_slope { product / square } else { 0.0 };
        self.level = mean + self.slope_per_s * (self.clock_s - mean_at);
        self.fit_residuals(mean_at, mean);
    }

    fn fit_residuals(&mut self, mean_at: f64, mean: f64) {
        let slope = self.slope_per_s;
        let residual = |(at, vms): &(f64, f64)| vms - mean - slope * (at - mean_at);
        let mut all: Vec<f64> = self.samples.iter().map(residual).collect();
        self.residual = all.last().copied().unwrap_or_default();
        let square: f64 = all.iter().map(|one| one * one).sum();
        let product: f64 = all.windows(2).map(|pair| pair[0] * pair[1]).sum();
        let passed = self.clock_s - self.samples.front().map_or(0.0, |(at, _)| *at);
        let step_s = passed / count_f64(all.len().saturating_sub(1));
        let memory = if square > 0.0 { product / square } else { 0.0 };
        self.residual_decay_per_s = if step_s > 0.0 {
            memory.clamp(0.0, 0.999).powf(1.0 / step_s)
        } else {
            0.0
        };
        all.sort_unstable_by(f64::total_cmp);
        self.residuals.clear();
        for nth in 0..RESIDUAL_QUANTILES {
            let rank = (2 * nth + 1) * all.len() / (2 * RESIDUAL_QUANTILES);
            self.residuals.push(all[rank.min(all.len() - 1)]);
        }
    }

    /// Returns the expected cost per second of having `vms` VMs `after_s` seconds from now.
    fn loss_per_s(&self, vms: u32, after_s: f64, costs: &Costs) -> f64 {
        let left = self.residual_decay_per_s.powf(after_s);
        let spread = (1.0 - left * left).sqrt();
        let middle = self.level + self.slope_per_s * after_s + left * self.residual;
        let mut sum = 0.0;
        for residual in &self.residuals {
            let idle = f64::from(vms) - (middle + spread * residual).max(0.0);
            sum += if idle >= 0.0 {
                idle * costs.idle_s
            } else {
                -idle * costs.unmet_s
            };
        }
        sum / count_f64(RESIDUAL_QUANTILES)
    }

    /// Returns the size to move to now; the current size if no other one is cheaper.
    fn cheapest(&mut self, view: &View) -> u32 {
        let costs = Costs::new(view);
        let first = view.supply.saturating_sub(SEARCH_RADIUS_VMS);
        let last = (view.supply + SEARCH_RADIUS_VMS)
            .min(view.max_vms)
            .max(first);
        self.cost_to_go(first, last, &costs);
        let now = |vms: u32| {
            // A VM that begins to move now serves only after one move time.
            let early = self.loss_per_s(vms.min(view.supply), costs.move_s / 2.0, &costs);
            let ahead = self.costs[(vms - first) as usize];
            early * costs.move_s + costs.switch_cost(view.supply, vms) + ahead
        };
        let mut best = (view.supply, f64::INFINITY);
        if (first..=last).contains(&view.supply) {
            best.1 = now(view.supply);
        }
        for vms in first..=last {
            let cost = now(vms);
            if cost < best.1 {
                best = (vms, cost);
            }
        }
        best.0
    }

    /// Computes `costs` by dynamic programming, backwards from the horizon.
    fn cost_to_go(&mut self, first: u32, last: u32, costs: &Costs) {
        let mut next = std::mem::take(&mut self.next);
        let mut ahead = std::mem::take(&mut self.costs);
        ahead.clear();
        ahead.resize((last - first + 1) as usize, 0.0);
        for step in (1..=HORIZON_MOVES).rev() {
            relax(&mut ahead, costs);
            next.clone_from(&ahead);
            let after_s = (count_f64(step) + 0.5) * costs.move_s;
            for (vms, cost) in (first..).zip(&mut next) {
                *cost += self.loss_per_s(vms, after_s, costs) * costs.move_s;
            }
            std::mem::swap(&mut next, &mut ahead);
        }
        self.next = next;
        self.costs = ahead;
    }
}

/// Lowers each cost to that of switching to another size first.
fn relax(ahead: &mut [f64], costs: &Costs) {
    for vms in (1..ahead.len()).rev() {
        ahead[vms - 1] = ahead[vms - 1].min(ahead[vms] + costs.grow);
    }
    for vms in 1..ahead.len() {
        ahead[vms] = ahead[vms].min(ahead[vms - 1] + costs.shrink);
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}
