//! Publishes the pool's status, which calls and the holder of the fleet role read.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::resources::Resources;

use crate::keys::{self, PoolStatus};
use crate::owned_key::{OwnedKey, Written};
use crate::pool::Scheduler;
use crate::ports::Platform;

/// The minimum time between two publications that are not urgent. Counts of waiting jobs may be up to 2 s old.
const PUBLISH_INTERVAL_MIN: Duration = Duration::from_millis(900);

/// The delay from a change to the check whether it is urgent; changes within it are checked together.
const COALESCE_DELAY: Duration = Duration::from_millis(60);

/// A smaller change of the backlog does not affect the pool's size: 300 ms of work of a VM with 16 cores, in
/// thousandths of a core times milliseconds.
const BACKLOG_STEP: u64 = 16_000 * 300;

/// A rise of the demand by less than the pool's capacity divided by this number is not urgent.
const DEMAND_RISE_DIVISOR: u64 = 16;

/// Whether the holder of the fleet role needs the change at once.
fn is_urgent(published: &PoolStatus, status: &PoolStatus) -> bool {
    published.evacuated != status.evacuated
        || published.backlog.abs_diff(status.backlog) > BACKLOG_STEP
        || (published.backlog == 0) != (status.backlog == 0)
        || published.is_busy() != status.is_busy()
        || status.is_busy() && has_demand_risen(published, status)
}

/// Whether the demand has risen so much since the last publication that the pool may need more VMs.
fn has_demand_risen(published: &PoolStatus, status: &PoolStatus) -> bool {
    let risen = status
        .needed_millis()
        .saturating_sub(published.needed_millis());
    risen > status.capacity.cpu_millis / DEMAND_RISE_DIVISOR
}

impl<P: Platform> Scheduler<P> {
    pub(super) async fn publish_status(self: Rc<Self>) {
        let key = OwnedKey::new(keys::pool_status(&self.name));
        let mut published: Option<PoolStatus> = None;
        let mut published_at = self.now();
        loop {
            self.status_changed.notified().await;
            tokio::time::sleep(COALESCE_DELAY).await;
            let status = self.status();
            self.entry
                .is_awaiting_workers
                .set(status.backlog > BACKLOG_STEP);
            let is_urgent = published
                .as_ref()
                .is_none_or(|last| is_urgent(last, &status));
            let is_due = self.now().saturating_duration_since(published_at) >= PUBLISH_INTERVAL_MIN;
            if key.holds(&keys::encode(&status)) || !(is_urgent || is_due) {
                continue;
            }
            if self.publish(&key, &status).await {
                published = Some(status);
                published_at = self.now();
            }
        }
    }

    fn status(&self) -> PoolStatus {
        let pool = self.pool.borrow();
        self.entry
            .metrics
            .set_open_jobs(self.name.as_str(), pool.jobs().len());
        let waiting = pool
            .waiting()
            .into_iter()
            .map(|(queue, count)| (queue.into(), count))
            .collect();
        let workers = pool.workers().values();
        let live = workers.filter(|worker| worker.is_listed && !worker.is_cordoned());
        let (capacity, used) = live.fold((Resources::ZERO, Resources::ZERO), |sum, worker| {
            (sum.0 + worker.info.capacity, sum.1 + worker.used)
        });
        PoolStatus {
            waiting,
            evacuated: pool.evacuated(),
            capacity,
            used,
            backlog: pool.backlog(),
            demand_millis: pool.demand_millis(self.now()),
            light: pool.lightly_loaded_workers(),
        }
    }

    async fn publish(&self, key: &OwnedKey, status: &PoolStatus) -> bool {
        let value = keys::encode(status);
        let lease = Some(self.held.lease);
        match key.write(&self.entry, &self.held, value, lease).await {
            Ok(Written::Stored) => true,
            Ok(Written::RoleLost) => {
                self.step_down("the role's key was removed or replaced");
                false
            }
            Err(error) => {
                log::warn!(target: "scheduler", pool:% = self.name, error:%; "Publishing the pool's status failed.");
                false
            }
        }
    }
}
