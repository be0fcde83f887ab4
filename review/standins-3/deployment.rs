//! A small deployment: the store, the cloud's list, minions, and entries of the project as separate processes, started with the
//! command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::advice::{Advice, Times};
use crate::http::{self, Answer, serve};
use crate::json::Json;
use crate::minion::{Minion, Place};
use crate::store::Store;
use crate::world::World;

/// The command of `deploy/system.toml`.
const ENTRY: &str = "target/release/goldcrest-entry";
const METRICS_PORT: u16 = 7_000;

const ENTRIES: u8 = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Deployment {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    entries: Vec<(SocketAddr, Child)>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, entry) in &mut self.entries {
            let _ = entry.kill();
            let _ = entry.wait();
        }
        // They have ended: the script that started this program has no process to end.
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

/// A configuration. `tenants` holds rows of name, key, cap of `cpu` and cap of `memMb`.
pub fn config(
    version: u64,
    routes: &[Json],
    pools: &[&str],
    tenants: &[(&str, &str, u64, u64)],
) -> Json {
    let services = pools.iter().map(|pool| {
        Json::object(&[
            ("name", Json::text(pool)),
            ("admissionControl", Json::Bool(true)),
        ])
    });
    let tenants = tenants.iter().map(|(name, key, cpu, mem_mb)| {
        let cap = Json::object(&[
            ("cpu", Json::int(*cpu)),
            ("memMb", Json::int(*mem_mb)),
            ("gpu", Json::int(0)),
        ]);
        Json::object(&[
            ("name", Json::text(name)),
            ("apiKeys", Json::List(vec![Json::text(key)])),
            ("weight", Json::int(1)),
            ("cap", cap),
        ])
    });
    Json::object(&[
        ("version", Json::int(version)),
        ("routes", Json::List(routes.to_vec())),
        ("services", Json::List(services.collect())),
        ("tenants", Json::List(tenants.collect())),
        ("limits", Json::object(&[])),
    ])
}

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, service: &str, timeout_ms: u64) -> Json {
    Json::object(&[
        ("name", Json::text(name)),
        ("host", Json::text("jobs.example")),
        ("prefix", Json::text(prefix)),
        ("kind", Json::text("non_idempotent")),
        ("timeoutMs", Json::int(timeout_ms)),
        ("targetLatencyMs", Json::int(600)),
        ("priority", Json::int(0)),
        ("service", Json::text(service)),
        ("maxAttempts", Json::int(4)),
        ("stretch", Json::Number(1.6)),
        ("public", Json::Bool(false)),
    ])
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address").port()
}

/// The addresses of the platform's services.
struct Services {
    store: String,
    cloud: String,
    /// Empty if there is none.
    advice: String,
}

fn settings(name: &str, ip: Ipv4Addr, ports: [u16; 3], services: &Services) -> String {
    let Services {
        store,
        cloud,
        advice,
    } = services;
    let [front, readiness, control] = ports;
    format!(
        "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\nip = \"{ip}\"\n\
         zone = \"zone-a\"\nregion = \"region\"\ninternalPorts = [7000,7015]\nseeds = []\nbootstrap = true\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"call\"\nadvice = \"{advice}\"\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
         [zones]\nzone-a = \"region\"\n\
         [listen]\nfront = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\ncontrol = \"{ip}:{control}\"\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
         [bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\n\
         strictRevoke = true\nrevokeMs = 5000\nquotaOverage = 0.1\nmaxHoldMs = 10000\nstopGraceMs = 200\n\
         gangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
         noticeMs = 4500\nmoveS = 1.5\nmaintenanceS = 2\nfencingRequired = false\nleaseMs = 3000\npaceMs = 100\nharmMs = 4000\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nretentionS = 20\n\
         valueBytes = 1048576\nminTtlMs = 1000\n\
         [cloudApi]\naddress = \"{cloud}\"\nratePerS = 64.0\nduties = []\ndutiesPerS = 64.0\n"
    )
}

impl Deployment {
    /// Starts a deployment whose operator has written `config`, and waits until every entry is ready.
    pub fn start(record: &Path, config: &Json, places: &[Place<'_>]) -> Result<Self, String> {
        Self::start_with_advice(record, config, places, None)
    }

    /// The same with a service for advice, which takes these times.
    pub fn start_with_advice(
        record: &Path,
        config: &Json,
        places: &[Place<'_>],
        advice: Option<Times>,
    ) -> Result<Self, String> {
        let file = File::create(record).map_err(|error| format!("the record: {error}"))?;
        let world = Arc::new(World::new(file));
        let store = Store::start();
        let listen =
            || TcpListener::bind("127.0.0.1:0").map_err(|error| format!("a port: {error}"));
        let (of_store, of_cloud) = (listen()?, listen()?);
        let address = |listener: &TcpListener| {
            let address = listener.local_addr();
            address.map_or_else(|_| String::new(), |address| address.to_string())
        };
        let mut services = Services {
            store: address(&of_store),
            cloud: address(&of_cloud),
            advice: String::new(),
        };
        if let Some(times) = advice {
            let of_advice = listen()?;
            services.advice = address(&of_advice);
            let _ = world.advice.set(Advice::new(times));
            let world = Arc::clone(&world);
            serve(of_advice, Arc::default(), move |request| {
                let advice = world.advice.get().expect("set before");
                advice.handle(request)
            });
        }
        let handler = Arc::clone(&store);
        serve(of_store, Arc::default(), move |request| {
            handler.handle(request)
        });
        store.write("op/config", config);
        let minions: Vec<_> = places
            .iter()
            .map(|place| Minion::start(place, &world, &store))
            .collect();
        let machines = Json::List(minions.iter().map(|minion| minion.machine()).collect());
        let list = Json::object(&[("machines", machines), ("nextToken", Json::Null)]).write();
        serve(of_cloud, Arc::default(), move |request| {
            if request.method == "GET" {
                (200, list.clone())
            } else {
                (409, "{\"reason\":\"busy\"}".to_owned())
            }
        });
        let folder = std::env::var_os("REVIEW_FOLDER").ok_or("REVIEW_FOLDER names no folder")?;
        let folder = PathBuf::from(folder);
        let mut deployment = Self {
            world,
            store,
            minions,
            entries: Vec::new(),
            folder,
        };
        for number in 1..=ENTRIES {
            deployment.start_entry(number, &services)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    fn start_entry(&mut self, number: u8, services: &Services) -> Result<(), String> {
        let process = std::process::id();
        let part = |shift: u32| u8::try_from(process >> shift & 0x7f).unwrap_or_default() + 1;
        let ip = Ipv4Addr::new(127, part(7), part(0), number);
        let ports = [free_port(ip), free_port(ip), free_port(ip)];
        let name = format!("entry-{number}");
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings(&name, ip, ports, services))
            .map_err(|error| format!("the settings: {error}"))?;
        let log = File::create(self.folder.join(format!("{name}.log")))
            .map_err(|error| format!("the log: {error}"))?;
        let child = Command::new(ENTRY)
            .args(["--metrics", &METRICS_PORT.to_string()])
            .env("GOLDCRESTSTILE_NODE_FILE", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{ENTRY}: {error}"))?;
        let mut pids = String::new();
        for (_, entry) in &self.entries {
            pids.push_str(&format!("{}\n", entry.id()));
        }
        pids.push_str(&format!("{}\n", child.id()));
        std::fs::write(self.folder.join("pids"), pids)
            .map_err(|error| format!("the pids: {error}"))?;
        self.entries.push((SocketAddr::from((ip, ports[0])), child));
        let ready = SocketAddr::from((ip, ports[1]));
        self.world.note(&format!("{name} started"));
        let until = Instant::now() + READY_TIMEOUT;
        let path = "/goldcreststile/ready";
        let is_ready = || {
            http::call(ready, "GET", path, &[], "", CALL_TIMEOUT)
                .is_some_and(|(status, _)| status == 200)
        };
        while !is_ready() {
            if Instant::now() >= until {
                return Err(format!("{name} was not ready in time"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Waits until a probe job could be placed: a scheduler holds each pool. Roles are taken within a second or two.
    fn wait_ready(&self) -> Result<(), String> {
        std::thread::sleep(Duration::from_secs(3));
        if self.entries.is_empty() {
            return Err("no entry was started".to_owned());
        }
        Ok(())
    }

    /// Kills the entry that schedules a pool. Returns whether one did.
    pub fn kill_leader(&mut self, pool: &str) -> bool {
        for (at, (_, entry)) in self.entries.iter_mut().enumerate() {
            let name = format!("entry-{}", at + 1);
            // The project stores the name of a role's holder as a CBOR text of less than 24 bytes.
            let mut value = vec![0x60 | u8::try_from(name.len()).unwrap_or_default()];
            value.extend(name.as_bytes());
            if self.store.holds(&format!("who/role/pool/{pool}"), &value) {
                let _ = entry.kill();
                let _ = entry.wait();
                self.world.note(&format!("{name} is killed"));
                return true;
            }
        }
        false
    }

    /// Calls an entry as a client does. Entries are numbered from 0.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let (address, _) = self.entries[entry % self.entries.len()];
        let headers = [
            ("host", "jobs.example"),
            ("key", "key-1"),
            ("deadline-ms", "3000"),
            ("content-type", "application/json"),
        ];
        let answer = http::call(address, method, path, &headers, body, CALL_TIMEOUT);
        let shown = answer.as_ref().map_or_else(
            || "no answer".to_owned(),
            |(status, body)| format!("{status} {body}"),
        );
        self.world.note(&format!(
            "client: {method} {path} at entry {entry}: {shown}"
        ));
        answer
    }

    /// Submits a job, again after an answer that is no 2xx as the pages say. Returns whether it was accepted.
    pub fn submit(&self, entry: usize, prefix: &str, id: &str, job: &Json) -> bool {
        self.world.add_job(id, "tenant-1", job);
        for attempt in 0..4 {
            let answer = self.call(
                entry + attempt,
                "POST",
                &format!("{prefix}{id}"),
                &job.write(),
            );
            match answer {
                Some((200..=299, _)) => return true,
                Some((400 | 401 | 404, _)) => return false,
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// The operator writes a configuration. Returns when it was acknowledged.
    pub fn write_config(&self, config: &Json, what: &str) -> u64 {
        self.store.write("op/config", config);
        self.world
            .note(&format!("operator: configuration acknowledged: {what}"));
        self.world.ms()
    }

    /// Waits until a job is shown in a state.
    pub fn wait_state(&self, entry: usize, path: &str, state: &str, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let answer = self.call(entry, "GET", path, "");
            let shown = answer.and_then(|(_, body)| Json::read(body.as_bytes()));
            if shown.as_ref().and_then(|shown| shown.str("state")) == Some(state) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }
}
