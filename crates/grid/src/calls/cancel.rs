//! Cancels a job.
//!
//! A cancellation is answered only once its effect is stored. That holds for a job of which nothing is stored, too: its
//! submission may be under way, at the store or at another entry, and would be accepted after the answer. The stored
//! status of such a job is a tombstone, which is kept as long as the statuses of ended jobs.

use goldcrest_jobs::id::JobId;
use goldcrest_jobs::spec::{JobRecord, JobState};

use crate::calls::{Admitted, Refusal, Reply, job_id};
use crate::entry::Entry;
use crate::keys::{self, JobStatus};
use crate::ports::{CallError, Committed, Item, Platform, Put, Txn};

/// The most attempts at a cancellation whose job changes concurrently.
const ATTEMPTS: u32 = 5;

impl<P: Platform> Entry<P> {
    pub(super) async fn cancel(&self, admitted: &Admitted) -> Reply {
        let Ok(id) = job_id(admitted) else {
            return Reply::NoSuchJob;
        };
        if let Some(refused) = self.store_refusal() {
            return refused;
        }
        for _ in 0..ATTEMPTS {
            match self.try_cancel(admitted, id).await {
                Ok(Some(reply)) => {
                    log::info!(target: "calls", job:% = id, outcome = reply.name(); "Cancellation answered.");
                    return reply;
                }
                Ok(None) => {}
                Err(CallError::Unknown(why)) => {
                    log::warn!(target: "calls", job:% = id, why:%; "No answer from the store: the job may or may not be cancelled.");
                    return Reply::Unknown;
                }
                Err(error) => {
                    log::warn!(target: "calls", job:% = id, error:%; "Cancellation refused: the store did not carry it out.");
                    return Reply::Refused(Refusal::StoreRefused, self.store_retry_after());
                }
            }
        }
        Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
    }

    /// Makes one attempt. Returns `None` if the job has changed concurrently.
    async fn try_cancel(&self, admitted: &Admitted, id: JobId) -> Result<Option<Reply>, CallError> {
        let Some((status, item)) = self.read_status(admitted, id).await? else {
            return self.cancel_unknown(admitted, id).await;
        };
        match status.state {
            JobState::Cancelled if status.is_tombstone => return Ok(Some(Reply::NoSuchJob)),
            JobState::Cancelled => return Ok(Some(Reply::Cancelled)),
            JobState::Completed | JobState::Failed => return Ok(Some(Reply::NoSuchJob)),
            JobState::Queued | JobState::Running => {}
        }
        let submitted_key = keys::submitted(&status.pool, id);
        let Some(submitted) = self.read(&submitted_key).await? else {
            // The job has ended since its status was read.
            return Ok(None);
        };
        let txn = self.cancellation(status, item, submitted)?;
        match self.commit_within(&txn, self.remaining(admitted)).await? {
            Committed::Done(_) => Ok(Some(Reply::Cancelled)),
            Committed::Conflict(_) => Ok(None),
        }
    }

    /// Stores that a job is cancelled of which nothing is stored, so that a submission that is still under way can't be
    /// accepted after the reply. Returns `None` if one was accepted meanwhile.
    async fn cancel_unknown(
        &self,
        admitted: &Admitted,
        id: JobId,
    ) -> Result<Option<Reply>, CallError> {
        let names = self.names(admitted).await?;
        let key = keys::job(&admitted.queue, id);
        let tombstone = JobStatus {
            pool: admitted.pool.clone(),
            state: JobState::Cancelled,
            ended_ms: Some(self.wall_ms()),
            is_tombstone: true,
        };
        let put = Put {
            key,
            value: keys::encode(&tombstone),
            lease: None,
        };
        let txn = Txn {
            expect: names.expectations(admitted, id),
            puts: [put].into_iter().chain(names.put(admitted)).collect(),
            ..Txn::default()
        };
        match self.commit_within(&txn, self.remaining(admitted)).await? {
            Committed::Done(revision) => {
                if names.put(admitted).is_some() {
                    self.names_stored(admitted, names, revision);
                }
                log::info!(target: "calls", job:% = id, queue:% = admitted.queue; "Cancellation of an unknown job stored: a submission that arrives later is not run.");
                Ok(Some(Reply::NoSuchJob))
            }
            Committed::Conflict(conflict) => {
                self.have_names_changed(admitted, &names, &conflict.items);
                Ok(None)
            }
        }
    }

    fn cancellation(
        &self,
        status: JobStatus,
        item: Item,
        submitted: Item,
    ) -> Result<Txn, CallError> {
        let mut record: JobRecord = keys::decode(&submitted.key, &submitted.value)
            .map_err(|error| CallError::Malformed(error.to_string().into()))?;
        record.is_cancelled = true;
        let cancelled = JobStatus {
            state: JobState::Cancelled,
            ended_ms: Some(self.wall_ms()),
            ..status
        };
        Ok(Txn {
            expect: vec![
                (item.key.clone(), item.revision),
                (submitted.key.clone(), submitted.revision),
            ],
            puts: vec![
                Put {
                    key: item.key,
                    value: keys::encode(&cancelled),
                    lease: None,
                },
                Put {
                    key: submitted.key,
                    value: keys::encode(&record),
                    lease: None,
                },
            ],
            ..Txn::default()
        })
    }
}
