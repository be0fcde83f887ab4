//! The division of a team's upper limit between pools.
//!
//! A [`Share`] is stored for each team and changed by compare-and-swap. Each pool has a row: what the team may have
//! running there. A pool lowers its own row only to what may still be executing, and raises it only while the sum of
//! the rows stays within the limit, so a team's usage is within the limit whichever process fails. After the operators
//! lower the limit, the sum may exceed it until runs have ended; no row rises meanwhile.

use std::collections::BTreeMap;

use goldcrest_types::names::PoolName;
use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Tasks of one size that a team could start in a pool if its row allowed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedTasks {
    /// What each of them reserves: a task, or all members of a gang.
    pub each: Resources,
    /// How many there are.
    pub count: u64,
}

impl WantedTasks {
    /// What all of them reserve.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.each.times(self.count)
    }
}

/// A team's rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What the team may have running in each pool.
    pub rows: BTreeMap<PoolName, Resources>,
}

impl Share {
    /// The row of a pool.
    #[must_use]
    pub fn row(&self, pool: &PoolName) -> Resources {
        self.rows.get(pool).copied().unwrap_or_default()
    }

    /// The sum of all rows.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.rows
            .values()
            .fold(Resources::ZERO, |sum, row| sum + *row)
    }

    /// Whether the rows together are within the limit. 0 of a kind means no limit.
    #[must_use]
    pub fn is_within(&self, cap: Resources) -> bool {
        let limit = cap.zip(cap, |cap, _| if cap == 0 { u64::MAX } else { cap });
        self.total().fits(&limit)
    }

    /// Returns the row that a pool should have for its usage and as many of the wanted tasks as the limit allows, the
    /// first ones first. It grows by whole tasks: what can start no task, as another kind of resource is used up or
    /// none is small enough, is left to other pools. If all of them fit, the row also keeps up to `reserve`.
    #[must_use]
    pub fn target(
        &self,
        pool: &PoolName,
        used: Resources,
        wanted: &[WantedTasks],
        reserve: Resources,
        cap: Resources,
    ) -> Resources {
        let others = self.total() - self.row(pool);
        let limit = cap.zip(cap, |cap, _| if cap == 0 { u64::MAX } else { cap });
        let free = limit - others - used;
        let mut granted = Resources::ZERO;
        let mut is_all = true;
        for tasks in wanted {
            let count = tasks.count.min((free - granted).multiples_of(tasks.each));
            granted += tasks.each.times(count);
            is_all &= count == tasks.count;
        }
        if is_all {
            granted += reserve.zip(free - granted, u64::min);
        }
        used + granted
    }

    /// Sets the row of a pool; returns whether it changed.
    pub fn set(&mut self, pool: &PoolName, row: Resources) -> bool {
        let is_changed = self.row(pool) != row;
        if row == Resources::ZERO {
            self.rows.remove(pool);
        } else {
            self.rows.insert(pool.clone(), row);
        }
        is_changed
    }
}
