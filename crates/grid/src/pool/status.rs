//! Publishes the pool's status for callers and for the fleet's holder.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::resources::Resources;

use crate::keys::{self, PoolStatus};
use crate::pool::Scheduler;
use crate::ports::{Committed, Platform, Put, Txn};

/// The least time between two publications. Counts of waiting jobs may be two seconds old.
const PUBLISH_GAP: Duration = Duration::from_millis(900);

/// How often a change of the emptied VMs is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(60);

/// A backlog that has changed by less than this does not matter to the pool's size: a VM's work of some hundred milliseconds.
const BACKLOG_STEP: u64 = 16_000 * 300;

/// A rise of the demand by less than the pool's capacity divided by this can wait for the next publication.
const DEMAND_PARTS: u64 = 16;

/// Whether the fleet's holder should hear of the change at once.
fn is_urgent(published: &PoolStatus, status: &PoolStatus) -> bool {
    published.evacuated != status.evacuated
        || published.backlog.abs_diff(status.backlog) > BACKLOG_STEP
        || (published.backlog == 0) != (status.backlog == 0)
        || published.is_busy() != status.is_busy()
        || status.is_busy() && is_demand_risen(published, status)
}

/// Whether so much more is needed than the fleet's holder knows that it should send VMs.
fn is_demand_risen(published: &PoolStatus, status: &PoolStatus) -> bool {
    let risen = status
        .needed_millis()
        .saturating_sub(published.needed_millis());
    risen > status.capacity.cpu_millis / DEMAND_PARTS
}

impl<P: Platform> Scheduler<P> {
    pub(super) async fn publish_status(self: Rc<Self>) {
        let mut published: Option<PoolStatus> = None;
        let mut published_at = self.now();
        loop {
            self.status_changed.notified().await;
            tokio::time::sleep(LOOK_EVERY).await;
            let status = self.status();
            self.entry
                .is_awaiting_workers
                .set(status.backlog > BACKLOG_STEP);
            let is_urgent = published.as_ref().is_none_or(|it| is_urgent(it, &status));
            let is_due = self.now().saturating_duration_since(published_at) >= PUBLISH_GAP;
            if published.as_ref() == Some(&status) || !(is_urgent || is_due) {
                continue;
            }
            if self.publish(&status).await {
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
        let live = pool.workers().values().filter(|it| it.is_listed);
        let (capacity, used) = live.fold((Resources::ZERO, Resources::ZERO), |sum, it| {
            (sum.0 + it.info.capacity, sum.1 + it.used)
        });
        PoolStatus {
            waiting,
            evacuated: pool.evacuated(),
            capacity,
            used,
            backlog: pool.backlog(),
            demand_millis: pool.demand_millis(self.now()),
            light: pool.light_workers(),
        }
    }

    async fn publish(&self, status: &PoolStatus) -> bool {
        let txn = Txn {
            expect: vec![self.held.guard()],
            put: vec![Put {
                key: keys::pool_status(&self.name),
                value: keys::encode(status),
                lease: Some(self.held.lease),
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await {
            Ok(Committed::Done(_)) => true,
            Ok(Committed::Conflict(_)) => {
                self.lose("its key has ended");
                false
            }
            Err(error) => {
                log::warn!(target: "scheduler", pool:% = self.name, error:%; "The pool's status is not published.");
                false
            }
        }
    }
}
