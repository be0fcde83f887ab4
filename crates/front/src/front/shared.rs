//! The state that all requests of one entry share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{AdmissionCfg, WorkId};
use goldcrest_serve::dispatch::{Dispatch, WaitResult};
use goldcrest_serve::routing::{SendOutcome, UpstreamId, UpstreamSet};
use goldcrest_serve::verify;
use goldcrest_types::catalogue::{Catalogue, Class};
use goldcrest_types::clock::Clock;
use goldcrest_types::entity::TeamId;
use goldcrest_types::names::RequestId;
use goldcrest_types::units::Slots;
use tokio::sync::{Semaphore, oneshot};

use super::{FrontStatus, OutcomeCounts, UpstreamStatus};
use crate::cfg::FrontCfg;
use crate::claims::{AnyClaims, LocalClaims};
use crate::drain::{Drain, DrainReport};
use crate::explain::{Explanation, Ring, Step, Trace};
use crate::metrics::{EndLabel, Metrics, SeriesTable};
use crate::upstream::Connections;

/// The verifier runs only below this number of lanes: with more it would dominate the time of a debug build.
const VERIFIED_LANES_MAX: usize = 1_024;

/// The most requests that wait for the answer to a claim. They have no slot yet, so nothing else bounds them.
const PENDING_CLAIMS_MAX: usize = 1_024;

/// The dispatcher, and the wake-up channel of each waiting request by the index of its [`WorkId`].
#[derive(Debug)]
struct DispatchState {
    dispatch: Dispatch,
    waiters: Vec<Option<oneshot::Sender<WaitResult>>>,
}

/// The catalogue in force and the metric series of its teams.
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) cat: Arc<Catalogue>,
    pub(crate) series: SeriesTable,
}

/// The state that all requests of one entry share. The dispatcher is behind one lock; see [`Shared::with_dispatch`].
pub(crate) struct Shared {
    pub(crate) cfg: Arc<FrontCfg>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) claims: RwLock<Arc<dyn AnyClaims>>,
    /// Bounds the requests that wait for the answer to a claim.
    pub(crate) pending_claims: Arc<Semaphore>,
    pub(crate) connections: Connections,
    pub(crate) drain: Drain,
    pub(crate) metrics: Metrics,
    view: RwLock<Option<Arc<View>>>,
    state: Mutex<DispatchState>,
    ring: Mutex<Ring>,
    ends: [AtomicU64; EndLabel::ALL.len()],
    retries: AtomicU64,
    open: AtomicU64,
}

impl Shared {
    pub(crate) fn new(cfg: FrontCfg, clock: Arc<dyn Clock>) -> Self {
        let cfg = Arc::new(cfg);
        let bounds = AdmissionCfg {
            running_max: cfg.running_max,
            waiting_max: cfg.waiting_max,
        };
        let state = DispatchState {
            dispatch: Dispatch::new(cfg.dc.clone(), bounds, cfg.seed),
            waiters: Vec::new(),
        };
        Self {
            claims: RwLock::new(Arc::new(LocalClaims::new(Arc::clone(&clock)))),
            pending_claims: Arc::new(Semaphore::new(PENDING_CLAIMS_MAX)),
            connections: Connections::new(Arc::clone(&cfg)),
            drain: Drain::default(),
            metrics: Metrics::new(),
            view: RwLock::new(None),
            state: Mutex::new(state),
            ring: Mutex::new(Ring::new(cfg.explanations_max)),
            ends: Default::default(),
            retries: AtomicU64::new(0),
            open: AtomicU64::new(0),
            cfg,
            clock,
        }
    }

    /// Runs `decide` with the dispatcher locked and the current time, then wakes the waiting requests that it let start
    /// or refused.
    pub(crate) fn with_dispatch<R>(&self, decide: impl FnOnce(&mut Dispatch, Instant) -> R) -> R {
        let mut state = self.lock_dispatch();
        let now = self.clock.now();
        let result = decide(&mut state.dispatch, now);
        state.deliver(now);
        result
    }

    /// Like [`Shared::with_dispatch`]; if `decide` returns the id of a waiting request, also returns the receiver of
    /// its wake-up.
    pub(crate) fn with_dispatch_waiter<R>(
        &self,
        decide: impl FnOnce(&mut Dispatch, Instant) -> (R, Option<WorkId>),
    ) -> (R, Option<oneshot::Receiver<WaitResult>>) {
        let mut state = self.lock_dispatch();
        let now = self.clock.now();
        let (result, waits) = decide(&mut state.dispatch, now);
        let receiver = waits.map(|work| state.register(work));
        state.deliver(now);
        (result, receiver)
    }

    pub(crate) fn view(&self) -> Option<Arc<View>> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    pub(crate) fn set_catalogue(&self, cat: Arc<Catalogue>) {
        // The view stays write-locked while the dispatcher switches, so the two differ by at most one revision.
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let is_replaced = self.with_dispatch(|d, now| d.set_catalogue(Arc::clone(&cat), now));
        if is_replaced {
            let old = current.as_ref().map(|view| Arc::clone(&view.cat));
            let series = self.metrics.table(old.as_deref(), &cat);
            *current = Some(Arc::new(View { cat, series }));
        }
    }

    pub(crate) fn set_upstreams(&self, set: UpstreamSet) {
        let known = set.upstreams.iter().map(|upstream| upstream.address);
        let known = known.collect();
        self.with_dispatch(|d, now| d.set_upstreams(set, now));
        self.connections.sweep(&known, self.clock.now());
    }

    pub(crate) fn is_ready(&self) -> bool {
        let has_catalogue = self.view().is_some();
        has_catalogue && !self.drain.not_ready.is_cancelled()
    }

    pub(crate) fn explain(&self, request: RequestId) -> Option<Explanation> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.find(request)
    }

    pub(crate) fn keys_fresh(&self) -> bool {
        self.with_dispatch(|d, now| d.admission().keys_fresh(now))
    }

    pub(crate) fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn status(&self) -> FrontStatus {
        let view = self.view();
        let (running, waiting, upstreams) = self.with_dispatch(|d, now| {
            let admission = d.admission();
            let upstreams = d.router().iter().map(|(_, upstream)| UpstreamStatus {
                vm: upstream.spec.vm.clone(),
                pool: upstream.spec.pool.clone(),
                address: upstream.spec.address,
                state: upstream.state(now),
                open: upstream.open,
            });
            (
                admission.running(),
                admission.waiting(),
                upstreams.collect(),
            )
        });
        FrontStatus {
            is_ready: self.is_ready(),
            revision: view.map(|view| view.cat.revision()),
            running: Slots::new(running),
            waiting: Slots::new(waiting),
            connections: self.drain.connections.len(),
            outcomes: self.outcomes(),
            upstreams,
        }
    }

    pub(crate) async fn run_drain(&self, bound: Duration) -> DrainReport {
        let before = self.ended();
        let (settle, grace) = (self.cfg.settle, self.cfg.idle_grace);
        let cut_before = self.outcomes().caller_gone;
        let connections_cut = self.drain.run(settle, grace, bound).await;
        let cut = if connections_cut == 0 {
            0
        } else {
            self.open.load(Ordering::Relaxed) + self.outcomes().caller_gone - cut_before
        };
        DrainReport {
            ended: self.ended() - before,
            cut,
            connections_cut,
        }
    }

    fn outcomes(&self) -> OutcomeCounts {
        let count = |how: EndLabel| self.ends[how as usize].load(Ordering::Relaxed);
        OutcomeCounts {
            answered: count(EndLabel::Answered),
            not_run: count(EndLabel::NotRun),
            unknown: count(EndLabel::Unknown),
            cut: count(EndLabel::Cut),
            caller_gone: count(EndLabel::CallerGone),
            retries: self.retries.load(Ordering::Relaxed),
        }
    }

    fn ended(&self) -> u64 {
        let counts = self.outcomes();
        counts.answered + counts.not_run + counts.unknown
    }

    /// Ends a waiting or running request and its open send, if it has one.
    pub(crate) fn end(&self, work: WorkId, send: Option<(UpstreamId, SendOutcome)>) {
        self.with_dispatch(|d, now| {
            if let Some((upstream, how)) = send {
                d.record_send_outcome(work, upstream, how, now);
            }
            d.end(work, now);
        });
    }

    fn lock_dispatch(&self) -> MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DispatchState {
    fn register(&mut self, work: WorkId) -> oneshot::Receiver<WaitResult> {
        let (sender, receiver) = oneshot::channel();
        let index = work.index();
        if index >= self.waiters.len() {
            self.waiters.resize_with(index + 1, || None);
        }
        self.waiters[index] = Some(sender);
        receiver
    }

    fn deliver(&mut self, now: Instant) {
        let waiters = &mut self.waiters;
        self.dispatch.drain_dequeued(|work, wake| {
            let waiter = waiters.get_mut(work.index()).and_then(Option::take);
            // If the receiver was dropped, dropping the ticket ends the request.
            if let Some(waiter) = waiter {
                waiter.send(wake).ok();
            }
        });
        if cfg!(debug_assertions) && self.dispatch.admission().lanes().count() < VERIFIED_LANES_MAX
        {
            let breaches = verify::all(&self.dispatch, now);
            debug_assert!(breaches.is_empty(), "{breaches}");
        }
    }
}

/// The metrics and trace of one request. They are written when the record is dropped; the end defaults to
/// [`EndLabel::CallerGone`].
pub(crate) struct Record {
    shared: Arc<Shared>,
    view: Option<Arc<View>>,
    request: RequestId,
    arrived: Instant,
    started: Option<Instant>,
    assignment: Option<(TeamId, Class)>,
    trace: Trace,
    end: EndLabel,
}

impl Record {
    pub(crate) fn new(shared: Arc<Shared>, request: RequestId) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self {
            arrived: shared.clock.now(),
            view: None,
            request,
            started: None,
            assignment: None,
            trace: Trace::default(),
            end: EndLabel::CallerGone,
            shared,
        }
    }

    pub(crate) const fn request(&self) -> RequestId {
        self.request
    }

    pub(crate) const fn arrived(&self) -> Instant {
        self.arrived
    }

    pub(crate) fn step(&mut self, step: Step) {
        self.trace.push(step);
    }

    /// Sets the queue and team that the request counts towards.
    pub(crate) fn assign(
        &mut self,
        view: &Arc<View>,
        queue: goldcrest_types::entity::QueueId,
        team: TeamId,
    ) {
        self.trace.cat = Some(Arc::clone(&view.cat));
        self.trace.queue = Some(queue);
        self.trace.team = Some(team);
        self.assignment = Some((team, view.cat.queues[queue].class));
        self.view = Some(Arc::clone(view));
    }

    pub(crate) fn started(&mut self) {
        let now = self.shared.clock.now();
        self.started = Some(now);
        self.trace.push(Step::Started);
    }

    pub(crate) fn end(&mut self, how: EndLabel) {
        self.end = how;
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.open.fetch_sub(1, Ordering::Relaxed);
        shared.ends[self.end as usize].fetch_add(1, Ordering::Relaxed);
        let now = shared.clock.now();
        if let (Some(view), Some((team, class))) = (&self.view, self.assignment)
            && let Some(series) = view.series.get(team, class)
        {
            let waited_until = self.started.unwrap_or(now);
            series.waited(waited_until.saturating_duration_since(self.arrived));
            if let Some(started) = self.started {
                series.ran(now.saturating_duration_since(started));
            }
            series.ended(self.end, now.saturating_duration_since(self.arrived));
        }
        let trace = std::mem::take(&mut self.trace);
        let mut ring = shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.push(self.request, trace);
    }
}
