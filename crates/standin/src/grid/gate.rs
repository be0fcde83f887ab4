//! An entry's access to the [`World`].
//!
//! By default a call is carried out by the task that makes it, and ends with it. Once [`World::carry_out_calls`] was
//! called, the world carries calls out, also if their caller is killed or frozen meanwhile; and commands to workers travel
//! as [`World::set_trips`] says.

use std::collections::BTreeMap;
use std::future::{Future, pending};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::ports::{
    CallError, CommandError, Committed, Holder, Item, LeaseId, OperatorRequests, Operators, Page,
    PermitService, Put, Recipient, Registry, Revision, StartReply, Store, Txn, VmCommandError, Vms,
    Watched, Workers,
};
use goldcrest_jobs::id::{RunNumber, StepId, TaskId, VmId, WorkerId};
use goldcrest_jobs::pool::permits::PermitGrants;
use goldcrest_jobs::pool::{StartAnswer, StartCommand};
use goldcrest_jobs::upkeep::Vm;
use goldcrest_jobs::worker::{Report, WorkerInfo};
use goldcrest_types::names::PoolName;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::grid::World;
use crate::grid::direct::Direct;
use crate::grid::trips::{CommandKind, Trip};

/// One entry's access to the world. Implements the ports of `goldcrest-grid`.
pub struct Gate {
    direct: Direct,
}

impl Gate {
    pub(crate) fn new(world: Rc<World>, entry: Box<str>) -> Self {
        Self {
            direct: Direct { world, entry },
        }
    }

    /// Carries a call out by the world, if it does that, or by the calling task.
    fn call<T: 'static>(
        &self,
        call: impl Future<Output = T> + 'static,
    ) -> Pin<Box<dyn Future<Output = T>>> {
        if !self.direct.world.carries_out_calls() {
            return Box::pin(call);
        }
        let (answer, answered) = oneshot::channel();
        self.direct.world.spawn(async move {
            // The caller may have been killed.
            let _ = answer.send(call.await);
        });
        Box::pin(async move {
            match answered.await {
                Ok(answer) => answer,
                Err(_) => pending().await,
            }
        })
    }

    fn trip(&self, to: &Recipient, kind: CommandKind) -> Option<Trip> {
        let Direct { world, entry } = &self.direct;
        world.trip(entry, &to.worker, kind)
    }

    /// Sends a command on a trip; `carry_out` returns `None` if there is nobody to answer. Returns `None` once `within` has
    /// passed without an answer.
    async fn travel<T: std::fmt::Debug + 'static>(
        &self,
        to: &Recipient,
        kind: CommandKind,
        trip: Trip,
        within: Duration,
        carry_out: impl Future<Output = Option<T>> + 'static,
    ) -> Option<T> {
        let until = Instant::now() + within;
        let (answer, answered) = oneshot::channel();
        let (direct, worker) = (self.direct.clone(), to.worker.clone());
        let sent_in = direct.world.incarnation(&worker);
        self.direct.world.spawn(async move {
            let world = &direct.world;
            let is_cut = || !world.is_reachable(&direct.entry, &worker);
            let Some(on_the_way) = trip.request.filter(|_| !is_cut()) else {
                pending::<()>().await;
                return;
            };
            sleep(on_the_way).await;
            if is_cut() {
                pending::<()>().await;
                return;
            }
            let is_orphan = answer.is_closed();
            let is_late = Instant::now() >= until;
            let is_of_later_incarnation = world.incarnation(&worker) != sent_in;
            let carried_out = carry_out.await;
            let Some(carried_out) = carried_out else {
                world.count("unanswered by a worker that is down");
                pending::<()>().await;
                return;
            };
            world.record(|| {
                let entry = &direct.entry;
                format!("{entry} to {worker}: {kind:?}, {trip:?}, orphan {is_orphan}, late {is_late}: {carried_out:?}")
            });
            if is_orphan && !is_late {
                world.count("carried out after its sender was killed");
            }
            if is_late {
                world.count(kind.late());
            }
            if is_of_later_incarnation {
                world.count("carried out by a later incarnation");
            }
            let Some(on_the_way) = trip.answer.filter(|_| !is_cut()) else {
                world.count(kind.lost());
                pending::<()>().await;
                return;
            };
            sleep(on_the_way).await;
            if is_cut() {
                world.count(kind.lost());
                pending::<()>().await;
                return;
            }
            let _ = answer.send(carried_out);
        });
        match timeout_at(until, answered).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) => {
                sleep_until(until).await;
                None
            }
            Err(_) => None,
        }
    }
}

impl Store for Gate {
    async fn read(&self, key: &str, within: Duration) -> Result<Option<Item>, CallError> {
        let (direct, key) = (self.direct.clone(), Box::<str>::from(key));
        self.call(async move { direct.read(&key, within).await })
            .await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        is_stale: bool,
        within: Duration,
    ) -> Result<Page, CallError> {
        let (direct, prefix) = (self.direct.clone(), Box::<str>::from(prefix));
        let after = after.map(Box::<str>::from);
        self.call(async move {
            direct
                .list(&prefix, after.as_deref(), is_stale, within)
                .await
        })
        .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, CallError> {
        let (direct, prefix) = (self.direct.clone(), Box::<str>::from(prefix));
        self.call(async move { direct.watch(&prefix, after, wait).await })
            .await
    }

    async fn commit(&self, txn: &Txn, within: Duration) -> Result<Committed, CallError> {
        let (direct, txn) = (self.direct.clone(), txn.clone());
        self.call(async move { direct.commit(&txn, within).await })
            .await
    }

    async fn open_lease(
        &self,
        ttl: Duration,
        within: Duration,
    ) -> Result<(LeaseId, Duration), CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.open_lease(ttl, within).await })
            .await
    }

    async fn renew_lease(&self, lease: LeaseId, within: Duration) -> Result<Duration, CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.renew_lease(lease, within).await })
            .await
    }

    async fn end_lease(&self, lease: LeaseId, within: Duration) -> Result<(), CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.end_lease(lease, within).await })
            .await
    }
}

impl Operators for Gate {
    async fn read_requests(&self, within: Duration) -> Result<OperatorRequests, CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.read_requests(within).await })
            .await
    }

    async fn watch_requests(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<OperatorRequests, CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.watch_requests(after, wait).await })
            .await
    }

    fn wave_status(&self, wave: u64, is_completed: bool) -> Put {
        self.direct.wave_status(wave, is_completed)
    }
}

impl Registry for Gate {
    async fn workers(&self, within: Duration) -> Result<Vec<(PoolName, WorkerInfo)>, CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.workers(within).await }).await
    }
}

impl Workers for Gate {
    async fn start(&self, to: &Recipient, order: &StartCommand, within: Duration) -> StartReply {
        let (direct, recipient, command) = (self.direct.clone(), to.clone(), order.clone());
        let Some(trip) = self.trip(to, CommandKind::Start) else {
            let call = async move { direct.start(&recipient, &command, within).await };
            return self.call(call).await;
        };
        let carry_out = async move { direct.carry_out_start(&recipient, &command) };
        let answer = self.travel(to, CommandKind::Start, trip, within, carry_out);
        answer.await.unwrap_or(StartAnswer::Unknown.into())
    }

    async fn stop(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        within: Duration,
    ) -> Result<(), CommandError> {
        let (direct, recipient) = (self.direct.clone(), to.clone());
        let Some(trip) = self.trip(to, CommandKind::Stop) else {
            let call = async move { direct.stop(&recipient, task, run, within).await };
            return self.call(call).await;
        };
        let carry_out = async move { direct.carry_out_stop(&recipient, task, run) };
        let answer = self.travel(to, CommandKind::Stop, trip, within, carry_out);
        answer
            .await
            .unwrap_or_else(|| Err(CommandError::Unknown("timed out".into())))
    }

    async fn throttle(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        percent: u32,
        within: Duration,
    ) -> Result<(), CommandError> {
        let (direct, to) = (self.direct.clone(), to.clone());
        self.call(async move { direct.throttle(&to, task, run, percent, within).await })
            .await
    }

    async fn report(
        &self,
        to: &Recipient,
        until_ms: Option<u64>,
        ends_acknowledged: u64,
        wait: Duration,
        within: Duration,
    ) -> Result<Report, CommandError> {
        let (direct, recipient) = (self.direct.clone(), to.clone());
        let Some(trip) = self.trip(to, CommandKind::Report) else {
            return self
                .call(async move {
                    direct
                        .report(&recipient, until_ms, ends_acknowledged, wait, within)
                        .await
                })
                .await;
        };
        let carry_out = async move {
            direct
                .carry_out_report(&recipient, until_ms, ends_acknowledged, wait)
                .await
        };
        let answer = self.travel(to, CommandKind::Report, trip, within, carry_out);
        answer
            .await
            .unwrap_or_else(|| Err(CommandError::Unknown("timed out".into())))
    }
}

impl Vms for Gate {
    async fn vms(&self, within: Duration) -> Result<BTreeMap<VmId, Vm>, CallError> {
        let direct = self.direct.clone();
        self.call(async move { direct.vms(within).await }).await
    }

    async fn move_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        pool: &PoolName,
        within: Duration,
    ) -> Result<(), VmCommandError> {
        self.direct.move_vm(by, vm, pool, within).await
    }

    async fn maintain_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        wave: u64,
        within: Duration,
    ) -> Result<(), VmCommandError> {
        self.direct.maintain_vm(by, vm, wave, within).await
    }
}

impl PermitService for Gate {
    async fn permits(
        &self,
        step: StepId,
        workers: &[WorkerId],
        within: Duration,
    ) -> Result<PermitGrants, CallError> {
        let (direct, workers) = (self.direct.clone(), workers.to_vec());
        self.call(async move { direct.permits(step, &workers, within).await })
            .await
    }
}
