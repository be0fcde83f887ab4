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

    /// Returns the row that a pool should have for its usage and `short` more, as far as the limit allows. All kinds of
    /// resource grow by the same fraction of `short`: a row that held much of one kind and none of another would
    /// withhold it from pools that can use it. If all of `short` fits, the row also keeps up to `reserve`.
    #[must_use]
    pub fn target(
        &self,
        pool: &PoolName,
        used: Resources,
        short: Resources,
        reserve: Resources,
        cap: Resources,
    ) -> Resources {
        let others = self.total() - self.row(pool);
        let limit = cap.zip(cap, |cap, _| if cap == 0 { u64::MAX } else { cap });
        let free = limit - others - used;
        let fraction = fitting_fraction(free, short);
        let granted = short.zip(short, |short, _| scale(short, fraction));
        if fraction < WHOLE {
            return used + granted;
        }
        used + granted + reserve.zip(free - granted, u64::min)
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

/// The denominator of fractions: a fraction of `WHOLE` is all.
const WHOLE: u64 = 1 << 20;

fn scale(amount: u64, fraction: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(fraction) / u128::from(WHOLE);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// The largest fraction of `short` that fits into `free`.
fn fitting_fraction(free: Resources, short: Resources) -> u64 {
    let of_kind = |free: u64, short: u64| {
        if short <= free {
            return WHOLE;
        }
        let parts = u128::from(free) * u128::from(WHOLE) / u128::from(short);
        u64::try_from(parts).unwrap_or(WHOLE)
    };
    of_kind(free.cpu_millis, short.cpu_millis)
        .min(of_kind(free.memory_mb, short.memory_mb))
        .min(of_kind(free.accelerators, short.accelerators))
}
