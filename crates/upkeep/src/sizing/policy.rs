//! The policies that can be chosen.

use std::fmt;

use super::{PoolState, View, Want, forecast, lazy, multi, quantile, thresholds};

/// How the size of a pool is decided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// One VM more above a fixed utilisation, one less below another.
    TwoThresholds,
    /// As two thresholds, but the size goes to a third utilisation between them.
    ThreeThresholds,
    /// Several thresholds on the idle VMs; crossing one sizes by a short prediction.
    MultiThreshold,
    /// A quantile of the recent demand, where unmet demand and idle VMs weigh the same.
    Quantile,
    /// Lazy capacity provisioning: moves only when the optimum of the past leaves no other choice.
    #[default]
    Lazy,
    /// The cheapest way through the next hour, as a short forecast has it.
    Forecast,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 6] = [
        Self::TwoThresholds,
        Self::ThreeThresholds,
        Self::MultiThreshold,
        Self::Quantile,
        Self::Lazy,
        Self::Forecast,
    ];

    /// The size that one pool should have, or none to leave it.
    pub(super) fn want(self, state: &mut PoolState, view: &View) -> Option<Want> {
        match self {
            Self::TwoThresholds => thresholds::two(state, view),
            Self::ThreeThresholds => thresholds::three(state, view),
            Self::MultiThreshold => multi::want(state, view),
            Self::Quantile => quantile::want(state, view),
            Self::Lazy => lazy::want(state, view),
            Self::Forecast => forecast::want(state, view),
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
