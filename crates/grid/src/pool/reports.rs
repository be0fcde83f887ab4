//! Follows the registry's workers and the runs of each.
//!
//! One task per worker requests its report in a loop. A request extends the leases of the worker's runs and waits until
//! a run ends, for at most half a lease, so that the leases outlast this request and the next one. The next request
//! acknowledges the ends of the last report, once their effects are saved and all runs that were started since are known to
//! be on the incarnation that has reported.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::WorkerRef;
use goldcrest_jobs::lease::LeaseBound;
use tokio::task::JoinSet;

use crate::pool::Scheduler;
use crate::ports::{CommandError, Platform};

/// How long a report of a worker with runs waits for an end. Bounds the age of the reported progress and tail
/// latencies.
const WAIT_BUSY: Duration = Duration::from_millis(900);

/// How long a report of a worker without runs waits.
const WAIT_IDLE: Duration = Duration::from_secs(2);

/// The least time that a report waits, however short the leases are: without a wait, the requests would follow each
/// other at once.
const WAIT_MIN: Duration = Duration::from_millis(50);

/// Added to the requested wait for the timeout of a report. A worker answers within some milliseconds; while a lost
/// answer is waited for, the ends that it carried are delayed.
const REPORT_SLACK: Duration = Duration::from_millis(350);

/// The unit of the back-off between requests after reports that failed; it grows with their number. The first retry is
/// sent at once, as a lost answer is more likely than a lost worker.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The upper limit of the back-off, in units of [`RETRY_AFTER`].
const RETRY_STEPS: u32 = 4;

/// How long to wait for a report's ends to be saved before the next request, which extends the leases.
const SAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an acknowledgement waits for the answers to starts that are on their way. Without them, the next request acknowledges
/// nothing; its report lists the runs.
const START_ANSWER_WAIT: Duration = Duration::from_millis(20);

/// The interval between two checks whether they have arrived.
const START_ANSWER_CHECK: Duration = Duration::from_millis(3);

/// The pause before a request that acknowledges nothing although the worker lists ends: it is answered at once.
const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_millis(60);

impl<P: Platform> Scheduler<P> {
    pub(super) async fn follow_workers(self: Rc<Self>) {
        let (all, mut registry) = self.entry.workers.follow();
        self.ingest_registry(&all);
        let mut followers: JoinSet<()> = JoinSet::new();
        let mut followed: BTreeMap<WorkerRef, tokio::task::AbortHandle> = BTreeMap::new();
        loop {
            followed.retain(|_, handle| !handle.is_finished());
            let present: Vec<WorkerRef> = {
                let pool = self.pool.borrow();
                let live = pool
                    .workers()
                    .iter()
                    .filter(|(_, known)| !known.has_departed && known.token.is_some());
                live.map(|(worker, _)| *worker).collect()
            };
            for worker in present {
                followed.entry(worker).or_insert_with(|| {
                    followers.spawn_local(Rc::clone(&self).follow_worker(worker))
                });
            }
            while followers.try_join_next().is_some() {}
            tokio::select! {
                newer = registry.next() => match newer {
                    Some(all) => self.ingest_registry(&all),
                    None => return,
                },
                () = self.tokens_set.notified() => {}
            }
        }
    }

    fn ingest_registry(
        &self,
        all: &[(
            goldcrest_types::names::PoolName,
            goldcrest_jobs::worker::WorkerInfo,
        )],
    ) {
        if all.is_empty() {
            // The registry has not been read yet, so no worker may be treated as departed.
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
        self.mark_changed();
    }

    async fn follow_worker(self: Rc<Self>, worker: WorkerRef) {
        // The number of the last end that the next request acknowledges. Only the first request after the ends were saved does:
        // if the worker restarts unnoticed, a later one would make its next incarnation forget ends that nobody has received.
        let mut to_acknowledge = 0;
        let mut has_unacknowledged = false;
        let mut is_first = true;
        let mut failures = 0;
        loop {
            let Some(to) = self.recipient(worker) else {
                return;
            };
            // The worker answers at once while it has unacknowledged ends.
            let longest_wait = if is_first || has_unacknowledged {
                Duration::ZERO
            } else {
                self.report_wait(worker)
            };
            // An unresponsive worker is asked to answer at once: its leases are running out, and only the request
            // after its answer extends them.
            let wait = if failures > 0 {
                Duration::ZERO
            } else {
                longest_wait
            };
            let now = self.now();
            // A request without an answer may still be carried out, so an unresponsive worker is offered no further
            // lease: the leases of its runs must be able to expire. Nor may a scheduler that may have been replaced
            // extend leases that its successor takes as expired.
            let until_ms = if failures == 0 && self.holds_role() {
                self.offer_lease(worker)
            } else {
                None
            };
            // While it was unresponsive, the worker may have restarted; the ends of its new incarnation are numbered
            // from 1 again, and none may be acknowledged before it was received.
            let ends_acknowledged = if failures == 0 { to_acknowledge } else { 0 };
            let answer = self
                .entry
                .platform
                .report(
                    &to,
                    until_ms,
                    ends_acknowledged,
                    wait,
                    longest_wait + REPORT_SLACK,
                )
                .await;
            match answer {
                Ok(report) => {
                    is_first = false;
                    if failures > 0 {
                        log::info!(target: "scheduler", worker:% = to.worker, failures; "Worker answers again.");
                    }
                    failures = 0;
                    let arrived_at = self.now();
                    let (has_ends, last) = {
                        let mut pool = self.pool.borrow_mut();
                        let last = pool.last_to_acknowledge(&report.ended);
                        let awaited = pool.entries_awaited();
                        let has_ends = pool.report(worker, now, report, arrived_at);
                        if pool.entries_awaited() > awaited {
                            self.entry.registry_stale.notify_one();
                        }
                        (has_ends, last)
                    };
                    self.log_events();
                    self.mark_changed();
                    to_acknowledge = 0;
                    has_unacknowledged = has_ends;
                    if has_ends && self.wait_saved(SAVE_TIMEOUT).await {
                        if last > 0 && self.wait_accounted_for(worker).await {
                            to_acknowledge = last;
                            has_unacknowledged = false;
                        } else {
                            tokio::time::sleep(UNACKNOWLEDGED_PAUSE).await;
                        }
                    }
                }
                Err(error) => {
                    if !self.handle_report_error(worker, &error, failures == 0) {
                        return;
                    }
                    tokio::time::sleep(RETRY_AFTER * failures.min(RETRY_STEPS)).await;
                    failures += 1;
                }
            }
        }
    }

    /// Waits until all starts on a worker are accounted for, for at most [`START_ANSWER_WAIT`]. Returns whether they are.
    async fn wait_accounted_for(&self, worker: WorkerRef) -> bool {
        let until = self.now() + START_ANSWER_WAIT;
        loop {
            if self.pool.borrow().are_starts_accounted_for(worker) {
                return true;
            }
            if self.now() >= until {
                return false;
            }
            tokio::time::sleep(START_ANSWER_CHECK).await;
        }
    }

    /// How long the next report waits for an end.
    fn report_wait(&self, worker: WorkerRef) -> Duration {
        let pool = self.pool.borrow();
        let Some(known) = pool.worker(worker) else {
            return Duration::ZERO;
        };
        let wait = if known.runs.is_empty() {
            WAIT_IDLE
        } else {
            WAIT_BUSY
        };
        wait.min(self.lease() / 2).max(WAIT_MIN)
    }

    /// The lease that requests for reports offer. An idle worker needs it too: a run that starts on it while a request
    /// waits holds no other lease once its start's deadline has passed.
    fn lease(&self) -> Duration {
        let wanted = self.pool.borrow().bounds().lease;
        LeaseBound::offer(wanted, self.assigned_workers.borrow().lease())
    }

    fn offer_lease(&self, worker: WorkerRef) -> Option<u64> {
        let lease = self.lease();
        let mut pool = self.pool.borrow_mut();
        let known = pool.worker(worker)?;
        // A successor must know of every worker that may hold a lease.
        let is_stored = self
            .assigned_workers
            .borrow()
            .workers
            .contains(&known.info.id);
        let now = self.now();
        let until_ms = known.deadline_ms(now, lease).filter(|_| is_stored)?;
        pool.lease_offered(worker, until_ms, now);
        Some(until_ms)
    }

    /// Waits until all changes so far are saved. Returns `false` if that takes longer than `within`.
    pub(super) async fn wait_saved(&self, within: Duration) -> bool {
        let number = self.request_save();
        let mut saved = self.saved.subscribe();
        let is_saved = tokio::time::timeout(within, saved.wait_for(|done| *done >= number)).await;
        matches!(is_saved, Ok(Ok(_)))
    }

    /// Handles a failed report. Returns whether to request another one from the worker.
    fn handle_report_error(&self, worker: WorkerRef, error: &CommandError, is_first: bool) -> bool {
        let id = {
            let pool = self.pool.borrow();
            let known = pool.worker(worker).filter(|known| !known.has_departed);
            known.map(|known| known.info.id.clone())
        };
        // A later incarnation refuses requests to the departed one by its higher token.
        let Some(id) = id else { return false };
        let should_continue = match error {
            CommandError::Fenced => {
                self.step_down("a worker has seen a higher token");
                false
            }
            CommandError::WrongWorker => {
                let now = self.now();
                self.pool.borrow_mut().worker_replaced(worker, now);
                false
            }
            CommandError::Refused(why) => {
                log::warn!(target: "scheduler", worker:% = id, why:%; "A worker refused the request for its report.");
                true
            }
            CommandError::Unknown(why) | CommandError::NotSent(why) => {
                if is_first {
                    log::warn!(target: "scheduler", worker:% = id, why:%; "Worker gives no report.");
                }
                let now = self.now();
                self.pool.borrow_mut().mark_unresponsive(worker, now);
                true
            }
        };
        self.log_events();
        self.mark_changed();
        should_continue
    }
}
