//! Where a task runs: vector packing by estimate, over an index of what the workers have free.
//!
//! A [`FitTree`] holds, for each range of workers, the largest free amount in each dimension, so a range in which
//! nothing fits is passed over at once, and "no worker has room" is exact. [`place`] asks it for a few workers with
//! room, from a place that moves on, compares them, and takes the one with the least left over in a rack that runs
//! few tasks of the same lane.

mod tree;

use goldcrest_types::entity::{EntityRef, SecondaryMap, TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::state::{LaneId, PoolIndex, State, dominant};

pub use tree::FitTree;

/// How much one task of the same lane in a rack weighs against capacity that is left over.
const RACK_WEIGHT: f64 = 0.3;

/// What [`place`] keeps from call to call.
#[derive(Debug, Default)]
pub struct PlaceScratch {
    /// Where the search for a worker goes on, by lane.
    cursors: SecondaryMap<LaneId, usize>,
}

/// Which part of an index a search goes over.
fn trees<'a>(index: &'a PoolIndex, need: &Resources) -> [Option<&'a FitTree>; 2] {
    if need.accelerators.is_zero() {
        [Some(&index.plain), Some(&index.lent)]
    } else {
        [Some(&index.accelerated), None]
    }
}

/// The worker on which a task that is packed by `need` starts best, if any has room.
pub fn place(
    state: &State,
    scratch: &mut PlaceScratch,
    id: TaskId,
    need: &Resources,
) -> Option<VmId> {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let index = state.workers.in_pool(lane.pool);
    // A task that failed on every worker of the pool may go back to one of them.
    let may_avoid = task.avoid.len() < index.vms.len();
    for tree in trees(index, need).into_iter().flatten() {
        let from = match scratch.cursors[task.lane] {
            0 => first_cursor(task.lane, index.vms.len()),
            cursor => cursor,
        };
        let search = Search {
            state,
            index,
            lane: task.lane,
            need,
            avoid: if may_avoid { &task.avoid } else { &[] },
        };
        if let Some((place, vm)) = search.best(tree, from) {
            scratch.cursors[task.lane] = place + 1;
            return Some(vm);
        }
    }
    None
}

/// Where the first search of `lane` starts: lanes start in different places.
fn first_cursor(lane: LaneId, len: usize) -> usize {
    // The step shares few factors with usual lengths, so the lanes spread over an index.
    lane.index().wrapping_mul(7919) % len.max(1)
}

/// One search for a worker.
#[derive(Debug)]
struct Search<'a> {
    state: &'a State,
    index: &'a PoolIndex,
    lane: LaneId,
    need: &'a Resources,
    avoid: &'a [VmId],
}

impl Search<'_> {
    fn best(&self, tree: &FitTree, from: usize) -> Option<(usize, VmId)> {
        let mut best: Option<(f64, usize, VmId)> = None;
        let mut seen = 0;
        let len = self.index.vms.len();
        let from = if from < len { from } else { 0 };
        for (start, end) in [(from, len), (0, from)] {
            let mut at = start;
            while let Some(place) = tree.find(at, end, self.need) {
                at = place + 1;
                let vm = self.index.vms[place];
                if self.avoid.contains(&vm) {
                    continue;
                }
                let score = self.score(vm);
                if best.is_none_or(|(least, ..)| score < least) {
                    best = Some((score, place, vm));
                }
                seen += 1;
                if seen >= self.state.cfg.candidates {
                    return best.map(|(_, place, vm)| (place, vm));
                }
            }
        }
        best.map(|(_, place, vm)| (place, vm))
    }

    /// What is left over on `vm`, and how many tasks of the lane its rack runs: less is better.
    fn score(&self, vm: VmId) -> f64 {
        let worker = &self.state.workers[vm];
        let left = dominant(&(worker.free() - *self.need), &worker.capacity);
        let count = self.state.lanes[self.lane].in_rack(worker.rack);
        left + RACK_WEIGHT * f64::from(count)
    }
}

/// Whether some worker has room for a task that is packed by `need`.
#[must_use]
pub fn has_room(state: &State, id: TaskId, need: &Resources) -> bool {
    let pool = state.lanes[state.tasks[id].lane].pool;
    let index = state.workers.in_pool(pool);
    let len = index.vms.len();
    let mut trees = trees(index, need).into_iter().flatten();
    trees.any(|tree| tree.find(0, len, need).is_some())
}

/// Whether some worker of the task's pool, empty, would have room for `need`.
#[must_use]
pub fn could_ever_fit(state: &State, id: TaskId, need: &Resources) -> bool {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    index.largest.fits(need)
        && index
            .vms
            .iter()
            .any(|vm| state.workers[*vm].capacity.fits(need))
}
