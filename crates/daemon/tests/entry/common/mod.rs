//! A running entry with stand-ins for the platform's services.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_api::{EditRequest, path};
use goldcrest_daemon::entry::{Addresses, Entry};
use goldcrest_daemon::roles::upkeep_role;
use goldcrest_daemon::settings;
use goldcrest_ledger::catalogue::diff;
use goldcrest_ledger::fleet::{FleetDoc, FleetVm, Permit, Purpose, VmEdit, VmState};
use goldcrest_ports::fleet::{VmPhase, VmRecord, VmRole};
use goldcrest_ports::http::HttpCaller;
use goldcrest_ports::http::call::Answer;
use goldcrest_session::{Updated, keys};
use goldcrest_standin::upstream::CallBook;
use goldcrest_standin::worker::RunBook;
use goldcrest_standin::{FleetFake, KvFake, UpstreamFake, WorkerFake};
use goldcrest_types::catalogue::{CatalogueSpec, parse};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, EditId, PoolName, VmName};
use goldcrest_types::units::{Accelerators, CpuMillis, Resources, VmCount};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

pub const AGENCIES: &str = "agencies-example";
pub const GUIDES: &str = "guides-example";
pub const OPERATOR: &str = "first";
pub const TASK: &str = "{\"queue\":\"backfill\",\"need\":{\"cpu_millis\":100,\"memory_bytes\":1000},\"run_ms\":50,\"payload\":\"run_ms=50\"}";

/// A running entry with its stand-ins.
pub struct Fixture {
    entry: Entry,
    addresses: Addresses,
    http: HttpCaller,
    fleet: FleetFake,
    stop: CancellationToken,
}

/// The timeout of [`until`].
const UNTIL_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `is_so` holds, checked again after each yield to other tasks.
pub async fn until(mut is_so: impl FnMut() -> bool) {
    let wait = async {
        while !is_so() {
            tokio::task::yield_now().await;
        }
    };
    let timed = tokio::time::timeout(UNTIL_TIMEOUT, wait).await;
    timed.expect("the condition holds within the timeout");
}

pub fn example() -> CatalogueSpec {
    parse(include_str!("../../../../../examples/demo.yaml")).expect("the example is valid")
}

fn record(name: &str, role: VmRole, address: SocketAddr) -> VmRecord {
    VmRecord {
        name: name.parse().expect("a name"),
        data_centre: "lis-a".parse().expect("a name"),
        rack: "rack-1".parse().expect("a name"),
        role,
        address,
        phase: VmPhase::Live,
        resources: Resources::new(
            CpuMillis::new(16_000),
            goldcrest_types::units::Bytes::new(32 << 30),
            Accelerators::ZERO,
        ),
        boots: 1,
    }
}

impl Fixture {
    /// Starts an entry and waits until it has a catalogue and proof that it is fresh.
    pub async fn start() -> Self {
        Self::start_with("", &example(), 1).await
    }

    /// The same with further `sections` of the settings, the catalogue `spec` and the given number of upstreams.
    pub async fn start_with(sections: &str, spec: &CatalogueSpec, upstreams: u16) -> Self {
        let stop = CancellationToken::new();
        let dc: DcName = "lis-a".parse().expect("a name");
        let kv = KvFake::new();
        let fleet = FleetFake::new(Duration::from_millis(10), Duration::ZERO);
        let store = kv.listen(dc.clone(), stop.clone()).await.expect("a port");
        let list = fleet.listen(dc, stop.clone()).await.expect("a port");
        let upstream = UpstreamFake::new(Arc::new(CallBook::default()));
        let address = upstream.listen(stop.clone()).await.expect("a port");
        for number in 1..=upstreams {
            fleet.put(record(&format!("up-{number}"), VmRole::Upstream, address));
        }
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let text = format!(
            "entry:\n  vm: entry-1\n  data_centre: lis-a\n  caller_address: {any}\n  task_address: {any}\n  \
             operator_address: {any}\n  first_operator_digest: {}\nplatform:\n  store_address: {store}\n  \
             fleet_address: {list}\npeers:\n  address: {any}\n  secret: test\nstop:\n  settle_ms: 1\n  \
             drain_max_ms: 5000\nstore:\n  calls_per_second: 100\n{sections}",
            KeyDigest::of("at-first")
        );
        let settings = settings::parse(&text).unwrap_or_else(|errors| panic!("{errors}"));
        let entry = Entry::start(settings, Arc::new(SystemClock)).expect("it starts");
        let addresses = entry.addresses();
        fleet.put(record("entry-1", VmRole::Entry, addresses.peer));
        let fix = Self {
            addresses,
            entry,
            http: HttpCaller::new(Duration::from_secs(20)),
            fleet,
            stop,
        };
        fix.apply(spec).await;
        fix
    }

    async fn apply(&self, spec: &CatalogueSpec) {
        let changes = diff(&CatalogueSpec::default(), spec);
        let edit = EditRequest {
            id: EditId::new(1),
            changes,
        };
        let body = serde_json::to_string(&edit).expect("it is JSON");
        let answer = self
            .operator(Method::POST, path::EDITS, Some("at-first"), &body)
            .await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, StatusCode::OK, "{text}");
        let mut freshness = self.entry.world().freshness.subscribe();
        let now = || self.entry.world().now();
        let fresh = freshness.wait_for(|freshness| freshness.holds(now()));
        fresh.await.expect("the entry runs");
    }

    /// Adds a worker to the platform's list; the entry enrols it and puts it into service.
    pub async fn add_worker(&self, name: &str, book: &Arc<RunBook>) {
        let worker = WorkerFake::new(Arc::clone(book));
        let address = worker.listen(self.stop.clone()).await.expect("a port");
        self.fleet.put(record(name, VmRole::Worker, address));
    }

    /// Takes a worker out of service, as the holder of the upkeep role does.
    pub async fn drain(&self, name: &str) {
        let world = self.entry.world();
        let role = upkeep_role();
        until(|| world.roles.epoch(&role).is_some()).await;
        let to = "grid".parse().expect("a name");
        let step = VmEdit::Drain {
            vm: name.parse().expect("a name"),
            permit: Permit {
                holder: world.entry,
                epoch: world.roles.epoch(&role).expect("the role"),
                purpose: Purpose::Move { to },
            },
            budget: VmCount::new(1),
        };
        let edit = EditId::new(2);
        let key = keys::fleet(&"lis-a".parse().expect("a name"));
        let change = |doc: &mut FleetDoc| doc.apply(edit, std::slice::from_ref(&step));
        let updated = world.session.update(&key, edit, change).await;
        let updated = updated.expect("the service answers");
        assert!(matches!(updated, Updated::Applied { .. }), "{updated:?}");
    }

    /// Waits until a VM is taken out of service for a move, and returns it with its new pool.
    pub async fn wait_for_move(&self) -> (VmName, PoolName) {
        let mut fleets = self.entry.world().fleets.subscribe();
        let mut found = None;
        let moved = fleets.wait_for(|fleets| {
            let vms = fleets.iter().flat_map(|(_, doc)| doc.vms());
            let mut moves = vms.filter_map(|(vm, record)| {
                let purpose = &record.permit.as_ref()?.purpose;
                let Purpose::Move { to } = purpose else {
                    return None;
                };
                Some((vm.clone(), to.clone()))
            });
            found = moves.next();
            found.is_some()
        });
        moved.await.expect("the entry runs");
        let mut sizing = self.entry.world().sizing.subscribe();
        let recorded = sizing.wait_for(|sizing| sizing.moves > 0);
        recorded.await.expect("the entry runs");
        found.expect("a move")
    }

    /// Waits until the upstream is in service in its pool.
    pub async fn wait_for_pools(&self) {
        let mut fleets = self.entry.world().fleets.subscribe();
        let is_serving = |vm: &FleetVm| vm.state == VmState::Serving;
        let served = fleets.wait_for(|fleets| {
            let mut docs = fleets.iter();
            docs.any(|(_, doc)| doc.vms().values().any(is_serving))
        });
        served.await.expect("the entry runs");
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Answer {
        let mut headers = HeaderMap::new();
        if let Some(key) = key {
            let value = HeaderValue::try_from(format!("Bearer {key}")).expect("a header");
            headers.insert(AUTHORIZATION, value);
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        self.http
            .call(method, address, path, headers, body, Duration::ZERO)
            .await
            .expect("an answer")
    }

    /// Calls the operators' interface.
    pub async fn operator(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Answer {
        self.call(method, self.addresses.operator, path, key, body)
            .await
    }

    /// Calls the tasks' interface.
    pub async fn task(&self, method: Method, path: &str, key: Option<&str>, body: &str) -> Answer {
        self.call(method, self.addresses.task, path, key, body)
            .await
    }

    /// Sends the head of a task's submission, and returns once the entry has requested the body with `100 Continue`.
    pub async fn begin_task(&self, key: &str, body_bytes: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.addresses.task)
            .await
            .expect("a connection");
        let head = format!(
            "POST /v1/tasks HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
             content-length: {body_bytes}\r\nexpect: 100-continue\r\nconnection: close\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("a connection");
        let mut received = [0; 25];
        stream
            .read_exact(&mut received)
            .await
            .expect("a connection");
        assert_eq!(&received, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream
    }

    /// Sends a caller's request.
    pub async fn caller(&self, path: &str, key: Option<&str>) -> Answer {
        self.call(Method::GET, self.addresses.caller, path, key, "")
            .await
    }

    /// Submits a task and returns its key.
    pub async fn submit(&self, key: &str) -> String {
        self.submit_task(key, TASK).await
    }

    /// Submits this task and returns its key.
    pub async fn submit_task(&self, key: &str, task: &str) -> String {
        let answer = self.task(Method::POST, "/v1/tasks", Some(key), task).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{text}");
        let value: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
        value["key"].as_str().expect("a key").to_owned()
    }

    /// Stops the entry, then its stand-ins.
    pub async fn stop(self) {
        self.entry.stop().await;
        self.stop.cancel();
    }
}
