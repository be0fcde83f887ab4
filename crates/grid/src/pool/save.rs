//! Saves the changes of the pool's jobs.
//!
//! Compares the desired content of each key with its last known content, and writes the difference in transactions.
//! Each transaction expects the role's key and the last known revision of every key that it writes, so neither a
//! replaced scheduler nor a transaction that is carried out late can overwrite newer content. A conflict returns the
//! present content of the keys, from which the next attempt starts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use goldcrest_jobs::id::{FencingToken, JobId, TaskId, WorkerId};
use goldcrest_jobs::job::Job;
use goldcrest_jobs::progress::OpenStarts;
use goldcrest_jobs::spec::JobState;
use goldcrest_jobs::suspect::{SuspectTasks, UnreportedKey};

use crate::keys::{self, AssignedWorkers, JobStatus};
use crate::pool::{RETRY_AFTER, Scheduler};
use crate::ports::{CallError, Committed, Conflict, Item, Platform, Put, Revision, Txn};

/// The most rows of one transaction, as the platform specifies it.
const ROWS_MAX: usize = 32;

/// The most transactions of one pool in flight. A few hide the store's latency; many would use up the store's rate,
/// which accepting jobs needs too.
const COMMITS_MAX: usize = 4;

/// Changes within this time are saved in one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(6);

/// How long the ids of closed jobs are kept. Longer than any listing takes.
const CLOSED_RETENTION: Duration = Duration::from_secs(30);

/// The last known content of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The revision of the key's last change.
    pub revision: Revision,
    /// The encoded value.
    pub value: Vec<u8>,
}

/// What is stored of a job's starts, so that a later scheduler knows of them.
#[derive(Debug, Clone, Default)]
pub struct RecordedStarts {
    /// The workers that may have received a start.
    pub workers: BTreeSet<WorkerId>,
    /// The unreported runs.
    pub unreported: BTreeSet<UnreportedKey>,
    /// The starts that may have had no answer.
    pub open: Vec<OpenStarts>,
}

/// The changes of one job's keys.
#[derive(Debug, Default)]
struct Writes {
    /// Keys that are not written, and the revisions that they must have.
    expect: Vec<(Box<str>, Revision)>,
    puts: Vec<(Box<str>, Vec<u8>)>,
    /// Keys to remove, with the last known revision of those that only this scheduler writes. A removal that is carried out
    /// late must not remove what was written since.
    remove: Vec<(Box<str>, Option<Revision>)>,
    /// The job, if these changes remove it from the store for good.
    closes: Option<JobId>,
    /// The job and what is stored of its starts after these changes.
    starts: Option<(JobId, RecordedStarts)>,
}

impl RecordedStarts {
    /// Whether a start of the task on the worker is stored.
    pub fn has_start(&self, task: TaskId, worker: &WorkerId) -> bool {
        self.open.iter().any(|starts| starts.contains(task, worker))
    }
}

impl Writes {
    /// The rows in a transaction. Each key with an expected revision takes a second one.
    fn rows(&self) -> usize {
        let conditions = self.remove.iter().filter(|(_, known)| known.is_some());
        self.expect.len() + 2 * self.puts.len() + self.remove.len() + conditions.count()
    }

    fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.remove.is_empty()
    }
}

/// A transaction and the jobs that it saves.
#[derive(Debug)]
struct Batch {
    jobs: Vec<JobId>,
    txn: Txn,
    closed: Vec<JobId>,
    starts: Vec<(JobId, RecordedStarts)>,
}

impl<P: Platform> Scheduler<P> {
    /// Requests a save; returns the number that `saved` reaches once the save is done.
    pub(super) fn request_save(&self) -> u64 {
        let number = self.saves_requested.get() + 1;
        self.saves_requested.set(number);
        self.unsaved.notify_one();
        number
    }

    pub(super) async fn keep_saving(self: Rc<Self>) {
        self.remove_orphans().await;
        loop {
            self.unsaved.notified().await;
            tokio::time::sleep(BATCH_WINDOW).await;
            self.save().await;
        }
    }

    /// Removes what is stored of jobs that are not open any more. What could not be removed is left to the next
    /// scheduler.
    async fn remove_orphans(&self) {
        let orphans = self.orphans.take();
        for orphans in orphans.chunks(ROWS_MAX / 2 - 1) {
            let expect = orphans.iter().cloned().chain([self.held.guard()]);
            let txn = Txn {
                expect: expect.collect(),
                remove: orphans.iter().map(|(key, _)| key.clone()).collect(),
                ..Txn::default()
            };
            if let Err(error) = self.entry.commit(&txn).await {
                log::info!(target: "scheduler", pool:% = self.name, keys = orphans.len(), error:%; "Unreported runs of closed jobs not removed; the next scheduler tries again.");
            }
        }
    }

    /// Saves until nothing is unsaved. Must run in one task only: jobs that one call has taken are invisible to
    /// another.
    async fn save(&self) {
        loop {
            let number = self.saves_requested.get();
            let jobs = self.pool.borrow_mut().take_unsaved();
            let result = self.save_assigned_workers(&jobs).await;
            let result = match result {
                Ok(is_settled) => self
                    .save_jobs(jobs.iter().copied().collect())
                    .await
                    .map(|()| is_settled),
                Err(error) => Err(error),
            };
            match result {
                Ok(is_settled) => {
                    self.saved.send_replace(number);
                    if is_settled && self.pool.borrow().unsaved().is_empty() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!(target: "scheduler", pool:% = self.name, jobs = jobs.len(), error:%; "Jobs not saved; trying again.");
                    for job in jobs {
                        self.pool.borrow_mut().keep_unsaved(job);
                    }
                    tokio::time::sleep(RETRY_AFTER).await;
                }
            }
        }
    }

    /// Saves jobs, with up to [`COMMITS_MAX`] transactions of disjoint jobs in flight: after a takeover every open job
    /// must be saved before its first start.
    async fn save_jobs(&self, mut jobs: Vec<JobId>) -> Result<(), CallError> {
        let mut committing = FuturesUnordered::new();
        let mut failed = None;
        loop {
            while failed.is_none() && committing.len() < COMMITS_MAX && !self.lost.is_cancelled() {
                let Some(batch) = self.next_batch(&mut jobs) else {
                    break;
                };
                committing.push(self.save_batch(batch));
            }
            match committing.next().await {
                Some(Ok(refused)) => jobs.extend(refused),
                Some(Err(error)) => failed = Some(error),
                None => break,
            }
        }
        if let Some(error) = failed {
            return Err(error);
        }
        if jobs.is_empty() {
            Ok(())
        } else {
            Err(CallError::NotDone("the role is lost".into()))
        }
    }

    /// Takes as many jobs as fit into one transaction. Returns `None` if no job has anything to write.
    fn next_batch(&self, jobs: &mut Vec<JobId>) -> Option<Batch> {
        let mut batch = Batch {
            jobs: Vec::new(),
            txn: Txn {
                expect: vec![self.held.guard()],
                ..Txn::default()
            },
            closed: Vec::new(),
            starts: Vec::new(),
        };
        while let Some(job) = jobs.last() {
            let mut writes = self.writes(*job);
            if batch.txn.rows() + writes.rows() > ROWS_MAX {
                break;
            }
            batch.jobs.extend(jobs.pop());
            if writes.is_empty() {
                // The store holds the job and its starts already.
                self.record_starts(writes.starts);
            } else {
                batch.closed.extend(writes.closes);
                batch.starts.extend(writes.starts.take());
                self.add(&mut batch.txn, writes);
            }
        }
        let is_empty = batch.txn.puts.is_empty() && batch.txn.remove.is_empty();
        (!is_empty).then_some(batch)
    }

    /// Commits a batch. Returns the jobs to save again after a conflict.
    async fn save_batch(&self, batch: Batch) -> Result<Vec<JobId>, CallError> {
        match self.entry.commit(&batch.txn).await? {
            Committed::Done(revision) => {
                self.apply_commit(batch.txn, revision, &batch.closed);
                self.record_starts(batch.starts);
                Ok(Vec::new())
            }
            Committed::Conflict(conflict) => {
                self.apply_conflict(&batch.txn, conflict);
                Ok(batch.jobs)
            }
        }
    }

    fn record_starts(&self, stored: impl IntoIterator<Item = (JobId, RecordedStarts)>) {
        self.recorded_starts.borrow_mut().extend(stored);
        self.batch_saved.notify_waiters();
    }

    fn add(&self, txn: &mut Txn, writes: Writes) {
        let stored = self.stored.borrow();
        txn.expect.extend(writes.expect);
        for (key, value) in writes.puts {
            let revision = stored
                .get(&key)
                .map_or(Revision::ABSENT, |known| known.revision);
            txn.expect.push((key.clone(), revision));
            txn.puts.push(Put {
                key,
                value,
                lease: None,
            });
        }
        for (key, revision) in writes.remove {
            txn.expect
                .extend(revision.map(|revision| (key.clone(), revision)));
            txn.remove.push(key);
        }
    }

    /// The difference between a job's state and the last known content of its keys.
    fn writes(&self, id: JobId) -> Writes {
        let pool = self.pool.borrow();
        let Some(job) = pool.jobs().get(&id) else {
            return Writes::default();
        };
        let mut writes = Writes::default();
        let status_key = keys::job(job.queue(), id);
        let state = job.state();
        // The entry that accepted the cancellation has stored this state.
        if state != JobState::Cancelled && self.stored_state(&status_key) != Some(state) {
            let mut status = self.initial_status(state);
            status.ended_ms = state.is_final().then(|| self.entry.wall_ms());
            writes
                .puts
                .push((status_key.clone(), keys::encode(&status)));
        }
        let progress_key = keys::progress(&self.name, id);
        let suspects_key = keys::suspects(&self.name, id);
        let is_closed = job.outcome.is_some() && job.live() == 0 && !pool.is_taking_over();
        let stored = self.stored.borrow();
        if is_closed {
            for key in [progress_key, suspects_key] {
                if let Some(known) = stored.get(&key) {
                    writes.remove.push((key, Some(known.revision)));
                }
            }
            // The cancelling entry writes it as well.
            writes.remove.push((keys::submitted(&self.name, id), None));
            writes.closes = Some(id);
        } else {
            let progress = job.to_progress();
            let open = progress.starts.clone();
            let progress = keys::encode(&progress);
            let suspects = job.to_suspects();
            let unreported = suspects.iter().flat_map(SuspectTasks::runs).collect();
            let stored_progress = stored.get(&progress_key);
            let stored_suspects = stored.get(&suspects_key);
            let is_same = stored_progress.is_some_and(|known| known.value == progress);
            // A removal of losses renews the progress, and a first write of losses expects the progress as it was. So one that
            // is carried out late does not bring back losses that were removed.
            let are_disproved = suspects.is_none() && stored_suspects.is_some();
            let are_first = suspects.is_some() && stored_suspects.is_none();
            match stored_progress.filter(|_| is_same && !are_disproved) {
                Some(known) if are_first => writes.expect.push((progress_key, known.revision)),
                Some(_) => {}
                None => writes.puts.push((progress_key, progress)),
            }
            if let Some(suspects) = suspects.map(|suspects| keys::encode(&suspects)) {
                if stored_suspects.is_none_or(|known| known.value != suspects) {
                    writes.puts.push((suspects_key, suspects));
                }
            } else if let Some(known) = stored_suspects {
                writes.remove.push((suspects_key, Some(known.revision)));
            }
            let workers = job.workers.clone();
            writes.starts = Some((
                id,
                RecordedStarts {
                    workers,
                    unreported,
                    open,
                },
            ));
        }
        writes
    }

    fn stored_state(&self, key: &str) -> Option<JobState> {
        let stored = self.stored.borrow();
        let status: JobStatus = keys::decode(key, &stored.get(key)?.value).ok()?;
        Some(status.state)
    }

    fn apply_commit(&self, txn: Txn, revision: Revision, closed: &[JobId]) {
        let mut stored = self.stored.borrow_mut();
        for put in txn.puts {
            stored.insert(
                put.key,
                Stored {
                    revision,
                    value: put.value,
                },
            );
        }
        for key in txn.remove {
            stored.remove(&key);
        }
        let mut pool = self.pool.borrow_mut();
        for job in closed {
            if let Some(ended) = pool.jobs().get(job) {
                stored.remove(&keys::job(ended.queue(), *job));
            }
            pool.remove_stored(*job);
            self.recorded_starts.borrow_mut().remove(job);
            let closed = (self.entry.now(), revision);
            self.closed.borrow_mut().insert(*job, closed);
        }
    }

    /// Records the present content of a refused transaction's keys, and ends jobs as their stored states show: those that were
    /// cancelled meanwhile, and those that an earlier scheduler had ended without closing them.
    fn apply_conflict(&self, txn: &Txn, conflict: Conflict) {
        let (role, _) = self.held.guard();
        if !self.held.is_held_in(&conflict) {
            self.step_down("the role's key was removed or replaced");
            return;
        }
        let mut stored = self.stored.borrow_mut();
        for (key, _) in &txn.expect {
            if *key != role {
                stored.remove(key);
            }
        }
        let mut ended = Vec::new();
        for item in conflict.items {
            if item.key == role {
                continue;
            }
            if let Ok(status) = keys::decode::<JobStatus>(&item.key, &item.value)
                && status.state.is_final()
                && let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok())
            {
                ended.push((id, status.state));
            }
            stored.insert(
                item.key,
                Stored {
                    revision: item.revision,
                    value: item.value,
                },
            );
        }
        drop(stored);
        for (id, state) in ended {
            if self.pool.borrow_mut().end_as_stored(id, state) {
                log::info!(target: "scheduler", job:% = id, state:?, pool:% = self.name; "A job was found ended while its progress was being saved.");
                self.replan.notify_one();
            }
        }
    }

    /// Whether an item of the inbox is that of a job that was removed from the store since. A listing from before the
    /// removal may still contain it; a later item is another job with the same id.
    pub(super) fn has_closed(&self, id: JobId, item: &Item) -> bool {
        let now = self.now();
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, (at, _)| now.saturating_duration_since(*at) < CLOSED_RETENTION);
        closed
            .get(&id)
            .is_some_and(|(_, revision)| item.revision < *revision)
    }

    /// Whether every worker that may be sent a start is stored as assigned, with the longest lease that it may get, so
    /// that a later scheduler knows of them. Requests a save if the stored lease differs from the present one or a worker
    /// waits for its fencing token.
    pub(super) fn are_assigned_workers_stored(&self) -> bool {
        let assigned_workers = self.assigned_workers.borrow();
        let pool = self.pool.borrow();
        let are_workers_stored = pool
            .workers()
            .values()
            .filter(|worker| worker.is_fenced() && !worker.has_departed)
            .all(|worker| assigned_workers.workers.contains(&worker.info.id));
        let longest_ms = pool.lease_bound().longest_ms(self.now());
        let stored_ms = assigned_workers.lease_ms;
        let is_lease_covered = stored_ms.is_none_or(|stored_ms| stored_ms >= longest_ms);
        let is_stored = are_workers_stored && is_lease_covered;
        let is_one_without_token = !pool.workers_without_token().is_empty();
        if !is_stored || stored_ms != Some(longest_ms) || is_one_without_token {
            self.unsaved.notify_one();
        }
        is_stored
    }

    /// Stores the workers on which runs of this pool may be, their incarnations and their longest lease, if any has changed.
    /// The write expects the role's key, so its revision lies between this scheduler's token and the next one's, and is the
    /// fencing token of the incarnations that it is the first to contain.
    /// A worker whose loss is not stored with its jobs yet stays in the list with the incarnation that was lost: a
    /// successor that knows of neither would start the lost tasks again without counting the loss. So do all stored ones
    /// during a takeover. Returns whether no loss was the reason to keep one.
    async fn save_assigned_workers(&self, unsaved: &BTreeSet<JobId>) -> Result<bool, CallError> {
        let (assigned_workers, without_token, is_settled) = {
            let pool = self.pool.borrow();
            let present = || {
                let workers = pool.workers().values();
                workers.filter(|worker| !worker.has_departed)
            };
            let mut workers: BTreeSet<_> = present().map(|worker| worker.info.id.clone()).collect();
            let mut started_ms = pool.departed_incarnations();
            started_ms.extend(
                present()
                    .filter_map(|worker| Some((worker.info.id.clone(), worker.info.started_ms?))),
            );
            let mut present_ms = BTreeMap::new();
            let stray = present().filter(|worker| worker.may_hold_stray_lease());
            let mut stray_leases: BTreeSet<_> =
                stray.map(|worker| worker.info.id.clone()).collect();
            let stored = self.assigned_workers.borrow();
            let lost = unsaved.iter().filter_map(|job| pool.jobs().get(job));
            let lost: BTreeSet<&WorkerId> = lost.flat_map(Job::lost_workers).collect();
            let mut is_settled = true;
            for id in &stored.workers {
                let has_unsaved_losses = lost.contains(id);
                is_settled &= !has_unsaved_losses;
                if !pool.is_taking_over() && !has_unsaved_losses {
                    continue;
                }
                let is_absent = workers.insert(id.clone());
                let stored_strays = stored.stray_leases.as_ref();
                if is_absent && stored_strays.is_none_or(|strays| strays.contains(id)) {
                    stray_leases.insert(id.clone());
                }
                if let Some(at) = stored.started_ms.get(id)
                    && let Some(present) = started_ms.insert(id.clone(), *at)
                    && present != *at
                {
                    present_ms.insert(id.clone(), present);
                }
            }
            let assigned_workers = AssignedWorkers {
                workers,
                lease_ms: Some(pool.lease_bound().longest_ms(self.now())),
                started_ms,
                present_ms,
                stray_leases: Some(stray_leases),
            };
            (assigned_workers, pool.workers_without_token(), is_settled)
        };
        let is_stored = self
            .assigned_workers
            .borrow()
            .suffice_for(&assigned_workers);
        if is_stored && without_token.is_empty() {
            return Ok(is_settled);
        }
        let key = keys::assigned_workers(&self.name);
        let writes = Writes {
            puts: vec![(key, keys::encode(&assigned_workers))],
            ..Writes::default()
        };
        let mut txn = Txn {
            expect: vec![self.held.guard()],
            ..Txn::default()
        };
        self.add(&mut txn, writes);
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.apply_commit(txn, revision, &[]);
                *self.assigned_workers.borrow_mut() = assigned_workers;
                self.pool
                    .borrow_mut()
                    .set_tokens(&without_token, FencingToken(revision.0));
                self.tokens_set.notify_one();
                self.replan.notify_one();
                Ok(is_settled)
            }
            Committed::Conflict(conflict) => {
                self.apply_conflict(&txn, conflict);
                Err(CallError::NotDone(
                    "the key of the assigned workers has changed".into(),
                ))
            }
        }
    }
}
