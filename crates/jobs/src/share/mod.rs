//! How a team's upper limit is divided between pools.
//!
//! A [`Share`] is stored for each team and changed by compare-and-swap. Each pool has a row: what the team may have
//! running there. A pool lowers its own row only to what may still be at work, and raises it only while the rows together
//! stay within the limit, so what a team has running is within the limit whoever fails. After the operators lower the
//! limit, the rows may be above it until runs have ended; then no row rises.

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

    /// Raises the row of a pool towards `wanted`, as far as the limit allows; returns whether it changed.
    pub fn raise(&mut self, pool: &PoolName, wanted: Resources, cap: Resources) -> bool {
        let row = self.row(pool);
        let free = cap.zip(self.total(), |cap, total| {
            if cap == 0 {
                u64::MAX
            } else {
                cap.saturating_sub(total)
            }
        });
        let more = (wanted - row).zip(free, u64::min);
        if more == Resources::ZERO {
            return false;
        }
        self.rows.insert(pool.clone(), row + more);
        true
    }

    /// Lowers the row of a pool to `kept`; returns whether it changed.
    pub fn lower(&mut self, pool: &PoolName, kept: Resources) -> bool {
        let row = self.row(pool);
        let lower = row.zip(kept, u64::min);
        if lower == row {
            return false;
        }
        if lower == Resources::ZERO {
            self.rows.remove(pool);
        } else {
            self.rows.insert(pool.clone(), lower);
        }
        true
    }
}
