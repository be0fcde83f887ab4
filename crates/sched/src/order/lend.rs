//! Pools that stop lending: they are nearly full, and a team below its share waits for them.
//!
//! [`Lending`] holds reservations and capacity of each pool for one round. Without this rule, gaps that are too small
//! for the tasks of the next teams would all go to teams with small tasks, which would end far above their shares. A
//! pool that is not nearly full lends to every team, so only a small part of it can be idle because of the rule.

use goldcrest_types::entity::{PoolId, SecondaryMap};
use goldcrest_types::units::Resources;

use crate::state::{State, dominant};

/// The reserved fraction of the capacity of a pool, in its dominant resource, from which the pool stops lending.
const CLOSED_RATIO: f64 = 0.95;

/// The open workers of one pool in sum, and whether a team below its share waits for them.
#[derive(Debug, Clone, Copy, Default)]
struct Pool {
    reserved: Resources,
    capacity: Resources,
    has_starved_team: bool,
}

/// The reservations and the capacity of each pool in the current round.
#[derive(Debug, Default)]
pub struct Lending {
    pools: SecondaryMap<PoolId, Pool>,
}

impl Lending {
    /// Resets the pools to what is reserved on the open workers.
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

    /// Records that a team below its share has tasks waiting for `pool`.
    pub fn mark_starved(&mut self, pool: PoolId) {
        self.pools[pool].has_starved_team = true;
    }

    /// Adds the reservation of a task that was started in `pool`.
    pub fn add(&mut self, pool: PoolId, reserved: &Resources) {
        self.pools[pool].reserved += *reserved;
    }

    /// Returns whether `pool` starts no more tasks of teams above their share.
    pub fn is_closed(&self, pool: PoolId) -> bool {
        let pool = &self.pools[pool];
        pool.has_starved_team && dominant(&pool.reserved, &pool.capacity) >= CLOSED_RATIO
    }
}
