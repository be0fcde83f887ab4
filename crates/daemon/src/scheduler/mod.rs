//! Task scheduling for a data centre, run by the entry that holds its scheduler role.
//!
//! [`run`] waits for the role, loads the accepted tasks from the documents, and then repeats one cycle: decide, write
//! the steps, send what was written. [`plan`] joins the scheduler with the documents, [`fleet`] joins the list of VMs
//! with their pools, [`calls`] holds the calls to workers, [`intake`] accepts and cancels tasks on any entry. The role
//! is checked again before every external effect.

pub mod calls;
pub mod fleet;
pub mod intake;
pub mod plan;
pub mod told;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::jobs::{JobAnswer, JobEdit, JobRefusal, JobsDoc};
use goldcrest_obs::logs::Part;
use goldcrest_ports::store::{StoreKey, Versioned};
use goldcrest_sched::state::Run;
use goldcrest_sched::{CommandKind, Config, Start, StartOutcome};
use goldcrest_session::update::Updated;
use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::{Epoch, Slots, StoreVersion};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use self::calls::{CallResult, Calls, ReportTimes};
use self::fleet::{WorkerSet, worker_set};
use self::plan::{SHARDS, TaskPlan};
use self::told::{QUERIES_MAX, TaskQuery};
use crate::quota::run_max;
use crate::roles;
use crate::world::World;

pub(crate) const PART: &str = Part::Scheduler.as_str();

/// The time between two scheduling cycles.
const CYCLE_INTERVAL: Duration = Duration::from_millis(250);

/// How often an entry without the role checks whether it holds it now; also the wait after a failed read.
const ROLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The longest that one watch of a tasks document waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The write timeout of a tasks document. A start whose step takes longer to write is not sent.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long slots stay reserved for running tasks when the bound on their run time is too large to represent.
const RESERVATION_MAX: Duration = Duration::from_hours(24 * 365);

/// Returns the store key `jobs/<dc>/<shard>` of one tasks document of a data centre.
#[must_use]
pub fn jobs_key(dc: &DcName, shard: usize) -> StoreKey {
    match format!("jobs/{dc}/{shard}").parse() {
        Ok(key) => key,
        Err(error) => unreachable!("{error}"),
    }
}

/// Schedules the tasks of this data centre whenever this entry holds the role, until `stop` is cancelled.
pub async fn run(world: Arc<World>, stop: CancellationToken) {
    let dc = world.settings.entry.data_centre.clone();
    let role = roles::tasks_role(&dc);
    while !stop.is_cancelled() {
        if let Some(epoch) = world.roles.epoch(&role)
            && world.cat().is_some()
        {
            log::info!(target: PART, epoch:%; "Scheduling.");
            let scheduling = schedule(Arc::clone(&world), dc.clone(), epoch);
            stop.run_until_cancelled(scheduling).await;
            log::info!(target: PART, epoch:%; "Scheduling ended: role lost or entry stopping.");
            told::withdraw(&world);
            reserve_running(&world);
        }
        stop.run_until_cancelled(sleep(ROLE_POLL_INTERVAL)).await;
    }
}

/// Releases the slots reserved for waiting tasks. Running tasks keep their slots until none of them can still run: the
/// next holder of the role counts them too, but may not have slots for them yet.
fn reserve_running(world: &Arc<World>) {
    let usage = world.task_usage.send_replace(BTreeMap::new());
    world.task_pools.send_replace(BTreeMap::new());
    let now = world.now();
    let run_max = world
        .cat()
        .map_or(Duration::MAX, |cat| run_max(world, &cat));
    // Without a catalogue the bound is `Duration::MAX`, which overflows an `Instant`.
    let until = now.checked_add(run_max).unwrap_or(now + RESERVATION_MAX);
    for (team, usage) in &usage {
        let running = usage.running;
        world
            .split
            .reserve_until(&world.front, team, running, now, until);
    }
}

struct DocumentRead {
    shard: usize,
    doc: JobsDoc,
    version: StoreVersion,
}

/// Runs scheduling cycles until the role is lost or a write task panics.
async fn schedule(world: Arc<World>, dc: DcName, epoch: Epoch) {
    let call_max = WRITE_TIMEOUT + world.settings.platform.timeout();
    let lease = world.settings.tasks.lease();
    let cfg = Config {
        call_max,
        lease,
        renew_after: lease / 3,
        ..Config::default()
    };
    let (sender, mut reads) = mpsc::channel(SHARDS);
    let (query_sender, mut queries) = mpsc::channel(QUERIES_MAX);
    world.task_queries.send_replace(Some(query_sender));
    let mut followers = JoinSet::new();
    for shard in 0..SHARDS {
        followers.spawn(follow(
            Arc::clone(&world),
            dc.clone(),
            shard,
            sender.clone(),
        ));
    }
    let mut driver = Driver {
        calls: Calls::new(Arc::clone(&world), epoch),
        plan: TaskPlan::new(cfg, epoch),
        workers: WorkerSet::default(),
        times: ReportTimes::default(),
        grants: BTreeMap::new(),
        world,
        dc,
    };
    driver.refresh();
    let mut cycles = tokio::time::interval(CYCLE_INTERVAL);
    cycles.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            read = reads.recv() => {
                let Some(read) = read else { return };
                driver.ingest_document(read);
            }
            result = driver.calls.next() => driver.on_call_result(result),
            Some(query) = queries.recv() => driver.answer(query),
            _ = cycles.tick() => if !driver.run_cycle().await { return },
        }
    }
}

/// Watches one tasks document and sends each version to `reads`; ends when the receiver is dropped.
async fn follow(world: Arc<World>, dc: DcName, shard: usize, reads: mpsc::Sender<DocumentRead>) {
    let key = jobs_key(&dc, shard);
    let mut after = StoreVersion::ZERO;
    let mut is_first = true;
    loop {
        let found = if is_first {
            world.session.get(&key).await
        } else {
            world.session.watch(&key, after, WATCH_TIMEOUT).await
        };
        let doc = match found {
            Ok(Some(found)) => decode(shard, &found, &mut after),
            Ok(None) if is_first => Some(JobsDoc::empty()),
            Ok(None) => None,
            Err(error) => {
                log::warn!(target: PART, shard; "Tasks document not read, retrying: {error}.");
                sleep(ROLE_POLL_INTERVAL).await;
                continue;
            }
        };
        is_first = false;
        if let Some(doc) = doc
            && reads
                .send(DocumentRead {
                    shard,
                    doc,
                    version: after,
                })
                .await
                .is_err()
        {
            return;
        }
    }
}

fn decode(shard: usize, found: &Versioned, after: &mut StoreVersion) -> Option<JobsDoc> {
    *after = found.version;
    match JobsDoc::decode(&found.value) {
        Ok(doc) => Some(doc),
        Err(error) => {
            log::error!(target: PART, shard; "Tasks document malformed, skipped: {error}.");
            None
        }
    }
}

/// The state of one term of the scheduler role.
struct Driver {
    world: Arc<World>,
    dc: DcName,
    plan: TaskPlan,
    calls: Calls,
    workers: WorkerSet,
    times: ReportTimes,
    /// The slots that this entry may use for each team's tasks, as reserved in the last cycle.
    grants: BTreeMap<TeamName, Slots>,
}

impl Driver {
    fn ingest_document(&mut self, read: DocumentRead) {
        let DocumentRead {
            shard,
            doc,
            version,
        } = read;
        let now = self.world.now();
        self.plan
            .ingest_document(shard, Arc::new(doc), version, now);
    }

    fn on_call_result(&mut self, result: CallResult) {
        let now = self.world.now();
        match result {
            CallResult::Start(start, outcome) => self.plan.on_start(&start, outcome, now),
            CallResult::Report(name, report, requested_at) => {
                self.plan.on_report(&name, &report, requested_at, now);
            }
            CallResult::Nothing => {}
        }
    }

    /// Passes the current catalogue and workers to the plan.
    fn refresh(&mut self) {
        let now = self.world.now();
        if let Some(cat) = self.world.cat() {
            self.plan.set_catalogue(&cat);
        }
        let listing = self.world.listing.borrow().clone();
        let fleets = self.world.fleets.borrow().clone();
        self.workers = worker_set(&listing, &fleets, &self.dc);
        self.plan.set_workers(self.workers.specs.clone(), now);
    }

    /// Runs one scheduling cycle. Returns false if this term must end: the role is lost, or the result of a write is.
    async fn run_cycle(&mut self) -> bool {
        let role = roles::tasks_role(&self.dc);
        if self.world.roles.epoch(&role) != Some(self.plan.epoch()) {
            return false;
        }
        self.refresh();
        self.request_reports();
        if !self.plan.has_documents() {
            return true;
        }
        self.reserve();
        let decided_at = self.world.now();
        let steps = self.plan.round(decided_at);
        self.send_commands();
        self.write(steps, decided_at).await
    }

    fn request_reports(&mut self) {
        let now = self.world.now();
        let state = self.plan.sched().state();
        for (name, address) in &self.workers.addresses {
            let awaits_report = self.plan.sched().worker(name).is_some_and(|vm| {
                let mut runs = state.workers[vm].tasks.iter();
                runs.any(|id| state.tasks[*id].run().is_some_and(Run::awaits_report))
            });
            if self.times.take_due(name, awaits_report, now) {
                self.calls.report(name.clone(), *address);
            }
        }
    }

    /// Reserves slots of this entry's quota row for the running and waiting tasks of each team, and publishes usage.
    fn reserve(&mut self) {
        let now = self.world.now();
        let snapshot = self.plan.sched().snapshot(now);
        let usage = told::usage(&snapshot);
        let mut grants: BTreeMap<TeamName, Slots> = BTreeMap::new();
        for (team, usage) in &usage {
            let split = &self.world.split;
            let granted = split.reserve(&self.world.front, team, *usage, now);
            grants.insert(team.clone(), granted);
        }
        self.world.task_shares.send_replace(told::shares(&snapshot));
        // Other entries also divide the teams' slots by this usage.
        self.world.task_usage.send_replace(usage);
        self.world.task_pools.send_replace(self.plan.pool_demand());
        self.plan.set_grants(&grants, now + 2 * CYCLE_INTERVAL);
        self.grants = grants;
    }

    /// Sends the commands of a cycle. If a new holder takes over more running tasks of a team than it has slots for, it
    /// does not renew the leases of the excess tasks, so that they end and free their slots.
    fn send_commands(&mut self) {
        let over_grant = self.plan.beyond_grants(&self.grants);
        for command in self.plan.commands() {
            if command.kind == CommandKind::Renew && over_grant.contains(&command.key) {
                continue;
            }
            let name = self.plan.sched().worker_name(command.worker);
            let address = name.and_then(|name| self.workers.addresses.get(name));
            if let Some(address) = address {
                self.calls.command(command, *address);
            }
        }
    }

    /// Replies with the scheduler's explanation of a task's state.
    fn answer(&self, query: TaskQuery) {
        let found = self.plan.sched().explain(&query.key, self.world.now());
        let reason = found.map(|found| found.text);
        // The requester may have dropped its receiver after a timeout.
        let _ = query.answer.send(reason);
    }

    /// Writes the steps of a cycle to all documents concurrently, and sends the starts that were written. Returns false
    /// if a write panicked or a newer scheduler has fenced this one.
    async fn write(&mut self, steps: [Vec<JobEdit>; SHARDS], decided_at: Instant) -> bool {
        let mut writes = JoinSet::new();
        for (shard, steps) in steps.into_iter().enumerate() {
            if !steps.is_empty() {
                let (world, key) = (Arc::clone(&self.world), jobs_key(&self.dc, shard));
                writes.spawn(async move { (shard, write(&world, &key, &steps).await, steps) });
            }
        }
        while let Some(written) = writes.join_next().await {
            let Ok((shard, result, steps)) = written else {
                // The write task panicked. Its steps stay pending until the role is acquired again.
                return false;
            };
            let now = self.world.now();
            let Some(written) = result else {
                self.plan.not_written(&steps, now);
                continue;
            };
            self.plan
                .ingest_written(shard, written.doc, written.version, now);
            let Some(starts) = self.plan.written(&steps, &written.answers, now) else {
                return false;
            };
            for start in starts {
                self.send_start(start, decided_at + WRITE_TIMEOUT);
            }
        }
        true
    }

    fn send_start(&mut self, start: Start, latest: Instant) {
        let name = self.plan.sched().worker_name(start.worker);
        let address = name.and_then(|name| self.workers.addresses.get(name));
        if let Some(address) = address.copied() {
            self.calls.start(&self.plan, start, address, latest);
        } else {
            let now = self.world.now();
            self.plan.on_start(&start, StartOutcome::NotStarted, now);
        }
    }
}

/// A batch of steps that is in its document.
pub(crate) struct Written {
    doc: JobsDoc,
    answers: Vec<Result<JobAnswer, JobRefusal>>,
    version: Option<StoreVersion>,
}

/// Writes one batch of steps. Returns none if it was not written or the outcome is unknown.
async fn write(world: &World, key: &StoreKey, steps: &[JobEdit]) -> Option<Written> {
    let edit = world.session.new_edit_id();
    let change = |doc: &mut JobsDoc| {
        let answers = doc.apply(edit, steps);
        Ok::<_, Infallible>((doc.clone(), answers))
    };
    let update = world.session.update(key, edit, change);
    match tokio::time::timeout(WRITE_TIMEOUT, update).await {
        Ok(Ok(Updated::Applied { value, version })) => {
            let (doc, answers) = value;
            Some(Written {
                doc,
                answers,
                version,
            })
        }
        Ok(Ok(Updated::AppliedEarlier)) => None,
        Ok(Ok(Updated::Refused(never))) => match never {},
        Ok(Err(error)) => {
            log::warn!(target: PART, key:%; "Tasks document not written: {error}.");
            None
        }
        Err(_) => {
            log::warn!(target: PART, key:%; "Writing the tasks document timed out after {WRITE_TIMEOUT:?}; the outcome is unknown.");
            None
        }
    }
}
