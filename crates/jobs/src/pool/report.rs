//! Ingests a worker's report: which runs are executing and which have ended.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::id::{RunNumber, WorkerRef};
use crate::job::{Beginning, Task};
use crate::lease::expiry;
use crate::pool::{Event, FoundRun, Pool};
use crate::suspect::Exposure;
use crate::worker::{
    Contact, Description, ESTABLISHED_AFTER, EndRow, Executor, Origin, Phase, Report, Run, RunEnd,
    RunKey, RunningRow, StrayLease, Streaks, Trust,
};

/// The highest clock value accepted from a worker, in milliseconds. Messages can't represent larger integers exactly,
/// and leases are added to the value.
const CLOCK_MS_MAX: u64 = 1 << 53;

/// The most ends that the platform lists in one report. If a report lists this many, there may be more.
const ENDS_PER_REPORT: usize = 500;

/// The failures of different jobs in a row after which a worker gets no starts for a while.
const FAILURES_IN_A_ROW: u32 = 2;

/// How long a worker gets no starts after [`FAILURES_IN_A_ROW`] failures. Doubles with each further one.
const FAILURE_PAUSE: std::time::Duration = std::time::Duration::from_secs(2);

/// The most doublings of [`FAILURE_PAUSE`].
const PAUSE_DOUBLINGS_MAX: u32 = 3;

impl Pool {
    /// Ingests a report that was requested at `sent_at`. Returns whether it lists ends, which must be acknowledged to
    /// the worker once the jobs that they changed have been stored.
    pub fn report(
        &mut self,
        worker_ref: WorkerRef,
        sent_at: Instant,
        report: Report,
        now: Instant,
    ) -> bool {
        if !self.is_from(worker_ref, &report, now) {
            return false;
        }
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return false;
        };
        let clock_ms = report.clock_ms.min(CLOCK_MS_MAX);
        worker.clock = Some((clock_ms, now));
        worker.answered_at = Some(now);
        worker.answering_since.get_or_insert(now);
        worker.unresponsive_since = None;
        worker.is_full = false;
        let is_new = !worker.is_fenced();
        worker.contact = Contact::Responding;
        if is_new {
            // From now on the worker refuses commands of earlier schedulers and those to its earlier incarnations. This
            // is the longest lease that they may have offered.
            let longest = match worker.stray_lease {
                StrayLease::Excluded => self.lease_bound.offered(now),
                StrayLease::Possible | StrayLease::Until(_) => self.bounds.lease_max,
            };
            let offered_ms = clock_ms + crate::worker::millis(longest);
            worker.lease_until_ms = worker.lease_until_ms.max(offered_ms);
            if worker.stray_lease != StrayLease::Excluded {
                worker.stray_lease = StrayLease::Until(offered_ms);
            }
            self.push_worker_event(worker_ref, "fenced");
        }
        let started_ms = report.started_ms;
        let may_have_more = report.ended.len() >= ENDS_PER_REPORT;
        let has_ends = !report.ended.is_empty();
        for row in report.ended {
            self.ingest_end(worker_ref, &row, now);
        }
        let mut listed = BTreeSet::new();
        for row in report.running {
            listed.insert((row.task, row.run));
            self.ingest_running(worker_ref, row, sent_at, now);
        }
        if !may_have_more {
            self.drop_unlisted(worker_ref, &listed, sent_at, clock_ms);
            self.clear_absent(worker_ref);
            self.show_executed_earlier(worker_ref, now);
            self.account_for(worker_ref, started_ms);
        }
        has_ends
    }

    /// Whether the runs that were started on a worker are on the incarnation which has reported. Otherwise a later one may have
    /// executed some, and an acknowledgement that reaches it would make it forget their ends.
    #[must_use]
    pub fn are_starts_accounted_for(&self, worker_ref: WorkerRef) -> bool {
        let worker = self.workers.get(&worker_ref);
        worker.is_some_and(|worker| {
            worker.runs.values().all(|run| match run.executor {
                Executor::Reported => true,
                Executor::Answered { clock_ms, at } => worker.is_clock_continued(clock_ms, at),
                // After its deadline, the reported incarnation has executed the start or never will.
                Executor::Unknown { .. } => {
                    let is_overdue = |(clock_ms, _)| clock_ms > run.start_until_ms;
                    run.origin == Origin::CarriedOver || worker.clock.is_some_and(is_overdue)
                }
            })
        })
    }

    /// The number of the last of a report's ends that may be acknowledged, once their effects are saved. An end of a job that
    /// was set aside stays listed for a scheduler that knows the job.
    #[must_use]
    pub fn last_to_acknowledge(&self, ended: &[EndRow]) -> u64 {
        let of_set_aside = ended
            .iter()
            .filter(|end| self.is_set_aside(end.task.step.job));
        let first = of_set_aside.map(|end| end.number).min();
        let numbers = ended.iter().map(|end| end.number);
        let before = numbers.filter(|number| first.is_none_or(|first| *number < first));
        before.max().unwrap_or_default()
    }

    /// Stops awaiting a worker after a takeover: a whole report of it has accounted for all runs of earlier schedulers, and it
    /// refuses their commands.
    fn account_for(&mut self, worker_ref: WorkerRef, started_ms: Option<u64>) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let id = worker.info.id.clone();
        if takeover.awaited.remove(&id).is_none() {
            return;
        }
        let stored_ms = self.inherited.started_ms.get(&id).copied();
        if stored_ms.is_some() && started_ms.is_some() && stored_ms != started_ms {
            takeover.lost.insert(id.clone());
        }
        self.events.push(Event::AwaitEnded {
            worker: id,
            how: "heard",
            stored_ms,
            started_ms,
        });
    }

    /// Whether the incarnation that was queried has sent the report and has not departed since; its runs were dropped then. If
    /// a later one has sent it, that one is added to the pool, with the runs that it lists. Otherwise its report is not
    /// ingested: the request carried the token of the earlier incarnation, so others of its commands may still be carried out
    /// after it.
    fn is_from(&mut self, worker_ref: WorkerRef, report: &Report, now: Instant) -> bool {
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return false;
        };
        if worker.has_departed {
            return false;
        }
        let (Some(queried), Some(reported)) = (worker.info.started_ms, report.started_ms) else {
            worker.info.started_ms = worker.info.started_ms.or(report.started_ms);
            return true;
        };
        // The request was sent to an incarnation that was known by then, so any other one is later, whatever its wall clock says.
        if queried != reported {
            let info = worker.info.of_later_incarnation(report.started_ms);
            let incarnation = self.begin_incarnation(worker_ref, info, now);
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.description = Description::Awaited;
            }
            self.adopt_all(incarnation, &report.running, now);
        }
        queried == reported
    }

    fn ingest_end(&mut self, worker_ref: WorkerRef, row: &EndRow, now: Instant) {
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        if row.number <= worker.last_end {
            return;
        }
        worker.unseen_ends += row.number - worker.last_end - 1;
        worker.last_end = row.number;
        let (id, started_ms) = (worker.info.id.clone(), worker.info.started_ms);
        let key = (row.task, row.run);
        self.attribute(worker_ref, key);
        self.settle_bound(worker_ref, key);
        self.clear_reported(worker_ref, key);
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        let run = worker.remove(key);
        let job_id = row.task.step.job;
        match row.end {
            RunEnd::Done => worker.streaks = Streaks::default(),
            RunEnd::Failed if worker.last_failed_job != Some(job_id) => {
                worker.last_failed_job = Some(job_id);
                worker.streaks.failed += 1;
            }
            _ => {}
        }
        if row.end == RunEnd::Done {
            self.learn(row, run.as_ref(), now);
        }
        self.pause_failing(worker_ref, now);
        self.events.push(Event::Ended {
            worker: id,
            task: row.task,
            run: row.run,
            started_ms,
            how: end_name(row.end),
        });
        self.apply_end(row, run.as_ref(), now);
    }

    /// Updates the estimates with the run time of a task that this scheduler observed from its start to its end.
    fn learn(&mut self, row: &EndRow, run: Option<&Run>, now: Instant) {
        let Some(job) = self.jobs.get(&row.task.step.job) else {
            return;
        };
        let Some((step, _)) = job.step(row.task.step) else {
            return;
        };
        if let Some(run) = run
            && run.origin == Origin::Started
        {
            let time = now.saturating_duration_since(run.started_at);
            self.estimates.learn(job.queue(), step.estimate, time);
        }
    }

    fn pause_failing(&mut self, worker_ref: WorkerRef, now: Instant) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let Some(extra) = worker.streaks.failed.checked_sub(FAILURES_IN_A_ROW) else {
            return;
        };
        let taking_work = self
            .workers
            .values()
            .filter(|worker| worker.takes_work(now));
        let is_only_one = taking_work.count() <= 1;
        let Some(worker) = self.workers.get_mut(&worker_ref) else {
            return;
        };
        if is_only_one || worker.paused_until.is_some_and(|until| now < until) {
            return;
        }
        worker.paused_until = Some(now + FAILURE_PAUSE * 2_u32.pow(extra.min(PAUSE_DOUBLINGS_MAX)));
        self.push_worker_event(worker_ref, "avoided: fails what it starts");
    }

    fn apply_end(&mut self, row: &EndRow, run: Option<&Run>, now: Instant) {
        let job_id = row.task.step.job;
        let Some(job) = self.jobs.get(&job_id) else {
            return;
        };
        let team = job.record.team.clone();
        if let Some(run) = run
            && let Some(team) = &team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage -= run.reserved;
        }
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        job.beginning = Beginning::Started;
        // After a takeover, a report may arrive before the first plan has opened the job's occurrences.
        job.open_occurrence(row.task.step.occurrence, now);
        let was_live = run.is_some();
        let Some((step, state)) = job.step_mut(row.task.step) else {
            // The occurrence is done already.
            return;
        };
        let (is_gang, is_service) = (step.is_gang(), step.is_service());
        let failures = state.update(row.task.index, |task| {
            task.live = task.live.saturating_sub(u32::from(was_live));
            task.last_run = task.last_run.max(Some(row.run));
            if row.checkpoint.is_some() {
                task.checkpoint.clone_from(&row.checkpoint);
            }
            match row.end {
                RunEnd::Done => {
                    task.is_done = true;
                    task.unreported.clear();
                }
                RunEnd::Failed => record_failure(task, row.run, is_service),
                _ => {}
            }
            task.failed_runs.len()
        });
        if row.end == RunEnd::Done && is_gang {
            for index in 0..step_len(state) {
                state.update(index, |task| {
                    task.is_done = true;
                    task.unreported.clear();
                });
            }
        }
        let failures = if is_gang {
            state.failures(true)
        } else {
            failures.unwrap_or_default()
        };
        if !is_service {
            job.judge_failures(failures);
            if row.end == RunEnd::Failed && job.awaits_policy() {
                self.events.push(Event::AttemptsUnknown { job: job_id });
            }
        }
        self.unsaved.insert(job_id);
    }

    fn ingest_running(
        &mut self,
        worker_ref: WorkerRef,
        row: RunningRow,
        sent_at: Instant,
        now: Instant,
    ) {
        let key = (row.task, row.run);
        if self
            .workers
            .get(&worker_ref)
            .is_some_and(|worker| !worker.runs.contains_key(&key))
        {
            self.push_found(worker_ref, key);
            self.adopt(worker_ref, key, now);
        }
        self.attribute(worker_ref, key);
        self.record_listed(worker_ref, key);
        self.settle_bound(worker_ref, key);
        let Some(run) = self
            .workers
            .get_mut(&worker_ref)
            .and_then(|worker| worker.runs.get_mut(&key))
        else {
            return;
        };
        if run.phase == Phase::Starting {
            run.phase = Phase::Confirmed;
            run.closed_at = Some(now);
            if let Some(job) = self.jobs.get_mut(&row.task.step.job) {
                job.beginning = Beginning::Started;
            }
        }
        if run.executor.is_shown_by(sent_at) {
            run.executor = Executor::Reported;
        }
        if row.percent != run.percent {
            run.progressed_at = now;
        }
        let has_run = now.saturating_duration_since(run.started_at);
        let becomes_established = run.trust != Trust::Established && has_run >= ESTABLISHED_AFTER;
        if becomes_established {
            run.trust = Trust::Established;
        }
        run.percent = row.percent;
        run.load = row.load;
        if row.checkpoint.is_some() {
            run.checkpoint = row.checkpoint;
        }
        if becomes_established {
            self.establish(key);
        }
    }

    /// Adds the runs that an incarnation lists before it has answered under its own token. Their leases are as long as
    /// workers grant.
    fn adopt_all(&mut self, worker_ref: WorkerRef, running: &[RunningRow], now: Instant) {
        for row in running {
            let key = (row.task, row.run);
            let worker = self.workers.get(&worker_ref);
            if worker.is_some_and(|worker| !worker.runs.contains_key(&key)) {
                self.push_found(worker_ref, key);
                self.adopt(worker_ref, key, now);
            }
        }
        let longest = expiry(self.bounds.lease_max, &self.bounds);
        if let Some(worker) = self.workers.get_mut(&worker_ref)
            && !running.is_empty()
        {
            worker.earlier_runs_until = Some(now + longest);
        }
    }

    /// Adds a run that this scheduler didn't start, or whose start was considered failed.
    pub(super) fn adopt(&mut self, worker_ref: WorkerRef, key: RunKey, now: Instant) {
        let (task, number) = key;
        let mut run = Run {
            reserved: crate::resources::Resources::ZERO,
            phase: Phase::Confirmed,
            started_at: now,
            origin: Origin::Adopted,
            executor: Executor::Reported,
            start_until_ms: 0,
            closed_at: Some(now),
            stop_sent_at: None,
            progressed_at: now,
            percent: 0,
            checkpoint: None,
            load: 0.0,
            speed_percent: 100,
            is_service: false,
            is_best_effort: false,
            is_demand_known: false,
            tail_target: None,
            trust: Trust::Fresh,
        };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.beginning = Beginning::Started;
            job.open_occurrence(task.step.occurrence, now);
            let team = job.record.team.clone();
            // Another run of the task may be executing on a worker that is still awaited.
            let mut is_certain = job.awaited.is_empty();
            if let Some(step) = job.record.spec.steps.get(task.step.step as usize) {
                run = run.with_step(step);
                is_certain |= step.is_speculative();
            }
            if let Some((_, state)) = job.step_mut(task.step) {
                state.update(task.index, |task| {
                    let unreported = task.unreported.iter();
                    let mut of_run = unreported.filter(|unreported| unreported.run == Some(number));
                    if of_run.any(|run| run.exposure == Exposure::Alone) {
                        run.trust = Trust::Isolated;
                    }
                    task.live += 1;
                    task.last_run = task.last_run.max(Some(number));
                    task.is_unknown &= !is_certain;
                });
            }
            if let Some(team) = team {
                *self.usage.entry(team).or_default() += run.reserved;
            }
            self.unsaved.insert(task.step.job);
        }
        if let Some(worker) = self.workers.get_mut(&worker_ref) {
            worker.add(key, run);
        }
    }

    fn push_found(&mut self, worker_ref: WorkerRef, (task, run): RunKey) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        let known = step.and_then(|(step, state)| {
            let task = state.tasks.get(task.index as usize)?;
            Some((step, task))
        });
        self.events.push(Event::Found(FoundRun {
            worker: worker.info.id.clone(),
            started_ms: worker.info.started_ms,
            task,
            run,
            last_run: known.and_then(|(_, task)| task.last_run),
            is_double: known.is_some_and(|(step, task)| task.live > 0 && !step.is_speculative()),
        }));
    }

    fn drop_unlisted(
        &mut self,
        worker_ref: WorkerRef,
        listed: &BTreeSet<RunKey>,
        sent_at: Instant,
        clock_ms: u64,
    ) {
        let Some(worker) = self.workers.get(&worker_ref) else {
            return;
        };
        let absent: Vec<RunKey> = worker
            .runs
            .iter()
            .filter(|(key, _)| !listed.contains(key))
            .filter(|(_, run)| {
                run.closed_at.is_some_and(|closed_at| closed_at < sent_at)
                    || (run.phase == Phase::Starting && clock_ms > run.start_until_ms)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            self.drop_reported(worker_ref, key, "not there");
        }
    }
}

fn record_failure(task: &mut Task, run: RunNumber, is_service: bool) {
    // The tasks of a service may fail any number of times, and so may the other copies of a task that is done.
    if !is_service && !task.is_done && !task.failed_runs.contains(&run) {
        task.failed_runs.push(run);
    }
}

fn step_len(state: &crate::job::StepState) -> u32 {
    u32::try_from(state.tasks.len()).unwrap_or(u32::MAX)
}

fn end_name(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Expired => "lease lapsed",
        RunEnd::GangBroken => "gang broken",
        RunEnd::GangIncomplete => "gang incomplete",
    }
}
