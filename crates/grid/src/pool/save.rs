//! Saves what has changed of the pool's jobs.
//!
//! What each key should hold is compared with what the store is known to hold, and the difference is written in
//! transactions. Each carries the role's key and the last known revision of every key that it writes, so neither a
//! scheduler that was replaced nor a transaction that is carried out late can undo what came after. If a transaction is
//! refused, the keys' present content comes with the refusal and the next round starts from that.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use goldcrest_jobs::id::{JobId, WorkerId};
use goldcrest_jobs::spec::JobState;

use crate::keys::{self, Crew, JobStatus};
use crate::pool::{RETRY_AFTER, Scheduler};
use crate::ports::{CallError, Committed, Conflict, Platform, Put, Revision, Txn};

/// The most rows of a transaction. From the platform's pages.
const ROWS_MAX: usize = 32;

/// The most transactions of one pool that are under way at once. A few hide the time of an answer; many would take the store's rate
/// from acceptances.
const COMMITS_MAX: usize = 4;

/// Changes within this time are saved together.
const BATCH: Duration = Duration::from_millis(6);

/// How long closed jobs are remembered. Longer than any listing is under way.
const CLOSED_KEPT: Duration = Duration::from_secs(30);

/// What the store holds of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Its last change.
    pub revision: Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// The writes of one job.
#[derive(Debug, Default)]
struct Writes {
    put: Vec<(Box<str>, Vec<u8>)>,
    remove: Vec<Box<str>>,
    /// Nothing of it is left to do after this.
    closes: Option<JobId>,
    /// The workers that are stored with the job once this is written.
    workers: Option<(JobId, BTreeSet<WorkerId>)>,
}

impl Writes {
    /// Each write of a key comes with its expected revision.
    fn rows(&self) -> usize {
        2 * self.put.len() + self.remove.len()
    }

    fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// Jobs that are saved by one transaction.
#[derive(Debug)]
struct Batch {
    jobs: Vec<JobId>,
    txn: Txn,
    closed: Vec<JobId>,
    workers: Vec<(JobId, BTreeSet<WorkerId>)>,
}

impl<P: Platform> Scheduler<P> {
    /// Asks for a save; returns the number that `saved` reaches once it is done.
    pub(super) fn request_save(&self) -> u64 {
        let number = self.save_wanted.get() + 1;
        self.save_wanted.set(number);
        self.unsaved.notify_one();
        number
    }

    pub(super) async fn keep_saving(self: Rc<Self>) {
        loop {
            self.unsaved.notified().await;
            tokio::time::sleep(BATCH).await;
            self.save().await;
        }
    }

    /// Saves until nothing is left to save. Only one task may do this: what one round has taken is not seen by another.
    async fn save(&self) {
        loop {
            let number = self.save_wanted.get();
            let jobs = self.pool.borrow_mut().take_unsaved();
            let result = self.save_crew().await;
            let result = match result {
                Ok(()) => self.save_jobs(jobs.iter().copied().collect()).await,
                Err(error) => Err(error),
            };
            match result {
                Ok(()) => {
                    self.saved.send_replace(number);
                    if self.pool.borrow().unsaved().is_empty() {
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

    /// Saves jobs in transactions of disjoint jobs, several at a time: after a takeover each open job is to be saved, and its
    /// first start waits for that.
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

    /// Takes as many jobs as fit into a transaction; `None` if none is left to write.
    fn next_batch(&self, jobs: &mut Vec<JobId>) -> Option<Batch> {
        let mut batch = Batch {
            jobs: Vec::new(),
            txn: Txn {
                expect: vec![self.held.guard()],
                ..Txn::default()
            },
            closed: Vec::new(),
            workers: Vec::new(),
        };
        while let Some(job) = jobs.last() {
            let writes = self.writes(*job);
            if batch.txn.rows() + writes.rows() > ROWS_MAX {
                break;
            }
            batch.jobs.extend(jobs.pop());
            if writes.is_empty() {
                // The store holds it already, with its workers.
                self.note_workers(writes.workers);
            } else {
                batch.closed.extend(writes.closes);
                batch.workers.extend(writes.workers.clone());
                self.add(&mut batch.txn, writes);
            }
        }
        let is_empty = batch.txn.put.is_empty() && batch.txn.remove.is_empty();
        (!is_empty).then_some(batch)
    }

    /// Commits a batch; returns the jobs that are to be tried again.
    async fn save_batch(&self, batch: Batch) -> Result<Vec<JobId>, CallError> {
        match self.entry.commit(&batch.txn).await? {
            Committed::Done(revision) => {
                self.after_commit(batch.txn, revision, &batch.closed);
                self.note_workers(batch.workers);
                Ok(Vec::new())
            }
            Committed::Conflict(conflict) => {
                self.after_conflict(&batch.txn, conflict);
                Ok(batch.jobs)
            }
        }
    }

    fn note_workers(&self, stored: impl IntoIterator<Item = (JobId, BTreeSet<WorkerId>)>) {
        self.noted_workers.borrow_mut().extend(stored);
        self.batch_saved.notify_waiters();
    }

    fn add(&self, txn: &mut Txn, writes: Writes) {
        let stored = self.stored.borrow();
        for (key, value) in writes.put {
            let revision = stored.get(&key).map_or(Revision::ABSENT, |it| it.revision);
            txn.expect.push((key.clone(), revision));
            txn.put.push(Put {
                key,
                value,
                lease: None,
            });
        }
        txn.remove.extend(writes.remove);
    }

    /// What is to be written of a job.
    fn writes(&self, id: JobId) -> Writes {
        let pool = self.pool.borrow();
        let Some(job) = pool.jobs().get(&id) else {
            return Writes::default();
        };
        let mut writes = Writes::default();
        let status_key = keys::job(job.queue(), id);
        let state = job.state();
        // A cancellation was stored by the entry that took it.
        if state != JobState::Cancelled && self.stored_state(&status_key) != Some(state) {
            let mut status = self.initial_status(state);
            status.ended_ms = state.is_final().then(|| self.entry.wall_ms());
            writes.put.push((status_key.clone(), keys::encode(&status)));
        }
        let progress_key = keys::progress(&self.name, id);
        let is_closed = job.outcome.is_some() && job.live() == 0 && !pool.is_taking_over();
        let stored = self.stored.borrow();
        if is_closed {
            if stored.contains_key(&progress_key) {
                writes.remove.push(progress_key);
            }
            writes.remove.push(keys::submitted(&self.name, id));
            writes.closes = Some(id);
        } else {
            let progress = keys::encode(&job.to_progress());
            let is_same = stored
                .get(&progress_key)
                .is_some_and(|it| it.value == progress);
            if !is_same {
                writes.put.push((progress_key, progress));
            }
            writes.workers = Some((id, job.workers.clone()));
        }
        writes
    }

    fn stored_state(&self, key: &str) -> Option<JobState> {
        let stored = self.stored.borrow();
        let status: JobStatus = keys::decode(key, &stored.get(key)?.value).ok()?;
        Some(status.state)
    }

    fn after_commit(&self, txn: Txn, revision: Revision, closed: &[JobId]) {
        let mut stored = self.stored.borrow_mut();
        for put in txn.put {
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
            if let Some(it) = pool.jobs().get(job) {
                stored.remove(&keys::job(it.queue(), *job));
            }
            pool.forget(*job);
            self.noted_workers.borrow_mut().remove(job);
            self.closed.borrow_mut().insert(*job, self.entry.now());
        }
    }

    /// Takes what the refused transaction's keys hold now.
    fn after_conflict(&self, txn: &Txn, conflict: Conflict) {
        let (role, _) = self.held.guard();
        if !self.held.stands_in(&conflict) {
            self.lose("its key has ended");
            return;
        }
        let mut stored = self.stored.borrow_mut();
        for (key, _) in &txn.expect {
            if *key != role {
                stored.remove(key);
            }
        }
        let mut cancelled = Vec::new();
        for item in conflict.items {
            if item.key == role {
                continue;
            }
            if let Ok(status) = keys::decode::<JobStatus>(&item.key, &item.value)
                && status.state == JobState::Cancelled
                && let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok())
            {
                cancelled.push(id);
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
        for id in cancelled {
            log::info!(target: "scheduler", job:% = id, pool:% = self.name; "Job was cancelled while it was being saved.");
            self.pool.borrow_mut().cancel(id);
            self.replan.notify_one();
        }
    }

    /// Whether the job's removal has been saved. A listing that was read before may still hold it.
    pub(super) fn has_closed(&self, id: JobId) -> bool {
        let now = self.now();
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, at| now.saturating_duration_since(*at) < CLOSED_KEPT);
        closed.contains_key(&id)
    }

    /// Whether every worker that takes work is known to a scheduler that comes after this one.
    pub(super) fn is_crew_stored(&self) -> bool {
        let crew = self.crew.borrow();
        let pool = self.pool.borrow();
        let is_stored = pool
            .workers()
            .values()
            .filter(|it| it.is_fenced() && !it.is_gone)
            .all(|it| crew.contains(&it.info.id));
        drop(pool);
        if !is_stored {
            self.unsaved.notify_one();
        }
        is_stored
    }

    /// Stores the workers on which something may run, if they have changed.
    async fn save_crew(&self) -> Result<(), CallError> {
        let crew = {
            let pool = self.pool.borrow();
            let workers = pool.workers().values();
            let mut crew: BTreeSet<_> = workers
                .filter(|it| !it.is_gone)
                .map(|it| it.info.id.clone())
                .collect();
            if pool.is_taking_over() {
                crew.extend(self.crew.borrow().iter().cloned());
            }
            crew
        };
        if crew == *self.crew.borrow() {
            return Ok(());
        }
        let key = keys::crew(&self.name);
        let writes = Writes {
            put: vec![(
                key,
                keys::encode(&Crew {
                    workers: crew.clone(),
                }),
            )],
            ..Writes::default()
        };
        let mut txn = Txn {
            expect: vec![self.held.guard()],
            ..Txn::default()
        };
        self.add(&mut txn, writes);
        match self.entry.commit(&txn).await? {
            Committed::Done(revision) => {
                self.after_commit(txn, revision, &[]);
                *self.crew.borrow_mut() = crew;
                self.replan.notify_one();
                Ok(())
            }
            Committed::Conflict(conflict) => {
                self.after_conflict(&txn, conflict);
                Err(CallError::NotDone("the crew's key has changed".into()))
            }
        }
    }
}
