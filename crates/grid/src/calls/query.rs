//! A job's state, and how many jobs of a queue wait.

use goldcrest_jobs::spec::{JobRecord, JobState};

use crate::calls::{Admitted, Refusal, Reply, job_id};
use crate::entry::Entry;
use crate::keys::{self, JobStatus, PoolStatus};
use crate::ports::{CallError, Platform};

impl<P: Platform> Entry<P> {
    pub(super) async fn query_state(&self, admitted: &Admitted) -> Reply {
        // Nothing with another kind of id was ever accepted.
        let Ok(id) = job_id(admitted) else {
            return Reply::NoSuchJob;
        };
        if let Some(refused) = self.store_refusal() {
            return refused;
        }
        match self.read_status(admitted, id).await {
            Ok(Some((status, _))) => Reply::State(status.state),
            Ok(None) => Reply::NoSuchJob,
            Err(error) => {
                log::warn!(target: "calls", job:% = id, error:%; "A job's state can't be read.");
                Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
            }
        }
    }

    /// The scheduler's count; without a scheduler, the jobs that are stored and have not begun.
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
                log::warn!(target: "calls", queue:% = admitted.queue, error:%; "The waiting jobs can't be counted.");
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
                log::warn!(target: "calls", error:%; "The scheduler's count is skipped.");
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
