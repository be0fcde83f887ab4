//! The platform's list of machines, moves and upkeep.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Reply, Request};
use crate::json::{Json, num, object, text};
use crate::record::Record;
use crate::workers::Workers;

/// How long a machine is down for a move: `moveS` of the settings.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// How long a machine is down for its upkeep: `maintenanceS` of the settings.
const UPKEEP_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Machine {
    pool: String,
    state: &'static str,
    zone: String,
    capacity: (u64, u64),
    labels: Vec<String>,
    minion: String,
    lives: u32,
}

pub struct Machines {
    all: Mutex<BTreeMap<String, Machine>>,
    /// The machines whose upkeep has begun, in order of time.
    pub upkeeps: Mutex<Vec<String>>,
    workers: Arc<Workers>,
    record: Arc<Record>,
    ip: std::net::IpAddr,
}

impl Machines {
    pub fn new(workers: Arc<Workers>, record: Arc<Record>, ip: std::net::IpAddr) -> Arc<Self> {
        Arc::new(Self {
            all: Mutex::default(),
            upkeeps: Mutex::default(),
            workers,
            record,
            ip,
        })
    }

    /// Adds a machine and the minion that runs on it.
    pub fn add(
        &self,
        name: &str,
        pool: &str,
        zone: &str,
        capacity: (u64, u64),
        labels: &[&str],
    ) -> std::io::Result<()> {
        let minion = format!("i-{name}-1");
        self.workers.add(
            &minion,
            pool,
            zone,
            SocketAddr::new(self.ip, 0),
            capacity,
            labels,
        )?;
        let machine = Machine {
            pool: pool.to_owned(),
            state: "up",
            zone: zone.to_owned(),
            capacity,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            minion,
            lives: 1,
        };
        self.all.lock().unwrap().insert(name.to_owned(), machine);
        Ok(())
    }

    pub fn answer(self: &Arc<Self>, request: &Request) -> Reply {
        match &*request.path {
            "/goldcreststile/machines" => self.list(),
            "/goldcreststile/machine-move" => self.order(request, "moving"),
            "/goldcreststile/machine-upkeep" => self.order(request, "upkeep"),
            _ => Reply::Answer(400, Json::Null),
        }
    }

    fn list(&self) -> Reply {
        let all = self.all.lock().unwrap();
        let machines = all.iter().map(|(name, machine)| {
            let labels = machine.labels.iter().map(|label| text(&**label)).collect();
            object([
                ("machine", text(&**name)),
                ("pool", text(&*machine.pool)),
                ("state", text(machine.state)),
                ("zone", text(&*machine.zone)),
                ("labels", Json::List(labels)),
                (
                    "capacity",
                    object([
                        ("cpu", num(machine.capacity.0)),
                        ("memMb", num(machine.capacity.1)),
                        ("gpu", num(0)),
                    ]),
                ),
                ("id", text(&*machine.minion)),
            ])
        });
        Reply::Answer(
            200,
            object([
                ("machines", Json::List(machines.collect())),
                ("nextToken", Json::Null),
            ]),
        )
    }

    fn order(self: &Arc<Self>, request: &Request, state: &'static str) -> Reply {
        let body = request.json();
        let name = body.get("machine").str().to_owned();
        let mut all = self.all.lock().unwrap();
        let Some(machine) = all.get_mut(&name) else {
            return Reply::Answer(400, Json::Null);
        };
        if machine.state != "up" {
            return Reply::Answer(409, object([("reason", text("busy"))]));
        }
        machine.state = state;
        let minion = std::mem::take(&mut machine.minion);
        drop(all);
        self.record.line(
            "platform",
            &format!(
                "{name}: {state}, ordered by {} with token {}",
                request.header("lease-holder"),
                request.header("fencing-token"),
            ),
        );
        let time = if state == "upkeep" {
            self.upkeeps.lock().unwrap().push(name.clone());
            UPKEEP_TIME
        } else {
            MOVE_TIME
        };
        if !minion.is_empty() {
            self.workers.end(&minion);
        }
        let to = (state == "moving").then(|| body.get("pool").str().to_owned());
        let machines = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            machines.come_back(&name, to);
        });
        Reply::Answer(200, object([]))
    }

    fn come_back(&self, name: &str, to: Option<String>) {
        let mut all = self.all.lock().unwrap();
        let Some(machine) = all.get_mut(name) else {
            return;
        };
        machine.pool = to.unwrap_or_else(|| machine.pool.clone());
        machine.lives += 1;
        machine.state = "up";
        machine.minion = format!("i-{name}-{}", machine.lives);
        let machine = machine.clone();
        let labels: Vec<&str> = machine.labels.iter().map(|label| &**label).collect();
        let added = self.workers.add(
            &machine.minion,
            &machine.pool,
            &machine.zone,
            SocketAddr::new(self.ip, 0),
            machine.capacity,
            &labels,
        );
        if added.is_err() {
            self.record
                .line("platform", &format!("{name} could not come back"));
        }
    }
}
