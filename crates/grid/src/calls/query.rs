//! Queries for a job's state and for the number of jobs that wait in a queue.

use std::collections::BTreeSet;

use goldcrest_jobs::spec::{JobRecord, JobState};
use goldcrest_types::names::QueueName;

use crate::calls::{Admitted, Refusal, Reply, job_id};
use crate::entry::Entry;
use crate::keys::{self, JobStatus, PoolStatus};
use crate::ports::{CallError, Item, Platform};

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

    /// Answers with the sum of what the pools' schedulers have published: after a queue has moved to another pool, its
    /// earlier jobs wait in the pool that accepted them. If the queue's present pool has no scheduler, its stored jobs
    /// that have not begun are counted instead.
    pub(super) async fn count_waiting(&self, admitted: &Admitted) -> Reply {
        if let Some(refused) = self.store_refusal() {
            return refused;
        }
        self.try_count(admitted).await.map_or_else(
            |error| {
                log::warn!(target: "calls", queue:% = admitted.queue, error:%; "Counting the waiting jobs failed; the query is refused.");
                Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
            },
            Reply::Waiting,
        )
    }

    async fn try_count(&self, admitted: &Admitted) -> Result<u64, CallError> {
        let own_key = keys::pool_status(&admitted.pool);
        // Schedulers of older versions count a job under the name at its acceptance.
        let mut names = self.earlier_names(admitted);
        names.push(admitted.queue.clone());
        let mut total = 0;
        let mut has_own = false;
        for item in self.list(keys::POOL_STATUSES, false).await?.items {
            match keys::decode::<PoolStatus>(&item.key, &item.value) {
                Ok(status) => {
                    has_own |= item.key == own_key;
                    let waiting = names
                        .iter()
                        .filter_map(|name| status.waiting.get(name.as_str()));
                    total += waiting.sum::<u64>();
                }
                Err(error) => {
                    log::warn!(target: "calls", error:%; "Ignoring a pool's status that can't be decoded.");
                }
            }
        }
        if !has_own {
            total += self.stored_count(admitted).await?;
        }
        Ok(total)
    }

    async fn stored_count(&self, admitted: &Admitted) -> Result<u64, CallError> {
        let prefix = keys::inbox(&admitted.pool);
        let submitted = self.list(&prefix, false).await?;
        let records: Vec<JobRecord> = submitted
            .items
            .iter()
            .filter_map(|item| keys::decode::<JobRecord>(&item.key, &item.value).ok())
            .filter(|record| match record.route {
                Some(route) => route == admitted.route,
                None => record.queue == admitted.queue,
            })
            .collect();
        let names: BTreeSet<&QueueName> = records.iter().map(|record| &record.queue).collect();
        let mut queued: BTreeSet<Box<str>> = BTreeSet::new();
        for name in names {
            let statuses = self.list(&keys::jobs_of(name), false).await?;
            let is_queued = |item: &Item| {
                keys::decode::<JobStatus>(&item.key, &item.value)
                    .is_ok_and(|status| status.state == JobState::Queued)
            };
            let of_name = statuses.items.into_iter().filter(is_queued);
            queued.extend(of_name.map(|item| item.key));
        }
        let count = records
            .iter()
            .filter(|record| queued.contains(&keys::job(&record.queue, record.id)))
            .count();
        Ok(u64::try_from(count).unwrap_or(u64::MAX))
    }
}
