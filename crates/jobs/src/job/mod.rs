//! An open job in memory.
//!
//! A [`Job`] has an [`Occurrence`] for each scheduled time that is due and not done; a job without a schedule has one,
//! number 0. A [`Task`] has at most one live run unless its step allows copies, and none once it is done. `live` counts
//! the runs that may be executing on any worker, including those whose start has had no reply.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_types::names::{DcName, QueueName};

use crate::id::{JobId, RunNumber, StepId, TaskId, WorkerId};
use crate::policy::AcceptedPolicy;
use crate::progress::{
    IndexSet, OccurrenceProgress, OpenStarts, Progress, StepProgress, TaskProgress, most_failures,
};
use crate::spec::{JobRecord, JobState, Step, TASKS_MAX};
use crate::suspect::{CrashLimit, Exposure, RunState, SuspectTask, SuspectTasks, UnreportedRun};

/// A task that has lost so many runs is started alone, even if each had been executing for some time.
pub const LOST_ISOLATED: usize = 3;

/// Whether a task that has a run may be given a copy of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Copies {
    /// It may not.
    #[default]
    Denied,
    /// It may, alone on a worker: the task may have crashed the worker of its run.
    Isolated,
    /// It may.
    Allowed,
}

/// A start that may still be executed, by any incarnation of its worker: it has had no conclusive answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenStart {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The number of the run.
    pub run: RunNumber,
    /// How many starts of the task on this worker, or copies of them, were given up. If there are any, an answer to another one,
    /// or a report of the run, does not settle this one.
    pub given_up: u32,
}

/// A task of an open job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether one of its runs has ended as done.
    pub is_done: bool,
    /// The numbers of the runs that have failed.
    pub failed_runs: Vec<RunNumber>,
    /// The highest run number used so far. Absent before the first start.
    pub last_run: Option<RunNumber>,
    /// The checkpoint that the next run resumes from.
    pub checkpoint: Option<Box<str>>,
    /// The number of runs that may be executing.
    pub live: u32,
    /// Whether an earlier scheduler may have started it on a worker that has not reported yet, also if a run of it was found
    /// elsewhere.
    pub is_unknown: bool,
    /// Whether a second run may be started: its only run is suspect, and its step allows copies.
    pub copies: Copies,
    /// Its unreported runs, in the order of their starts.
    pub unreported: Vec<UnreportedRun>,
    /// Its starts that may still be executed, the newest last.
    pub open_starts: Vec<OpenStart>,
    /// Since when it waits for a worker on which it can be started alone.
    pub isolation_awaited_since: Option<Instant>,
}

impl Task {
    /// Whether a run may be started.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let most = u32::from(self.copies != Copies::Denied);
        !self.is_done && !self.is_unknown && self.live <= most
    }

    /// Records a start that is about to be sent. One that was sent to the same worker and given up covers it.
    pub fn open_start(&mut self, worker: &WorkerId, run: RunNumber) {
        let is_covered =
            |start: &OpenStart| start.worker == *worker && (start.given_up > 0 || start.run == run);
        if !self.open_starts.iter().any(is_covered) {
            self.open_starts.push(OpenStart {
                worker: worker.clone(),
                run,
                given_up: 0,
            });
        }
    }

    /// Records that a copy of a start was given up without an answer.
    pub fn give_up_start(&mut self, worker: &WorkerId, run: RunNumber) {
        let on_worker = self.open_starts.iter();
        let given_up = on_worker.filter(|start| start.worker == *worker);
        let given_up = given_up
            .map(|start| start.given_up)
            .max()
            .unwrap_or_default();
        self.open_starts
            .retain(|start| start.worker != *worker || start.given_up == 0 && start.run != run);
        self.open_starts.push(OpenStart {
            worker: worker.clone(),
            run,
            given_up: given_up + 1,
        });
    }

    /// Forgets a start whose only copy was answered, or whose run was reported.
    pub fn settle_start(&mut self, worker: &WorkerId, run: RunNumber) {
        self.open_starts
            .retain(|start| start.given_up > 0 || start.worker != *worker || start.run != run);
    }

    /// Whether its next run should be alone on its worker: it may have crashed a worker by its start, or has lost
    /// [`LOST_ISOLATED`] runs.
    #[must_use]
    pub fn needs_isolation(&self) -> bool {
        let lost = || {
            let runs = self.unreported.iter();
            runs.filter(|run| run.state == RunState::Lost)
        };
        let has_just_started = lost().any(|run| run.exposure != Exposure::Established);
        self.copies == Copies::Isolated || has_just_started || lost().count() >= LOST_ISOLATED
    }

    fn to_progress(&self, index: u32) -> Option<TaskProgress> {
        // A first run that is still executing will be reported by its worker.
        let has_ended = !self.failed_runs.is_empty() || self.checkpoint.is_some();
        let is_lost = self.last_run.is_some() && self.live == 0;
        (!self.is_done && (has_ended || is_lost)).then(|| TaskProgress {
            index,
            failed_runs: self.failed_runs.clone(),
            last_run: self.last_run,
            checkpoint: self.checkpoint.clone(),
        })
    }
}

/// A step of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepState {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// How many are done.
    pub done: u32,
    /// How many are idle: a run may be started.
    pub idle: u32,
}

impl StepState {
    fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.tasks as usize],
            done: 0,
            idle: step.tasks,
        }
    }

    /// Whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Changes a task and updates the counts. Returns `None` if the step has no such task.
    pub fn update<R>(&mut self, index: u32, change: impl FnOnce(&mut Task) -> R) -> Option<R> {
        let task = self.tasks.get_mut(index as usize)?;
        let (was_done, was_idle) = (task.is_done, task.is_idle());
        let result = change(task);
        self.done = self.done + u32::from(task.is_done) - u32::from(was_done);
        self.idle = self.idle + u32::from(task.is_idle()) - u32::from(was_idle);
        Some(result)
    }

    /// The most failures of a task, or of the step's gang. The tasks of a gang share run numbers, so each number counts
    /// once.
    #[must_use]
    pub fn failures(&self, is_gang: bool) -> usize {
        most_failures(self.tasks.iter().map(|task| &*task.failed_runs), is_gang)
    }

    /// The number of runs that may be executing.
    #[must_use]
    pub fn live(&self) -> u32 {
        self.tasks.iter().map(|task| task.live).sum()
    }
}

/// One execution of a job's steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// Its steps, in the order of the job's.
    pub steps: Vec<StepState>,
    /// When it became due, or the job was accepted.
    pub due_at: Instant,
}

impl Occurrence {
    /// Whether all steps are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// The number of runs that may be executing.
    #[must_use]
    pub fn live(&self) -> u32 {
        self.steps.iter().map(StepState::live).sum()
    }

    /// Whether the steps that `step` waits for are done.
    #[must_use]
    pub fn is_open(&self, step: &Step) -> bool {
        step.after.iter().all(|after| {
            self.steps
                .get(*after as usize)
                .is_none_or(StepState::is_done)
        })
    }
}

/// How far a job has come before its first task is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beginning {
    /// No start was sent.
    Waiting,
    /// A start was or is about to be sent; none is known to have succeeded.
    Ordered,
    /// A task has started.
    Started,
}

/// An open job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The job as it was accepted, and whether it was cancelled since.
    pub record: JobRecord,
    /// Occurrences that are due and not done, or of which copies are still executing.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The numbers of the occurrences that are done.
    pub occurrences_done: IndexSet,
    /// Whether a task has started.
    pub beginning: Beginning,
    /// The workers that may have received a start.
    pub workers: BTreeSet<WorkerId>,
    /// The data centre of its last start by this scheduler, if known.
    pub dc: Option<DcName>,
    /// The members of `workers` that an earlier scheduler used and that have not reported yet.
    pub awaited: BTreeSet<WorkerId>,
    /// The final state. Once it is set, no more runs are started, and those that are executing are stopped.
    pub outcome: Option<JobState>,
    /// Whether its outcome has been logged and marked for storing.
    pub is_end_recorded: bool,
    /// Whether it was reported that no worker could run one of its steps.
    pub is_unfit_reported: bool,
    /// When this scheduler first saw it.
    pub first_seen_at: Instant,
    /// When it was accepted, on this entry's steady clock.
    pub accepted_at: Instant,
    /// How long a task of each step is expected to take.
    pub step_times: Vec<Duration>,
    /// The time from acceptance to completion that its submitter expects.
    pub objective: Duration,
    /// The first run number for new starts, above all that an earlier scheduler can have used.
    pub first_run: RunNumber,
    /// No starts are sent before this time.
    pub paused_until: Option<Instant>,
    stored_progress: Option<Progress>,
    /// The stored tasks with unreported runs whose occurrences are not open.
    stored_suspects: Vec<SuspectTask>,
}

impl Job {
    /// Creates a job that no earlier scheduler has worked on.
    #[must_use]
    pub fn new(
        record: JobRecord,
        step_times: Vec<Duration>,
        objective: Duration,
        accepted_at: Instant,
        now: Instant,
    ) -> Self {
        let outcome = record.is_cancelled.then_some(JobState::Cancelled);
        Self {
            record,
            occurrences: BTreeMap::new(),
            occurrences_done: IndexSet::default(),
            beginning: Beginning::Waiting,
            workers: BTreeSet::new(),
            dc: None,
            awaited: BTreeSet::new(),
            outcome,
            is_end_recorded: false,
            is_unfit_reported: false,
            first_seen_at: now,
            accepted_at,
            step_times,
            objective,
            first_run: RunNumber::FIRST,
            paused_until: None,
            stored_progress: None,
            stored_suspects: Vec::new(),
        }
    }

    /// Continues from an earlier scheduler's progress. Each task is unknown until all workers of the job have reported,
    /// and run numbers begin at `first_run`. A job of which a task has used up its attempts has failed.
    #[must_use]
    pub fn with_progress(mut self, progress: Progress, first_run: RunNumber) -> Self {
        if progress.has_begun {
            self.beginning = Beginning::Started;
        }
        self.workers.clone_from(&progress.workers);
        self.awaited.clone_from(&progress.workers);
        self.occurrences_done = progress.occurrences_done.clone();
        self.first_run = first_run;
        self.stored_progress = Some(progress);
        self.judge_failures(self.failures());
        self
    }

    /// Continues from the unreported runs that an earlier scheduler has stored. Must precede the opening of
    /// occurrences.
    pub fn set_suspects(&mut self, suspects: SuspectTasks) {
        if suspects.accepted_ms == self.record.accepted_ms {
            self.stored_suspects = suspects.tasks;
        }
    }

    /// Returns the tasks with unreported runs. `None` if there are none.
    #[must_use]
    pub fn to_suspects(&self) -> Option<SuspectTasks> {
        let open = self.occurrences.iter().flat_map(|(occurrence, state)| {
            let steps = (0..).zip(&state.steps);
            steps.flat_map(move |(step, state)| {
                let tasks = (0..).zip(&state.tasks);
                let suspect = tasks.filter(|(_, task)| !task.unreported.is_empty());
                suspect.map(move |(index, task)| SuspectTask {
                    occurrence: *occurrence,
                    step,
                    index,
                    runs: task.unreported.clone(),
                })
            })
        });
        let tasks: Vec<SuspectTask> = open.chain(self.stored_suspects.iter().cloned()).collect();
        (!tasks.is_empty()).then_some(SuspectTasks {
            accepted_ms: self.record.accepted_ms,
            tasks,
        })
    }

    /// The tasks of open occurrences that have unreported runs.
    #[must_use]
    pub fn suspect_ids(&self) -> Vec<TaskId> {
        let job = self.id();
        let tasks = self.occurrences.iter().flat_map(|(occurrence, state)| {
            let steps = (0..).zip(&state.steps);
            steps.flat_map(move |(step, state)| {
                let tasks = (0..).zip(&state.tasks);
                let suspects = tasks.filter(|(_, task)| !task.unreported.is_empty());
                let occurrence = *occurrence;
                let step = StepId {
                    job,
                    occurrence,
                    step,
                };
                suspects.map(move |(index, _)| step.task(index))
            })
        });
        tasks.collect()
    }

    /// Whether a step has an availability budget. The end of such a job would stop tasks that serve, whatever the budget allows,
    /// so it is not given up.
    #[must_use]
    pub fn has_availability_budget(&self) -> bool {
        let mut steps = self.record.spec.steps.iter();
        steps.any(|step| step.is_service() && step.unavailable_max > 0)
    }

    /// Gives the job up if the lost runs of a task show that it crashes its workers. Returns whether it did.
    pub fn judge_crashes(&mut self, task: TaskId, limit: CrashLimit) -> bool {
        let state = self.step(task.step).map(|(_, state)| state);
        let task = state.and_then(|state| state.tasks.get(task.index as usize));
        let is_exceeded =
            task.is_some_and(|task| !task.is_done && limit.is_exceeded(&task.unreported));
        let is_given_up = is_exceeded && self.outcome.is_none() && !self.has_availability_budget();
        if is_given_up {
            self.outcome = Some(JobState::Failed);
        }
        is_given_up
    }

    /// The workers that were lost under runs of the job.
    pub fn lost_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        let runs = steps.flat_map(|step| step.tasks.iter().flat_map(|task| &task.unreported));
        let lost = runs.filter(|run| run.state == RunState::Lost);
        lost.map(|run| &run.worker)
    }

    /// The job's id.
    #[must_use]
    pub fn id(&self) -> JobId {
        self.record.id
    }

    /// The job's queue.
    #[must_use]
    pub fn queue(&self) -> &QueueName {
        &self.record.queue
    }

    /// Whether a task has started or may have.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.beginning != Beginning::Waiting
    }

    /// The number of failures of a task that fails the job. `None` if the job was accepted by an older version and its
    /// queue was not in any catalogue since this scheduler knows the job.
    #[must_use]
    pub fn attempts_max(&self) -> Option<u32> {
        let policy = self.record.policy.as_ref()?;
        Some(policy.attempts_max.max(1))
    }

    /// Whether placement needed permits by the policy of the job's acceptance.
    #[must_use]
    pub fn needed_permits(&self) -> bool {
        let policy = self.record.policy.as_ref();
        policy.is_some_and(|policy| policy.needs_permits)
    }

    /// Sets the policy that the job's record lacks, and decides what had to wait for it.
    pub fn set_policy(&mut self, policy: AcceptedPolicy, longest_chain: Duration) {
        self.objective = policy.objective(longest_chain);
        self.record.policy = Some(policy);
        self.judge_failures(self.failures());
    }

    /// Fails the job if a task or a gang that has failed this often has used up its attempts.
    pub fn judge_failures(&mut self, failures: usize) {
        let attempts_max = self.attempts_max();
        let is_used_up = attempts_max.is_some_and(|most| failures >= most as usize);
        if is_used_up && self.outcome.is_none() {
            self.outcome = Some(JobState::Failed);
        }
    }

    /// Whether a task has failed while the number of its attempts is not known. No starts are sent until it is.
    #[must_use]
    pub fn awaits_policy(&self) -> bool {
        self.record.policy.is_none() && self.failures() > 0
    }

    /// The most failures of a task, or of a gang, that is not part of a service.
    fn failures(&self) -> usize {
        let stored = self
            .stored_progress
            .iter()
            .flat_map(|stored| &stored.occurrences);
        let of_stored = stored.flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.record.spec.steps);
            steps
                .filter(|(_, step)| !step.is_service())
                .map(|(stored, step)| stored.failures(step.is_gang()))
        });
        let of_open = self.occurrences.values().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.record.spec.steps);
            steps
                .filter(|(_, step)| !step.is_service())
                .map(|(state, step)| state.failures(step.is_gang()))
        });
        of_stored.chain(of_open).max().unwrap_or_default()
    }

    /// Creates the occurrences that are due at `wall_ms`, as long as the open ones have fewer than [`TASKS_MAX`] tasks.
    pub fn open_due(&mut self, wall_ms: u64, now: Instant) {
        let Some(schedule) = self.record.spec.schedule else {
            if !self.occurrences_done.contains(0) && self.occurrences.is_empty() {
                self.open(0, self.accepted_at);
            }
            return;
        };
        for occurrence in 0..schedule.occurrences {
            let is_full = !self.occurrences.is_empty() && self.open_tasks() >= TASKS_MAX;
            if schedule.due_ms(occurrence) > wall_ms || is_full {
                break;
            }
            if !self.occurrences_done.contains(occurrence)
                && !self.occurrences.contains_key(&occurrence)
            {
                self.open(occurrence, now);
            }
        }
    }

    /// The number of tasks in the open occurrences.
    fn open_tasks(&self) -> u64 {
        let of_one: u64 = self
            .record
            .spec
            .steps
            .iter()
            .map(|step| u64::from(step.tasks))
            .sum();
        let open = u64::try_from(self.occurrences.len()).unwrap_or(u64::MAX);
        of_one.saturating_mul(open)
    }

    /// Creates an occurrence of which a run was found, unless it is known already or not in the schedule.
    pub fn open_occurrence(&mut self, occurrence: u32, now: Instant) {
        let schedule = self.record.spec.schedule;
        if occurrence >= schedule.map_or(1, |schedule| schedule.occurrences) {
            return;
        }
        let is_known = self.occurrences_done.contains(occurrence)
            || self.occurrences.contains_key(&occurrence);
        if !is_known {
            self.open(occurrence, now);
        }
    }

    fn open(&mut self, occurrence: u32, due_at: Instant) {
        let mut steps: Vec<StepState> = self.record.spec.steps.iter().map(StepState::new).collect();
        if let Some(progress) = &self.stored_progress {
            let stored = progress
                .occurrences
                .iter()
                .find(|stored| stored.occurrence == occurrence);
            for (at, step) in steps.iter_mut().enumerate() {
                restore(step, stored.and_then(|stored| stored.steps.get(at)));
            }
            for (step, index, start) in progress.starts_of(occurrence) {
                if let Some(step) = steps.get_mut(step as usize) {
                    step.update(index, |task| {
                        if !task.is_done {
                            task.open_starts.push(start);
                        }
                    });
                }
            }
        }
        self.stored_suspects.retain(|suspect| {
            let is_open = suspect.occurrence == occurrence;
            let step = steps.get_mut(suspect.step as usize);
            if let Some(step) = step.filter(|_| is_open) {
                step.update(suspect.index, |task| {
                    if !task.is_done {
                        task.unreported.clone_from(&suspect.runs);
                    }
                });
            }
            !is_open
        });
        self.occurrences
            .insert(occurrence, Occurrence { steps, due_at });
    }

    /// Whether an earlier scheduler worked on the job and its tasks are not all known yet.
    #[must_use]
    pub fn is_inherited(&self) -> bool {
        self.stored_progress.is_some()
    }

    /// Marks all tasks as known, after all workers of the job have reported or were lost: a task that none of them runs
    /// is idle. If one of them was lost, an earlier scheduler may have started any such task on it; `lost` is that worker
    /// and when its incarnation started.
    pub fn resolve_unknown(&mut self, lost: Option<(&WorkerId, Option<u64>)>) {
        // The wall clock may have been set back since the occurrences were opened.
        let stored = self
            .stored_progress
            .iter()
            .flat_map(|occurrence| &occurrence.occurrences);
        let suspects = self.stored_suspects.iter();
        let starts = self
            .stored_progress
            .iter()
            .flat_map(|stored| &stored.starts);
        let begun: BTreeSet<u32> = stored
            .map(|occurrence| occurrence.occurrence)
            .chain(suspects.map(|suspect| suspect.occurrence))
            .chain(starts.map(|starts| starts.occurrence))
            .collect();
        for occurrence in begun {
            self.open_occurrence(occurrence, self.first_seen_at);
        }
        self.stored_progress = None;
        let specs = &self.record.spec.steps;
        for occurrence in self.occurrences.values_mut() {
            let open: Vec<bool> = specs.iter().map(|step| occurrence.is_open(step)).collect();
            for (step, may_have_started) in occurrence.steps.iter_mut().zip(open) {
                let lost = lost.filter(|_| may_have_started);
                for index in 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX) {
                    step.update(index, |task| resolve(task, lost));
                }
            }
        }
    }

    /// Returns a step and its state, or `None` if there is no such step or its occurrence is not open.
    #[must_use]
    pub fn step(&self, id: StepId) -> Option<(&Step, &StepState)> {
        let spec = self.record.spec.steps.get(id.step as usize)?;
        let state = self
            .occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)?;
        Some((spec, state))
    }

    /// Whether the steps that a step waits for are done.
    #[must_use]
    pub fn is_step_open(&self, id: StepId) -> bool {
        let occurrence = self.occurrences.get(&id.occurrence);
        let spec = self.record.spec.steps.get(id.step as usize);
        matches!((occurrence, spec), (Some(occurrence), Some(spec)) if occurrence.is_open(spec))
    }

    /// Returns a step and its mutable state, as [`Self::step`] does.
    pub fn step_mut(&mut self, id: StepId) -> Option<(&Step, &mut StepState)> {
        let spec = self.record.spec.steps.get(id.step as usize)?;
        let state = self
            .occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)?;
        Some((spec, state))
    }

    /// The run number that a new start of the task takes.
    #[must_use]
    pub fn next_run(&self, task: TaskId) -> RunNumber {
        let last = self
            .step(task.step)
            .and_then(|(_, state)| state.tasks.get(task.index as usize))
            .and_then(|task| task.last_run);
        last.map_or(self.first_run, |last| last.next().max(self.first_run))
    }

    /// Records the occurrences that are done, and returns whether there were new ones. An occurrence of which copies
    /// are still executing is kept until they have ended. The job is completed once all occurrences are done.
    pub fn close_done(&mut self) -> bool {
        let done: Vec<u32> = self
            .occurrences
            .iter()
            .filter(|(number, occurrence)| {
                occurrence.is_done() && !self.occurrences_done.contains(**number)
            })
            .map(|(number, _)| *number)
            .collect();
        for number in &done {
            self.occurrences_done.insert(*number);
        }
        self.occurrences
            .retain(|_, occurrence| !occurrence.is_done() || occurrence.live() > 0);
        let total = self
            .record
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences);
        if self.outcome.is_none() && self.occurrences_done.len() >= total {
            self.outcome = Some(JobState::Completed);
        }
        !done.is_empty()
    }

    /// The number of runs that may be executing.
    #[must_use]
    pub fn live(&self) -> u32 {
        self.occurrences.values().map(Occurrence::live).sum()
    }

    /// The state that submitters see.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.outcome {
            Some(outcome) => outcome,
            None if self.has_begun() => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Occurrences that an earlier scheduler has begun and this one has not opened, because the job has ended or they
    /// are not due by this entry's clock.
    fn unopened(&self) -> impl Iterator<Item = OccurrenceProgress> + '_ {
        let stored = self
            .stored_progress
            .iter()
            .flat_map(|occurrence| &occurrence.occurrences);
        stored
            .filter(|occurrence| !self.occurrences.contains_key(&occurrence.occurrence))
            .filter(|occurrence| !self.occurrences_done.contains(occurrence.occurrence))
            .cloned()
    }

    /// Returns the progress to store.
    #[must_use]
    pub fn to_progress(&self) -> Progress {
        let open = self.occurrences.iter();
        let occurrences = open
            .filter(|(number, _)| !self.occurrences_done.contains(**number))
            .map(|(number, occurrence)| OccurrenceProgress {
                occurrence: *number,
                steps: occurrence.steps.iter().map(step_progress).collect(),
            })
            .chain(self.unopened())
            .filter(|occurrence| {
                occurrence
                    .steps
                    .iter()
                    .any(|step| !step.done.is_empty() || !step.ended.is_empty())
            })
            .collect();
        Progress {
            has_begun: self.has_begun(),
            workers: self.workers.clone(),
            occurrences_done: self.occurrences_done.clone(),
            occurrences,
            starts: self.open_starts(),
        }
    }

    /// The tasks of which an earlier scheduler has stored starts.
    pub fn inherited_starts(&self) -> impl Iterator<Item = TaskId> + '_ {
        let job = self.id();
        let stored = self.stored_progress.iter();
        stored
            .flat_map(|stored| &stored.starts)
            .flat_map(move |starts| {
                let step = StepId {
                    job,
                    occurrence: starts.occurrence,
                    step: starts.step,
                };
                starts.tasks.iter().map(move |index| step.task(index))
            })
    }

    /// The starts that may have had no answer, also those of occurrences that are not open.
    fn open_starts(&self) -> Vec<OpenStarts> {
        let mut by_run: BTreeMap<(&WorkerId, u32, u32, RunNumber), IndexSet> = BTreeMap::new();
        for (occurrence, state) in &self.occurrences {
            for (step, state) in (0..).zip(&state.steps) {
                for (index, task) in (0..).zip(&state.tasks).filter(|(_, task)| !task.is_done) {
                    for start in &task.open_starts {
                        let of_run = (&start.worker, *occurrence, step, start.run);
                        by_run.entry(of_run).or_default().insert(index);
                    }
                }
            }
        }
        let open = by_run.into_iter();
        let open = open.map(|((worker, occurrence, step, run), tasks)| OpenStarts {
            worker: worker.clone(),
            occurrence,
            step,
            run,
            tasks,
        });
        let stored = self
            .stored_progress
            .iter()
            .flat_map(|stored| &stored.starts);
        let unopened = stored
            .filter(|starts| !self.occurrences.contains_key(&starts.occurrence))
            .filter(|starts| !self.occurrences_done.contains(starts.occurrence));
        open.chain(unopened.cloned()).collect()
    }
}

fn step_progress(step: &StepState) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in (0..).zip(&step.tasks) {
        if task.is_done {
            progress.done.insert(index);
        } else {
            progress.ended.extend(task.to_progress(index));
        }
    }
    progress
}

/// Marks a task as known. Its unreported runs that no worker executes are lost.
fn resolve(task: &mut Task, lost: Option<(&WorkerId, Option<u64>)>) {
    let may_be_lost =
        task.is_unknown && !task.is_done && task.live == 0 && task.unreported.is_empty();
    task.is_unknown = false;
    if task.live == 0 {
        for run in &mut task.unreported {
            run.lose(Exposure::Shared);
        }
    }
    if let Some((worker, started_ms)) = lost.filter(|_| may_be_lost) {
        task.unreported.push(UnreportedRun {
            run: None,
            worker: worker.clone(),
            started_ms,
            exposure: Exposure::Established,
            state: RunState::Lost,
            fate: None,
            execution: None,
        });
    }
}

fn restore(step: &mut StepState, stored: Option<&StepProgress>) {
    for index in 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX) {
        let is_done = stored.is_some_and(|stored| stored.done.contains(index));
        let ended = stored.and_then(|stored| stored.ended.iter().find(|task| task.index == index));
        step.update(index, |task| {
            task.is_done = is_done;
            task.is_unknown = !is_done;
            if let Some(ended) = ended {
                task.failed_runs.clone_from(&ended.failed_runs);
                task.last_run = ended.last_run;
                task.checkpoint.clone_from(&ended.checkpoint);
            }
        });
    }
}
