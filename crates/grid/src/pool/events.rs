//! Writes the pool's events to the log and the metrics.

use std::time::Duration;

use goldcrest_jobs::id::{JobId, RunNumber, TaskId};
use goldcrest_jobs::pool::{Event, FoundRun, LostRun};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::suspect::{Exposure, UnreportedRun};
use goldcrest_jobs::worker::millis;
use goldcrest_obs::logs::VERDICT;
use goldcrest_types::names::TeamName;

use crate::pool::Scheduler;
use crate::ports::Platform;

/// What a task belongs to. Texts are empty if the job is not known.
struct Origin {
    team: Option<Box<str>>,
    queue: Box<str>,
    image: Box<str>,
}

impl<P: Platform> Scheduler<P> {
    pub(super) fn log_events(&self) {
        let events = self.pool.borrow_mut().take_events();
        for event in events {
            self.log_event(event);
        }
    }

    fn log_event(&self, event: Event) {
        match event {
            Event::Started {
                worker,
                task,
                run,
                started_ms,
                room,
                waited,
            } => {
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, started_ms, room:% = room, waited_ms = millis(waited), token:% = self.held.token(); "Task started.");
                self.observe_wait(task, run, waited);
            }
            Event::Ended {
                worker,
                task,
                run,
                started_ms,
                how,
            } => {
                self.entry.metrics.run_ended(self.name.as_str(), how);
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, started_ms, how; "Run ended.");
            }
            Event::Found(found) => self.log_found(&found),
            Event::AwaitEnded {
                worker,
                how,
                stored_ms,
                started_ms,
            } => {
                log::info!(target: "scheduler", worker:% = worker, how, stored_ms, started_ms, pool:% = self.name; "The takeover no longer waits for the worker.");
            }
            Event::Stopped {
                worker,
                task,
                reason,
            } => {
                log::info!(target: "scheduler", task:% = task, worker:% = worker, reason:?; "Run stopped.");
            }
            Event::JobEnded {
                job,
                state,
                took,
                objective,
            } => {
                self.observe_completion(job, took);
                log::info!(target: VERDICT, job:% = job, state:?, took_ms = millis(took), objective_ms = millis(objective); "Job ended.");
            }
            Event::RunLost(lost) => self.log_lost(&lost),
            Event::Unreported { task, run, change } => {
                log::info!(target: VERDICT, task:% = task, run:% = run, change, pool:% = self.name; "Unreported run changed.");
            }
            Event::FateKnown { worker, task, fate } => {
                log::info!(target: VERDICT, task:% = task, worker:% = worker, fate:?, pool:% = self.name; "Fate of a lost worker known.");
            }
            Event::GivenUp { task, runs, took } => self.log_given_up(task, &runs, took),
            Event::Withheld { task, runs } => self.log_withheld(task, &runs),
            Event::Unfit {
                job,
                step,
                demand,
                most,
            } => {
                log::warn!(target: "scheduler", job:% = job, step, demand:% = demand, most:% = most, pool:% = self.name; "Job waits: no worker could run one of its steps; add a worker with that room and label, or cancel it.");
            }
            Event::AboveLimit {
                job,
                step,
                demand,
                limit,
            } => self.log_above_limit(job, step, demand, limit),
            Event::AttemptsUnknown { job } => {
                log::warn!(target: "scheduler", job:% = job, pool:% = self.name; "Job waits: a task of it has failed, and its queue is not in the catalogue; add the queue again, or cancel the job.");
            }
            Event::CordonsChanged { dcs, workers } => {
                let dcs: Vec<String> = dcs.iter().map(ToString::to_string).collect();
                log::info!(target: "scheduler", pool:% = self.name, dcs = dcs.join(" "), workers; "Cordoned data centres changed: nothing is started on their workers.");
            }
            Event::Worker {
                worker,
                state,
                runs,
                lease_until_ms,
                clock_ms,
                started_ms,
                token,
            } => {
                let token = token.map(|token| token.0);
                log::info!(target: "scheduler", worker:% = worker, pool:% = self.name, state, runs, lease_until_ms, clock_ms, started_ms, token; "Worker's state changed.");
            }
        }
    }

    fn log_above_limit(&self, job: JobId, step: u32, demand: Resources, limit: Resources) {
        log::warn!(target: "scheduler", job:% = job, step, demand:% = demand, limit:% = limit, pool:% = self.name; "Job waits: one of its steps exceeds its team's upper limit; raise the limit, or cancel the job.");
    }

    /// Observes how long a job has waited, if this is its first run.
    fn observe_wait(&self, task: TaskId, run: RunNumber, waited: Duration) {
        let pool = self.pool.borrow();
        if run == RunNumber::FIRST
            && task.index == 0
            && task.step.step == 0
            && let Some(job) = pool.jobs().get(&task.step.job)
        {
            let team = job.record.team.as_ref().map(TeamName::as_str);
            self.entry
                .metrics
                .started(team, job.queue().as_str(), waited);
        }
    }

    fn observe_completion(&self, job: JobId, took: Duration) {
        let pool = self.pool.borrow();
        if let Some(ended) = pool.jobs().get(&job) {
            let team = ended.record.team.as_ref().map(TeamName::as_str);
            self.entry.metrics.ended(team, ended.queue().as_str(), took);
        }
    }

    fn log_found(&self, found: &FoundRun) {
        let FoundRun {
            worker,
            started_ms,
            task,
            run,
            last_run,
            is_double,
        } = found;
        let last_run = last_run.map(|run| run.0);
        log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, started_ms = *started_ms, last_run, pool:% = self.name; "Run found on a worker.");
        if *is_double {
            self.entry.metrics.double_run(self.name.as_str());
            log::error!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, pool:% = self.name; "A task may be executing on two workers.");
        }
    }

    fn log_lost(&self, lost: &LostRun) {
        let LostRun {
            worker,
            task,
            run,
            started_ms,
            execution,
            exposure,
            beside,
            unreported,
        } = lost;
        let origin = self.origin(*task);
        if *exposure != Exposure::Established {
            let team = origin.team.as_deref();
            self.entry.metrics.suspect_loss(team, &origin.queue);
        }
        log::warn!(target: VERDICT, task:% = task, run:% = run, worker:% = worker, started_ms = *started_ms, execution:?, exposure:?, beside, unreported, queue = origin.queue, image = origin.image, pool:% = self.name; "Run lost with its worker.");
    }

    fn log_given_up(&self, task: TaskId, runs: &[UnreportedRun], took: Duration) {
        let origin = self.origin(task);
        let team = origin.team.as_deref();
        self.entry.metrics.job_given_up(team, &origin.queue);
        let workers: Vec<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
        let counted: Vec<String> = runs.iter().map(ToString::to_string).collect();
        log::error!(target: VERDICT, job:% = task.step.job, task:% = task, workers = workers.join(" "), crashes = runs.iter().filter(|run| run.is_crash()).count(), runs = counted.join(", "), queue = origin.queue, image = origin.image, took_ms = millis(took), pool:% = self.name; "Job given up: a task of it crashes the workers that start it.");
    }

    fn log_withheld(&self, task: TaskId, runs: &[UnreportedRun]) {
        let origin = self.origin(task);
        let counted: Vec<String> = runs.iter().map(ToString::to_string).collect();
        log::error!(target: VERDICT, job:% = task.step.job, task:% = task, crashes = runs.iter().filter(|run| run.is_crash()).count(), runs = counted.join(", "), queue = origin.queue, image = origin.image, pool:% = self.name; "Task withheld: it may crash the workers that start it, and its job has an availability budget; cancel the job, or replace its image.");
    }

    /// What a task belongs to, for logs and metrics.
    fn origin(&self, task: TaskId) -> Origin {
        let pool = self.pool.borrow();
        let job = pool.jobs().get(&task.step.job);
        let step = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        Origin {
            team: job.and_then(|job| job.record.team.as_ref().map(|team| team.as_str().into())),
            queue: job.map_or_else(Box::default, |job| job.queue().as_str().into()),
            image: step.and_then(|step| step.image.clone()).unwrap_or_default(),
        }
    }
}
