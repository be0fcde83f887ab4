//! Takeover of a pool: loads its open jobs, their progress, and the workers that earlier schedulers may have used.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use goldcrest_jobs::id::{JobId, WorkerId};
use goldcrest_jobs::pool::InheritedIncarnations;
use goldcrest_jobs::progress::Progress;
use goldcrest_jobs::spec::JobRecord;
use goldcrest_jobs::suspect::SuspectTasks;
use serde::de::DeserializeOwned;

use crate::keys::{self, AssignedWorkers, Evacuation, JobStatus};
use crate::pool::save::RecordedStarts;
use crate::pool::{Scheduler, Stored};
use crate::ports::{CallError, Item, Page, Platform, Revision};

/// The stored state of a pool, as one holder leaves it to the next.
pub(super) struct StoredPool {
    inbox: Page,
    progresses: Page,
    suspects: Page,
    /// The assigned workers; absent before the first scheduler of the pool has stored them.
    assigned_workers: Option<Item>,
}

/// A stored value can't be decoded, which has been logged. It is not known what its writer has stored, so it must not be taken
/// for absent.
struct Undecodable;

impl<P: Platform> Scheduler<P> {
    /// Reads the pool's stored state.
    pub(super) async fn read_stored(&self) -> Result<StoredPool, CallError> {
        let entry = &self.entry;
        Ok(StoredPool {
            inbox: entry.list(&keys::inbox(&self.name), false).await?,
            progresses: entry.list(&keys::progresses(&self.name), false).await?,
            suspects: entry.list(&keys::all_suspects(&self.name), false).await?,
            assigned_workers: entry.read(&keys::assigned_workers(&self.name)).await?,
        })
    }

    /// Takes the pool over as it is stored; returns the revision from which to watch the inbox.
    pub(super) fn take_over(&self, stored: StoredPool) -> Revision {
        let StoredPool {
            inbox,
            progresses,
            suspects,
            assigned_workers,
        } = stored;
        let is_first = assigned_workers.is_none();
        let assigned_workers = self.decode_stored::<AssignedWorkers>(assigned_workers);
        let items = progresses.items.into_iter().chain(suspects.items);
        let mut by_key: HashMap<Box<str>, Item> =
            items.map(|item| (item.key.clone(), item)).collect();
        let mut jobs = Vec::new();
        let mut set_aside = Vec::new();
        let mut suspects: Vec<(JobId, SuspectTasks)> = Vec::new();
        for item in inbox.items {
            if item.key == keys::evacuation(&self.name) {
                self.ingest_evacuation(&item);
                continue;
            }
            let Some(record) = self.read_record(&item) else {
                if let Some(id) = keys::submitted_id(&item.key) {
                    // What is stored of it is left to a version that can read the record.
                    by_key.remove(&keys::suspects(&self.name, id));
                    set_aside.push(id);
                }
                continue;
            };
            self.assume_status(&item, &record);
            let progress = by_key.remove(&keys::progress(&self.name, record.id));
            let of_job = by_key.remove(&keys::suspects(&self.name, record.id));
            let progress = self.decode_stored::<Progress>(progress);
            let of_job = self.decode_stored::<SuspectTasks>(of_job);
            let (Ok(progress), Ok(of_job)) = (progress, of_job) else {
                log::error!(target: "scheduler", job:% = record.id, pool:% = self.name; "Job set aside: what is stored of its runs can't be decoded; cancel the job, or let a version that wrote it take over.");
                set_aside.push(record.id);
                continue;
            };
            let (progress, of_job) = (progress.unwrap_or_default(), of_job.unwrap_or_default());
            let recorded = RecordedStarts {
                workers: progress.workers.clone(),
                unreported: of_job.runs().collect(),
                open: progress.starts.clone(),
            };
            self.recorded_starts
                .borrow_mut()
                .insert(record.id, recorded);
            suspects.push((record.id, of_job));
            let age = self.age(&record);
            jobs.push((record, progress, age));
        }
        let met = jobs.iter().flat_map(|(_, progress, _)| &progress.workers);
        let assigned_workers = assigned_workers_or_any(assigned_workers, met);
        let now = self.now();
        log::info!(
            target: "scheduler",
            pool:% = self.name,
            token:% = self.held.token(),
            jobs = jobs.len(),
            workers = assigned_workers.workers.len(),
            lease_ms = assigned_workers.lease_ms,
            stray_leases = assigned_workers.stray_leases.as_ref().map(BTreeSet::len);
            "Pool taken over."
        );
        let AssignedWorkers {
            workers,
            lease_ms,
            started_ms,
            present_ms,
            stray_leases,
        } = assigned_workers.clone();
        let incarnations = InheritedIncarnations {
            has_predecessor: !is_first,
            started_ms,
            present_ms,
            stray_leases,
        };
        *self.assigned_workers.borrow_mut() = assigned_workers;
        // Without the key nothing was started in this pool, so no run holds a lease.
        let lease = if is_first { Some(0) } else { lease_ms };
        let lease = lease.map(Duration::from_millis);
        let mut pool = self.pool.borrow_mut();
        pool.take_over(jobs, workers, lease, now);
        pool.inherit_incarnations(incarnations, now);
        for job in set_aside {
            pool.set_aside(job);
        }
        for (job, suspects) in suspects {
            pool.inherit_suspects(job, suspects, now);
        }
        drop(pool);
        // An older version has closed these jobs, and does not know of their unreported runs.
        let orphans = by_key.into_values();
        let prefix = keys::all_suspects(&self.name);
        let orphans = orphans.filter(|item| item.key.starts_with(&*prefix));
        self.orphans
            .borrow_mut()
            .extend(orphans.map(|item| (item.key, item.revision)));
        self.mark_changed();
        inbox.revision
    }

    /// Records the content of a key and decodes its value. Returns `None` if the key is absent.
    fn decode_stored<T: DeserializeOwned>(
        &self,
        item: Option<Item>,
    ) -> Result<Option<T>, Undecodable> {
        let Some(item) = item else { return Ok(None) };
        let value = keys::decode(&item.key, &item.value);
        self.record_stored(item.key, item.revision, item.value);
        value.map(Some).map_err(|error| {
            log::error!(target: "scheduler", pool:% = self.name, error:%; "A stored value can't be decoded.");
            Undecodable
        })
    }

    pub(super) fn record_stored(&self, key: Box<str>, revision: Revision, value: Vec<u8>) {
        self.stored
            .borrow_mut()
            .insert(key, Stored { revision, value });
    }

    /// Decodes a submitted job. Returns `None` if it can't be decoded or its spec is invalid.
    pub(super) fn read_record(&self, item: &Item) -> Option<JobRecord> {
        let record = keys::decode::<JobRecord>(&item.key, &item.value);
        if let Ok(record) = &record
            && let Err(error) = record.spec.check()
        {
            log::error!(target: "scheduler", pool:% = self.name, job:% = record.id, error:%; "A submitted job that can't be run is skipped.");
            return None;
        }
        match record {
            Ok(record) => Some(record),
            Err(error) => {
                log::error!(target: "scheduler", pool:% = self.name, error:%; "Ignoring a submitted job that can't be decoded.");
                None
            }
        }
    }

    /// The time since a job was accepted. Off by the difference between the wall clocks of the two entries.
    pub(super) fn age(&self, record: &JobRecord) -> Duration {
        Duration::from_millis(self.entry.wall_ms().saturating_sub(record.accepted_ms))
    }

    /// Replaces the list of VMs to evacuate.
    pub(super) fn ingest_evacuation(&self, item: &Item) {
        match keys::decode::<Evacuation>(&item.key, &item.value) {
            Ok(evacuation) => {
                *self.evacuating.borrow_mut() = evacuation.vms;
                self.apply_evacuation();
            }
            Err(error) => {
                log::error!(target: "scheduler", pool:% = self.name, error:%; "Ignoring a list of VMs to evacuate that can't be decoded.");
            }
        }
    }

    /// Returns the status of a job of this pool that has not ended, in the form in which the accepting entry stored it.
    pub(super) fn initial_status(&self, state: goldcrest_jobs::spec::JobState) -> JobStatus {
        JobStatus {
            pool: self.name.clone(),
            state,
            ended_ms: None,
            is_tombstone: false,
        }
    }
}

/// The assigned workers. If they can't be decoded, any worker that a job has met may have runs, with any lease.
fn assigned_workers_or_any<'a>(
    stored: Result<Option<AssignedWorkers>, Undecodable>,
    met: impl Iterator<Item = &'a WorkerId>,
) -> AssignedWorkers {
    match stored {
        Ok(stored) => stored.unwrap_or_default(),
        Err(Undecodable) => AssignedWorkers {
            workers: met.cloned().collect(),
            ..AssignedWorkers::default()
        },
    }
}
