//! A small deployment on loopback addresses: the store, the machines with their minions, the operator, clients and entries.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::entries::EntryProcess;
use crate::http::{self, Server};
use crate::json::{Json, num, object, text};
use crate::machines::Machines;
use crate::record::Record;
use crate::store::Store;
use crate::workers::{Workers, advise};

/// The pool, as the site names its first service, and the size of its machines.
pub const POOL: &str = "bankmig";
const MACHINES: u32 = 8;
const CAPACITY: (u64, u64) = (64_000, 262_144);

/// The roles that the entries hold.
const POOL_ROLE: &str = "pool/bankmig";
const FLEET_ROLE: &str = "fleet";

/// The host of all queues.
const HOST: &str = "pule25.example";

/// How long a client waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// The bounds of `fjordvik-sched`.
const BOUNDS: &str = "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\nstrictRevoke = true\nrevokeMs = 5000\n\
     quotaOverage = 0.1\nrecoverS = 12\nmaxHoldMs = 6000\nstopGraceMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
     finish_s = 14\nstatus_s = 120\nremoteFactor = 3\ncheckpointIntervalS = 0.5\nrestoreMs = 600\nnoticeMs = 4500\nmoveS = 1.5\nmaintenanceS = 2\n\
     fencingRequired = false\nleaseMs = 3000\nthawMs = 300\npaceMs = 100\nharmMs = 4000";

/// `maxHoldMs` and `stopGraceMs` of [`BOUNDS`].
const LEASE_MAX_MS: u64 = 6_000;
const STOP_GRACE: Duration = Duration::from_millis(900);

/// Why a case could not run.
pub type Failure = String;

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Arc<Workers>,
    pub machines: Arc<Machines>,
    pub entries: Vec<EntryProcess>,
    servers: Vec<Server>,
    folder: PathBuf,
}

/// A queue of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub attempts: u64,
    /// Whether the queue has `advice`: its starts need tickets.
    pub is_advised: bool,
}

/// The text of a configuration. Its queues are public.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        let mut fields = vec![
            ("name", text(route.name)),
            ("host", text(HOST)),
            ("prefix", text(route.prefix)),
            ("kind", text("non_idempotent")),
            ("timeoutMs", num(3_000)),
            ("targetLatencyMs", num(600)),
            ("priority", num(0)),
            ("service", text(POOL)),
            ("maxAttempts", num(route.attempts)),
            ("stretch", Json::Number(1.6)),
            ("public", Json::Bool(true)),
        ];
        if route.is_advised {
            let advice = [
                ("decisionMs", num(5)),
                ("eachMs", num(1)),
                ("validMs", num(3_000)),
            ];
            fields.push(("advice", object(advice)));
        }
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value));
        Json::Object(fields.collect())
    });
    let services = services.iter().map(|name| {
        object([
            ("name", text(*name)),
            ("healthPath", text("/health")),
            ("maxConnections", num(64)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("admissionControl", Json::Bool(true)),
            ("standby", Json::Bool(false)),
        ])
    });
    let limits = object([
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(262_144)),
        ("headerTimeoutMs", num(3_000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    let config = object([
        ("version", num(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("limits", limits),
        ("tenants", Json::List(Vec::new())),
    ]);
    config.to_string()
}

impl Deployment {
    /// Opens the stand-ins and writes the settings of `entries` entries. Nothing of the project is started yet.
    pub fn new(record: Arc<Record>, entries: usize) -> Result<Self, Failure> {
        let reason = |error: std::io::Error| error.to_string();
        // Addresses of this process alone, so that cases can run side by side.
        let process = std::process::id();
        let base = [127, 64 + (process >> 8 & 63) as u8, process as u8];
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(base[0], base[1], base[2], last));
        let folder = std::env::temp_dir().join(format!("review-case-{process}"));
        std::fs::create_dir_all(&folder).map_err(reason)?;
        let store = Store::new(Arc::clone(&record));
        let workers = Workers::new(
            Arc::clone(&store),
            Arc::clone(&record),
            LEASE_MAX_MS,
            STOP_GRACE,
        );
        let machines = Machines::new(Arc::clone(&workers), Arc::clone(&record), ip(250));
        let mut servers = Vec::new();
        let cloud = Arc::clone(&machines);
        let cloud = Server::open(
            SocketAddr::new(ip(251), 0),
            Arc::new(move |request| cloud.answer(&request)),
        )
        .map_err(reason)?;
        let advice = Server::open(
            SocketAddr::new(ip(253), 0),
            Arc::new(|request| advise(&request)),
        )
        .map_err(reason)?;
        let mut processes = Vec::new();
        for number in 1..=entries {
            // Each entry reaches the store by an address of its own, so that the store can tell the entries apart.
            let shared = Arc::clone(&store);
            let server = Server::open(
                SocketAddr::new(ip(252), 0),
                Arc::new(move |request| shared.answer(number, &request)),
            )
            .map_err(reason)?;
            let entry = EntryProcess::new(
                number,
                ip(number as u8),
                server.address,
                cloud.address,
                advice.address,
                "bergen-a",
                BOUNDS,
                folder.clone(),
            )
            .map_err(reason)?;
            servers.push(server);
            processes.push(entry);
        }
        servers.push(cloud);
        servers.push(advice);
        Ok(Self {
            record,
            store,
            workers,
            machines,
            entries: processes,
            servers,
            folder,
        })
    }

    pub fn start_entry(&mut self, number: usize) -> Result<(), Failure> {
        self.record
            .line("script", &format!("entry-{number} is started"));
        self.entries[number - 1]
            .start()
            .map_err(|error| format!("entry-{number} does not start: {error}"))
    }

    /// Waits until the two roles have been held by two entries for a while. Returns the pool's scheduler and the fleet's holder.
    pub fn settled_roles(&self) -> Result<(usize, usize), Failure> {
        let holders = || (self.store.holder(POOL_ROLE), self.store.holder(FLEET_ROLE));
        let until = Instant::now() + Duration::from_secs(15);
        let mut since = (holders(), Instant::now());
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
            let now = holders();
            if now != since.0 {
                since = (now, Instant::now());
            }
            if let (Some(pool), Some(fleet)) = now
                && pool != fleet
                && since.1.elapsed() > Duration::from_secs(2)
            {
                self.record.line(
                    "script",
                    &format!("entry-{pool} schedules the pool, entry-{fleet} holds the fleet role"),
                );
                return Ok((pool, fleet));
            }
        }
        Err("the roles are not held by two entries".into())
    }

    /// Adds the machines of the pool, one of them with the label `b`, writes the first configuration and starts all entries.
    pub fn set_up(&mut self, routes: &[Route]) -> Result<(), Failure> {
        for number in 1..=MACHINES {
            let kind = if number == 7 { "b" } else { "a" };
            let rack = format!("r1-{}", number.div_ceil(4));
            let added = self.machines.add(
                &format!("m-{number}"),
                POOL,
                "bergen-a",
                CAPACITY,
                &[kind, &rack],
            );
            added.map_err(|error| error.to_string())?;
        }
        self.configure(&config(1, routes, &[POOL]));
        for number in 1..=self.entries.len() {
            self.start_entry(number)?;
        }
        self.await_ready()
    }

    pub fn await_ready(&self) -> Result<(), Failure> {
        let are_held = || {
            [POOL_ROLE, FLEET_ROLE]
                .iter()
                .all(|role| self.store.holder(role).is_some())
        };
        let is_up = || self.entries.iter().all(EntryProcess::is_ready) && are_held();
        self.wait(
            "the entries are ready and hold the roles",
            Duration::from_secs(15),
            is_up,
        )
    }

    /// Submits a job. Fails the case if it is not accepted.
    pub fn submit(&self, entry: usize, job: &str, body: &str) -> Result<(), Failure> {
        match self.call(entry, "POST", job, body) {
            (200, _) => Ok(()),
            (status, _) => Err(format!("the job was not accepted: {status}")),
        }
    }

    /// Asks for a job each half second until it has ended, and returns its last state.
    pub fn await_end(&self, entry: usize, job: &str, within: Duration) -> String {
        let until = Instant::now() + within;
        loop {
            let (status, answer) = self.call(entry, "GET", job, "");
            let state = if status == 410 {
                "not known"
            } else {
                answer.get("state").str()
            };
            if !matches!(state, "queued" | "running" | "") || Instant::now() >= until {
                return state.to_owned();
            }
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Waits until a condition holds; fails the case if it does not within `within`.
    pub fn wait(
        &self,
        what: &str,
        within: Duration,
        holds: impl Fn() -> bool,
    ) -> Result<(), Failure> {
        let until = Instant::now() + within;
        while !holds() {
            if Instant::now() >= until {
                return Err(format!("not within {} ms: {what}", within.as_millis()));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    pub fn configure(&self, config: &str) {
        self.store.write("op/config", config);
        let version = Json::parse(config.as_bytes()).and_then(|config| config.get("version").u64());
        self.record.line(
            "operator",
            &format!("configuration {} is acknowledged", version.unwrap_or(0)),
        );
    }

    /// A call of a client. The status is 0 if there was no answer.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, Json) {
        let deadline = DEADLINE_MS.to_string();
        let headers = [("host", HOST), ("deadline-ms", &*deadline)];
        let timeout = Duration::from_millis(DEADLINE_MS);
        let answer = http::call(
            self.entries[entry - 1].front,
            method,
            path,
            &headers,
            body,
            timeout,
        );
        let (status, answer) = answer.unwrap_or((0, Json::Null));
        let sent: String = body.chars().take(160).collect();
        self.record.line(
            "client",
            &format!("{method} {path} at entry-{entry} {sent} -> {status} {answer}"),
        );
        (status, answer)
    }

    /// Ends everything that was started.
    pub fn end(mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        for server in &self.servers {
            server.close();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept: {}", self.folder.display());
        }
    }
}
