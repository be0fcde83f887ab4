//! Tasks on workers: the scheduler of a data centre, run by the entry that holds its role.
//!
//! [`run`] waits for the role, takes over the accepted tasks from the documents, and then goes round: decide, write the
//! steps, send what was written. [`plan`] joins the scheduler with the documents, [`fleet`] the list of VMs with
//! their pools, [`calls`] holds the calls to workers, [`intake`] accepts and cancels tasks on any entry. Every effect is
//! preceded by a look whether the role is still held.

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

use self::calls::{Called, Calls, ReportTimes};
use self::fleet::{WorkerSet, worker_set};
use self::plan::{SHARDS, TaskPlan};
use self::told::{QUESTIONS_MAX, TaskQuestion};
use crate::quota::run_max;
use crate::roles;
use crate::world::World;

pub(crate) const PART: &str = Part::Scheduler.as_str();

/// The time between two rounds.
const ROUND: Duration = Duration::from_millis(250);

/// The wait before a look whether the role is held.
const ROLE_LOOK: Duration = Duration::from_secs(1);

/// The longest wait of one watch of a document of tasks.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The longest wait of a start for its step to be written. One that waits longer is not sent.
const WRITE_MAX: Duration = Duration::from_secs(3);

/// How long slots stay reserved for tasks of which no end can be told.
const KEPT_MAX: Duration = Duration::from_hours(24 * 365);

/// The key of one document of a data centre's tasks.
#[must_use]
pub fn jobs_key(dc: &DcName, shard: usize) -> StoreKey {
    match format!("jobs/{dc}/{shard}").parse() {
        Ok(key) => key,
        Err(error) => unreachable!("{error}"),
    }
}

/// Schedules the tasks of this data centre whenever this entry holds the role.
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
            log::info!(target: PART, epoch:%; "No longer scheduling.");
            told::end(&world);
            keep_running_reserved(&world);
        }
        stop.run_until_cancelled(sleep(ROLE_LOOK)).await;
    }
}

/// Gives back what was reserved for waiting tasks. What runs stays reserved until nothing of it can run any more: the next
/// holder counts it as well, but may not have the slots for it yet.
fn keep_running_reserved(world: &Arc<World>) {
    let usage = world.task_usage.send_replace(BTreeMap::new());
    world.task_pools.send_replace(BTreeMap::new());
    let now = world.now();
    let run_max = world
        .cat()
        .map_or(Duration::MAX, |cat| run_max(world, &cat));
    // A bound that can't be told is one that never ends.
    let until = now.checked_add(run_max).unwrap_or(now + KEPT_MAX);
    for (team, usage) in &usage {
        let running = usage.running;
        world.split.keep(&world.front, team, running, now, until);
    }
}

/// A document of tasks that was read.
struct Read {
    shard: usize,
    doc: JobsDoc,
    version: StoreVersion,
}

/// Schedules until the role is lost.
async fn schedule(world: Arc<World>, dc: DcName, epoch: Epoch) {
    let call_max = WRITE_MAX + world.settings.platform.timeout();
    let lease = world.settings.tasks.lease();
    let cfg = Config {
        call_max,
        lease,
        renew_after: lease / 3,
        ..Config::default()
    };
    let (sender, mut reads) = mpsc::channel(SHARDS);
    let (asks, mut questions) = mpsc::channel(QUESTIONS_MAX);
    world.task_questions.send_replace(Some(asks));
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
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            read = reads.recv() => {
                let Some(read) = read else { return };
                driver.take_document(read);
            }
            called = driver.calls.next() => driver.take_call(called),
            Some(question) = questions.recv() => driver.answer(question),
            _ = rounds.tick() => if !driver.round().await { return },
        }
    }
}

/// Follows one document and hands on every change of it.
async fn follow(world: Arc<World>, dc: DcName, shard: usize, reads: mpsc::Sender<Read>) {
    let key = jobs_key(&dc, shard);
    let mut after = StoreVersion::ZERO;
    let mut is_first = true;
    loop {
        let found = if is_first {
            world.session.get(&key).await
        } else {
            world.session.watch(&key, after, WATCH_WAIT).await
        };
        let doc = match found {
            Ok(Some(found)) => decode(shard, &found, &mut after),
            Ok(None) if is_first => Some(JobsDoc::empty()),
            Ok(None) => None,
            Err(error) => {
                log::warn!(target: PART, shard; "The tasks can't be read: {error}.");
                sleep(ROLE_LOOK).await;
                continue;
            }
        };
        is_first = false;
        if let Some(doc) = doc
            && reads
                .send(Read {
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
            log::error!(target: PART, shard; "Document of tasks: {error}.");
            None
        }
    }
}

/// What one term of the role works on.
struct Driver {
    world: Arc<World>,
    dc: DcName,
    plan: TaskPlan,
    calls: Calls,
    workers: WorkerSet,
    times: ReportTimes,
    /// What this entry may run of each team.
    grants: BTreeMap<TeamName, Slots>,
}

impl Driver {
    fn take_document(&mut self, read: Read) {
        let Read {
            shard,
            doc,
            version,
        } = read;
        let now = self.world.now();
        self.plan.take_document(shard, Arc::new(doc), version, now);
    }

    fn take_call(&mut self, called: Called) {
        let now = self.world.now();
        match called {
            Called::Start(start, outcome) => self.plan.on_start(&start, outcome, now),
            Called::Report(name, report, asked_at) => {
                self.plan.on_report(&name, &report, asked_at, now);
            }
            Called::Nothing => {}
        }
    }

    /// Takes over the catalogue and the workers as they are now.
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

    /// One round. Returns false if the role is lost.
    async fn round(&mut self) -> bool {
        let role = roles::tasks_role(&self.dc);
        if self.world.roles.epoch(&role) != Some(self.plan.epoch()) {
            return false;
        }
        self.refresh();
        self.ask_reports();
        if !self.plan.has_documents() {
            return true;
        }
        self.reserve();
        let decided_at = self.world.now();
        let steps = self.plan.round(decided_at);
        self.send_commands();
        self.write(steps, decided_at).await
    }

    fn ask_reports(&mut self) {
        let now = self.world.now();
        let state = self.plan.sched().state();
        for (name, address) in &self.workers.addresses {
            let is_hot = self.plan.sched().worker(name).is_some_and(|vm| {
                let mut runs = state.workers[vm].tasks.iter();
                runs.any(|id| state.tasks[*id].run().is_some_and(Run::is_changing))
            });
            if self.times.ask(name, is_hot, now) {
                self.calls.report(name.clone(), *address);
            }
        }
    }

    /// Reserves a part of this entry's quota row for what the teams run and have waiting here.
    fn reserve(&mut self) {
        let now = self.world.now();
        let snapshot = self.plan.sched().snapshot(now);
        let usage = told::usage(&snapshot);
        let mut grants: BTreeMap<TeamName, Slots> = BTreeMap::new();
        for (team, usage) in &usage {
            let split = &self.world.split;
            let given = split.reserve(&self.world.front, team, *usage, now);
            grants.insert(team.clone(), given);
        }
        self.world.task_shares.send_replace(told::shares(&snapshot));
        // The other entries divide the teams' slots by this, too.
        self.world.task_usage.send_replace(usage);
        self.world.task_pools.send_replace(self.plan.pool_demand());
        self.plan.set_grants(&grants, now + 2 * ROUND);
        self.grants = grants;
    }

    /// Sends the commands of a round. A scheduler that has taken over more running tasks of a team than it has slots for lets
    /// the rest end with their leases: the slots that they run on are free by then.
    fn send_commands(&mut self) {
        let ends = self.plan.beyond_grants(&self.grants);
        for command in self.plan.commands() {
            if command.kind == CommandKind::Renew && ends.contains(&command.key) {
                continue;
            }
            let name = self.plan.sched().worker_name(command.worker);
            let address = name.and_then(|name| self.workers.addresses.get(name));
            if let Some(address) = address {
                self.calls.command(command, *address);
            }
        }
    }

    /// Tells why a task stands where it does.
    fn answer(&self, question: TaskQuestion) {
        let found = self.plan.sched().explain(&question.key, self.world.now());
        let reason = found.map(|found| found.text);
        // The asker may have gone meanwhile.
        let _ = question.answer.send(reason);
    }

    /// Writes the steps of a round, all documents at once, and sends the starts that were written.
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
                // The write panicked; what it was to write stays open until the role is taken anew.
                return false;
            };
            let now = self.world.now();
            let Some(written) = result else {
                self.plan.not_written(&steps, now);
                continue;
            };
            self.plan
                .take_written(shard, written.doc, written.version, now);
            let Some(starts) = self.plan.written(&steps, &written.answers, now) else {
                return false;
            };
            for start in starts {
                self.send_start(start, decided_at + WRITE_MAX);
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

/// A batch that is in its document.
pub(crate) struct Written {
    doc: JobsDoc,
    answers: Vec<Result<JobAnswer, JobRefusal>>,
    version: Option<StoreVersion>,
}

/// Writes one batch. None if it was not written, or nobody knows.
async fn write(world: &World, key: &StoreKey, steps: &[JobEdit]) -> Option<Written> {
    let edit = world.session.draw_edit();
    let change = |doc: &mut JobsDoc| {
        let answers = doc.apply(edit, steps);
        Ok::<_, Infallible>((doc.clone(), answers))
    };
    let update = world.session.update(key, edit, change);
    match tokio::time::timeout(WRITE_MAX, update).await {
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
            log::warn!(target: PART, key:%; "The tasks can't be written: {error}.");
            None
        }
        Err(_) => {
            log::warn!(target: PART, key:%; "Writing the tasks took too long.");
            None
        }
    }
}
