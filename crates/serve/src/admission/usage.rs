//! Load of each pool from this entry.

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::PoolName;
use goldcrest_types::units::Slots;

use super::Admission;

/// Load of one pool from this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolUsage {
    /// Name of the pool.
    pub pool: PoolName,
    /// Number of running requests; each takes one slot.
    pub running: Slots,
    /// Number of waiting requests.
    pub waiting: Slots,
}

impl Admission {
    /// Returns the load of each pool of `cat`, which must be the catalogue in force.
    #[must_use]
    pub fn pool_usage(&self, cat: &Catalogue) -> Vec<PoolUsage> {
        let pools = cat.pools.iter();
        let usage = pools.map(|(id, pool)| PoolUsage {
            pool: pool.name.clone(),
            running: Slots::new(self.pools[id].running),
            waiting: Slots::new(self.pools[id].waiting),
        });
        usage.collect()
    }
}
