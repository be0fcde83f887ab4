//! A worker's report: what is at work there and what has ended.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::id::{RunNumber, WorkerRef};
use crate::job::Task;
use crate::pool::{Event, Pool};
use crate::spec::JobState;
use crate::worker::{
    Contact, EndRow, Origin, Phase, Recent, Report, Run, RunEnd, RunKey, RunningRow,
};

/// No clock of a worker shows more, in milliseconds: whole numbers beyond this can't be told apart in the messages. Leases are
/// added to it.
const CLOCK_MS_MAX: u64 = 1 << 53;

/// The most ends that a report lists. With that many there may be more. From the platform's pages.
const ENDS_PER_REPORT: usize = 500;

/// Failures of different jobs in a row, after which a worker is avoided for a while.
const FAILURES_IN_A_ROW: u32 = 2;

/// How long a worker is avoided after its first failures in a row; doubles with each further one.
const AVOIDED: std::time::Duration = std::time::Duration::from_secs(2);

/// The most doublings of the time that a worker is avoided.
const AVOIDED_DOUBLINGS_MAX: u32 = 3;

impl Pool {
    /// Takes a report that was asked for at `sent_at`. Returns whether ends came with it, which are to be taken note of
    /// at the worker once what they changed has been stored.
    pub fn report(
        &mut self,
        worker: WorkerRef,
        sent_at: Instant,
        report: Report,
        now: Instant,
    ) -> bool {
        let worker = self.life_of(worker, &report, now);
        let Some(it) = self.workers.get_mut(&worker) else {
            return false;
        };
        let clock_ms = report.clock_ms.min(CLOCK_MS_MAX);
        it.clock = Some((clock_ms, now));
        it.answered_at = Some(now);
        it.is_full = false;
        let is_new = !it.is_fenced();
        it.contact = Contact::Answers;
        if is_new {
            // Leases that an earlier scheduler has offered, or that were meant for an earlier life.
            let longest = if it.runs.is_empty() {
                self.bounds.lease
            } else {
                self.bounds.hold_max
            };
            let offered_ms = clock_ms + crate::worker::millis(longest);
            it.lease_until_ms = it.lease_until_ms.max(offered_ms);
            let id = it.info.id.clone();
            if let Some(takeover) = &mut self.takeover {
                takeover.awaited.remove(&id);
            }
            self.note_worker(worker, "fenced");
        }
        let may_have_more = report.ended.len() >= ENDS_PER_REPORT;
        let has_ends = !report.ended.is_empty();
        for row in report.ended {
            self.take_end(worker, &row, now);
        }
        let mut listed = BTreeSet::new();
        for row in report.running {
            listed.insert((row.task, row.run));
            self.take_running(worker, row, now);
        }
        if !may_have_more {
            self.drop_unlisted(worker, &listed, sent_at, clock_ms);
        }
        has_ends
    }

    /// The worker that reports: another one than was asked, if it has begun a new life since.
    fn life_of(&mut self, worker: WorkerRef, report: &Report, now: Instant) -> WorkerRef {
        if let Some(present) = self.present_life(worker, report) {
            return present;
        }
        let Some(it) = self.workers.get_mut(&worker) else {
            return worker;
        };
        let is_reborn =
            matches!((it.info.born_ms, report.born_ms), (Some(old), Some(new)) if old < new);
        if !is_reborn {
            it.info.born_ms = it.info.born_ms.or(report.born_ms);
            return worker;
        }
        let mut info = it.info.clone();
        info.born_ms = report.born_ms;
        info.is_draining = false;
        self.begin_life(worker, info, now)
    }

    /// The worker's present life, if that has been heard of since the report was asked for, and is the one that answers.
    fn present_life(&self, worker: WorkerRef, report: &Report) -> Option<WorkerRef> {
        let id = &self.workers.get(&worker)?.info.id;
        let present = *self.by_id.get(id)?;
        let born_ms = self.workers.get(&present)?.info.born_ms;
        (present != worker && born_ms.is_some() && born_ms == report.born_ms).then_some(present)
    }

    fn take_end(&mut self, worker: WorkerRef, row: &EndRow, now: Instant) {
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        if row.number <= it.last_end {
            return;
        }
        it.last_end = row.number;
        let id = it.info.id.clone();
        let key = (row.task, row.run);
        let run = it.remove(key);
        let job_id = row.task.step.job;
        match row.end {
            RunEnd::Done => it.recent = Recent::default(),
            RunEnd::Failed if it.last_failed_job != Some(job_id) => {
                it.last_failed_job = Some(job_id);
                it.recent.failed += 1;
            }
            _ => {}
        }
        if row.end == RunEnd::Done {
            self.learn(row, run.as_ref(), now);
        }
        self.avoid_failing(worker, now);
        self.events.push(Event::Ended {
            worker: id,
            task: row.task,
            run: row.run,
            how: end_name(row.end),
        });
        self.apply_end(row, run.as_ref());
    }

    /// Learns how long a task took that this scheduler saw from its beginning to its end.
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

    fn avoid_failing(&mut self, worker: WorkerRef, now: Instant) {
        let Some(it) = self.workers.get(&worker) else {
            return;
        };
        let Some(extra) = it.recent.failed.checked_sub(FAILURES_IN_A_ROW) else {
            return;
        };
        let taking_work = self.workers.values().filter(|it| it.takes_work(now));
        let is_only_one = taking_work.count() <= 1;
        let Some(it) = self.workers.get_mut(&worker) else {
            return;
        };
        if is_only_one || it.paused_until.is_some_and(|until| now < until) {
            return;
        }
        it.paused_until = Some(now + AVOIDED * 2_u32.pow(extra.min(AVOIDED_DOUBLINGS_MAX)));
        self.note_worker(worker, "avoided: fails what it starts");
    }

    fn apply_end(&mut self, row: &EndRow, run: Option<&Run>) {
        let job_id = row.task.step.job;
        let Some(job) = self.jobs.get(&job_id) else {
            return;
        };
        let attempts_max = self.attempts_max(job.queue());
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
        job.has_begun = true;
        let was_live = run.is_some();
        let Some((step, state)) = job.step_mut(row.task.step) else {
            // Its occurrence is done.
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
                RunEnd::Done => task.is_done = true,
                RunEnd::Failed => note_failure(task, row.run, is_service),
                _ => {}
            }
            task.failed_runs.len()
        });
        if row.end == RunEnd::Done && is_gang {
            for index in 0..step_len(state) {
                state.update(index, |task| task.is_done = true);
            }
        }
        let failures = if is_gang {
            state.gang_failures()
        } else {
            failures.unwrap_or_default()
        };
        let is_failed = !is_service && failures >= attempts_max as usize;
        if is_failed && job.outcome.is_none() {
            job.outcome = Some(JobState::Failed);
        }
        self.unsaved.insert(job_id);
    }

    fn take_running(&mut self, worker: WorkerRef, row: RunningRow, now: Instant) {
        let key = (row.task, row.run);
        if self
            .workers
            .get(&worker)
            .is_some_and(|it| !it.runs.contains_key(&key))
        {
            self.adopt(worker, key, now);
        }
        let Some(run) = self
            .workers
            .get_mut(&worker)
            .and_then(|it| it.runs.get_mut(&key))
        else {
            return;
        };
        if run.phase == Phase::Ordered {
            run.phase = Phase::Confirmed;
            run.closed_at = Some(now);
        }
        if row.percent != run.percent {
            run.progressed_at = now;
        }
        run.percent = row.percent;
        run.load = row.load;
        if row.checkpoint.is_some() {
            run.checkpoint = row.checkpoint;
        }
    }

    /// A run that this scheduler didn't start, or whose start was held to have failed.
    fn adopt(&mut self, worker: WorkerRef, key: RunKey, now: Instant) {
        let (task, number) = key;
        let mut run = Run {
            reserved: crate::resources::Resources::ZERO,
            phase: Phase::Confirmed,
            started_at: now,
            origin: Origin::Adopted,
            start_until_ms: 0,
            closed_at: Some(now),
            stop_sent_at: None,
            progressed_at: now,
            percent: 0,
            checkpoint: None,
            load: 0.0,
            pace_percent: 100,
            is_service: false,
            is_best_effort: false,
            tail_target: None,
        };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.has_begun = true;
            job.open_occurrence(task.step.occurrence, now);
            let team = job.record.team.clone();
            if let Some((step, state)) = job.step_mut(task.step) {
                run = run.with_step(step);
                state.update(task.index, |task| {
                    task.live += 1;
                    task.last_run = task.last_run.max(Some(number));
                    task.is_unknown = false;
                });
            }
            if let Some(team) = team {
                *self.usage.entry(team).or_default() += run.reserved;
            }
            self.unsaved.insert(task.step.job);
        }
        if let Some(it) = self.workers.get_mut(&worker) {
            it.add(key, run);
        }
    }

    fn drop_unlisted(
        &mut self,
        worker: WorkerRef,
        listed: &BTreeSet<RunKey>,
        sent_at: Instant,
        clock_ms: u64,
    ) {
        let Some(it) = self.workers.get(&worker) else {
            return;
        };
        let absent: Vec<RunKey> = it
            .runs
            .iter()
            .filter(|(key, _)| !listed.contains(key))
            .filter(|(_, run)| {
                run.closed_at.is_some_and(|closed_at| closed_at < sent_at)
                    || (run.phase == Phase::Ordered && clock_ms > run.start_until_ms)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            self.drop_run(worker, key, "not there");
        }
    }
}

fn note_failure(task: &mut Task, run: RunNumber, is_service: bool) {
    // The tasks of a service may fail any number of times.
    if !is_service && !task.failed_runs.contains(&run) {
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
        RunEnd::Lapsed => "lease lapsed",
        RunEnd::Broken => "gang broken",
        RunEnd::Alone => "gang incomplete",
    }
}
