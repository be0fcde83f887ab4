//! Removes the statuses of jobs whose retention period after their end is over.

use std::time::Duration;

use goldcrest_jobs::worker::millis;

use crate::fleet::Fleet;
use crate::keys::{self, JobStatus};
use crate::ports::{CallError, Committed, Item, Platform, Txn};

/// The interval between two sweeps.
const SWEEP_EVERY: Duration = Duration::from_secs(30);

/// Added to the retention period, as the entries' wall clocks differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(30);

/// The most statuses that one transaction removes. Each takes two rows: the expected revision and the removal.
const STATUSES_PER_TXN: usize = 15;

impl<P: Platform> Fleet<P> {
    /// Sweeps periodically while the role is held.
    pub(super) async fn keep_sweeping(&self) {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            if let Err(error) = self.sweep().await {
                log::warn!(target: "fleet", error:%; "Removing expired job statuses failed; trying again with the next sweep.");
            }
        }
    }

    async fn sweep(&self) -> Result<(), CallError> {
        // A status that a stale listing does not contain is removed by a later sweep.
        let page = self.entry.list(keys::JOBS, true).await?;
        let kept = self.entry.settings().status_retention + CLOCK_MARGIN;
        let oldest_ms = self.entry.wall_ms().saturating_sub(millis(kept));
        let old: Vec<&Item> = page
            .items
            .iter()
            .filter(|item| {
                keys::decode::<JobStatus>(&item.key, &item.value)
                    .is_ok_and(|status| status.ended_ms.is_some_and(|ended| ended < oldest_ms))
            })
            .collect();
        for batch in old.chunks(STATUSES_PER_TXN) {
            let rows = batch.iter().map(|item| (item.key.clone(), item.revision));
            let txn = Txn {
                expect: [self.held.guard()].into_iter().chain(rows).collect(),
                remove: batch.iter().map(|item| item.key.clone()).collect(),
                ..Txn::default()
            };
            if let Committed::Conflict(conflict) = self.entry.commit(&txn).await? {
                self.check_role(&conflict);
                return Ok(());
            }
        }
        if !old.is_empty() {
            log::info!(target: "fleet", statuses = old.len(); "Expired job statuses removed.");
        }
        Ok(())
    }
}
