//! Accepts a job.

use std::time::Duration;

use goldcrest_jobs::id::JobId;
use goldcrest_jobs::spec::{JobRecord, JobSpec, JobState};
use goldcrest_types::names::TeamName;

use crate::calls::names::KnownNames;
use crate::calls::{Admitted, Call, RETRY_SOON, Refusal, Reply, admit, job_id};
use crate::entry::Entry;
use crate::keys::{self, JobStatus};
use crate::operators;
use crate::ports::{CallError, Committed, Item, Platform, Put, Revision, StoredCatalogue, Txn};

/// The most attempts at a submission while the catalogue, or the names of the queue, change concurrently.
const ATTEMPTS: u32 = 4;

/// Why a job is rejected whose id an open job of another queue has.
const ID_IN_USE: &str =
    "the id is that of an open job on another queue: give each job an id of its own";

impl<P: Platform> Entry<P> {
    pub(super) async fn submit(&self, call: &Call, admitted: Admitted, spec: &JobSpec) -> Reply {
        let began_at = self.now();
        if self.is_store_unresponsive() {
            return Reply::Refused(Refusal::StoreUnresponsive, self.store_retry_after());
        }
        let id = match job_id(&admitted) {
            Ok(id) => id,
            Err(reply) => return reply,
        };
        if let Err(error) = spec.check() {
            return Reply::Malformed(error.to_string().into());
        }
        let mut admitted = admitted;
        for _ in 0..ATTEMPTS {
            let names = match self.names(&admitted).await {
                Ok(names) => names,
                Err(error) => {
                    log::warn!(target: "calls", job:% = id, error:%; "Job refused: the names of its queue were not read.");
                    return Reply::Refused(Refusal::StoreRefused, self.store_retry_after());
                }
            };
            let txn = self.acceptance(&admitted, &names, id, spec);
            let remaining = self.remaining(&admitted);
            if remaining < ROUND_TRIP_MIN {
                return Reply::Refused(Refusal::StoreUnresponsive, self.store_retry_after());
            }
            match self.commit_within(&txn, remaining).await {
                Ok(Committed::Done(revision)) => {
                    if names.put(&admitted).is_some() {
                        self.names_stored(&admitted, names, revision);
                    }
                    let took = self.now().saturating_duration_since(began_at);
                    let team = admitted.team.as_ref().map(TeamName::as_str);
                    self.metrics.accepted(team, admitted.queue.as_str(), took);
                    log::info!(
                        target: "calls",
                        job:% = id,
                        queue:% = admitted.queue,
                        team = team.unwrap_or("none"),
                        pool:% = admitted.pool,
                        catalogue = admitted.version;
                        "Job accepted."
                    );
                    return Reply::Accepted;
                }
                Ok(Committed::Conflict(conflict)) => {
                    let readmitted = match self.readmit(call, &admitted, conflict.catalogue) {
                        Ok(readmitted) => readmitted,
                        Err(reply) => return reply,
                    };
                    let mut items = conflict.items;
                    let have_names_changed = self.have_names_changed(&admitted, &names, &items);
                    let is_status = |item: &Item| names.status_keys(id).any(|key| key == item.key);
                    if let Some(at) = items.iter().position(is_status) {
                        return self
                            .submit_again(&admitted, id, items.swap_remove(at))
                            .await;
                    }
                    let submitted = keys::submitted(&admitted.pool, id);
                    if items.iter().any(|item| item.key == submitted) {
                        log::info!(target: "calls", job:% = id, queue:% = admitted.queue; "Job refused: an open job of another queue of the pool has its id.");
                        return Reply::Malformed(ID_IN_USE.into());
                    }
                    match readmitted {
                        Some(readmitted) => admitted = readmitted,
                        None if have_names_changed => {}
                        None => {
                            return Reply::Refused(Refusal::StoreRefused, self.store_retry_after());
                        }
                    }
                }
                Err(CallError::Unknown(why)) => {
                    return self.resolve_unknown(&admitted, id, &why).await;
                }
                Err(error) => {
                    log::warn!(target: "calls", job:% = id, error:%; "Job refused: the store did not take it.");
                    return Reply::Refused(Refusal::StoreRefused, self.store_retry_after());
                }
            }
        }
        Reply::Refused(Refusal::StaleCatalogue, RETRY_SOON)
    }

    fn acceptance(
        &self,
        admitted: &Admitted,
        names: &KnownNames,
        id: JobId,
        spec: &JobSpec,
    ) -> Txn {
        let status = JobStatus {
            pool: admitted.pool.clone(),
            state: JobState::Queued,
            ended_ms: None,
            is_tombstone: false,
        };
        let record = JobRecord {
            id,
            queue: admitted.queue.clone(),
            team: admitted.team.clone(),
            accepted_ms: self.wall_ms(),
            spec: spec.clone(),
            is_cancelled: false,
            policy: Some(admitted.policy.clone()),
            route: Some(admitted.route),
        };
        let key = keys::job(&admitted.queue, id);
        let submitted = keys::submitted(&admitted.pool, id);
        let mut expect = names.expectations(admitted, id);
        // The key in the inbox names no queue, so a job of another queue may have it.
        expect.push((submitted.clone(), Revision::ABSENT));
        let puts = [
            Put {
                key,
                value: keys::encode(&status),
                lease: None,
            },
            Put {
                key: submitted,
                value: keys::encode(&record),
                lease: None,
            },
        ];
        Txn {
            expect_catalogue: Some(admitted.catalogue),
            expect,
            puts: puts.into_iter().chain(names.put(admitted)).collect(),
            remove: Vec::new(),
        }
    }

    /// Admits the call again by the newer catalogue of a conflict, if there is one. Returns the reply instead if that
    /// catalogue does not admit the call.
    fn readmit(
        &self,
        call: &Call,
        admitted: &Admitted,
        newer: Option<StoredCatalogue>,
    ) -> Result<Option<Admitted>, Reply> {
        let Some(stored) = newer else {
            return Ok(None);
        };
        let began_at = self.now();
        operators::put_in_force(self, stored.clone());
        Ok(Some(Admitted {
            deadline: admitted.deadline,
            ..admit(&stored, call, began_at)?
        }))
    }

    /// Replies to the submission of a job that has a stored status. One that was cancelled before any submission was
    /// stored is shown as cancelled from now on, as its submitter now knows it to be accepted.
    async fn submit_again(&self, admitted: &Admitted, id: JobId, item: Item) -> Reply {
        let status: JobStatus = match keys::decode(&item.key, &item.value) {
            Ok(status) => status,
            Err(error) => {
                // Whatever it says, the job was accepted: no version stores anything else before that but a tombstone,
                // which each reads.
                log::error!(target: "calls", job:% = id, error:%; "A job's stored status can't be decoded.");
                return Reply::Accepted;
            }
        };
        if !status.is_tombstone {
            log::info!(target: "calls", job:% = id, queue:% = admitted.queue; "Job is accepted already.");
            return Reply::Accepted;
        }
        let shown = JobStatus {
            is_tombstone: false,
            ended_ms: Some(self.wall_ms()),
            ..status
        };
        let txn = Txn {
            expect: vec![(item.key.clone(), item.revision)],
            puts: vec![Put {
                key: item.key,
                value: keys::encode(&shown),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.commit_within(&txn, self.remaining(admitted)).await {
            Ok(Committed::Done(_)) => {
                log::info!(target: "calls", job:% = id, queue:% = admitted.queue; "Job was cancelled before its submission arrived; it is accepted as cancelled.");
                Reply::Accepted
            }
            Ok(Committed::Conflict(_)) | Err(CallError::Unknown(_)) => Reply::Unknown,
            Err(error) => {
                log::warn!(target: "calls", job:% = id, error:%; "Job refused: the store did not take it.");
                Reply::Refused(Refusal::StoreRefused, self.store_retry_after())
            }
        }
    }

    /// Replies after a transaction without an answer. It may have been carried out or still be; only a stored status
    /// proves that the job is accepted.
    async fn resolve_unknown(&self, admitted: &Admitted, id: JobId, why: &str) -> Reply {
        // Another call to an unresponsive store would only delay the caller's retry.
        if !self.is_store_unresponsive()
            && self.remaining(admitted) >= ROUND_TRIP_MIN
            && let Ok(Some((_, item))) = self.read_status(admitted, id).await
        {
            log::info!(target: "calls", job:% = id; "The job's status is stored, though the store's answer was lost.");
            return self.submit_again(admitted, id, item).await;
        }
        log::warn!(target: "calls", job:% = id, why; "No answer from the store: the job may or may not be accepted.");
        Reply::Unknown
    }
}

/// The least remaining time for which a call to the store is begun.
pub(super) const ROUND_TRIP_MIN: Duration = Duration::from_millis(60);
