//! The scheduler joined with the documents of accepted tasks.
//!
//! A [`TaskPlan`] holds the last known version of each document and turns every decision into steps for them.
//!
//! Invariants: a start is sent only after its step was written, and a task is removed here only after its end was
//! written. A start that was not written, or not sent, is reverted; if its step reached the document after all, the
//! requeue step that follows reverts it there too.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::jobs::task::ParkReason;
use goldcrest_ledger::jobs::{
    Checkpoint, JobAnswer, JobEdit, JobRefusal, JobsDoc, RequeueCause, Task, TaskOutcome, TaskState,
};
use goldcrest_peer::usage::Usage;
use goldcrest_sched::{
    Availability, CancelOutcome, Command, Config, Decisions, Outcome, Progress, Reason, Scheduler,
    Start, StartOutcome, TaskSpec, WorkerSpec,
};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::{PoolName, TaskKey, TeamName, VmName};
use goldcrest_types::units::{Epoch, Resources, Slots, StoreVersion};

/// The number of documents over which the tasks of a data centre are spread.
pub const SHARDS: usize = 4;

/// Returns the index of the document that holds a task.
#[must_use]
pub fn shard_of(key: TaskKey) -> usize {
    let shards = SHARDS as u128;
    usize::try_from(key.bits() % shards).unwrap_or(0)
}

/// The scheduler of one data centre, with the documents of its tasks.
#[derive(Debug)]
pub struct TaskPlan {
    sched: Scheduler,
    docs: [Arc<JobsDoc>; SHARDS],
    /// The version of each document; none until it is read for the first time.
    versions: [Option<StoreVersion>; SHARDS],
    /// Tasks of the documents that the scheduler refused, to be submitted to it again.
    refused: BTreeSet<TaskKey>,
    listed: Vec<WorkerSpec>,
    epoch: Epoch,
    out: Decisions,
    unwritten: Vec<JobEdit>,
}

impl TaskPlan {
    /// Creates a plan without documents for the scheduler that acquired the role in `epoch`.
    #[must_use]
    pub fn new(cfg: Config, epoch: Epoch) -> Self {
        Self {
            sched: Scheduler::new(cfg),
            docs: Default::default(),
            versions: [None; SHARDS],
            refused: BTreeSet::new(),
            listed: Vec::new(),
            epoch,
            out: Decisions::new(),
            unwritten: Vec::new(),
        }
    }

    /// The scheduler, for its status and explanations.
    #[must_use]
    pub const fn sched(&self) -> &Scheduler {
        &self.sched
    }

    /// The fencing epoch in which this scheduler acquired the role.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Passes a revision of the catalogue to the scheduler.
    pub fn set_catalogue(&mut self, cat: &Catalogue) {
        self.sched.set_catalogue(cat);
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, workers: Vec<WorkerSpec>, now: Instant) {
        self.listed = workers;
        self.sched.set_workers(&self.listed, now);
    }

    /// Sets the slots that each team's tasks may use, until `until`.
    pub fn set_grants(&mut self, grants: &BTreeMap<TeamName, Slots>, until: Instant) {
        let grants = grants.iter().map(|(team, slots)| (team, *slots));
        self.sched.set_grants(grants, until);
    }

    /// Applies the outcome of a start call.
    pub fn on_start(&mut self, start: &Start, outcome: StartOutcome, now: Instant) {
        self.sched.on_start(&start.key, start.attempt, outcome, now);
    }

    /// Applies a worker's report that was requested at `requested_at`. A worker that is not listed is ignored.
    pub fn on_report(
        &mut self,
        worker: &VmName,
        report: &[goldcrest_sched::TaskObservation],
        requested_at: Instant,
        now: Instant,
    ) {
        if let Some(vm) = self.sched.worker(worker) {
            self.sched.on_report(vm, report, requested_at, now);
        }
    }

    /// Whether every document was read at least once.
    #[must_use]
    pub fn has_documents(&self) -> bool {
        self.versions.iter().all(Option::is_some)
    }

    /// Ingests a document that was read, unless its version is known already: this entry may itself have written a
    /// newer version while the read was in flight.
    pub fn ingest_document(
        &mut self,
        shard: usize,
        doc: Arc<JobsDoc>,
        version: StoreVersion,
        now: Instant,
    ) {
        if self.versions[shard].is_some_and(|known| known >= version) {
            return;
        }
        self.versions[shard] = Some(version);
        self.ingest_tasks(shard, doc, now);
    }

    /// Ingests a document as this entry wrote it. The document may hold tasks that other entries have accepted
    /// meanwhile, and no later read has to deliver them.
    pub fn ingest_written(
        &mut self,
        shard: usize,
        doc: JobsDoc,
        version: Option<StoreVersion>,
        now: Instant,
    ) {
        if let Some(version) = version {
            self.versions[shard] = Some(version);
        }
        self.ingest_tasks(shard, Arc::new(doc), now);
    }

    /// Applies new tasks, cancellations and removals of a document to the scheduler.
    fn ingest_tasks(&mut self, shard: usize, doc: Arc<JobsDoc>, now: Instant) {
        for (key, task) in doc.tasks() {
            if self.sched.explain(key, now).is_none() {
                self.ingest_task(*key, task, now);
            }
            if task.is_cancelled {
                self.sched.cancel(key);
            }
        }
        let is_removed = |key: &TaskKey| shard_of(*key) == shard && !doc.tasks().contains_key(key);
        let tasks = self.sched.state().tasks.iter();
        let removed: Vec<TaskKey> = tasks.map(|(_, task)| task.key).filter(is_removed).collect();
        for key in removed {
            // A cancellation ended the task in the document while it waited.
            if self.sched.cancel(&key) == CancelOutcome::Ended {
                self.sched.forget(&key);
            }
        }
        self.docs[shard] = doc;
    }

    /// Submits the refused tasks again: the catalogue may have their queue, or their worker's pool, by now.
    fn retry_refused(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.refused) {
            let doc = Arc::clone(&self.docs[shard_of(key)]);
            if let Some(task) = doc.tasks().get(&key) {
                self.ingest_task(key, task, now);
            }
        }
    }

    fn ingest_task(&mut self, key: TaskKey, task: &Task, now: Instant) {
        let spec = spec(key, task);
        let taken = match &task.state {
            TaskState::Parked { .. } => return,
            TaskState::Waiting => {
                let progress = progress(task);
                self.sched.recover(&spec, task.attempts, progress, now)
            }
            TaskState::Running {
                worker, attempt, ..
            } => {
                self.add_departed_worker(worker, task, now);
                self.sched.adopt(&spec, worker, *attempt, now)
            }
        };
        if let Err(error) = taken {
            log::debug!(target: super::PART, task:% = key; "Task not accepted by the scheduler, retrying in the next cycle: {error}.");
            self.refused.insert(key);
        }
    }

    /// Adds a worker that is no longer listed, as leaving and without capacity, since it may still run `task`.
    fn add_departed_worker(&mut self, worker: &VmName, task: &Task, now: Instant) {
        if self.sched.worker(worker).is_some() {
            return;
        }
        let state = self.sched.state();
        let queue = state.teams.queue(&task.queue);
        let pool = queue.map(|queue| state.teams.queues[queue].pool);
        let Some(pool) = pool.and_then(|pool| state.teams.pool_names.name(pool)) else {
            return;
        };
        let (Ok(dc), Ok(rack)) = ("unknown".parse(), "unknown".parse()) else {
            return;
        };
        let mut specs = self.listed.clone();
        specs.push(WorkerSpec {
            name: worker.clone(),
            dc,
            rack,
            pool: pool.clone(),
            capacity: Resources::ZERO,
            availability: Availability::Leaving,
        });
        self.sched.set_workers(&specs, now);
    }

    /// Runs one scheduling cycle at `now`, and returns the steps to write to each document.
    pub fn round(&mut self, now: Instant) -> [Vec<JobEdit>; SHARDS] {
        self.retry_refused(now);
        let mut out = std::mem::take(&mut self.out);
        self.sched.round(now, &mut out);
        self.record_ends(&out);
        let mut steps: [Vec<JobEdit>; SHARDS] = Default::default();
        for step in &self.unwritten {
            steps[shard_of(key_of(step))].push(step.clone());
        }
        for start in &out.starts {
            let Some(worker) = self.sched.worker_name(start.worker) else {
                continue;
            };
            steps[shard_of(start.key)].push(JobEdit::Start {
                key: start.key,
                worker: worker.clone(),
                attempt: start.attempt,
                epoch: self.epoch,
            });
        }
        self.out = out;
        steps
    }

    /// The commands decided in the last cycle.
    #[must_use]
    pub fn commands(&self) -> &[Command] {
        &self.out.commands
    }

    fn record_ends(&mut self, out: &Decisions) {
        let epoch = self.epoch;
        for requeued in &out.requeued {
            self.unwritten.push(JobEdit::Requeue {
                key: requeued.key,
                attempt: requeued.attempt,
                epoch,
                cause: cause(requeued.cause),
            });
        }
        for parked in &out.parked {
            // The other park reasons follow from the catalogue and the workers, and clear without a stored step.
            if let Reason::FailedEverywhere { .. } = parked.reason {
                self.unwritten.push(JobEdit::Park {
                    key: parked.key,
                    epoch,
                    reason: ParkReason::FailsEverywhere,
                });
            }
        }
        for ended in &out.ended {
            match outcome(ended.outcome) {
                // The cancellation has already ended the task in the document.
                TaskOutcome::NeverRan => {
                    self.sched.forget(&ended.key);
                }
                outcome => self.unwritten.push(JobEdit::End {
                    key: ended.key,
                    attempt: ended.attempt,
                    epoch,
                    outcome,
                }),
            }
        }
    }

    /// Records that `steps` were written, with the document's answer to each. Returns the starts to send now, or none
    /// if a newer scheduler has fenced this one.
    pub fn written(
        &mut self,
        steps: &[JobEdit],
        answers: &[Result<JobAnswer, JobRefusal>],
        now: Instant,
    ) -> Option<Vec<Start>> {
        let mut starts = Vec::new();
        for (step, answer) in steps.iter().zip(answers) {
            if let Err(JobRefusal::Fenced(..)) = answer {
                return None;
            }
            let key = key_of(step);
            match step {
                JobEdit::Start { attempt, .. } => {
                    if *answer == Ok(JobAnswer::Done) {
                        starts.extend(self.start_of(key));
                    } else {
                        let outcome = StartOutcome::NotStarted;
                        self.sched.on_start(&key, *attempt, outcome, now);
                    }
                }
                JobEdit::End { .. } | JobEdit::Park { .. } => {
                    self.sched.forget(&key);
                    self.unwritten.retain(|other| other != step);
                }
                _ => self.unwritten.retain(|other| other != step),
            }
        }
        Some(starts)
    }

    /// Records that `steps` were not written, or that the outcome is unknown. Reverts the starts among them; the other
    /// steps are written again in the next cycle.
    pub fn not_written(&mut self, steps: &[JobEdit], now: Instant) {
        for step in steps {
            if let JobEdit::Start { key, attempt, .. } = step {
                let outcome = StartOutcome::NotStarted;
                self.sched.on_start(key, *attempt, outcome, now);
            }
        }
    }

    fn start_of(&self, key: TaskKey) -> Option<Start> {
        let start = self.out.starts.iter().find(|start| start.key == key);
        start.cloned()
    }

    /// The stored record of a task; none if its document does not hold it.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.docs[shard_of(key)].tasks().get(&key)
    }

    /// Returns the running tasks that exceed each team's slots in `grants`; those with the lowest keys are within it.
    #[must_use]
    pub fn beyond_grants(&self, grants: &BTreeMap<TeamName, Slots>) -> BTreeSet<TaskKey> {
        let mut running: BTreeMap<&TeamName, BTreeSet<TaskKey>> = BTreeMap::new();
        let tasks = self.docs.iter().flat_map(|doc| doc.tasks());
        for (key, task) in tasks {
            if let TaskState::Running { .. } = task.state {
                running.entry(&task.team).or_default().insert(*key);
            }
        }
        let beyond = running.into_iter().flat_map(|(team, keys)| {
            let granted = grants.get(team).copied().unwrap_or(Slots::ZERO);
            let granted = usize::try_from(granted.get()).unwrap_or(usize::MAX);
            keys.into_iter().skip(granted)
        });
        beyond.collect()
    }

    /// Returns the running and waiting slots of the tasks of each pool. A waiting task counts as one slot.
    #[must_use]
    pub fn pool_demand(&self) -> BTreeMap<PoolName, Usage> {
        let state = self.sched.state();
        let mut demand: BTreeMap<PoolName, Usage> = BTreeMap::new();
        for (_, lane) in state.lanes.iter() {
            let Some(pool) = state.teams.pool_names.name(lane.pool) else {
                continue;
            };
            let usage = demand.entry(pool.clone()).or_default();
            usage.running += Slots::new(lane.running);
            usage.waiting += Slots::new(u32::try_from(lane.waiting).unwrap_or(u32::MAX));
        }
        demand
    }
}

const fn key_of(step: &JobEdit) -> TaskKey {
    match step {
        JobEdit::Accept { key, .. }
        | JobEdit::Cancel { key }
        | JobEdit::Release { key }
        | JobEdit::Start { key, .. }
        | JobEdit::Requeue { key, .. }
        | JobEdit::Park { key, .. }
        | JobEdit::End { key, .. } => *key,
    }
}

fn spec(key: TaskKey, task: &Task) -> TaskSpec {
    TaskSpec {
        key,
        team: task.team.clone(),
        queue: task.queue.clone(),
        declared: task.need,
        declared_run: Duration::from_millis(task.run_ms),
        deadline: None,
        checkpointable: task.checkpoint != Checkpoint::Impossible,
        idempotent: task.is_idempotent,
    }
}

const fn progress(task: &Task) -> Progress {
    if matches!(task.checkpoint, Checkpoint::Saved) {
        Progress::Checkpointed
    } else if task.attempts > 0 {
        Progress::HasRun
    } else {
        Progress::NeverRan
    }
}

const fn cause(cause: goldcrest_sched::RequeueCause) -> RequeueCause {
    match cause {
        goldcrest_sched::RequeueCause::NotStarted => RequeueCause::NotStarted,
        goldcrest_sched::RequeueCause::Checkpointed => RequeueCause::Checkpointed,
        goldcrest_sched::RequeueCause::Failed => RequeueCause::Failed,
        goldcrest_sched::RequeueCause::Lost => RequeueCause::Lost,
    }
}

const fn outcome(outcome: Outcome) -> TaskOutcome {
    match outcome {
        Outcome::Succeeded => TaskOutcome::Succeeded,
        Outcome::Failed => TaskOutcome::Failed,
        Outcome::NeverRan => TaskOutcome::NeverRan,
        Outcome::Stopped => TaskOutcome::Stopped,
        Outcome::OutcomeUnknown => TaskOutcome::Unknown,
    }
}
