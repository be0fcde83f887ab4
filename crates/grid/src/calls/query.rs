//! Queries for a job's state and for the number of jobs that wait in a queue.

use goldcrest_jobs::spec::{JobRecord, JobState};

use crate::calls::{Admitted, Refusal, Reply, job_id};
use crate::entry::Entry;
use crate::keys::{self, JobStatus, PoolStatus};
use crate::ports::{CallError, Platform};

impl<P: Platform> Entry<P> {
    pub(super) async fn query_state(&self, admitted: &Admitted) -> Reply {
        // No job with a malformed id can have been accepted.
        let Ok(id) = job_id(admitted) else {
            return Reply::NoSuchJob;
        };
        if let Some(refused) = self.store_refusal() {
            return refused;
        }
        match self.read_status(admitted, id).await {
            Ok(Some((status, _))) if !status.is_tombstone => Reply::State(status.state),
            Ok(_) => Reply::NoSuchJob,
            Err(error) => {
                log::warn!(target: "calls", job:% = id, error:%; "Reading a job's state failed; the query is refused.");
                Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
            }
        }
    }

    /// Answers with the count that the pool's scheduler has published or, if there is none, the number of stored jobs
    /// of the queue that have not begun.
    pub(super) async fn count_waiting(&self, admitted: &Admitted) -> Reply {
        if let Some(refused) = self.store_refusal() {
            return refused;
        }
        let counted = match self.scheduler_count(admitted).await {
            Ok(Some(waiting)) => Ok(waiting),
            Ok(None) => self.stored_count(admitted).await,
            Err(error) => Err(error),
        };
        counted.map_or_else(
            |error| {
                log::warn!(target: "calls", queue:% = admitted.queue, error:%; "Counting the waiting jobs failed; the query is refused.");
                Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
            },
            Reply::Waiting,
        )
    }

    async fn scheduler_count(&self, admitted: &Admitted) -> Result<Option<u64>, CallError> {
        let key = keys::pool_status(&admitted.pool);
        let Some(item) = self.read(&key).await? else {
            return Ok(None);
        };
        match keys::decode::<PoolStatus>(&key, &item.value) {
            Ok(status) => Ok(Some(
                status
                    .waiting
                    .get(admitted.queue.as_str())
                    .copied()
                    .unwrap_or_default(),
            )),
            Err(error) => {
                log::warn!(target: "calls", error:%; "Ignoring a pool's status that can't be decoded; counting its stored jobs.");
                Ok(None)
            }
        }
    }

    async fn stored_count(&self, admitted: &Admitted) -> Result<u64, CallError> {
        let prefix = keys::inbox(&admitted.pool);
        let submitted = self.list(&prefix, false).await?;
        let records = submitted
            .items
            .iter()
            .filter_map(|item| keys::decode::<JobRecord>(&item.key, &item.value).ok())
            .filter(|record| record.queue == admitted.queue);
        let statuses = self
            .list(&format!("{}{}/", keys::JOBS, admitted.queue), false)
            .await?;
        let queued: std::collections::BTreeSet<&str> = statuses
            .items
            .iter()
            .filter(|item| {
                keys::decode::<JobStatus>(&item.key, &item.value)
                    .is_ok_and(|status| status.state == JobState::Queued)
            })
            .filter_map(|item| item.key.rsplit('/').next())
            .collect();
        let count = records
            .filter(|record| queued.contains(record.id.to_string().as_str()))
            .count();
        Ok(u64::try_from(count).unwrap_or(u64::MAX))
    }
}
