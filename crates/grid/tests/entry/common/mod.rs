//! The test bed: an in-memory platform with a catalogue and workers, and entries that use it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use goldcrest_grid::calls::{Call, Reply, Request};
use goldcrest_grid::entry::{self, Entry, Settings};
use goldcrest_jobs::catalogue::{Catalogue, PoolSpec, Queue, Team};
use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::query_times::QueryTimes;
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobSpec, JobState, Step};
use goldcrest_jobs::upkeep::{Vm, VmState};
use goldcrest_jobs::worker::WorkerInfo;
use goldcrest_standin::grid::{Gate, RuntimeClock, World};
use goldcrest_types::names::{DcName, PoolName};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep};

/// A key of the team `agencies`.
pub const KEY: &str = "first";

/// Runs a test's body in a local task set, which entries need to spawn their tasks.
pub async fn local<F: Future<Output = ()>>(body: F) {
    LocalSet::new().run_until(body).await;
}

struct Running {
    entry: Rc<Entry<Gate>>,
    task: JoinHandle<()>,
    /// The process of an entry that can be frozen.
    process: Option<(JoinHandle<()>, Rc<Freezer>)>,
}

/// Freezes a process: its tasks are not polled, so they see all answers and timers of that time at once after it.
#[derive(Default)]
struct Freezer {
    is_frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The tasks of an entry.
struct Process {
    name: Box<str>,
    tasks: LocalSet,
    freezer: Rc<Freezer>,
}

impl Future for Process {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.freezer.is_frozen.get() {
            *self.freezer.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        crate::trace::set_process(Some(&self.name));
        let polled = Pin::new(&mut self.tasks).poll(context);
        crate::trace::set_process(None);
        polled
    }
}

/// An in-memory platform and the entries that use it.
pub struct Bed {
    pub world: Rc<World>,
    /// The bounds of the schedulers of entries that are started.
    pub bounds: Cell<Bounds>,
    /// Whether entries that are started can be frozen. Each then has a task set of its own.
    pub are_freezable: Cell<bool>,
    entries: RefCell<BTreeMap<String, Running>>,
}

/// A catalogue with one pool `p` and its queue `q`, and a spare pool.
pub fn catalogue(version: u64, keys: &[&str], cap_cpu: u64) -> Catalogue {
    catalogue_with(version, keys, cap_cpu, false)
}

/// A catalogue whose queue may need permits.
pub fn catalogue_with(version: u64, keys: &[&str], cap_cpu: u64, needs_permits: bool) -> Catalogue {
    let queries = needs_permits.then(QueryTimes::default);
    catalogue_with_queries(version, keys, cap_cpu, queries)
}

/// A catalogue whose queue may need permits, from a service with these times.
pub fn catalogue_with_queries(
    version: u64,
    keys: &[&str],
    cap_cpu: u64,
    permit_queries: Option<QueryTimes>,
) -> Catalogue {
    let queue = Queue {
        name: "q".parse().expect("a name"),
        host: "host".into(),
        prefix: "/q/".into(),
        pool: "p".parse().expect("a name"),
        is_open: false,
        priority: 0,
        attempts_max: 2,
        stretch_milli: 1_600,
        target_latency: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        permit_queries,
    };
    let pool = |name: &str, is_spare| PoolSpec {
        name: name.parse().expect("a name"),
        has_admission_control: true,
        is_spare,
    };
    let team = Team {
        name: "agencies".parse().expect("a name"),
        weight: 1_000,
        cap: Resources {
            cpu_millis: cap_cpu,
            ..Resources::ZERO
        },
    };
    let keys = keys.iter().map(|key| Box::from(*key)).collect();
    Catalogue::new(
        version,
        vec![queue],
        vec![pool("p", false), pool("spare", true)],
        vec![(team, keys)],
    )
}

/// A catalogue without queues and teams, in which the pools of [`catalogue`] stay.
pub fn catalogue_without_queue(version: u64) -> Catalogue {
    let pools = catalogue(version, &[], 0).pools().to_vec();
    Catalogue::new(version, Vec::new(), pools, Vec::new())
}

/// The pools of [`catalogue`] and a second pool `p2` for work.
pub fn pools_with_second(base: &Catalogue) -> Vec<PoolSpec> {
    let second = PoolSpec {
        name: "p2".parse().expect("a name"),
        ..base.pools()[0].clone()
    };
    base.pools().iter().cloned().chain([second]).collect()
}

/// A queue of the pool `p2`, named `q2`, that is otherwise like `queue`.
pub fn second_queue(queue: &Queue) -> Queue {
    Queue {
        name: "q2".parse().expect("a name"),
        prefix: "/q2/".into(),
        pool: "p2".parse().expect("a name"),
        ..queue.clone()
    }
}

/// A step of tasks of one core each.
pub fn step(tasks: u32) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_millis: 1_000,
            memory_mb: 500,
            accelerators: 0,
        },
        estimate: Duration::from_millis(600),
        ..Step::default()
    }
}

/// A job whose steps run one after the other; `steps` holds the number of tasks of each.
pub fn job(payload: &str, steps: &[u32]) -> JobSpec {
    let steps = (0..).zip(steps).map(|(at, tasks)| Step {
        after: (at > 0).then(|| at - 1).into_iter().collect(),
        ..step(*tasks)
    });
    JobSpec {
        payload: payload.into(),
        steps: steps.collect(),
        schedule: None,
    }
}

impl Bed {
    /// A platform with `workers` workers of four cores each in the pool `p`, named `w1`, `w2` and so on.
    pub fn new(workers: u32) -> Self {
        let world = World::new();
        world.set_catalogue(catalogue(1, &[KEY], 0));
        let bed = Self {
            world,
            bounds: Cell::default(),
            are_freezable: Cell::default(),
            entries: RefCell::default(),
        };
        for number in 1..=workers {
            bed.add_worker(&format!("w{number}"));
        }
        bed
    }

    /// Adds a worker on a VM of its own, in no known data centre.
    pub fn add_worker(&self, name: &str) {
        self.add_worker_in(name, None);
    }

    /// Adds a worker on a VM of its own, in a data centre.
    pub fn add_worker_in(&self, name: &str, dc: Option<&str>) {
        self.add_worker_to("p", name, dc);
    }

    /// Adds a worker on a VM of its own to a pool, in a data centre if one is given.
    pub fn add_worker_to(&self, pool: &str, name: &str, dc: Option<&str>) {
        let dc: Option<DcName> = dc.map(|dc| dc.parse().expect("a name"));
        let info = WorkerInfo {
            id: WorkerId::from(name),
            started_ms: Some(1),
            address: name.into(),
            dc: dc.clone(),
            capacity: Resources {
                cpu_millis: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            is_draining: false,
            remaining: None,
            is_cold: false,
        };
        let pool: PoolName = pool.parse().expect("a name");
        let mut crew = self.world.crew.borrow_mut();
        crew.add(pool.clone(), info, Instant::now());
        let vm = VmId::from(&*format!("vm-{name}"));
        let vm = Vm {
            id: vm.clone(),
            pool,
            state: VmState::Up,
            worker: Some(WorkerId::from(name)),
            dc: dc.clone(),
        };
        self.world.vms.borrow_mut().insert(vm.id.clone(), vm);
    }

    /// Starts an entry that may use a quarter of a core.
    pub fn start(&self, name: &str) {
        self.start_with(name, 250);
    }

    /// Starts an entry that may use `cpu_millis` thousandths of a core.
    pub fn start_with(&self, name: &str, cpu_millis: u64) {
        let settings = Settings {
            name: name.into(),
            cpu_millis,
            key_withdrawal_max: Duration::from_secs(5),
            stop_grace: Duration::from_secs(6),
            pool: self.bounds.get(),
            vm_command_gap: Duration::from_secs(3),
            maintenance_time: Duration::from_secs(2),
            cordon_delay_max: Duration::from_secs(5),
            status_retention: Duration::from_mins(2),
        };
        let gate = self.world.gate(name);
        let entry = Rc::new(Entry::new(gate, Arc::new(RuntimeClock), settings));
        let run = entry::run(Rc::clone(&entry));
        let running = if self.are_freezable.get() {
            let tasks = LocalSet::new();
            let task = tasks.spawn_local(run);
            let freezer = Rc::new(Freezer::default());
            let process = Process {
                name: name.into(),
                tasks,
                freezer: Rc::clone(&freezer),
            };
            let process = tokio::task::spawn_local(process);
            Running {
                entry,
                task,
                process: Some((process, freezer)),
            }
        } else {
            Running {
                entry,
                task: tokio::task::spawn_local(run),
                process: None,
            }
        };
        self.entries.borrow_mut().insert(name.into(), running);
    }

    /// Starts entries and waits until they have acquired the roles.
    pub async fn start_all(&self, names: &[&str]) {
        for name in names {
            self.start(name);
        }
        sleep(Duration::from_secs(4)).await;
    }

    /// Kills an entry: aborts its tasks without a hand-over.
    pub fn kill(&self, name: &str) {
        if let Some(running) = self.entries.borrow_mut().remove(name) {
            running.task.abort();
            if let Some((process, _)) = running.process {
                process.abort();
            }
        }
    }

    /// Freezes an entry, or lets it go on. Needs [`Self::are_freezable`].
    pub fn set_frozen(&self, name: &str, is_frozen: bool) {
        let entries = self.entries.borrow();
        let process = entries
            .get(name)
            .and_then(|running| running.process.as_ref());
        let Some((_, freezer)) = process else { return };
        freezer.is_frozen.set(is_frozen);
        if !is_frozen && let Some(waker) = freezer.waker.take() {
            waker.wake();
        }
    }

    /// Whether an entry is up and not frozen.
    pub fn is_running(&self, name: &str) -> bool {
        let entries = self.entries.borrow();
        entries.get(name).is_some_and(|running| {
            let process = running.process.as_ref();
            process.is_none_or(|(_, freezer)| !freezer.is_frozen.get())
        })
    }

    /// Whether an entry was started and not killed.
    pub fn is_up(&self, name: &str) -> bool {
        self.entries.borrow().contains_key(name)
    }

    /// Requests that an entry stops, as SIGTERM does.
    pub fn stop(&self, name: &str) {
        self.entry(name).stopping.cancel();
    }

    /// Whether an entry whose stop was requested has ended.
    pub fn has_ended(&self, name: &str) -> bool {
        self.entries.borrow()[name].task.is_finished()
    }

    /// The shared state of an entry.
    pub fn entry(&self, name: &str) -> Rc<Entry<Gate>> {
        Rc::clone(&self.entries.borrow()[name].entry)
    }

    /// Crashes a worker silently; after `downtime` it is back at `address` and is listed at once.
    pub fn crash_for(&self, worker: &str, downtime: Duration, address: &str) {
        let mut crew = self.world.crew.borrow_mut();
        let now = Instant::now();
        crew.crash_for(worker, downtime, address, Duration::ZERO, now);
    }

    /// Adds a VM to the spare pool.
    pub fn add_spare(&self, name: &str) {
        let vm = Vm {
            id: VmId::from(name),
            pool: "spare".parse().expect("a name"),
            state: VmState::Up,
            worker: None,
            dc: None,
        };
        self.world.vms.borrow_mut().insert(vm.id.clone(), vm);
    }

    /// The entry that holds the role of the pool `p`.
    pub fn holder(&self) -> String {
        self.holder_of("pool/p")
    }

    /// The entry that holds a role.
    pub fn holder_of(&self, role: &str) -> String {
        let table = self.world.table.borrow();
        let key = format!("who/role/{role}");
        let item = table.get(&key).expect("the role is held");
        let name: Box<str> =
            goldcrest_grid::keys::decode(&item.key, &item.value).expect("a holder's name");
        name.into()
    }

    async fn call(&self, entry: &str, id: &str, key: &str, request: Request) -> Reply {
        self.call_at(entry, "/q/", id, key, request).await
    }

    async fn call_at(
        &self,
        entry: &str,
        prefix: &str,
        id: &str,
        key: &str,
        request: Request,
    ) -> Reply {
        let entry = self.entry(entry);
        entry
            .call(Call {
                host: "host".into(),
                path: format!("{prefix}{id}").into(),
                key: Some(key.into()),
                timeout: Some(Duration::from_secs(3)),
                request,
            })
            .await
    }

    /// Submits a job.
    pub async fn submit(&self, entry: &str, id: &str, spec: JobSpec) -> Reply {
        self.call(entry, id, KEY, Request::Submit(Ok(spec))).await
    }

    /// Submits a job to the queue with this prefix.
    pub async fn submit_to(&self, entry: &str, prefix: &str, id: &str, spec: JobSpec) -> Reply {
        let request = Request::Submit(Ok(spec));
        self.call_at(entry, prefix, id, KEY, request).await
    }

    /// Queries the state of a job of the queue with this prefix.
    pub async fn query_at(&self, entry: &str, prefix: &str, id: &str) -> Reply {
        self.call_at(entry, prefix, id, KEY, Request::Query).await
    }

    /// Submits a job with the given key instead of [`KEY`].
    pub async fn submit_with(&self, entry: &str, id: &str, key: &str, spec: JobSpec) -> Reply {
        self.call(entry, id, key, Request::Submit(Ok(spec))).await
    }

    /// Queries a job's state or, with an empty id, the number of waiting jobs.
    pub async fn query(&self, entry: &str, id: &str) -> Reply {
        self.call(entry, id, KEY, Request::Query).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, entry: &str, id: &str) -> Reply {
        self.call(entry, id, KEY, Request::Cancel).await
    }

    /// Waits until a job has this state; panics after `within`.
    pub async fn wait_for(&self, entry: &str, id: &str, state: JobState, within: Duration) {
        let until = Instant::now() + within;
        loop {
            let reply = self.query(entry, id).await;
            if reply == Reply::State(state) {
                return;
            }
            assert!(Instant::now() < until, "job {id}: {reply:?}, not {state:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Asserts that no task ran twice at the same time, or again after its end was acknowledged.
    pub fn check_once(&self) {
        let mut crew = self.world.crew.borrow_mut();
        crew.settle(Instant::now());
        assert_eq!(crew.doubled, Vec::new());
    }
}
