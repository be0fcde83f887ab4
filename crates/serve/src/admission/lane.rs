//! One queue's work for one team.

use std::time::Instant;

use goldcrest_types::catalogue::{Class, Queue};
use goldcrest_types::entity::{PoolId, QueueId, TeamId};
use goldcrest_types::units::Slots;

use super::WorkId;
use super::estimate::Pace;

/// A waiting request in its lane's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Which request.
    pub work: WorkId,
}

/// The state of one queue and one team at this entry.
#[derive(Debug, Clone)]
pub struct Lane {
    /// The queue.
    pub queue: QueueId,
    /// The team.
    pub team: TeamId,
    /// The queue's class.
    pub class: Class,
    /// The queue's pool.
    pub pool: PoolId,
    /// The most that run.
    pub running_max: Slots,
    /// The most that wait.
    pub waiting_max: Slots,
    /// The most that are open to one upstream.
    pub upstream_slots: Slots,
    /// How many run.
    pub running: u32,
    /// Those that wait, the earliest deadline last.
    pub waiting: Vec<Waiting>,
    pub(super) pace: Pace,
}

impl Lane {
    pub(super) fn new(queue_id: QueueId, queue: &Queue, team: TeamId) -> Self {
        Self {
            queue: queue_id,
            team,
            class: queue.class,
            pool: queue.pool,
            running_max: queue.limits.running_slots,
            waiting_max: queue.limits.waiting_slots,
            upstream_slots: queue.limits.upstream_slots,
            running: 0,
            waiting: Vec::new(),
            pace: Pace::default(),
        }
    }

    /// The request that starts next.
    #[must_use]
    pub fn head(&self) -> Option<Waiting> {
        self.waiting.last().copied()
    }

    /// How many wait, as the sums count them.
    #[must_use]
    pub fn waiting_len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Adds a request in order.
    pub(super) fn enqueue(&mut self, item: Waiting) {
        let at = self.waiting.partition_point(|other| *other > item);
        self.waiting.insert(at, item);
    }

    /// Takes a request out, if it is there.
    pub(super) fn remove(&mut self, item: Waiting) -> bool {
        let at = self.waiting.partition_point(|other| *other > item);
        let found = self.waiting.get(at) == Some(&item);
        if found {
            self.waiting.remove(at);
        }
        found
    }
}
