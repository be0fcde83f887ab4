//! Several thresholds on the idle VMs, with a short prediction.
//!
//! After Zimmermann, Fu, Jahangiri and Shahabi, "A Multi-Threshold Online Smoothing Technique for Variable Rate
//! Multimedia Streams": evenly spaced thresholds divide the buffer, here the idle VMs of a pool. A new size is computed
//! only when a threshold is crossed, from the mean consumption over a window plus half the buffer. The outermost bands
//! also account for the recent prediction error, and beyond the outermost thresholds every plan computes a new size.

use super::history::whole_vms;
use super::{PoolState, Reason, Target, View};

/// Number of thresholds, which divide the idle VMs into one band more.
const THRESHOLDS: u32 = 5;

/// Size of the buffer in percent of the expected consumption.
const BUFFER_PERCENT: u64 = 50;

/// Minimum size of the buffer, in thousandths of a VM.
const BUFFER_MIN_MILLIS: u64 = 2_000;

/// Length of the prediction window in move times.
const WINDOW_MOVES: u32 = 5;

/// Factor on the expected consumption below the first threshold, in percent.
const UNDERFLOW_PERCENT: u64 = 150;

/// Returns a new size if the idle VMs have crossed a threshold or lie beyond the outermost ones.
pub(super) fn target(state: &mut PoolState, view: &View) -> Option<Target> {
    let window = view.move_time * WINDOW_MOVES;
    let expected = state.history.mean_millis(window);
    let current = state.history.mean_millis(view.move_time);
    let buffer = (expected * BUFFER_PERCENT / 100).max(BUFFER_MIN_MILLIS);
    let supply = u64::from(view.supply) * 1_000;
    let band = band(supply, current, buffer);
    let last = state.band.replace(band);
    let is_crossed = last.is_some_and(|last| last != band);
    let is_outside = band == 0 || band == THRESHOLDS;
    if !is_crossed && !is_outside {
        return None;
    }
    let error = expected.abs_diff(current);
    let expected_millis = match band {
        0 => (expected * UNDERFLOW_PERCENT / 100).min(expected.max(current) + error),
        1 => expected + error,
        THRESHOLDS => expected.saturating_sub(error).max(current),
        _ => expected.max(current),
    };
    let vms = whole_vms(expected_millis + buffer / 2);
    let reason = Reason::Crossed { expected_millis };
    (vms != view.supply).then_some(Target { vms, reason })
}

/// Returns the band that the idle VMs lie in: 0 is below the first threshold, [`THRESHOLDS`] above the last.
fn band(supply: u64, demand: u64, buffer: u64) -> u32 {
    let idle = supply.saturating_sub(demand);
    let bands = u64::from(THRESHOLDS) + 1;
    let band = idle * bands / buffer.max(1);
    u32::try_from(band).unwrap_or(u32::MAX).min(THRESHOLDS)
}
