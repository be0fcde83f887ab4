//! Calls of an entry that the [`World`] carries out, with the faults between them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::ports::{
    CallError, CommandError, Committed, Conflict, Cordons, Holder, Item, LeaseId, OperatorRequests,
    Operators, Page, PermitService, Put, Recipient, Registry, Revision, StartReply, Store, Txn,
    VmCommandError, Vms, Watched, Workers,
};
use goldcrest_jobs::id::{RunNumber, StepId, TaskId, VmId, WorkerId};
use goldcrest_jobs::pool::permits::PermitGrants;
use goldcrest_jobs::pool::{StartAnswer, StartCommand};
use goldcrest_jobs::upkeep::{Vm, VmState};
use goldcrest_jobs::worker::{Report, WorkerInfo};
use goldcrest_types::names::PoolName;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::grid::{StoreFault, World};

/// The latency of a command to a worker.
const COMMAND_DELAY: Duration = Duration::from_millis(2);

/// Carries out one entry's calls. Implements the ports of `goldcrest-grid`; a call that is dropped is not carried out further.
#[derive(Clone)]
pub(crate) struct Direct {
    pub(crate) world: Rc<World>,
    pub(crate) entry: Box<str>,
}

impl Direct {
    /// Delays a call to the store by the store's latency, or fails it as the entry's fault says.
    async fn reach_store(&self, within: Duration) -> Result<(), CallError> {
        match self.world.fault(&self.entry) {
            StoreFault::Refuses => Err(CallError::NotDone("refused".into())),
            StoreFault::Silent => {
                sleep(within).await;
                Err(CallError::Unknown("silent".into()))
            }
            StoreFault::Resets => Err(CallError::Unknown("reset".into())),
            _ => {
                sleep(self.world.delay.get()).await;
                let ended = self.world.table.borrow_mut().expire(Instant::now());
                if ended {
                    self.world.changed.notify_waiters();
                }
                Ok(())
            }
        }
    }

    fn apply(&self, txn: &Txn) -> Result<Committed, CallError> {
        let stored = self.world.catalogue.borrow().clone();
        let is_outdated = txn.expect_catalogue.is_some_and(|revision| {
            stored
                .as_ref()
                .is_none_or(|stored| stored.revision != revision)
        });
        let mut table = self.world.table.borrow_mut();
        if is_outdated {
            let expected = txn.expect.iter();
            return Ok(Committed::Conflict(Conflict {
                items: expected
                    .filter_map(|(key, _)| table.get(key).cloned())
                    .collect(),
                catalogue: stored,
            }));
        }
        match table.commit(txn, Instant::now()) {
            Ok(revision) => {
                self.world.changed.notify_waiters();
                Ok(Committed::Done(revision))
            }
            Err(Some(items)) => Ok(Committed::Conflict(Conflict {
                items,
                catalogue: None,
            })),
            Err(None) => Err(CallError::LeaseEnded),
        }
    }

    /// Waits until `poll` returns a value, at most for `wait`.
    async fn wait_for<T>(&self, wait: Duration, poll: impl Fn() -> Option<T>) -> Option<T> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.world.changed.notified();
            if let Some(found) = poll() {
                return Some(found);
            }
            let expiry = self.world.table.borrow().next_expiry();
            let next = expiry.map_or(until, |expiry| expiry.min(until));
            let left = next.saturating_duration_since(Instant::now());
            // Both a change and the expiry of a lease can make `poll` return a value.
            let _ = timeout(left.max(Duration::from_millis(1)), changed).await;
            self.world.table.borrow_mut().expire(Instant::now());
            if Instant::now() >= until {
                return poll();
            }
        }
    }

    /// Leaves a reading of the operators' requests without an answer if the entry's fault says so.
    async fn reach_requests(&self, within: Duration) -> Result<(), CallError> {
        if self.world.has_requests(&self.entry) {
            return Ok(());
        }
        sleep(within).await;
        Err(CallError::Unknown("silent".into()))
    }

    async fn reach_worker(&self, worker: &WorkerId, within: Duration) -> bool {
        if self.world.is_reachable(&self.entry, worker) {
            sleep(COMMAND_DELAY).await;
            true
        } else {
            sleep(within).await;
            false
        }
    }
}

impl Store for Direct {
    async fn read(&self, key: &str, within: Duration) -> Result<Option<Item>, CallError> {
        self.reach_store(within).await?;
        Ok(self.world.table.borrow().get(key).cloned())
    }

    async fn list(
        &self,
        prefix: &str,
        _after: Option<&str>,
        _is_stale: bool,
        within: Duration,
    ) -> Result<Page, CallError> {
        self.reach_store(within).await?;
        Ok(self.world.table.borrow().list(prefix))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, CallError> {
        self.reach_store(wait).await?;
        // A waiting watch fails when the history is removed.
        let poll = || match self.world.table.borrow().since(prefix, after) {
            Some(found) => (!found.changes.is_empty()).then_some(Ok(found)),
            None => Some(Err(CallError::HistoryGone)),
        };
        let found = self.wait_for(wait, poll).await;
        if self.world.fault(&self.entry) == StoreFault::Silent {
            sleep(wait).await;
            return Err(CallError::Unknown("silent".into()));
        }
        let unchanged = || Watched {
            changes: Vec::new(),
            revision: self.world.table.borrow().revision(),
        };
        found.unwrap_or_else(|| Ok(unchanged()))
    }

    async fn commit(&self, txn: &Txn, within: Duration) -> Result<Committed, CallError> {
        self.reach_store(within).await?;
        match self.world.fault(&self.entry) {
            StoreFault::LosesAnswers => {
                self.apply(txn)?;
                sleep(within).await;
                Err(CallError::Unknown("the answer was lost".into()))
            }
            StoreFault::CarriesOutLate(after) => {
                let (delayed, txn) = (self.clone(), txn.clone());
                tokio::task::spawn_local(async move {
                    sleep(after).await;
                    // The call has timed out, so nobody receives the answer.
                    let _ = delayed.apply(&txn);
                });
                sleep(within).await;
                Err(CallError::Unknown("carried out late".into()))
            }
            _ => self.apply(txn),
        }
    }

    async fn open_lease(
        &self,
        ttl: Duration,
        within: Duration,
    ) -> Result<(LeaseId, Duration), CallError> {
        self.reach_store(within).await?;
        let mut table = self.world.table.borrow_mut();
        Ok((table.open_lease(ttl, Instant::now()), ttl))
    }

    async fn renew_lease(&self, lease: LeaseId, within: Duration) -> Result<Duration, CallError> {
        self.reach_store(within).await?;
        let mut table = self.world.table.borrow_mut();
        let renewed = table.renew_lease(lease, Instant::now());
        renewed.ok_or(CallError::LeaseEnded)
    }

    async fn end_lease(&self, lease: LeaseId, within: Duration) -> Result<(), CallError> {
        self.reach_store(within).await?;
        self.world.table.borrow_mut().end_lease(lease);
        self.world.changed.notify_waiters();
        Ok(())
    }
}

impl Operators for Direct {
    async fn read_requests(&self, within: Duration) -> Result<OperatorRequests, CallError> {
        self.reach_store(within).await?;
        self.reach_requests(within).await?;
        let cordons = self.world.cordons.borrow();
        let mut cordoned = BTreeSet::new();
        for (_, dc, is_cordoned) in cordons.iter() {
            if *is_cordoned {
                cordoned.insert(dc.clone());
            } else {
                cordoned.remove(dc);
            }
        }
        Ok(OperatorRequests {
            cordons: Cordons::All(cordoned),
            ..self.orders(Revision(0))
        })
    }

    async fn watch_requests(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<OperatorRequests, CallError> {
        self.reach_store(wait).await?;
        let poll = || {
            if self.world.table.borrow().is_compacted(after) {
                return Some(Err(CallError::HistoryGone));
            }
            let orders = self.orders(after);
            let has_changes = orders.catalogue.is_some()
                || !orders.waves.is_empty()
                || !orders.cordons.is_unchanged();
            has_changes.then_some(Ok(orders))
        };
        let found = self.wait_for(wait, poll).await;
        self.reach_store(wait).await?;
        self.reach_requests(wait).await?;
        found.unwrap_or_else(|| Ok(self.orders(self.world.table.borrow().revision())))
    }

    fn wave_status(&self, wave: u64, is_completed: bool) -> Put {
        Put {
            key: format!("shown/wave/{wave}").into(),
            value: vec![u8::from(is_completed)],
            lease: None,
        }
    }
}

impl Direct {
    fn orders(&self, after: Revision) -> OperatorRequests {
        let catalogue = self.world.catalogue.borrow().clone();
        let waves = self.world.waves.borrow();
        let cordons = self.world.cordons.borrow();
        OperatorRequests {
            catalogue: catalogue.filter(|stored| stored.revision > after),
            waves: waves
                .iter()
                .filter(|wave| wave.revision > after)
                .cloned()
                .collect(),
            cordons: Cordons::Changed(
                cordons
                    .iter()
                    .filter(|(revision, ..)| *revision > after.0)
                    .map(|(_, dc, is_cordoned)| (dc.clone(), *is_cordoned))
                    .collect(),
            ),
            revision: self.world.table.borrow().revision(),
        }
    }
}

impl Registry for Direct {
    async fn workers(&self, within: Duration) -> Result<Vec<(PoolName, WorkerInfo)>, CallError> {
        self.reach_store(within).await?;
        let (age, now) = (self.world.list_age(&self.entry), Instant::now());
        let mut crew = self.world.crew.borrow_mut();
        crew.settle(now);
        if age.is_zero() {
            return Ok(crew.listed());
        }
        let listed = crew.listed_at(now - age);
        if listed != crew.listed() {
            self.world.count("old list of workers");
        }
        Ok(listed)
    }
}

/// Nobody answers.
struct Silent;

impl Direct {
    /// Carries out a start that has arrived. Returns `None` if nobody answers at its address.
    pub(crate) fn carry_out_start(
        &self,
        to: &Recipient,
        order: &StartCommand,
    ) -> Option<StartReply> {
        let is_silent = self.world.crew.borrow_mut().is_silent(to, Instant::now());
        (!is_silent).then(|| self.answer_start(to, order))
    }

    /// Carries out a start, if its permit is accepted.
    fn answer_start(&self, to: &Recipient, order: &StartCommand) -> StartReply {
        let now = Instant::now();
        let (step, permit) = (order.task.step, order.permit.as_deref());
        if !self.world.permits.accepts(step, &to.worker, permit, now) {
            return StartAnswer::NoPermit.into();
        }
        let mut crew = self.world.crew.borrow_mut();
        let before = crew.starts.len();
        let answer = crew.start(to, order, now);
        if let Some(start) = crew.starts.get_mut(before) {
            start.by.clone_from(&self.entry);
        }
        let clock_ms = crew.clock_ms(&to.worker, now);
        drop(crew);
        if answer == StartAnswer::WrongWorker {
            self.world.count("answered by another worker");
        }
        self.world.changed.notify_waiters();
        StartReply {
            answer,
            clock_ms: clock_ms.filter(|_| answer != StartAnswer::Unknown),
        }
    }

    /// Carries out a stop that has arrived. Returns `None` if nobody answers at its address.
    pub(crate) fn carry_out_stop(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
    ) -> Option<Result<(), CommandError>> {
        let now = Instant::now();
        let mut crew = self.world.crew.borrow_mut();
        if crew.is_silent(to, now) {
            return None;
        }
        let answer = crew.stop(to, task, run, now);
        drop(crew);
        if answer == Err(CommandError::WrongWorker) {
            self.world.count("answered by another worker");
        }
        self.world.changed.notify_waiters();
        Some(answer)
    }

    /// Carries out a request for a report that has arrived; it waits on the worker. Returns `None` if nobody answers at its
    /// address, or no longer.
    pub(crate) async fn carry_out_report(
        &self,
        to: &Recipient,
        until_ms: Option<u64>,
        ends_acknowledged: u64,
        wait: Duration,
    ) -> Option<Result<Report, CommandError>> {
        let due_at = Instant::now() + wait;
        let born_at = {
            let mut crew = self.world.crew.borrow_mut();
            if crew.is_silent(to, Instant::now()) {
                return None;
            }
            if let Err(error) = crew.note(to, ends_acknowledged) {
                if error == CommandError::WrongWorker {
                    self.world.count("answered by another worker");
                }
                return Some(Err(error));
            }
            crew.born_at(&to.worker)
        };
        let mut until_ms = until_ms;
        loop {
            let now = Instant::now();
            // The lease is extended when the request arrives.
            let until_ms = until_ms.take();
            match self.poll_report(to, born_at, until_ms, now >= due_at, now) {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) => {}
                Err(Silent) => return None,
            }
            sleep(REPORT_POLL_INTERVAL.min(due_at.saturating_duration_since(now))).await;
        }
    }

    /// The answer to a waiting request for a report, once there is one.
    fn poll_report(
        &self,
        to: &Recipient,
        born_at: Option<Instant>,
        until_ms: Option<u64>,
        is_due: bool,
        now: Instant,
    ) -> Result<Option<Result<Report, CommandError>>, Silent> {
        let mut crew = self.world.crew.borrow_mut();
        if crew.is_silent(to, now) {
            return Err(Silent);
        }
        if crew.born_at(&to.worker) != born_at {
            return if crew.has_crashed_silently(&to.worker) {
                Err(Silent)
            } else {
                Ok(Some(Err(CommandError::Unknown("reset".into()))))
            };
        }
        Ok(crew.report(to, until_ms, is_due, now).transpose())
    }
}

impl Workers for Direct {
    async fn start(&self, to: &Recipient, order: &StartCommand, within: Duration) -> StartReply {
        if !self.reach_worker(&to.worker, within).await {
            return StartAnswer::Unknown.into();
        }
        if let Some(delay) = self.world.command_delay(&self.entry) {
            let (world, to, order) = (Rc::clone(&self.world), to.clone(), order.clone());
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                let mut crew = world.crew.borrow_mut();
                // The answer is lost.
                let _ = crew.start(&to, &order, Instant::now());
            });
            sleep(within).await;
            return StartAnswer::Unknown.into();
        }
        self.answer_start(to, order)
    }

    async fn stop(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        within: Duration,
    ) -> Result<(), CommandError> {
        if !self.reach_worker(&to.worker, within).await {
            return Err(CommandError::Unknown("cut off".into()));
        }
        let mut crew = self.world.crew.borrow_mut();
        let answer = crew.stop(to, task, run, Instant::now());
        drop(crew);
        self.world.changed.notify_waiters();
        answer
    }

    async fn throttle(
        &self,
        to: &Recipient,
        _task: TaskId,
        _run: RunNumber,
        _percent: u32,
        within: Duration,
    ) -> Result<(), CommandError> {
        if self.reach_worker(&to.worker, within).await {
            Ok(())
        } else {
            Err(CommandError::Unknown("cut off".into()))
        }
    }

    async fn report(
        &self,
        to: &Recipient,
        until_ms: Option<u64>,
        ends_acknowledged: u64,
        wait: Duration,
        within: Duration,
    ) -> Result<Report, CommandError> {
        if !self.reach_worker(&to.worker, within).await {
            return Err(CommandError::Unknown("cut off".into()));
        }
        if let Some(delay) = self.world.command_delay(&self.entry) {
            let (world, to) = (Rc::clone(&self.world), to.clone());
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                let mut crew = world.crew.borrow_mut();
                if crew.note(&to, ends_acknowledged).is_ok() {
                    // The answer is lost.
                    let _ = crew.report(&to, until_ms, true, Instant::now());
                }
            });
            sleep(within).await;
            return Err(CommandError::Unknown("timed out".into()));
        }
        let due_at = Instant::now() + wait;
        let timeout_at = Instant::now() + within;
        self.world.crew.borrow_mut().note(to, ends_acknowledged)?;
        let born_at = self.world.crew.borrow().born_at(&to.worker);
        loop {
            if self.world.crew.borrow().born_at(&to.worker) != born_at {
                if self.world.crew.borrow().has_crashed_silently(&to.worker) {
                    sleep(timeout_at.saturating_duration_since(Instant::now())).await;
                    return Err(CommandError::Unknown("timed out".into()));
                }
                return Err(CommandError::Unknown("reset".into()));
            }
            let now = Instant::now();
            let is_due = now >= due_at;
            let report = {
                let mut crew = self.world.crew.borrow_mut();
                crew.report(to, until_ms, is_due, now)
            }?;
            if let Some(report) = report {
                if self.world.is_reachable(&self.entry, &to.worker) {
                    return Ok(report);
                }
                sleep(timeout_at.saturating_duration_since(now)).await;
                return Err(CommandError::Unknown("cut off".into()));
            }
            sleep(REPORT_POLL_INTERVAL.min(due_at.saturating_duration_since(now))).await;
        }
    }
}

/// The interval at which a waiting report polls for ends of runs.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Vms for Direct {
    async fn vms(&self, within: Duration) -> Result<BTreeMap<VmId, Vm>, CallError> {
        self.reach_store(within).await?;
        Ok(self.world.vms.borrow().clone())
    }

    async fn move_vm(
        &self,
        _by: &Holder,
        vm: &VmId,
        pool: &PoolName,
        _within: Duration,
    ) -> Result<(), VmCommandError> {
        let mut vms = self.world.vms.borrow_mut();
        let vm = vms.get_mut(vm).ok_or(VmCommandError::Invalid)?;
        vm.pool = pool.clone();
        Ok(())
    }

    async fn maintain_vm(
        &self,
        _by: &Holder,
        vm: &VmId,
        wave: u64,
        _within: Duration,
    ) -> Result<(), VmCommandError> {
        let mut vms = self.world.vms.borrow_mut();
        let listed = vms.get_mut(vm).ok_or(VmCommandError::Invalid)?;
        if listed.state != VmState::Up {
            return Err(VmCommandError::Busy);
        }
        listed.state = VmState::InMaintenance;
        drop(vms);
        self.world.maintained.borrow_mut().push((vm.clone(), wave));
        Ok(())
    }
}

impl PermitService for Direct {
    async fn permits(
        &self,
        step: StepId,
        workers: &[WorkerId],
        within: Duration,
    ) -> Result<PermitGrants, CallError> {
        let permits = &self.world.permits;
        if !permits.ask(step, workers) {
            sleep(within).await;
            return Err(CallError::Unknown("silent".into()));
        }
        let answered_at = permits.process(workers.len(), Instant::now());
        permits.begin();
        let answered = timeout(within, sleep_until(answered_at)).await;
        permits.end();
        if answered.is_err() {
            return Err(CallError::Unknown("no answer in time".into()));
        }
        Ok(permits.grant(step, workers, Instant::now()))
    }
}
