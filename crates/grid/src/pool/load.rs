//! Taking over a pool: its open jobs and their progress, and the workers that an earlier scheduler may have used.

use std::collections::HashMap;
use std::time::Duration;

use goldcrest_jobs::progress::Progress;
use goldcrest_jobs::spec::JobRecord;

use crate::keys::{self, Crew, Evacuation, JobStatus};
use crate::pool::{Scheduler, Stored};
use crate::ports::{CallError, Item, Platform, Revision};

impl<P: Platform> Scheduler<P> {
    /// Loads what is stored of the pool; returns from where the inbox is followed.
    pub(super) async fn load(&self) -> Result<Revision, CallError> {
        let inbox = self.entry.list(&keys::inbox(&self.name), false).await?;
        let progresses = self
            .entry
            .list(&keys::progresses(&self.name), false)
            .await?;
        let crew = self.entry.read(&keys::crew(&self.name)).await?;
        let crew: Crew = self.take_value(crew).unwrap_or_default();
        let mut by_key: HashMap<Box<str>, Item> = progresses
            .items
            .into_iter()
            .map(|item| (item.key.clone(), item))
            .collect();
        let mut jobs = Vec::new();
        for item in inbox.items {
            if item.key == keys::evacuation(&self.name) {
                self.take_evacuation(&item);
                continue;
            }
            let Some(record) = self.read_record(&item) else {
                continue;
            };
            self.guess_status(&item, &record);
            let progress = by_key.remove(&keys::progress(&self.name, record.id));
            let progress: Progress = self.take_value(progress).unwrap_or_default();
            let workers = progress.workers.clone();
            self.noted_workers.borrow_mut().insert(record.id, workers);
            let age = self.age(&record);
            jobs.push((record, progress, age));
        }
        let now = self.now();
        log::info!(
            target: "scheduler",
            pool:% = self.name,
            token:% = self.held.token(),
            jobs = jobs.len(),
            workers = crew.workers.len();
            "Pool taken over."
        );
        self.crew.borrow_mut().clone_from(&crew.workers);
        self.pool.borrow_mut().take_over(jobs, crew.workers, now);
        self.changed();
        Ok(inbox.revision)
    }

    /// Remembers a key's revision and reads its value.
    fn take_value<T: serde::de::DeserializeOwned>(&self, item: Option<Item>) -> Option<T> {
        let item = item?;
        let value = keys::decode(&item.key, &item.value);
        self.remember(item.key, item.revision, item.value);
        match value {
            Ok(value) => Some(value),
            Err(error) => {
                log::error!(target: "scheduler", pool:% = self.name, error:%; "A stored value is skipped.");
                None
            }
        }
    }

    pub(super) fn remember(&self, key: Box<str>, revision: Revision, value: Vec<u8>) {
        self.stored
            .borrow_mut()
            .insert(key, Stored { revision, value });
    }

    /// Reads a submitted job.
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
                log::error!(target: "scheduler", pool:% = self.name, error:%; "A submitted job is skipped.");
                None
            }
        }
    }

    /// The time since a job was accepted, as far as the clocks of two entries agree.
    pub(super) fn age(&self, record: &JobRecord) -> Duration {
        Duration::from_millis(self.entry.wall_ms().saturating_sub(record.accepted_ms))
    }

    /// Takes the VMs that are to be emptied.
    pub(super) fn take_evacuation(&self, item: &Item) {
        match keys::decode::<Evacuation>(&item.key, &item.value) {
            Ok(evacuation) => {
                *self.evacuating.borrow_mut() = evacuation.vms;
                self.apply_evacuation();
            }
            Err(error) => {
                log::error!(target: "scheduler", pool:% = self.name, error:%; "The list of VMs to empty is skipped.");
            }
        }
    }

    /// The status that a job has in the store when it is handed to a scheduler.
    pub(super) fn initial_status(&self, state: goldcrest_jobs::spec::JobState) -> JobStatus {
        JobStatus {
            pool: self.name.clone(),
            state,
            ended_ms: None,
        }
    }
}
