//! Watches the inbox of a scheduler: submitted and cancelled jobs, and VMs to evacuate.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::spec::{JobRecord, JobState};

use crate::keys;
use crate::pool::{RETRY_AFTER, Scheduler};
use crate::ports::{Change, Item, Platform, Revision};

/// How long a watch of the inbox waits. A watch whose connection is dead is noticed only after this time, and no task
/// of a cancelled job may start later than 3 s after the cancellation.
const WATCH_WAIT: Duration = Duration::from_millis(800);

impl<P: Platform> Scheduler<P> {
    pub(super) async fn follow_inbox(self: Rc<Self>, mut after: Revision) {
        let prefix = keys::inbox(&self.name);
        loop {
            match self.entry.watch(&prefix, after, WATCH_WAIT).await {
                Ok(watched) => {
                    after = watched.revision;
                    for change in watched.changes {
                        if let Change::Put(item) = change {
                            self.ingest(&item);
                        }
                    }
                }
                Err(error) => {
                    log::info!(target: "scheduler", pool:% = self.name, error:%; "Watching the inbox failed; listing it again.");
                    tokio::time::sleep(RETRY_AFTER).await;
                    if let Some(revision) = self.list_inbox(&prefix).await {
                        after = revision;
                    }
                }
            }
            self.mark_changed();
        }
    }

    /// Ingests the whole inbox. Misses no removals, as only this scheduler removes jobs.
    async fn list_inbox(&self, prefix: &str) -> Option<Revision> {
        match self.entry.list(prefix, false).await {
            Ok(page) => {
                for item in &page.items {
                    self.ingest(item);
                }
                Some(page.revision)
            }
            Err(error) => {
                log::warn!(target: "scheduler", pool:% = self.name, error:%; "Listing the inbox failed; watching it from the last known revision.");
                None
            }
        }
    }

    /// Passes a job or a request to evacuate to the pool. A cancellation arrives as a job with `is_cancelled` set, also
    /// if the pool knows the job already.
    fn ingest(&self, item: &Item) {
        if item.key == keys::evacuation(&self.name) {
            self.ingest_evacuation(item);
            return;
        }
        let Some(record) = self.read_record(item) else {
            return;
        };
        if self.pool.borrow().is_set_aside(record.id) && !record.is_cancelled {
            return;
        }
        if self.has_closed(record.id, item) {
            // This item was read before the removal of the job was committed.
            return;
        }
        self.assume_status(item, &record);
        let age = self.age(&record);
        let is_known = self.pool.borrow().jobs().contains_key(&record.id);
        if !is_known || record.is_cancelled {
            log::info!(
                target: "scheduler",
                job:% = record.id,
                pool:% = self.name,
                is_cancelled = record.is_cancelled;
                "Job taken in."
            );
        }
        let now = self.now();
        self.pool.borrow_mut().submit(record, age, now);
    }

    /// Assumes that a new job's status is still the one from the transaction that accepted the job, which saves a read.
    /// If it has changed, the first save conflicts and returns the present status.
    pub(super) fn assume_status(&self, item: &Item, record: &JobRecord) {
        let key = keys::job(&record.queue, record.id);
        let is_known = self.stored.borrow().contains_key(&key);
        if !is_known && !record.is_cancelled {
            let status = self.initial_status(JobState::Queued);
            self.record_stored(key, item.revision, keys::encode(&status));
        }
    }

    /// Passes the VMs to evacuate to the pool, together with the worker that runs on each.
    pub(super) fn apply_evacuation(&self) {
        let vm_by_worker = self.evacuating.borrow();
        let vm_ids: BTreeSet<VmId> = vm_by_worker.values().cloned().collect();
        let mut pool = self.pool.borrow_mut();
        pool.set_vms(&vm_by_worker);
        pool.set_evacuating(&vm_ids, self.now());
        drop(pool);
        self.status_changed.notify_one();
        self.replan.notify_one();
    }
}
