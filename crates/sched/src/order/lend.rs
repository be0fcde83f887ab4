//! Which pools lend no more: they are nearly full, and a team below its share waits for them.
//!
//! The gaps that are too small for the tasks of the teams that are next would otherwise all go to teams with small
//! tasks, and these would be far above their shares. A pool that is not full lends to all, so nothing stands idle for
//! this beyond a small part.

use goldcrest_types::entity::{PoolId, SecondaryMap};
use goldcrest_types::units::Resources;

use crate::state::{State, dominant};

/// The part of a pool that is reserved when it lends no more.
const FULL: f64 = 0.95;

/// What is reserved in one pool.
#[derive(Debug, Clone, Copy, Default)]
struct Pool {
    reserved: Resources,
    capacity: Resources,
    is_wanted: bool,
}

/// The pools in one round.
#[derive(Debug, Default)]
pub struct Lending {
    pools: SecondaryMap<PoolId, Pool>,
}

impl Lending {
    /// Takes in what is reserved on the workers.
    pub fn begin(&mut self, state: &State) {
        self.pools.clear();
        for (_, worker) in state.workers.iter() {
            if worker.is_open() {
                let pool = &mut self.pools[worker.pool];
                pool.reserved += worker.reserved;
                pool.capacity += worker.capacity;
            }
        }
    }

    /// Notes that a team below its share waits for `pool`.
    pub fn want(&mut self, pool: PoolId) {
        self.pools[pool].is_wanted = true;
    }

    /// Notes what was started in `pool`.
    pub fn add(&mut self, pool: PoolId, reserved: &Resources) {
        self.pools[pool].reserved += *reserved;
    }

    /// Whether teams above their share start nothing more in `pool`.
    pub fn is_closed(&self, pool: PoolId) -> bool {
        let pool = &self.pools[pool];
        pool.is_wanted && dominant(&pool.reserved, &pool.capacity) >= FULL
    }
}
