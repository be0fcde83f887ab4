//! The platform's store, as far as a pool's scheduler uses it.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_jobs::id::{JobId, WorkerId};
use goldcrest_jobs::progress::Progress;
use goldcrest_jobs::spec::{JobRecord, JobState};
use goldcrest_jobs::suspect::SuspectTasks;

/// The workers on which runs may be.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assigned {
    pub workers: BTreeSet<WorkerId>,
    pub lease_ms: Option<u64>,
    pub started_ms: BTreeMap<WorkerId, u64>,
    pub present_ms: BTreeMap<WorkerId, u64>,
    pub stray_leases: Option<BTreeSet<WorkerId>>,
}

impl Assigned {
    /// As the scheduler's type of that name does.
    pub fn suffice_for(&self, wanted: &Self) -> bool {
        let (Some(stored), Some(wanted_strays)) = (&self.stray_leases, &wanted.stray_leases) else {
            return self == wanted;
        };
        let is_cleared = wanted_strays.is_empty() && !stored.is_empty();
        let is_rest_equal = (&self.workers, self.lease_ms) == (&wanted.workers, wanted.lease_ms);
        let mut incarnations = wanted.started_ms.iter();
        let are_known = incarnations.all(|(id, at)| self.started_ms.get(id) == Some(at));
        let are_known = are_known && self.present_ms == wanted.present_ms;
        is_rest_equal && are_known && wanted_strays.is_subset(stored) && !is_cleared
    }
}

/// A stored value and the revision of its last change; 0 if it is absent.
#[derive(Debug, Clone, Default)]
pub struct Versioned<T> {
    pub revision: u64,
    pub value: T,
}

/// What is stored of a job's progress.
pub type JobValue = (Progress, SuspectTasks);

#[derive(Debug, Clone)]
pub enum Change {
    Put(JobValue),
    Close(JobState),
}

#[derive(Debug, Clone)]
pub struct JobWrite {
    pub id: JobId,
    pub expected: u64,
    pub change: Change,
}

/// A transaction. It expects the role's key.
#[derive(Debug, Clone)]
pub struct Txn {
    pub role: u64,
    pub assigned: Option<(u64, Assigned)>,
    pub jobs: Vec<JobWrite>,
}

/// The result of a transaction.
#[derive(Debug, Clone)]
pub enum Outcome {
    Done(u64),
    RoleLost,
    /// The present values of the keys that it expected.
    Conflict {
        assigned: Versioned<Assigned>,
        jobs: BTreeMap<JobId, Versioned<JobValue>>,
    },
}

#[derive(Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub role: u64,
    pub assigned: Versioned<Assigned>,
    pub inbox: BTreeMap<JobId, JobRecord>,
    pub jobs: BTreeMap<JobId, Versioned<JobValue>>,
    pub outcomes: BTreeMap<JobId, JobState>,
}

impl Store {
    /// Gives the role to the next scheduler, and returns its token.
    pub fn grant_role(&mut self) -> u64 {
        self.revision += 1;
        self.role = self.revision;
        self.role
    }

    fn job(&self, id: JobId) -> Versioned<JobValue> {
        self.jobs.get(&id).cloned().unwrap_or_default()
    }

    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        if self.role != txn.role {
            return Outcome::RoleLost;
        }
        // A removal expects the revision of what it removes, if there is anything.
        let conditions = || {
            let jobs = txn.jobs.iter();
            jobs.filter(|write| matches!(write.change, Change::Put(_)) || write.expected > 0)
        };
        let is_assigned_expected = txn
            .assigned
            .as_ref()
            .is_none_or(|(expected, _)| *expected == self.assigned.revision);
        let are_jobs_expected =
            conditions().all(|write| self.job(write.id).revision == write.expected);
        if !is_assigned_expected || !are_jobs_expected {
            return Outcome::Conflict {
                assigned: self.assigned.clone(),
                jobs: conditions()
                    .map(|write| (write.id, self.job(write.id)))
                    .collect(),
            };
        }
        self.revision += 1;
        let revision = self.revision;
        if let Some((_, value)) = &txn.assigned {
            let value = value.clone();
            self.assigned = Versioned { revision, value };
        }
        for write in &txn.jobs {
            match &write.change {
                Change::Put(value) => {
                    let value = value.clone();
                    self.jobs.insert(write.id, Versioned { revision, value });
                }
                Change::Close(outcome) => {
                    self.jobs.remove(&write.id);
                    self.inbox.remove(&write.id);
                    self.outcomes.insert(write.id, *outcome);
                }
            }
        }
        Outcome::Done(revision)
    }
}
