//! The recent demand of one pool.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Samples older than this are dropped.
pub(super) const SAMPLE_RETENTION: Duration = Duration::from_mins(30);

/// Samples of the demand in thousandths of a VM, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    samples: VecDeque<(Instant, u64)>,
    /// Buffer of [`History::quantile_millis`].
    sorted: Vec<u64>,
}

impl History {
    /// Adds a sample and drops those that are too old.
    pub(super) fn push(&mut self, now: Instant, demand_millis: u64) {
        self.samples.push_back((now, demand_millis));
        while let Some((at, _)) = self.samples.front() {
            if now.saturating_duration_since(*at) <= SAMPLE_RETENTION {
                break;
            }
            self.samples.pop_front();
        }
    }

    /// Returns the mean over the last `window`, in thousandths of a VM; 0 without samples.
    pub(super) fn mean_millis(&self, window: Duration) -> u64 {
        let Some(&(end, _)) = self.samples.back() else {
            return 0;
        };
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at, _)| end.saturating_duration_since(*at) < window);
        let (sum, count) = recent.fold((0, 0), |(sum, count), (_, d)| (sum + d, count + 1));
        sum / u64::max(count, 1)
    }

    /// Returns the `percent` quantile of all samples, in thousandths of a VM; 0 without samples.
    pub(super) fn quantile_millis(&mut self, percent: u32) -> u64 {
        self.sorted.clear();
        self.sorted
            .extend(self.samples.iter().map(|(_, demand)| demand));
        let Some(last) = self.sorted.len().checked_sub(1) else {
            return 0;
        };
        let rank = last * percent.min(100) as usize / 100;
        *self.sorted.select_nth_unstable(rank).1
    }

    /// Returns the maximum over the last `window`, in thousandths of a VM; 0 without samples.
    pub(super) fn max_millis(&self, window: Duration) -> u64 {
        let Some(&(end, _)) = self.samples.back() else {
            return 0;
        };
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at, _)| end.saturating_duration_since(*at) < window);
        recent.map(|(_, demand)| *demand).max().unwrap_or(0)
    }
}

/// Converts thousandths of a VM to whole VMs, rounded up.
pub(super) fn whole_vms(millis: u64) -> u32 {
    u32::try_from(millis.div_ceil(1_000)).unwrap_or(u32::MAX)
}
