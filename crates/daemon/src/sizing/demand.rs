//! The demand on each pool, summed over the entries.
//!
//! [`Reports`] holds the last usage report of each listed entry and when it was requested. [`Reports::sum`] leaves out
//! reports that are too old and counts the missing entries by data centre, so that no decision rests on a partial sum.

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

/// The data centre of each running entry, by the entry's address.
pub type Entries = BTreeMap<SocketAddr, DcName>;

/// Returns the entries that the platform lists, except those that are rebooting and so have no demand.
#[must_use]
pub fn listed_entries(listing: &VmListing) -> Entries {
    let entries = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let running = entries.filter(|vm| vm.phase != VmPhase::Rebooting);
    running
        .map(|vm| (vm.address, vm.data_centre.clone()))
        .collect()
}

/// The last usage report of each entry.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    received: BTreeMap<SocketAddr, PoolUsageHeard>,
}

/// The demand on all pools, with the age and completeness of the reports behind it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summed {
    /// The running and waiting slots of each pool.
    pub usage: BTreeMap<PoolName, Usage>,
    /// How long ago the oldest report in the sum was requested.
    pub age: Duration,
    /// The number of entries in the sum.
    pub entries: u32,
    /// The number of entries of each data centre without a recent enough report. Data centres without any are absent.
    pub missing: BTreeMap<DcName, u32>,
}

impl Reports {
    /// Creates an empty set of reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests a report from all `entries` concurrently, and drops the reports of other entries.
    pub async fn refresh(&mut self, peers: &DaemonPeers, entries: &Entries) {
        self.received
            .retain(|address, _| entries.contains_key(address));
        for address in entries.keys() {
            self.received.entry(*address).or_default();
        }
        let requests = self.received.iter_mut().map(|(address, report)| async {
            peers.hear_pool_usage(*address, report).await;
        });
        join_all(requests).await;
    }

    /// Sets the report of the entry at `address`.
    pub fn set(&mut self, address: SocketAddr, report: PoolUsageHeard) {
        self.received.insert(address, report);
    }

    /// Sums the reports of `entries` that are at most `age_max` old at `now`.
    #[must_use]
    pub fn sum(&self, entries: &Entries, now: Instant, age_max: Duration) -> Summed {
        let mut summed = Summed::default();
        for (address, dc) in entries {
            let report = self.received.get(address);
            let requested_at = report.and_then(PoolUsageHeard::asked_at);
            let age = requested_at.map(|at| now.saturating_duration_since(at));
            let (Some(report), Some(age)) = (report, age.filter(|age| *age <= age_max)) else {
                *summed.missing.entry(dc.clone()).or_default() += 1;
                continue;
            };
            summed.entries += 1;
            summed.age = summed.age.max(age);
            for (pool, usage) in report.usage() {
                let sum = summed.usage.entry(pool).or_default();
                sum.running += usage.running;
                sum.waiting += usage.waiting;
            }
        }
        summed
    }
}

/// Returns this entry's usage of each pool: its requests, and the data centre's tasks while this entry schedules them.
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
