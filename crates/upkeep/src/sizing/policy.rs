//! The sizing policies.

use std::fmt;

use super::{PoolState, Target, View, forecast, lazy, multi, quantile, thresholds};

/// How the target size of a pool is computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Adds one VM above a fixed utilisation, and removes one below another.
    TwoThresholds,
    /// As two thresholds, but resizes the pool to a third utilisation between them.
    ThreeThresholds,
    /// Several thresholds on the idle VMs; when one is crossed, a short prediction sets the size.
    MultiThreshold,
    /// The quantile of the recent demand at which idle VMs cost as much as unmet demand.
    Quantile,
    /// Lazy capacity provisioning: resizes only when the size leaves the bounds of the optimum over the past.
    #[default]
    Lazy,
    /// The cheapest sequence of sizes over the next hour by a short forecast.
    Forecast,
}

impl Policy {
    /// Every policy, in the order of the variants.
    pub const ALL: [Self; 6] = [
        Self::TwoThresholds,
        Self::ThreeThresholds,
        Self::MultiThreshold,
        Self::Quantile,
        Self::Lazy,
        Self::Forecast,
    ];

    /// Returns the target size of one pool, or none to keep its size.
    pub(super) fn target(self, state: &mut PoolState, view: &View) -> Option<Target> {
        match self {
            Self::TwoThresholds => thresholds::two(state, view),
            Self::ThreeThresholds => thresholds::three(state, view),
            Self::MultiThreshold => multi::target(state, view),
            Self::Quantile => quantile::target(state, view),
            Self::Lazy => lazy::target(state, view),
            Self::Forecast => forecast::target(state, view),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::TwoThresholds => "two-thresholds",
            Self::ThreeThresholds => "three-thresholds",
            Self::MultiThreshold => "multi-threshold",
            Self::Quantile => "quantile",
            Self::Lazy => "lazy",
            Self::Forecast => "forecast",
        })
    }
}
