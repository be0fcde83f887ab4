//! Lanes: the waiting tasks of one team in one queue.
//!
//! A [`Lane`] is a heap of [`Entry`] by due time. When a task leaves the lane other than by [`Lane::pop`], its entry
//! stays in the heap as stale, so a cancellation takes constant time. Stale entries are dropped when they reach the
//! top, or all at once when they are more than half of the heap.
//!
//! Invariant outside of a scheduling round (`Scheduler::round`): `waiting` is the number of current entries.
//!
//! A worker is identified by its VM.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::{Index, IndexMut};
use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{PoolId, PrimaryMap, QueueId, RackId, TaskId, TeamId, VmId};
use goldcrest_types::entity_id;
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use super::task::{TaskState, Tasks};
use crate::estimate::Observed;

entity_id!(
    /// The waiting tasks of one team in one queue.
    LaneId,
    "lane"
);

/// The heap size up to which stale entries are not removed all at once.
const COMPACT_MIN: usize = 64;

/// One waiting task in the heap of a lane. The field order is the heap order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// The due time of the task, by which entries are ordered.
    pub due: Instant,
    /// The rank of the task by its acceptance, from `Task::order`; breaks ties of the due time.
    pub order: u64,
    /// The task; it may have left the lane.
    pub task: TaskId,
    /// The value of `Task::seq` when the entry was pushed; the entry is stale if the task now has another one.
    pub seq: u64,
}

impl Entry {
    /// Returns whether the task is waiting and this is its latest entry.
    #[must_use]
    pub fn is_current(&self, tasks: &Tasks) -> bool {
        let task = &tasks[self.task];
        task.seq == self.seq && matches!(task.state, TaskState::Waiting)
    }
}

/// The waiting tasks of one team in one queue, with what was observed of its runs.
#[derive(Debug)]
pub struct Lane {
    /// The queue to which the tasks were submitted.
    pub queue: QueueId,
    /// The team that is charged for the tasks.
    pub team: TeamId,
    /// The class of the queue in the catalogue in force.
    pub class: Class,
    /// The pool whose workers run the tasks of the queue.
    pub pool: PoolId,
    /// The number of waiting tasks; delayed and parked tasks are not counted.
    pub waiting: usize,
    /// The number of tasks that count as running: with an attempt whose start was decided and whose end is not known
    /// yet. Includes unconfirmed starts and attempts that are stopping.
    pub running: u32,
    /// What the team is charged for the running tasks.
    pub charge: Resources,
    /// The observed sizes and run times of tasks of this lane, relative to the declared ones.
    pub observed: Observed,
    /// The workers on which tasks of the lane have failed since its last success, at most `lane_failed_workers`.
    pub failed_on: SmallVec<[VmId; 4]>,
    heap: BinaryHeap<Reverse<Entry>>,
    racks: HashMap<RackId, u32>,
}

impl Lane {
    /// Returns the number of tasks of the lane that run in `rack`.
    #[must_use]
    pub fn in_rack(&self, rack: RackId) -> u32 {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    /// Counts one task more in `rack`.
    pub fn enter_rack(&mut self, rack: RackId) {
        *self.racks.entry(rack).or_default() += 1;
    }

    /// Counts one task less in `rack`.
    pub fn leave_rack(&mut self, rack: RackId) {
        let Some(count) = self.racks.get_mut(&rack) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.racks.remove(&rack);
        }
    }

    /// Adds an entry to the heap.
    pub fn push(&mut self, entry: Entry) {
        self.heap.push(Reverse(entry));
    }

    /// Returns the first current entry and drops the stale ones above it.
    pub fn peek(&mut self, tasks: &Tasks) -> Option<Entry> {
        if self.heap.len() > COMPACT_MIN && self.heap.len() > 2 * self.waiting {
            self.heap.retain(|Reverse(entry)| entry.is_current(tasks));
        }
        while let Some(Reverse(entry)) = self.heap.peek().copied() {
            if entry.is_current(tasks) {
                return Some(entry);
            }
            self.heap.pop();
        }
        None
    }

    /// Removes and returns the first current entry.
    pub fn pop(&mut self, tasks: &Tasks) -> Option<Entry> {
        let entry = self.peek(tasks)?;
        self.heap.pop();
        Some(entry)
    }
}

/// All lanes, by id and by queue and team. A lane is never removed.
#[derive(Debug, Default)]
pub struct Lanes {
    all: PrimaryMap<LaneId, Lane>,
    by_pair: HashMap<(QueueId, TeamId), LaneId>,
}

impl Lanes {
    /// Returns the lane of a team in a queue, if there is one.
    #[must_use]
    pub fn find(&self, queue: QueueId, team: TeamId) -> Option<LaneId> {
        self.by_pair.get(&(queue, team)).copied()
    }

    /// Adds the lane of a team in a queue, which must not have one.
    pub fn insert(&mut self, queue: QueueId, team: TeamId, class: Class, pool: PoolId) -> LaneId {
        let id = self.all.push(Lane {
            queue,
            team,
            class,
            pool,
            waiting: 0,
            running: 0,
            charge: Resources::ZERO,
            observed: Observed::default(),
            failed_on: SmallVec::new(),
            heap: BinaryHeap::new(),
            racks: HashMap::new(),
        });
        self.by_pair.insert((queue, team), id);
        id
    }

    /// Iterates over all lanes in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        self.all.iter()
    }

    /// Iterates mutably over all lanes in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (LaneId, &mut Lane)> {
        self.all.iter_mut()
    }
}

impl Index<LaneId> for Lanes {
    type Output = Lane;

    fn index(&self, id: LaneId) -> &Lane {
        &self.all[id]
    }
}

impl IndexMut<LaneId> for Lanes {
    fn index_mut(&mut self, id: LaneId) -> &mut Lane {
        &mut self.all[id]
    }
}
