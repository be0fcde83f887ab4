//! A lane: the requests of one queue for one team, with their limits and counts.

use std::time::Instant;

use goldcrest_types::catalogue::{Class, Queue};
use goldcrest_types::entity::{PoolId, QueueId, TeamId};
use goldcrest_types::units::Slots;

use super::WorkId;
use super::estimate::MeanRunTime;

/// An element of a lane's waiting list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// Deadline of the request.
    pub deadline: Instant,
    /// Record of the request.
    pub work: WorkId,
}

/// The state of one queue and one team at this entry.
#[derive(Debug, Clone)]
pub struct Lane {
    /// Queue that the requests came to.
    pub queue: QueueId,
    /// Team that the requests are charged to.
    pub team: TeamId,
    /// Class of the queue.
    pub class: Class,
    /// Pool of the queue.
    pub pool: PoolId,
    /// Limit of running requests.
    pub running_max: Slots,
    /// Limit of waiting requests.
    pub waiting_max: Slots,
    /// Limit of open requests for each upstream.
    pub upstream_slots: Slots,
    /// Number of running requests.
    pub running: u32,
    /// Waiting requests in descending order, so the earliest deadline is last.
    pub waiting: Vec<Waiting>,
    pub(super) mean_run_time: MeanRunTime,
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
            mean_run_time: MeanRunTime::default(),
        }
    }

    /// Returns the waiting request with the earliest deadline, which starts next.
    #[must_use]
    pub fn head(&self) -> Option<Waiting> {
        self.waiting.last().copied()
    }

    /// Returns the number of waiting requests as `u32`, the type of the sums.
    #[must_use]
    pub fn waiting_len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Inserts a request in order.
    pub(super) fn enqueue(&mut self, item: Waiting) {
        let at = self.waiting.partition_point(|other| *other > item);
        self.waiting.insert(at, item);
    }

    /// Removes a request. Returns false if it is not listed.
    pub(super) fn remove(&mut self, item: Waiting) -> bool {
        let at = self.waiting.partition_point(|other| *other > item);
        let found = self.waiting.get(at) == Some(&item);
        if found {
            self.waiting.remove(at);
        }
        found
    }
}
