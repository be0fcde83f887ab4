//! Writes the pool's events to the log and the metrics.

use goldcrest_jobs::pool::Event;
use goldcrest_jobs::worker::millis;
use goldcrest_types::names::TeamName;

use crate::pool::Scheduler;
use crate::ports::Platform;

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
                room,
                waited,
            } => {
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, room:% = room, waited_ms = millis(waited); "Task started.");
                let pool = self.pool.borrow();
                if run.0 == 1
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
            Event::Ended {
                worker,
                task,
                run,
                how,
            } => {
                self.entry.metrics.run_ended(self.name.as_str(), how);
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, how; "Run ended.");
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
                let pool = self.pool.borrow();
                if let Some(ended) = pool.jobs().get(&job) {
                    let team = ended.record.team.as_ref().map(TeamName::as_str);
                    self.entry.metrics.ended(team, ended.queue().as_str(), took);
                }
                log::info!(target: "scheduler", job:% = job, state:?, took_ms = millis(took), objective_ms = millis(objective); "Job ended.");
            }
            Event::RunLost {
                worker,
                task,
                run,
                exposure,
                beside,
                unreported,
            } => {
                log::warn!(target: "scheduler", task:% = task, run:% = run, worker:% = worker, exposure:?, beside, unreported, pool:% = self.name; "Run lost with its worker.");
            }
            Event::GivenUp { task, runs, took } => {
                let workers: Vec<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
                log::error!(target: "scheduler", job:% = task.step.job, task:% = task, pool:% = self.name, workers = workers.join(" "), runs:?, took_ms = millis(took); "Job given up: a task of it crashes the workers that start it.");
            }
            Event::Unfit {
                job,
                step,
                demand,
                most,
            } => {
                log::warn!(target: "scheduler", job:% = job, step, demand:% = demand, most:% = most, pool:% = self.name; "Job waits: no worker could run one of its steps; add a worker with that room and label, or cancel it.");
            }
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
            } => {
                log::info!(target: "scheduler", worker:% = worker, pool:% = self.name, state, runs, lease_until_ms; "Worker's state changed.");
            }
        }
    }
}
