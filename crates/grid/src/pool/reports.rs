//! Follows the workers: which there are, and what each runs.
//!
//! Each worker has a task that asks for its report again and again; the request extends the leases of its runs and waits for an
//! end. Ends are taken note of with the next request, once what they changed has been saved.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::WorkerRef;
use tokio::task::JoinSet;

use crate::pool::Scheduler;
use crate::ports::{OrderError, Platform};

/// How long a report waits for an end while something runs. Bounds the age of progress and of tails.
const WAIT_BUSY: Duration = Duration::from_millis(900);

/// How long a report waits while nothing runs.
const WAIT_IDLE: Duration = Duration::from_secs(2);

/// How much longer than it was asked to wait a report may take. A worker answers within some milliseconds; what is lost
/// beyond that holds up the ends that the answer had.
const REPORT_SLACK: Duration = Duration::from_millis(350);

/// The pause after each further report that failed, and grows with their number. The first one is asked for again at once: a
/// lost answer is more likely than a lost worker.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The most steps by which that pause grows.
const RETRY_STEPS: u32 = 4;

/// How long a report's ends may wait to be saved before the leases are extended again.
const SAVE_WAIT: Duration = Duration::from_millis(700);

impl<P: Platform> Scheduler<P> {
    pub(super) async fn follow_workers(self: Rc<Self>) {
        let mut registry = self.entry.workers.subscribe();
        let mut followers: JoinSet<()> = JoinSet::new();
        let mut followed: BTreeMap<WorkerRef, tokio::task::AbortHandle> = BTreeMap::new();
        loop {
            self.take_registry(&registry.borrow_and_update().clone());
            followed.retain(|_, handle| !handle.is_finished());
            let wanted: Vec<WorkerRef> = {
                let pool = self.pool.borrow();
                let live = pool.workers().iter().filter(|(_, it)| !it.is_gone);
                live.map(|(worker, _)| *worker).collect()
            };
            for worker in wanted {
                followed.entry(worker).or_insert_with(|| {
                    followers.spawn_local(Rc::clone(&self).follow_worker(worker))
                });
            }
            while followers.try_join_next().is_some() {}
            if registry.changed().await.is_err() {
                return;
            }
        }
    }

    fn take_registry(
        &self,
        all: &[(
            goldcrest_types::names::PoolName,
            goldcrest_jobs::worker::WorkerInfo,
        )],
    ) {
        if all.is_empty() {
            // Nothing was read yet: an empty fleet is no reason to hold workers for gone.
            return;
        }
        let listed = all
            .iter()
            .filter(|(pool, _)| *pool == self.name)
            .map(|(_, info)| info.clone())
            .collect();
        self.pool.borrow_mut().set_workers(listed, self.now());
        self.apply_evacuation();
        self.log_events();
        self.changed();
    }

    async fn follow_worker(self: Rc<Self>, worker: WorkerRef) {
        let mut noted = 0;
        let mut is_first = true;
        let mut failures = 0;
        loop {
            let Some(to) = self.recipient(worker) else {
                return;
            };
            let wait = if is_first {
                Duration::ZERO
            } else {
                self.report_wait(worker, noted)
            };
            let now = self.now();
            // Orders without an answer may be carried out: a worker that has fallen silent is offered no more leases,
            // so that those that it has can lapse. Nor may a scheduler that may have been replaced keep runs up that its
            // successor counts as lapsed.
            let until_ms = if failures == 0 && self.holds_role() {
                self.offer_lease(worker, wait)
            } else {
                None
            };
            // After a silence the worker may have begun a new life, whose ends count from 1 again: none may be taken note of
            // before they were seen.
            let ends_noted = if failures == 0 { noted } else { 0 };
            let answer = self
                .entry
                .platform
                .report(&to, until_ms, ends_noted, wait, wait + REPORT_SLACK)
                .await;
            match answer {
                Ok(report) => {
                    is_first = false;
                    if failures > 0 {
                        log::info!(target: "scheduler", worker:% = to.worker, failures; "Worker answers again.");
                    }
                    failures = 0;
                    let last = report.ended.iter().map(|end| end.number).max();
                    let arrived_at = self.now();
                    let has_ends = self
                        .pool
                        .borrow_mut()
                        .report(worker, now, report, arrived_at);
                    self.log_events();
                    self.changed();
                    if has_ends && self.wait_saved(SAVE_WAIT).await {
                        noted = noted.max(last.unwrap_or_default());
                    }
                }
                Err(error) => {
                    if !self.after_failure(worker, &error, failures == 0) {
                        return;
                    }
                    tokio::time::sleep(RETRY_AFTER * failures.min(RETRY_STEPS)).await;
                    failures += 1;
                }
            }
        }
    }

    /// How long the next report waits for an end. With ends that are not taken note of it would not wait at all.
    fn report_wait(&self, worker: WorkerRef, noted: u64) -> Duration {
        let pool = self.pool.borrow();
        let Some(it) = pool.worker(worker) else {
            return Duration::ZERO;
        };
        if it.last_end > noted {
            Duration::ZERO
        } else if it.runs.is_empty() {
            WAIT_IDLE
        } else {
            WAIT_BUSY
        }
    }

    fn offer_lease(&self, worker: WorkerRef, wait: Duration) -> Option<u64> {
        let mut pool = self.pool.borrow_mut();
        let lease = pool.bounds().lease;
        // The lease must last beyond this request and the next one.
        let until_ms = pool
            .worker(worker)?
            .deadline_ms(self.now(), lease.max(wait * 2))?;
        pool.lease_offered(worker, until_ms);
        Some(until_ms)
    }

    /// Waits until what has changed so far is saved; `false` if that takes too long.
    pub(super) async fn wait_saved(&self, within: Duration) -> bool {
        let number = self.request_save();
        let mut saved = self.saved.subscribe();
        let is_saved = tokio::time::timeout(within, saved.wait_for(|it| *it >= number)).await;
        matches!(is_saved, Ok(Ok(_)))
    }

    /// Returns whether the worker is to be asked again.
    fn after_failure(&self, worker: WorkerRef, error: &OrderError, is_first: bool) -> bool {
        let id = self
            .pool
            .borrow()
            .worker(worker)
            .map(|it| it.info.id.clone());
        let Some(id) = id else { return false };
        let is_to_go_on = match error {
            OrderError::Fenced => {
                self.lose("a worker has seen a higher token");
                false
            }
            OrderError::WrongWorker => {
                self.pool.borrow_mut().replaced(worker);
                false
            }
            OrderError::Refused(why) => {
                log::warn!(target: "scheduler", worker:% = id, why:%; "Report refused.");
                true
            }
            OrderError::Unknown(why) | OrderError::NotSent(why) => {
                if is_first {
                    log::warn!(target: "scheduler", worker:% = id, why:%; "Worker gives no report.");
                }
                self.pool.borrow_mut().no_answer(worker);
                true
            }
        };
        self.log_events();
        self.changed();
        is_to_go_on
    }
}
