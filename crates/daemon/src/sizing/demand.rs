//! The demand on each pool, summed over the entries.
//!
//! [`Reports`] holds what each listed entry has told last and when it was asked for. [`Reports::sum`] leaves out what is
//! too old and says of which data centres entries are missing, so that no decision takes a part for the whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use goldcrest_peer::peers::PoolUsageHeard;
use goldcrest_peer::usage::Usage;
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRole};
use goldcrest_types::names::{DcName, PoolName};

use crate::peers::DaemonPeers;
use crate::world::World;

/// The entries that run, by address, with their data centres.
pub type Entries = BTreeMap<SocketAddr, DcName>;

/// The entries that the platform lists. One that is being rebooted sends nothing.
#[must_use]
pub fn listed_entries(listing: &VmListing) -> Entries {
    let entries = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let running = entries.filter(|vm| vm.phase != VmPhase::Rebooting);
    running
        .map(|vm| (vm.address, vm.data_centre.clone()))
        .collect()
}

/// What each entry has told last.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    heard: BTreeMap<SocketAddr, PoolUsageHeard>,
}

/// The demand on all pools, and how far it can be relied on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summed {
    /// What each pool has running and waiting.
    pub usage: BTreeMap<PoolName, Usage>,
    /// How long ago the oldest report was asked for.
    pub age: Duration,
    /// How many entries were summed.
    pub entries: u32,
    /// How many entries of each data centre have told nothing of late.
    pub missing: BTreeMap<DcName, u32>,
}

impl Reports {
    /// No reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks all `entries`, and forgets the others.
    pub async fn refresh(&mut self, peers: &DaemonPeers, entries: &Entries) {
        self.heard
            .retain(|address, _| entries.contains_key(address));
        for address in entries.keys() {
            self.heard.entry(*address).or_default();
        }
        let asks = self.heard.iter_mut().map(|(address, heard)| async {
            peers.hear_pool_usage(*address, heard).await;
        });
        join_all(asks).await;
    }

    /// Takes in what the entry at `address` has told.
    pub fn set(&mut self, address: SocketAddr, heard: PoolUsageHeard) {
        self.heard.insert(address, heard);
    }

    /// The sum over `entries` of what is at most `age_max` old at `now`.
    #[must_use]
    pub fn sum(&self, entries: &Entries, now: Instant, age_max: Duration) -> Summed {
        let mut summed = Summed::default();
        for (address, dc) in entries {
            let heard = self.heard.get(address);
            let asked_at = heard.and_then(PoolUsageHeard::asked_at);
            let age = asked_at.map(|at| now.saturating_duration_since(at));
            let (Some(heard), Some(age)) = (heard, age.filter(|age| *age <= age_max)) else {
                *summed.missing.entry(dc.clone()).or_default() += 1;
                continue;
            };
            summed.entries += 1;
            summed.age = summed.age.max(age);
            for (pool, usage) in heard.usage() {
                let sum = summed.usage.entry(pool).or_default();
                sum.running += usage.running;
                sum.waiting += usage.waiting;
            }
        }
        summed
    }
}

/// What each pool has from this entry: its requests, and the data centre's tasks while this entry schedules them.
#[must_use]
pub fn own_usage(world: &World) -> BTreeMap<PoolName, Usage> {
    let mut usage = world.task_pools.borrow().clone();
    for of_pool in world.front.pool_usage() {
        let cell = usage.entry(of_pool.pool).or_default();
        cell.running += of_pool.running;
        cell.waiting += of_pool.waiting;
    }
    usage
}
