//! A quantile of the recent demand as the forecast.
//!
//! At that quantile, one more VM costs as much idle time as it saves in unmet demand. A pool shrinks to no less than
//! 90% of its maximum recent demand, so that it does not alternate between shrinking and growing.

use super::history::{SAMPLE_RETENTION, whole_vms};
use super::{PoolState, Reason, Target, View};

/// Returns the size at the quantile that follows from the weights of the catalogue.
pub(super) fn target(state: &mut PoolState, view: &View) -> Option<Target> {
    let weights = &view.cat.weights;
    let (unmet, buffer) = (weights.unmet_vm_hour, weights.buffer_vm_hour);
    let both = unmet.saturating_add(buffer).max(1);
    let percent = u32::try_from(u64::from(unmet) * 100 / u64::from(both)).unwrap_or(100);
    let demand_millis = state.history.quantile_millis(percent);
    let target = whole_vms(demand_millis);
    let reason = Reason::Quantile {
        percent,
        demand_millis,
    };
    let recent = state.history.mean_millis(view.move_time);
    let rising = whole_vms(recent);
    if target.max(rising) > view.supply {
        let vms = target.max(rising);
        return Some(Target { vms, reason });
    }
    let floor = whole_vms(state.history.max_millis(SAMPLE_RETENTION) * 9 / 10);
    let vms = target.max(floor.min(view.supply));
    (vms < view.supply).then_some(Target { vms, reason })
}
