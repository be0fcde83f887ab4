//! Follows what is handed to the scheduler: submitted and cancelled jobs, and VMs to empty.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::VmId;
use goldcrest_jobs::spec::{JobRecord, JobState};

use crate::keys;
use crate::pool::{RETRY_AFTER, Scheduler};
use crate::ports::{Change, Item, Platform, Revision};

/// How long a watch of the inbox waits. A watch whose connection has fallen silent is noticed only after this; a cancelled job
/// must not be started for longer than 3 s after its cancellation.
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
                            self.take(&item);
                        }
                    }
                }
                Err(error) => {
                    log::info!(target: "scheduler", pool:% = self.name, error:%; "The inbox is listed again.");
                    tokio::time::sleep(RETRY_AFTER).await;
                    if let Some(revision) = self.list_inbox(&prefix).await {
                        after = revision;
                    }
                }
            }
            self.changed();
        }
    }

    /// Takes all that the inbox holds. Removals are not missed by this: only this scheduler removes jobs.
    async fn list_inbox(&self, prefix: &str) -> Option<Revision> {
        match self.entry.list(prefix, false).await {
            Ok(page) => {
                for item in &page.items {
                    self.take(item);
                }
                Some(page.revision)
            }
            Err(error) => {
                log::warn!(target: "scheduler", pool:% = self.name, error:%; "The inbox can't be listed.");
                None
            }
        }
    }

    fn take(&self, item: &Item) {
        if item.key == keys::evacuation(&self.name) {
            self.take_evacuation(item);
            return;
        }
        let Some(record) = self.read_record(item) else {
            return;
        };
        if self.has_closed(record.id) {
            // Its removal is on the way.
            return;
        }
        self.guess_status(item, &record);
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

    /// A job's status was written last in the transaction that handed the job over. If that has changed since, the first save
    /// is refused and comes back with what is there.
    pub(super) fn guess_status(&self, item: &Item, record: &JobRecord) {
        let key = keys::job(&record.queue, record.id);
        let is_known = self.stored.borrow().contains_key(&key);
        if !is_known && !record.is_cancelled {
            let status = self.initial_status(JobState::Queued);
            self.remember(key, item.revision, keys::encode(&status));
        }
    }

    /// Tells the pool which of its VMs are to be emptied.
    pub(super) fn apply_evacuation(&self) {
        let vms = self.evacuating.borrow();
        let names: BTreeSet<VmId> = vms.values().cloned().collect();
        let mut pool = self.pool.borrow_mut();
        pool.set_vms(&vms);
        pool.set_evacuating(&names, self.now());
        drop(pool);
        self.status_changed.notify_one();
        self.replan.notify_one();
    }
}
