//! Polls the registry of workers while a role of this entry needs it.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::{Entry, STORE_TIMEOUT};
use crate::ports::Platform;

/// The interval between two reads. Workers update their registrations every second or two.
const READ_EVERY: Duration = Duration::from_millis(600);

/// The same while a pool with a backlog may be about to get workers.
const READ_EVERY_AWAITING: Duration = Duration::from_millis(200);

/// Keeps the registry polled until it is dropped.
pub struct UseGuard<P: Platform> {
    entry: Rc<Entry<P>>,
}

impl<P: Platform> UseGuard<P> {
    /// Counts a user of the registry and wakes the task that polls it. The first user sees no worker before the next
    /// read: what was read for an earlier role may be out of date.
    pub fn new(entry: Rc<Entry<P>>) -> Self {
        if entry.registry_users.get() == 0 {
            entry.workers.set(Rc::from([]));
        }
        entry.registry_users.set(entry.registry_users.get() + 1);
        entry.registry_needed.notify_one();
        Self { entry }
    }
}

impl<P: Platform> Drop for UseGuard<P> {
    fn drop(&mut self) {
        let users = self.entry.registry_users.get();
        self.entry.registry_users.set(users.saturating_sub(1));
    }
}

/// Polls the registry while any [`UseGuard`] exists. Runs until the task is aborted.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        if entry.registry_users.get() == 0 {
            entry.registry_needed.notified().await;
            continue;
        }
        let sent_at = entry.now();
        let result = entry.platform.workers(STORE_TIMEOUT).await;
        match entry.record_call("list workers", sent_at, result) {
            Ok(mut workers) => {
                // Without a start time, a later incarnation would be taken for the earlier one.
                workers.retain(|(_, info)| info.started_ms.is_some());
                entry.workers.set(workers.into());
            }
            Err(error) => {
                log::warn!(target: "fleet", error:%; "Reading the registry of workers failed; keeping the last known workers.");
            }
        }
        let pause = if entry.is_awaiting_workers.get() {
            READ_EVERY_AWAITING
        } else {
            READ_EVERY
        };
        // Whether it was notified or the time is over, the registry is read again.
        let _ = tokio::time::timeout(pause, entry.registry_stale.notified()).await;
    }
}
