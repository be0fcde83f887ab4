//! Lanes: the waiting tasks of one team in one queue.
//!
//! A lane is a heap by due time. An entry goes stale when its task leaves the lane in another way than by the heap's
//! top, so a cancellation costs constant time; stale entries are dropped when they come up, or all together when
//! they are most of the heap.

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

/// The least size of a heap that is worth clearing of stale entries.
const COMPACT_MIN: usize = 64;

/// A place in a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// When the task is due.
    pub due: Instant,
    /// The task's order of acceptance.
    pub order: u64,
    /// The task.
    pub task: TaskId,
    /// Equal to the task's while the entry is not stale.
    pub seq: u64,
}

impl Entry {
    /// Whether the task still waits at this place.
    #[must_use]
    pub fn is_current(&self, tasks: &Tasks) -> bool {
        let task = &tasks[self.task];
        task.seq == self.seq && matches!(task.state, TaskState::Waiting)
    }
}

/// The waiting tasks of one team in one queue, with what was observed of them.
#[derive(Debug)]
pub struct Lane {
    /// The queue.
    pub queue: QueueId,
    /// The team.
    pub team: TeamId,
    /// How urgent the queue is.
    pub class: Class,
    /// The pool whose workers do the queue's work.
    pub pool: PoolId,
    /// How many tasks wait.
    pub waiting: usize,
    /// How many tasks run.
    pub running: u32,
    /// What the team is charged for the running ones.
    pub charge: Resources,
    /// The sizes and run times that were observed.
    pub observed: Observed,
    /// The workers on which it failed since its last success.
    pub failed_on: SmallVec<[VmId; 4]>,
    heap: BinaryHeap<Reverse<Entry>>,
    racks: HashMap<RackId, u32>,
}

impl Lane {
    /// How many of its tasks run in `rack`.
    #[must_use]
    pub fn in_rack(&self, rack: RackId) -> u32 {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    /// Counts one more task in `rack`.
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

    /// Puts an entry into its place.
    pub fn push(&mut self, entry: Entry) {
        self.heap.push(Reverse(entry));
    }

    /// The next current entry, without taking it out.
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

    /// Takes out the next current entry.
    pub fn pop(&mut self, tasks: &Tasks) -> Option<Entry> {
        let entry = self.peek(tasks)?;
        self.heap.pop();
        Some(entry)
    }
}

/// All lanes.
#[derive(Debug, Default)]
pub struct Lanes {
    all: PrimaryMap<LaneId, Lane>,
    by_pair: HashMap<(QueueId, TeamId), LaneId>,
}

impl Lanes {
    /// The lane of this team in this queue, if it has one.
    #[must_use]
    pub fn find(&self, queue: QueueId, team: TeamId) -> Option<LaneId> {
        self.by_pair.get(&(queue, team)).copied()
    }

    /// Adds the lane of a team in a queue.
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

    /// All lanes with their ids, in order.
    pub fn iter(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        self.all.iter()
    }

    /// All lanes for change, in order.
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
