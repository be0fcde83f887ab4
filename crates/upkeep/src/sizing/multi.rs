//! Several thresholds with a short prediction.
//!
//! After Zimmermann, Fu, Jahangiri and Shahabi, "A Multi-Threshold Online Smoothing Technique for Variable Rate
//! Multimedia Streams": thresholds at equal distances divide the buffer, here the idle VMs of a pool. Only when a
//! threshold is crossed is a new size computed, from the mean consumption of a window and the buffer's middle. The
//! outermost thresholds add the recent error of the prediction; beyond them the reaction is stronger.

use super::history::whole_vms;
use super::{PoolState, Reason, View, Want};

/// How many thresholds there are.
const THRESHOLDS: u32 = 5;

/// The size of the buffer in parts of the expected consumption, in percent.
const BUFFER_PERCENT: u64 = 50;

/// The least size of the buffer, in thousandths of a VM.
const BUFFER_MIN_MILLIS: u64 = 2_000;

/// How many move times the prediction covers.
const WINDOW_MOVES: u32 = 5;

/// The factor on the expected consumption when the buffer is empty, in percent.
const UNDERFLOW_PERCENT: u64 = 150;

/// A new size when the idle VMs have crossed a threshold.
pub(super) fn want(state: &mut PoolState, view: &View) -> Option<Want> {
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
    (vms != view.supply).then_some(Want { vms, reason })
}

/// Between which thresholds the idle VMs lie: 0 is below the first.
fn band(supply: u64, demand: u64, buffer: u64) -> u32 {
    let idle = supply.saturating_sub(demand);
    let bands = u64::from(THRESHOLDS) + 1;
    let band = idle * bands / buffer.max(1);
    u32::try_from(band).unwrap_or(u32::MAX).min(THRESHOLDS)
}
