//! A quantile of the recent demand as the forecast.
//!
//! The quantile is the one where one more VM costs as much by standing idle as it saves in unmet demand. A pool
//! shrinks only to what its greatest recent mean still needs, so that it does not shrink and grow in turn.

use super::history::{SPAN, whole_vms};
use super::{PoolState, Reason, View, Want};

/// The size at the quantile that the weights name.
pub(super) fn want(state: &mut PoolState, view: &View) -> Option<Want> {
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
        return Some(Want { vms, reason });
    }
    let floor = whole_vms(state.history.max_millis(SPAN) * 9 / 10);
    let vms = target.max(floor.min(view.supply));
    (vms < view.supply).then_some(Want { vms, reason })
}
