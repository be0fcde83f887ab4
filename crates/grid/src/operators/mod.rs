//! Follows the operators' requests: the catalogue in force, the maintenance waves and the cordoned data centres.
//!
//! A catalogue replaces only an older one. A read or a watch that returns, with or without changes, proves that nothing
//! newer existed when it was sent; that time is kept in `catalogue_current_at`, from which the freshness of keys and of
//! cordons is judged. A read replaces all cordons, so one that ended while the watch was lost is not kept.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::entry::{Entry, STORE_TIMEOUT};
use crate::ports::{CallError, Cordons, OperatorRequests, Platform, Revision, StoredCatalogue};

/// How long a watch waits. Bounds the age of the proof that the catalogue is the newest.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// The delay before a failed call is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Follows the operators' requests. Runs until the task is aborted.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        let Some(mut after) = read(&entry).await else {
            tokio::time::sleep(RETRY_AFTER).await;
            continue;
        };
        while let Some(revision) = follow(&entry, after).await {
            after = revision;
        }
    }
}

async fn read<P: Platform>(entry: &Entry<P>) -> Option<Revision> {
    let sent_at = entry.now();
    let result = entry.platform.read_requests(STORE_TIMEOUT).await;
    match entry.record_call("read orders", sent_at, result) {
        Ok(orders) => Some(ingest(entry, orders, sent_at)),
        Err(error) => {
            log::warn!(target: "catalogue", error:%; "Reading the operators' requests failed; trying again.");
            None
        }
    }
}

/// Waits for the next changes. Returns `None` if everything must be read again.
async fn follow<P: Platform>(entry: &Entry<P>, after: Revision) -> Option<Revision> {
    let sent_at = entry.now();
    let watch = entry.platform.watch_requests(after, WATCH_WAIT);
    let result = tokio::time::timeout(WATCH_WAIT + STORE_TIMEOUT, watch)
        .await
        .unwrap_or_else(|_| Err(CallError::Unknown("the watch timed out".into())));
    match entry.record_call("watch orders", sent_at, result) {
        Ok(orders) => Some(ingest(entry, orders, sent_at)),
        Err(error) => {
            log::info!(target: "catalogue", error:%; "Watching the operators' requests failed; reading them again.");
            tokio::time::sleep(RETRY_AFTER).await;
            None
        }
    }
}

fn ingest<P: Platform>(entry: &Entry<P>, orders: OperatorRequests, sent_at: Instant) -> Revision {
    if let Some(stored) = orders.catalogue {
        put_in_force(entry, stored);
    }
    apply_cordons(entry, &orders.cordons);
    let mut has_new = false;
    for wave in orders.waves {
        let (number, revision) = (wave.wave.number, wave.revision);
        let before = entry.waves.borrow_mut().insert(number, wave);
        if before.is_none_or(|before| before.revision != revision) {
            log::info!(target: "maintenance", wave = number, revision:%; "Wave ordered.");
            has_new = true;
        }
    }
    if has_new {
        entry.waves_changed.notify_waiters();
    }
    if entry.catalogue.get().is_some() {
        entry.catalogue_current_at.set(Some(sent_at));
    }
    orders.revision
}

fn apply_cordons<P: Platform>(entry: &Entry<P>, cordons: &Cordons) {
    let before = entry.cordoned.get();
    let after = cordons.apply(&before);
    if after == *before {
        return;
    }
    for dc in after.difference(&before) {
        log::warn!(target: "maintenance", dc:%; "Data centre cordoned: no task is started there.");
    }
    for dc in before.difference(&after) {
        log::info!(target: "maintenance", dc:%; "Data centre no longer cordoned.");
    }
    entry.metrics.set_cordoned_dcs(after.len());
    entry.cordoned.set(Rc::new(after));
}

/// Puts a catalogue in force if it is newer than the one in force.
pub fn put_in_force<P: Platform>(entry: &Entry<P>, stored: StoredCatalogue) {
    let present = entry.catalogue.get().map(|present| present.revision);
    if present.is_some_and(|present| stored.revision <= present) {
        return;
    }
    let version = stored.catalogue.version;
    log::info!(
        target: "catalogue",
        version,
        revision:% = stored.revision,
        queues = stored.catalogue.queues().len(),
        teams = stored.catalogue.teams().len();
        "Catalogue in force."
    );
    entry.metrics.set_catalogue_version(version);
    entry.catalogue.set(Some(stored));
}
