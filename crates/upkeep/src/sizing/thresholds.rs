//! Two and three fixed thresholds on the utilisation of a pool.

use super::history::whole_vms;
use super::{PoolState, Reason, Target, View};

/// Utilisation above which a pool grows, in percent.
const HIGH_PERCENT: u32 = 90;

/// Utilisation to which the three-threshold policy resizes a pool, in percent.
const MIDDLE_PERCENT: u32 = 80;

/// Utilisation below which a pool shrinks, in percent.
const LOW_PERCENT: u32 = 65;

/// Adds or removes one VM when the utilisation is outside the thresholds.
pub(super) fn two(state: &PoolState, view: &View) -> Option<Target> {
    let mean = state.history.mean_millis(view.move_time);
    let (is_above, reason) = passed(mean, view.supply)?;
    let vms = if is_above {
        view.supply + 1
    } else {
        view.supply - 1
    };
    Some(Target { vms, reason })
}

/// Resizes to the middle utilisation when the utilisation is outside the outer thresholds.
pub(super) fn three(state: &PoolState, view: &View) -> Option<Target> {
    let mean = state.history.mean_millis(view.move_time);
    let (_, reason) = passed(mean, view.supply)?;
    let vms = whole_vms(mean * 100 / u64::from(MIDDLE_PERCENT));
    (vms != view.supply).then_some(Target { vms, reason })
}

fn passed(mean_millis: u64, supply: u32) -> Option<(bool, Reason)> {
    let used_percent = match supply {
        0 if mean_millis == 0 => return None,
        0 => u32::MAX,
        _ => u32::try_from(mean_millis / 10 / u64::from(supply)).unwrap_or(u32::MAX),
    };
    if used_percent > HIGH_PERCENT {
        let threshold_percent = HIGH_PERCENT;
        let reason = Reason::UsedAbove {
            used_percent,
            threshold_percent,
        };
        return Some((true, reason));
    }
    let threshold_percent = LOW_PERCENT;
    let reason = Reason::UsedBelow {
        used_percent,
        threshold_percent,
    };
    (used_percent < LOW_PERCENT).then_some((false, reason))
}
