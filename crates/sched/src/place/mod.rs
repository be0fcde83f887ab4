//! Placement: vector packing by estimated size, over an index of the free capacity of the workers.
//!
//! A [`FitTree`] holds the largest free amount in each dimension for each range of workers. A range in which nothing
//! fits is skipped at once, and the answer that no worker fits is exact. [`place`] takes a few workers that fit from
//! the tree, starting at a position that advances with each placement, and chooses the one with the least capacity left
//! over, in a rack that runs few tasks of the same lane.

mod tree;

use goldcrest_types::entity::{EntityRef, SecondaryMap, TaskId, VmId};
use goldcrest_types::units::Resources;

use crate::state::{LaneId, PoolIndex, State, dominant};

pub use tree::FitTree;

/// The penalty for each task of the same lane in the rack of a worker, as a fraction of the capacity of the worker that
/// is left over.
const RACK_WEIGHT: f64 = 0.3;

/// The search positions that [`place`] keeps from call to call.
#[derive(Debug, Default)]
pub struct PlaceScratch {
    /// The position at which the next search of a lane starts; 0 before its first placement.
    cursors: SecondaryMap<LaneId, usize>,
}

/// Returns the trees to search, in order. Tasks without accelerators go to workers without accelerators first.
fn trees<'a>(index: &'a PoolIndex, need: &Resources) -> [Option<&'a FitTree>; 2] {
    if need.accelerators.is_zero() {
        [Some(&index.plain), Some(&index.lent)]
    } else {
        [Some(&index.accelerated), None]
    }
}

/// Returns the worker with the best score for a task that reserves `need`, or none if no worker fits.
pub fn place(
    state: &State,
    scratch: &mut PlaceScratch,
    id: TaskId,
    need: &Resources,
) -> Option<VmId> {
    let task = &state.tasks[id];
    let lane = &state.lanes[task.lane];
    let index = state.workers.in_pool(lane.pool);
    // A task that failed on every worker of the pool may return to one of them.
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
        if let Some((position, vm)) = search.best(tree, from) {
            scratch.cursors[task.lane] = position + 1;
            return Some(vm);
        }
    }
    None
}

/// Returns the position at which the first search of `lane` starts. Lanes start at different positions.
fn first_cursor(lane: LaneId, len: usize) -> usize {
    // The step is a prime, so lanes spread over an index of nearly any length.
    lane.index().wrapping_mul(7919) % len.max(1)
}

#[derive(Debug)]
struct Search<'a> {
    state: &'a State,
    index: &'a PoolIndex,
    lane: LaneId,
    need: &'a Resources,
    avoid: &'a [VmId],
}

impl Search<'_> {
    /// Returns the best of the first `candidates` workers that fit, with its position in the index.
    fn best(&self, tree: &FitTree, from: usize) -> Option<(usize, VmId)> {
        let mut best: Option<(f64, usize, VmId)> = None;
        let mut compared = 0;
        let len = self.index.vms.len();
        let from = if from < len { from } else { 0 };
        for (start, end) in [(from, len), (0, from)] {
            let mut at = start;
            while let Some(position) = tree.find(at, end, self.need) {
                at = position + 1;
                let vm = self.index.vms[position];
                if self.avoid.contains(&vm) {
                    continue;
                }
                let score = self.score(vm);
                if best.is_none_or(|(least, ..)| score < least) {
                    best = Some((score, position, vm));
                }
                compared += 1;
                if compared >= self.state.cfg.candidates {
                    return best.map(|(_, position, vm)| (position, vm));
                }
            }
        }
        best.map(|(_, position, vm)| (position, vm))
    }

    /// Returns the score of `vm`: the dominant fraction left over, plus a penalty for tasks of the lane in its rack.
    /// Less is better.
    fn score(&self, vm: VmId) -> f64 {
        let worker = &self.state.workers[vm];
        let left = dominant(&(worker.free() - *self.need), &worker.capacity);
        let count = self.state.lanes[self.lane].in_rack(worker.rack);
        left + RACK_WEIGHT * f64::from(count)
    }
}

/// Returns whether some worker fits a task that reserves `need` now.
#[must_use]
pub fn has_free_capacity(state: &State, id: TaskId, need: &Resources) -> bool {
    let pool = state.lanes[state.tasks[id].lane].pool;
    let index = state.workers.in_pool(pool);
    let len = index.vms.len();
    let mut trees = trees(index, need).into_iter().flatten();
    trees.any(|tree| tree.find(0, len, need).is_some())
}

/// Returns whether some worker of the pool of the task would fit `need` if it were empty.
#[must_use]
pub fn fits_empty_worker(state: &State, id: TaskId, need: &Resources) -> bool {
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    index.largest.fits(need)
        && index
            .vms
            .iter()
            .any(|vm| state.workers[*vm].capacity.fits(need))
}
