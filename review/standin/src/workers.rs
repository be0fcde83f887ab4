//! The minions: they run tasks under a lease, list them, and register themselves in the store.
//!
//! The `spec` of a job says what its tasks do: `ms=N` is the time that a run takes, `fails=N` makes the first N runs of each task
//! fail, `lasts` keeps a run from ending by itself. A start of a task with `advised` needs the ticket of the advice service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, num, object, text};
use crate::record::Record;
use crate::store::Store;

/// How often a minion writes its entry: `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A task that lasts is at work this long after its start.
const STARTUP: Duration = Duration::from_millis(300);

/// Sees each order before it is carried out: the minion's id and the call's path.
pub type Observer = Box<dyn FnMut(&str, &str) + Send>;

type RunKey = (String, u64);

#[derive(Debug, Clone)]
struct Run {
    spec: String,
    started_at: Instant,
    work: Option<Duration>,
    end: &'static str,
    stops_at: Option<Instant>,
}

pub struct Minion {
    pub id: String,
    pub pool: String,
    pub address: SocketAddr,
    pub labels: Vec<String>,
    pub capacity: (u64, u64),
    pub zone: String,
    server: Option<Server>,
    born_ms: u64,
    born_at: Instant,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<RunKey, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    closed: BTreeMap<String, u64>,
    /// Cut off from all entries: it gets and answers no call of them, and runs on.
    pub is_cut: bool,
    heartbeat_at: Instant,
    sequence: u64,
}

/// An end of a run.
#[derive(Debug, Clone)]
pub struct End {
    minion: String,
    task: String,
    run: u64,
    pub how: &'static str,
}

#[derive(Default)]
pub struct Crew {
    pub minions: BTreeMap<String, Minion>,
    /// The minion of each start that was carried out.
    pub starts: Vec<String>,
    /// The number of starts that were refused for want of a ticket.
    pub without_ticket: u32,
    pub ends: Vec<End>,
    /// Pairs of runs of one task that were at work at the same time on minions that were up.
    pub doubled: Vec<String>,
    /// The highest number of runs of each task that were carried out, for `fails`.
    runs_of: BTreeMap<String, u32>,
    /// The fencing token of the last request for a report that each minion has answered.
    pub reports: BTreeMap<String, u64>,
}

pub struct Workers {
    pub crew: Mutex<Crew>,
    pub changed: Condvar,
    observer: Mutex<Option<Observer>>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// The longest lease: `maxHoldMs` of the settings.
    lease_max_ms: u64,
    stop_grace: Duration,
}

fn word<'a>(spec: &'a str, name: &str) -> Option<&'a str> {
    spec.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// The ticket for a step's tasks on a minion.
fn ticket(step: &str, minion: &str) -> String {
    format!("{step}@{minion}")
}

/// Answers a call for advice: all minions that are named may run the step.
pub fn advise(request: &Request) -> Reply {
    let body = request.json();
    let step = body.get("step").str();
    let rows = body
        .get("workers")
        .items()
        .iter()
        .map(|id| Json::List(vec![text(id.str()), text(ticket(step, id.str()))]));
    let answer = [
        ("good", Json::List(rows.collect())),
        ("validMs", num(3_000)),
    ];
    Reply::Answer(200, object(answer))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Minion {
    fn clock_ms(&self) -> u64 {
        1_000 + self.born_at.elapsed().as_millis() as u64
    }

    fn entry(&self) -> Json {
        let labels = self.labels.iter().map(|label| text(&**label)).collect();
        object([
            ("service", text(&*self.pool)),
            ("address", text(self.address.to_string())),
            ("zone", text(&*self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            (
                "capacity",
                object([
                    ("cpu", num(self.capacity.0)),
                    ("memMb", num(self.capacity.1)),
                    ("gpu", num(0)),
                ]),
            ),
            ("labels", Json::List(labels)),
            ("clockMs", num(self.clock_ms())),
            ("born", num(self.born_ms)),
            ("sequence", num(self.sequence)),
        ])
    }
}

impl Workers {
    pub fn new(
        store: Arc<Store>,
        record: Arc<Record>,
        lease_max_ms: u64,
        stop_grace: Duration,
    ) -> Arc<Self> {
        let workers = Arc::new(Self {
            crew: Mutex::default(),
            changed: Condvar::new(),
            observer: Mutex::default(),
            store,
            record,
            lease_max_ms,
            stop_grace,
        });
        let ticker = Arc::clone(&workers);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(4));
                ticker.tick();
            }
        });
        workers
    }

    pub fn set_observer(&self, observer: Observer) {
        *self.observer.lock().unwrap() = Some(observer);
    }

    /// Starts a minion at an address; port 0 takes a free one.
    pub fn add(
        self: &Arc<Self>,
        id: &str,
        pool: &str,
        zone: &str,
        at: SocketAddr,
        capacity: (u64, u64),
        labels: &[&str],
    ) -> std::io::Result<()> {
        let (workers, name) = (Arc::clone(self), id.to_owned());
        let server = Server::open(at, Arc::new(move |request| workers.answer(&name, &request)))?;
        let now = Instant::now();
        let minion = Minion {
            id: id.to_owned(),
            pool: pool.to_owned(),
            address: server.address,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            capacity,
            zone: zone.to_owned(),
            server: Some(server),
            born_ms: unix_ms(),
            born_at: now,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
            is_cut: false,
            heartbeat_at: now,
            sequence: 0,
        };
        self.store
            .write(&format!("servers/{id}"), &minion.entry().to_string());
        self.crew
            .lock()
            .unwrap()
            .minions
            .insert(id.to_owned(), minion);
        self.record.line(id, "minion is up");
        Ok(())
    }

    /// Ends a minion. Its runs end with it, and its entry is removed from the store.
    pub fn end(&self, id: &str) {
        let mut crew = self.crew.lock().unwrap();
        if let Some(minion) = crew.minions.remove(id) {
            if let Some(server) = &minion.server {
                server.close();
            }
            let runs: Vec<String> = minion
                .running
                .keys()
                .map(|(task, run)| format!("{task} run {run}"))
                .collect();
            self.record.line(
                id,
                &format!("minion has ended; it ran: {}", runs.join(", ")),
            );
        }
        drop(crew);
        self.changed.notify_all();
        self.store.erase(&format!("servers/{id}"));
    }

    pub fn set_cut(&self, id: &str, is_cut: bool) {
        if let Some(minion) = self.crew.lock().unwrap().minions.get_mut(id) {
            minion.is_cut = is_cut;
        }
        self.changed.notify_all();
        let what = if is_cut {
            "is cut off and runs on"
        } else {
            "is connected again"
        };
        self.record.line(id, &format!("minion {what}"));
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut crew = self.crew.lock().unwrap();
        let mut beats = Vec::new();
        let mut ends = Vec::new();
        for minion in crew.minions.values_mut() {
            let clock_ms = minion.clock_ms();
            let has_lapsed = clock_ms > minion.lease_until_ms;
            let due: Vec<(RunKey, &'static str)> = minion
                .running
                .iter()
                .filter_map(|(key, run)| {
                    if run.stops_at.is_some_and(|at| now >= at) {
                        Some((key.clone(), "stopped"))
                    } else if run.work.is_some_and(|work| now >= run.started_at + work) {
                        Some((key.clone(), run.end))
                    } else {
                        has_lapsed.then(|| (key.clone(), "lapsed"))
                    }
                })
                .collect();
            for (key, how) in due {
                minion.running.remove(&key);
                minion.ends += 1;
                let highest = minion.closed.entry(key.0.clone()).or_insert(0);
                *highest = key.1.max(*highest);
                minion.ended.push((minion.ends, key.0.clone(), key.1, how));
                ends.push(End {
                    minion: minion.id.clone(),
                    task: key.0,
                    run: key.1,
                    how,
                });
            }
            if now.saturating_duration_since(minion.heartbeat_at) >= HEARTBEAT {
                minion.heartbeat_at = now;
                minion.sequence += 1;
                beats.push((minion.id.clone(), minion.entry().to_string()));
            }
        }
        let has_ends = !ends.is_empty();
        for end in ends {
            self.record.line(
                &end.minion,
                &format!("{} run {} ends {}", end.task, end.run, end.how),
            );
            crew.ends.push(end);
        }
        drop(crew);
        if has_ends {
            self.changed.notify_all();
        }
        for (id, entry) in beats {
            self.store.write(&format!("servers/{id}"), &entry);
        }
    }

    fn answer(self: &Arc<Self>, id: &str, request: &Request) -> Reply {
        let body = request.json();
        {
            let crew = self.crew.lock().unwrap();
            let Some(minion) = crew.minions.get(id) else {
                return Reply::Silence;
            };
            if minion.is_cut {
                return Reply::Silence;
            }
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != id {
            return Reply::Answer(421, Json::Null);
        }
        if let Some(observer) = &mut *self.observer.lock().unwrap() {
            observer(id, &request.path);
        }
        match request.path.rsplit('/').next().unwrap_or_default() {
            "run-start" => self.start(id, &body),
            "run-stop" => self.stop(id, &body),
            "hold" => self.hold(id, &body),
            "pace" => self.with(id, &body, |_| None),
            _ => Reply::Answer(400, Json::Null),
        }
    }

    /// Checks the fencing token and applies `change`, which returns a reason to refuse.
    fn with(
        &self,
        id: &str,
        body: &Json,
        change: impl FnOnce(&mut Minion) -> Option<&'static str>,
    ) -> Reply {
        let mut crew = self.crew.lock().unwrap();
        let Some(minion) = crew.minions.get_mut(id) else {
            return Reply::Silence;
        };
        let token = body.get("fencingToken").u64().unwrap_or(0);
        let reason = if token < minion.token {
            Some("fence")
        } else {
            minion.token = token;
            change(minion)
        };
        let clock = ("clockMs", num(minion.clock_ms()));
        match reason {
            None => Reply::Answer(200, object([clock])),
            Some(reason) => Reply::Answer(409, object([clock, ("reason", text(reason))])),
        }
    }

    fn start(&self, id: &str, body: &Json) -> Reply {
        let task = body.get("task").str().to_owned();
        let run = body.get("runId").u64().unwrap_or(0);
        let spec = body.get("spec").str().to_owned();
        let deadline_ms = body.get("deadlineMs").u64().unwrap_or(0);
        let lease_max_ms = self.lease_max_ms;
        let is_advised = spec.split_whitespace().any(|word| word == "advised");
        let has_ticket = body.get("ticket").str()
            == ticket(task.rsplit_once('.').map_or("", |(step, _)| step), id);
        if is_advised && !has_ticket {
            self.crew.lock().unwrap().without_ticket += 1;
            return self.with(id, body, |_| Some("ticket"));
        }
        let runs_before = *self.crew.lock().unwrap().runs_of.get(&task).unwrap_or(&0);
        let mut is_new = false;
        let reply = self.with(id, body, |minion| {
            let key = (task.clone(), run);
            let clock_ms = minion.clock_ms();
            let lease = deadline_ms.min(clock_ms + lease_max_ms);
            if minion.running.contains_key(&key) {
                minion.lease_until_ms = minion.lease_until_ms.max(lease);
                return None;
            }
            if clock_ms > deadline_ms {
                return Some("late");
            }
            minion.lease_until_ms = minion.lease_until_ms.max(lease);
            if minion
                .closed
                .get(&task)
                .is_some_and(|closed| run <= *closed)
            {
                return Some("old");
            }
            let ms = word(&spec, "ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(500);
            let fails: u32 = word(&spec, "fails")
                .and_then(|count| count.parse().ok())
                .unwrap_or(0);
            let is_lasting = spec.split_whitespace().any(|word| word == "lasts");
            let end = if runs_before < fails {
                "failed"
            } else {
                "done"
            };
            minion.running.insert(
                key,
                Run {
                    spec: spec.clone(),
                    started_at: Instant::now(),
                    work: (!is_lasting).then(|| Duration::from_millis(ms)),
                    end,
                    stops_at: None,
                },
            );
            is_new = true;
            None
        });
        if is_new {
            let mut crew = self.crew.lock().unwrap();
            *crew.runs_of.entry(task.clone()).or_default() += 1;
            let others: Vec<String> = crew
                .minions
                .values()
                .flat_map(|minion| minion.running.keys().map(move |key| (minion, key)))
                .filter(|(minion, (other, number))| {
                    *other == task && (minion.id != id || *number != run)
                })
                .map(|(minion, (_, number))| format!("run {number} on {}", minion.id))
                .collect();
            if !others.is_empty() {
                let what = format!(
                    "{task} starts as run {run} on {id} while it runs as {}",
                    others.join(" and ")
                );
                self.record.line(id, &format!("TWICE: {what}"));
                crew.doubled.push(what);
            }
            crew.starts.push(id.to_owned());
            self.record.line(
                id,
                &format!(
                    "{task} run {run} starts, token {}",
                    body.get("fencingToken")
                ),
            );
            drop(crew);
            self.changed.notify_all();
        }
        reply
    }

    fn stop(&self, id: &str, body: &Json) -> Reply {
        let task = body.get("task").str().to_owned();
        let run = body.get("runId").u64().unwrap_or(0);
        let stops_at = Instant::now() + self.stop_grace;
        self.with(id, body, |minion| {
            if let Some(running) = minion.running.get_mut(&(task.clone(), run)) {
                running.stops_at.get_or_insert(stops_at);
            } else {
                let closed = minion.closed.entry(task).or_insert(0);
                *closed = run.max(*closed);
            }
            None
        })
    }

    fn hold(&self, id: &str, body: &Json) -> Reply {
        let last_seen = body.get("lastSeen").u64().unwrap_or(0);
        let wait = Duration::from_millis(body.get("waitMs").u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let lease_max_ms = self.lease_max_ms;
        let born_at = self
            .crew
            .lock()
            .unwrap()
            .minions
            .get(id)
            .map(|minion| minion.born_at);
        let checked = self.with(id, body, |minion| {
            minion.ended.retain(|(number, ..)| *number > last_seen);
            if let Some(deadline_ms) = body.get("deadlineMs").u64() {
                let lease = deadline_ms.min(minion.clock_ms() + lease_max_ms);
                minion.lease_until_ms = minion.lease_until_ms.max(lease);
            }
            None
        });
        if !matches!(checked, Reply::Answer(200, _)) {
            return checked;
        }
        let mut crew = self.crew.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Some(minion) = crew.minions.get(id) else {
                return Reply::Silence;
            };
            if minion.is_cut || Some(minion.born_at) != born_at {
                return Reply::Silence;
            }
            if !minion.ended.is_empty() || left.is_zero() {
                let reply = Reply::Answer(200, report(minion));
                let token = minion.token;
                crew.reports.insert(id.to_owned(), token);
                self.changed.notify_all();
                return reply;
            }
            (crew, _) = self.changed.wait_timeout(crew, left).unwrap();
        }
    }
}

fn report(minion: &Minion) -> Json {
    let running = minion.running.iter().map(|((task, run), state)| {
        let elapsed = state.started_at.elapsed();
        let percent = match state.work {
            Some(work) => {
                (elapsed.as_secs_f64() / work.as_secs_f64().max(0.001) * 100.0).min(99.0) as u64
            }
            None => u64::from(elapsed >= STARTUP) * 100,
        };
        let load = if state.spec.contains("lasts") { 5 } else { 1 };
        Json::List(vec![
            text(&**task),
            num(*run),
            text(""),
            num(percent),
            num(load),
        ])
    });
    let ended = minion
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| {
            Json::List(vec![
                num(*number),
                text(&**task),
                num(*run),
                text(*how),
                text(""),
            ])
        });
    object([
        ("clockMs", num(minion.clock_ms())),
        ("born", num(minion.born_ms)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}
