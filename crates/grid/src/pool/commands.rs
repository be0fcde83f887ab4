//! Plans, and sends the resulting commands to workers and to the permit service.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::{StepId, TaskId, WorkerRef};
use goldcrest_jobs::pool::permits::PermitReply;
use goldcrest_jobs::pool::{Command, START_ATTEMPTS, StartAnswer, StartCommand};
use goldcrest_jobs::worker::{Contact, millis};
use tokio::task::JoinSet;

use crate::pool::Scheduler;
use crate::ports::{CommandError, Platform};

/// The minimum time between two plans. Facts that arrive within it share a plan.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(4);

/// The pause after a plan, as a multiple of the time that the plan took: commands and reports of a large pool need
/// processor time too.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// The upper limit of the pause after a plan.
const PLAN_PAUSE_MAX: Duration = Duration::from_millis(100);

/// The maximum time between two plans. Some decisions depend on the time alone.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(400);

/// The timeout of one attempt to start a run. A worker answers in a few milliseconds.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limit for storing, before a start is sent, that the job may run on the worker.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);

/// The timeout of a stop or a throttle command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Platform> Scheduler<P> {
    pub(super) async fn plan_and_send(self: Rc<Self>) {
        let mut sending: JoinSet<()> = JoinSet::new();
        loop {
            // On a timeout, plans for what only the time has changed.
            let _ = tokio::time::timeout(PLAN_INTERVAL_MAX, self.replan.notified()).await;
            let began_at = self.now();
            if self.may_send_commands() && self.are_assigned_workers_stored() {
                let orders = self
                    .pool
                    .borrow_mut()
                    .plan(self.now(), self.entry.wall_ms());
                self.log_events();
                for order in orders {
                    sending.spawn_local(Rc::clone(&self).send(order));
                }
                if !self.pool.borrow().unsaved().is_empty() {
                    self.unsaved.notify_one();
                }
                if !self.pool.borrow().shortfall().is_empty() {
                    self.share_needed.notify_one();
                }
                self.status_changed.notify_one();
            }
            while sending.try_join_next().is_some() {}
            let took = self.now().saturating_duration_since(began_at);
            let pause = (took * PLAN_PAUSE_FACTOR).clamp(PLAN_INTERVAL_MIN, PLAN_PAUSE_MAX);
            tokio::time::sleep(pause).await;
        }
    }

    async fn send(self: Rc<Self>, order: Command) {
        match order {
            Command::Start(order) => self.send_start(order).await,
            Command::Stop {
                worker, task, run, ..
            } => {
                let Some(to) = self.recipient(worker) else {
                    return;
                };
                let answer = self
                    .entry
                    .platform
                    .stop(&to, task, run, COMMAND_TIMEOUT)
                    .await;
                let now = self.now();
                match answer {
                    Ok(()) => self
                        .pool
                        .borrow_mut()
                        .stop_confirmed(worker, task, run, now),
                    Err(error) => self.handle_command_error(worker, "stop", &error),
                }
            }
            Command::Throttle {
                worker,
                task,
                run,
                percent,
            } => {
                let Some(to) = self.recipient(worker) else {
                    return;
                };
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = to.worker, percent; "Best-effort task throttled.");
                let paced = self
                    .entry
                    .platform
                    .throttle(&to, task, run, percent, COMMAND_TIMEOUT);
                if let Err(error) = paced.await {
                    self.handle_command_error(worker, "pace", &error);
                }
            }
            Command::QueryPermits(query) => self.request_permits(query.step).await,
        }
    }

    /// Sends a query that was planned for `step`, once no other scheduler of this entry has one pending: the service
    /// processes the queries of a machine one after the other.
    async fn request_permits(&self, step: StepId) {
        let _turn = self.entry.permit_turn.lock().await;
        if !self.may_send_commands() {
            self.pool.borrow_mut().withdraw_query(step);
            return;
        }
        let sent_at = self.now();
        let Some(query) = self.pool.borrow_mut().renew_query(step, sent_at) else {
            return;
        };
        let (step, asked) = (query.step, query.workers.len());
        let platform = &self.entry.platform;
        let result = platform.permits(step, &query.workers, query.timeout).await;
        let now = self.now();
        let took_ms = millis(now.saturating_duration_since(sent_at));
        let (grants, error) = match result {
            Ok(grants) => (Some(grants), None),
            Err(error) => (None, Some(error)),
        };
        let granted = grants.as_ref().map(|grants| grants.by_worker.len());
        let reply = self
            .pool
            .borrow_mut()
            .permits_answered(step, grants, sent_at, now);
        let job = step.job;
        match (error, reply) {
            (Some(error), _) => {
                log::warn!(target: "scheduler", job:%, step:%, asked, took_ms, timeout_ms = millis(query.timeout), error:%; "No reply about placement permits.");
            }
            (None, PermitReply::Late) => {
                log::warn!(target: "scheduler", job:%, step:%, asked, granted, took_ms; "Placement permits came too late to be used.");
            }
            (None, PermitReply::Usable | PermitReply::None) => {
                log::info!(target: "scheduler", job:%, step:%, asked, granted, took_ms; "Placement permits received.");
            }
        }
        self.replan.notify_one();
    }

    async fn send_start(&self, order: StartCommand) {
        let mut answer = StartAnswer::Unknown;
        let mut is_sent = false;
        if !self.wait_recorded(&order).await {
            // Not sent: a later scheduler would not know that the job may run on this worker.
            self.start_answered(&order, StartAnswer::TooLate);
            return;
        }
        // A worker that a suspect task has crashed may be back when the start is repeated.
        let attempts = if self.pool.borrow().is_suspect(order.task) {
            1
        } else {
            START_ATTEMPTS
        };
        for _ in 0..attempts {
            let Some(to) = self.recipient(order.worker) else {
                break;
            };
            if is_sent && !self.pool.borrow().may_execute(&order) {
                // A report has accounted for it, and its task may have been started elsewhere.
                break;
            }
            if !self.may_send_commands() {
                if !is_sent {
                    answer = StartAnswer::TooLate;
                }
                break;
            }
            if !is_sent && self.pool.borrow().is_withheld(&order) {
                answer = StartAnswer::Cordoned;
                break;
            }
            if !self.is_responding(order.worker) {
                // It may be back as another incarnation, of which the plan knew nothing.
                if !is_sent {
                    answer = StartAnswer::Unhealthy;
                }
                break;
            }
            let sent_at = self.now();
            self.pool.borrow_mut().start_sent(order.worker, sent_at);
            let reply = self.entry.platform.start(&to, &order, START_TIMEOUT).await;
            let sent = reply.answer;
            if sent == StartAnswer::Unknown {
                let now = self.now();
                let mut pool = self.pool.borrow_mut();
                pool.start_unanswered(order.worker, &to.worker, order.task, order.run, now);
            }
            if let Some(clock_ms) = reply.clock_ms.filter(|_| sent == StartAnswer::Started) {
                let now = self.now();
                let mut pool = self.pool.borrow_mut();
                pool.start_clock_read(order.worker, order.task, order.run, clock_ms, now);
            }
            answer = if is_sent {
                sent.after_lost_reply()
            } else {
                sent
            };
            is_sent = true;
            if answer != StartAnswer::Unknown {
                break;
            }
        }
        self.start_answered(&order, answer);
    }

    fn is_responding(&self, worker: WorkerRef) -> bool {
        let pool = self.pool.borrow();
        let known = pool.worker(worker);
        known.is_some_and(|known| known.contact == Contact::Responding)
    }

    /// Waits until the start is stored with the job: its task and worker and, if its task is suspect, the run. Returns
    /// `false` after [`RECORD_TIMEOUT`].
    async fn wait_recorded(&self, order: &StartCommand) -> bool {
        let recorded = async {
            loop {
                let saved = self.batch_saved.notified();
                if self.is_recorded(order) {
                    return;
                }
                saved.await;
            }
        };
        if self.is_recorded(order) {
            return true;
        }
        self.unsaved.notify_one();
        tokio::time::timeout(RECORD_TIMEOUT, recorded).await.is_ok()
    }

    /// Whether the start is stored with the job.
    fn is_recorded(&self, order: &StartCommand) -> bool {
        let id = order.task.step.job;
        let pool = self.pool.borrow();
        let Some(worker) = pool.worker(order.worker) else {
            return false;
        };
        let recorded = self.recorded_starts.borrow();
        let TaskId { step, index } = order.task;
        let run = (step.occurrence, step.step, index, order.run);
        recorded.get(&id).is_some_and(|recorded| {
            let is_run_recorded =
                !pool.is_suspect(order.task) || recorded.unreported.contains(&run);
            let is_start_recorded = !pool.is_start_open(order.task, &worker.info.id)
                || recorded.has_start(order.task, &worker.info.id);
            recorded.workers.contains(&worker.info.id) && is_run_recorded && is_start_recorded
        })
    }

    fn start_answered(&self, order: &StartCommand, answer: StartAnswer) {
        if answer != StartAnswer::Started {
            log::warn!(target: "scheduler", task:% = order.task, run:% = order.run, worker = &*self.worker_name(order.worker), answer:?; "Task not started.");
        }
        let now = self.now();
        self.pool
            .borrow_mut()
            .start_answered(order.worker, order.task, order.run, answer, now);
        if self.pool.borrow().is_fenced_out() {
            self.step_down("a worker has seen a higher token");
        }
        if answer != StartAnswer::Started {
            self.log_events();
            self.replan.notify_one();
        }
    }

    fn handle_command_error(&self, worker: WorkerRef, order: &'static str, error: &CommandError) {
        log::warn!(target: "scheduler", order, worker = &*self.worker_name(worker), error:?; "A command to a worker failed.");
        let has_departed = {
            let pool = self.pool.borrow();
            pool.worker(worker).is_none_or(|known| known.has_departed)
        };
        match error {
            // A later incarnation refuses commands to this one by the token that it has got from this scheduler.
            CommandError::Fenced if has_departed => {}
            CommandError::Fenced => self.step_down("a worker has seen a higher token"),
            CommandError::WrongWorker => {
                let now = self.now();
                self.pool.borrow_mut().worker_replaced(worker, now);
                self.replan.notify_one();
            }
            // The run has ended or the worker does not answer; the next report shows which.
            CommandError::Refused(_) | CommandError::Unknown(_) | CommandError::NotSent(_) => {}
        }
    }
}
