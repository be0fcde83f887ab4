//! What each pool has from this entry.

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::PoolName;
use goldcrest_types::units::Slots;

use super::Admission;

/// What one pool has from this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolUsage {
    /// The pool.
    pub pool: PoolName,
    /// Requests that run.
    pub running: Slots,
    /// Requests that wait.
    pub waiting: Slots,
}

impl Admission {
    /// What each pool of `cat` has running and waiting here.
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
