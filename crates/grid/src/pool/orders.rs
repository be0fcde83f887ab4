//! Plans, and sends the orders that come of it.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::{StepId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::{Order, StartAnswer, StartOrder};
use goldcrest_jobs::worker::millis;
use tokio::task::JoinSet;

use crate::pool::Scheduler;
use crate::ports::{OrderError, Platform};

/// The least time between two plans. Facts that arrive together are planned for together.
const PLAN_GAP: Duration = Duration::from_millis(4);

/// The pause after a plan lasts this many times as long as the plan took, so that the orders and reports of a large pool
/// get their share of the processor.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// The longest pause after a plan.
const PLAN_PAUSE_MAX: Duration = Duration::from_millis(100);

/// A plan is made at least this often, for what only the time changes.
const PLAN_EVERY: Duration = Duration::from_millis(400);

/// How long a start may take. A worker answers in a few milliseconds.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a start is sent again that had no answer. Repeating it on the same worker is harmless.
const START_ATTEMPTS: u32 = 2;

/// How long the note that a job may run on a worker may take to be stored.
const NOTE_WAIT: Duration = Duration::from_millis(900);

/// How long the answer to a question about permits may take. It takes its time for each worker and waits for its turn.
const PERMITS_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a stop or a change of pace may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Platform> Scheduler<P> {
    pub(super) async fn plan_orders(self: Rc<Self>) {
        let mut sending: JoinSet<()> = JoinSet::new();
        loop {
            // A plan is due now and then even if nothing was reported.
            let _ = tokio::time::timeout(PLAN_EVERY, self.replan.notified()).await;
            let began_at = self.now();
            if self.may_order() && self.is_crew_stored() {
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
                if !self.pool.borrow().short().is_empty() {
                    self.share_needed.notify_one();
                }
                self.status_changed.notify_one();
            }
            while sending.try_join_next().is_some() {}
            let took = self.now().saturating_duration_since(began_at);
            let pause = (took * PLAN_PAUSE_FACTOR).clamp(PLAN_GAP, PLAN_PAUSE_MAX);
            tokio::time::sleep(pause).await;
        }
    }

    async fn send(self: Rc<Self>, order: Order) {
        match order {
            Order::Start(order) => self.send_start(order).await,
            Order::Stop {
                worker, task, run, ..
            } => {
                let Some(to) = self.recipient(worker) else {
                    return;
                };
                let answer = self
                    .entry
                    .platform
                    .stop(&to, task, run, ORDER_TIMEOUT)
                    .await;
                let now = self.now();
                match answer {
                    Ok(()) => self
                        .pool
                        .borrow_mut()
                        .stop_confirmed(worker, task, run, now),
                    Err(error) => self.after_refusal(worker, "stop", &error),
                }
            }
            Order::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                let Some(to) = self.recipient(worker) else {
                    return;
                };
                log::info!(target: "scheduler", task:% = task, run:% = run, worker:% = to.worker, percent; "Best-effort task paced.");
                let paced = self
                    .entry
                    .platform
                    .pace(&to, task, run, percent, ORDER_TIMEOUT);
                if let Err(error) = paced.await {
                    self.after_refusal(worker, "pace", &error);
                }
            }
            Order::AskPermits { step, workers } => self.ask_permits(step, workers).await,
        }
    }

    async fn ask_permits(&self, step: StepId, workers: Vec<WorkerId>) {
        let asked_at = self.now();
        let platform = &self.entry.platform;
        let result = platform.permits(step, &workers, PERMITS_TIMEOUT).await;
        let now = self.now();
        let took_ms = millis(now.saturating_duration_since(asked_at));
        let granted = match result {
            Ok(granted) => {
                log::info!(target: "scheduler", job:% = step.job, step:%, asked = workers.len(), granted = granted.by_worker.len(), took_ms; "Placement permits received.");
                Some(granted)
            }
            Err(error) => {
                log::warn!(target: "scheduler", job:% = step.job, step:%, asked = workers.len(), took_ms, error:%; "No answer about placement permits.");
                None
            }
        };
        self.pool
            .borrow_mut()
            .permits_answered(step, &workers, granted, asked_at, now);
        self.replan.notify_one();
    }

    async fn send_start(&self, order: StartOrder) {
        let mut answer = StartAnswer::Unknown;
        let mut is_sent = false;
        if !self.wait_noted(&order).await {
            // Not sent: a scheduler that came after this one would not know of the worker.
            self.start_answered(&order, StartAnswer::TooLate);
            return;
        }
        for _ in 0..START_ATTEMPTS {
            let Some(to) = self.recipient(order.worker) else {
                break;
            };
            if !self.may_order() {
                if !is_sent {
                    answer = StartAnswer::TooLate;
                }
                break;
            }
            let sent = self.entry.platform.start(&to, &order, START_TIMEOUT).await;
            answer = if is_sent { sent.after_silence() } else { sent };
            is_sent = true;
            if answer != StartAnswer::Unknown {
                break;
            }
        }
        self.start_answered(&order, answer);
    }

    /// Waits until it is stored that the job may run on the worker; `false` if that takes too long.
    async fn wait_noted(&self, order: &StartOrder) -> bool {
        let noted = async {
            loop {
                let saved = self.batch_saved.notified();
                if self.is_noted(order) {
                    return;
                }
                saved.await;
            }
        };
        if self.is_noted(order) {
            return true;
        }
        self.unsaved.notify_one();
        tokio::time::timeout(NOTE_WAIT, noted).await.is_ok()
    }

    /// Whether it is stored that the job may run on the worker.
    fn is_noted(&self, order: &StartOrder) -> bool {
        let id = order.task.step.job;
        let pool = self.pool.borrow();
        let Some(worker) = pool.worker(order.worker) else {
            return false;
        };
        let noted = self.noted_workers.borrow();
        noted
            .get(&id)
            .is_some_and(|workers| workers.contains(&worker.info.id))
    }

    fn start_answered(&self, order: &StartOrder, answer: StartAnswer) {
        if answer != StartAnswer::Started {
            log::warn!(target: "scheduler", task:% = order.task, run:% = order.run, worker:% = order.worker, answer:?; "Task not started.");
        }
        let now = self.now();
        self.pool
            .borrow_mut()
            .start_answered(order.worker, order.task, order.run, answer, now);
        if self.pool.borrow().is_fenced_out() {
            self.lose("a worker has seen a higher token");
        }
        if answer != StartAnswer::Started {
            self.log_events();
            self.replan.notify_one();
        }
    }

    fn after_refusal(&self, worker: WorkerRef, order: &'static str, error: &OrderError) {
        log::warn!(target: "scheduler", order, worker:% = worker, error:?; "Order without success.");
        match error {
            OrderError::Fenced => self.lose("a worker has seen a higher token"),
            OrderError::WrongWorker => {
                self.pool.borrow_mut().replaced(worker);
                self.replan.notify_one();
            }
            // The run has ended, or the worker does not answer: the next report shows it.
            OrderError::Refused(_) | OrderError::Unknown(_) | OrderError::NotSent(_) => {}
        }
    }
}
