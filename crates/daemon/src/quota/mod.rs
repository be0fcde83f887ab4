//! This entry's part of the teams' upper limits.
//!
//! The session's quota keeper holds a quota row and adjusts it towards demand; [`split`] divides the row between the
//! serving path and the scheduler of tasks, so that both together never run more than the row allows. The relay of a
//! data centre reclaims the rows of departed entries, and the holder of the quota role moves allocations between data
//! centres.

pub mod split;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::quota::Grants;
use goldcrest_ledger::quota::rebalance::Demand;
use goldcrest_obs::logs::Part;
use goldcrest_ports::fleet::VmListing;
use goldcrest_session::quota::{
    DcDemand, Gate, Mover, MoverHost, Observer, PlatformListing, QuotaKeeper, RowOwner,
};
use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::names::{DcName, TeamName, VmName};
use goldcrest_types::units::Slots;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::roles;
use crate::world::World;

const PART: &str = Part::Quota.as_str();

/// How long after its lease a task may still run: the time for a start or renewal to be written and delivered.
const TASK_MARGIN: Duration = Duration::from_secs(10);

/// Maintains this entry's quota row once the platform's list shows the VM that it runs on.
pub async fn keep(world: Arc<World>, stop: CancellationToken) {
    let vm = world.settings.entry.vm.clone();
    let Some(Some(boots)) = stop.run_until_cancelled(own_boots(&world, &vm)).await else {
        return;
    };
    let owner = RowOwner { vm, boots };
    let gate = Arc::new(EntryGate {
        world: Arc::clone(&world),
    });
    log::info!(target: PART, boots; "Quota keeper started.");
    QuotaKeeper::new(world.session.clone(), owner, gate)
        .with_change_notify(world.peers.quota_told())
        .run(stop)
        .await;
}

/// Waits until the platform's list shows this entry's VM, and returns how often the VM has started.
async fn own_boots(world: &World, vm: &VmName) -> Option<u64> {
    let mut listing = world.listing.subscribe();
    loop {
        let found = {
            let listing = listing.borrow_and_update();
            let own = listing.vms.iter().find(|listed| listed.name == *vm);
            own.map(|listed| listed.boots)
        };
        if found.is_some() {
            return found;
        }
        listing.changed().await.ok()?;
    }
}

/// Reclaims the rows of departed entries, while this entry is the relay of its data centre.
pub async fn observe(world: Arc<World>, stop: CancellationToken) {
    let listed = watch::Sender::new(PlatformListing::default());
    let is_relay = world.peers.is_relay();
    let observer = Observer::new(world.session.clone(), is_relay, listed.subscribe());
    let mut listing = world.listing.subscribe();
    let mut catalogue = world.catalogue.subscribe();
    listing.mark_changed();
    let feed = async {
        loop {
            tokio::select! {
                changed = listing.changed() => if changed.is_err() { return },
                changed = catalogue.changed() => if changed.is_err() { return },
            }
            let vms = vms_by_boots(&listing.borrow_and_update());
            listed.send_replace(PlatformListing {
                vms,
                run_max: world
                    .cat()
                    .map_or(Duration::MAX, |cat| run_max(&world, &cat)),
                list_lag_max: world.settings.platform.list_lag_max(),
            });
        }
    };
    tokio::select! {
        () = observer.run(stop) => {}
        () = feed => {}
    }
}

fn vms_by_boots(listing: &VmListing) -> Option<BTreeMap<VmName, u64>> {
    if listing.vms.is_empty() {
        return None;
    }
    let vms = listing.vms.iter().map(|vm| (vm.name.clone(), vm.boots));
    Some(vms.collect())
}

/// Returns the longest time that work can continue after the entry that started it is lost. A request ends by its
/// deadline. A task ends with its lease, unless another scheduler renews the lease and counts the task against its own
/// row.
#[must_use]
pub fn run_max(world: &World, cat: &Catalogue) -> Duration {
    let bounds = cat
        .queues
        .values()
        .map(|queue| match cat.pools[queue.pool].kind {
            PoolKind::Workers => world.settings.tasks.lease() + TASK_MARGIN,
            PoolKind::Upstreams | PoolKind::Spare => queue.limits.deadline_max(),
        });
    bounds.max().unwrap_or(Duration::ZERO)
}

/// Moves allocations between data centres, while this entry holds the quota role.
pub async fn move_allocations(world: Arc<World>, stop: CancellationToken) {
    let needs = Arc::new(EntryNeeds {
        world: Arc::clone(&world),
    });
    let role = roles::quota_role();
    Mover::new(world.session.clone(), world.roles.clone(), role, needs)
        .run(stop)
        .await;
}

struct EntryGate {
    world: Arc<World>,
}

impl Gate for EntryGate {
    fn install(&self, grants: &Grants) -> BTreeMap<TeamName, Slots> {
        let Some(cat) = self.world.cat() else {
            return BTreeMap::new();
        };
        let now = self.world.now();
        self.world
            .split
            .install(&self.world.front, &cat, grants, now)
    }

    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.world.cat()
    }

    fn demand(&self) -> Demand {
        self.world.peers.demand()
    }
}

struct EntryNeeds {
    world: Arc<World>,
}

impl MoverHost for EntryNeeds {
    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.world.cat()
    }

    fn demand(&self) -> Vec<DcDemand> {
        let usage = self.world.peers.dc_usage().into_iter();
        let demand = usage.map(|cell| DcDemand {
            slots: cell.usage.demand(),
            dc: cell.dc,
            team: cell.team,
        });
        demand.collect()
    }

    fn notify_changed(&self, dc: &DcName) {
        self.world.peers.tell_quota_changed(dc);
    }
}
