//! A minion, by the users' page PROTOCOL. What its tasks do stands in the job's `spec`, as words `name=value`:
//!
//! - `run_ms=N`: the task ends as done after N ms of work at full pace.
//! - `fail_ms=N`: the task lasts and fails after N ms.
//! - `crash_ms=N`: the task lasts and crashes its minion after N ms, which is back under its id after [`DOWN_TIME`].
//! - Neither: the task lasts.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Link, NO_ANSWER, Request, serve};
use crate::json::Json;
use crate::store::Store;
use crate::world::{Step, World};

const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A task that lasts is at work after this time.
const STARTUP: Duration = Duration::from_millis(300);

/// A stop takes this long, less than `stopGraceMs`.
const STOP_TIME: Duration = Duration::from_millis(60);

/// `maxHoldMs`.
const LEASE_MAX_MS: u64 = 10_000;

/// How long a minion that has crashed is down.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Longer than any script runs.
const GONE: Duration = Duration::from_secs(3_600);

/// The tail of a serving task beside which nothing fills.
const CALM_TAIL_MS: u64 = 40;

#[derive(Debug)]
struct Run {
    record: usize,
    spec: String,
    step: Step,
    began: Instant,
    worked_ms: f64,
    pace: u64,
    stopping: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, String, usize)>,
    ends_made: u64,
    /// For each task the highest run that was stopped or has ended here.
    closed: HashMap<String, u64>,
    /// Since when a serving task has been over its target beside tasks that fill and work.
    over_since_ms: Option<u64>,
    over_longest_ms: u64,
    /// Spans are counted from this time on.
    over_counts_from_ms: u64,
    paces_seen: u64,
    /// Until when it is down, after a crash.
    down_until: Option<Instant>,
    crashes: u64,
}

/// When a life of a minion began.
#[derive(Debug, Clone, Copy)]
struct Birth {
    at: Instant,
    unix_ms: u64,
}

impl Birth {
    fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |time| time.as_millis());
        Self {
            at: Instant::now(),
            unix_ms: u64::try_from(unix_ms).unwrap_or_default(),
        }
    }
}

pub struct Minion {
    pub id: String,
    service: String,
    zone: String,
    kind: String,
    rack: String,
    cpu: u64,
    mem_mb: u64,
    birth: Mutex<Birth>,
    world: Arc<World>,
    pub link: Arc<Link>,
    /// If not 0, starts get no answer. The first is carried out after this time in milliseconds, each further one 200 ms later.
    pub late_ms: AtomicU64,
    /// How much the tasks that fill raise the tail of the serving tasks here, in milliseconds at full pace.
    pub disturbance_ms: AtomicU64,
    state: Mutex<State>,
    changed: Condvar,
}

/// Where a minion stands and what it has.
pub struct Place<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub rack: &'a str,
    pub cpu: u64,
    pub mem_mb: u64,
}

fn word(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    let (_, value) = words.find(|(known, _)| *known == name)?;
    value.parse().ok()
}

impl Minion {
    /// Starts a minion and registers it in the store.
    pub fn start(place: &Place<'_>, world: &Arc<World>, store: &Arc<Store>) -> Arc<Self> {
        let minion = Arc::new(Self {
            id: place.id.to_owned(),
            service: place.service.to_owned(),
            zone: place.zone.to_owned(),
            kind: place.kind.to_owned(),
            rack: place.rack.to_owned(),
            cpu: place.cpu,
            mem_mb: place.mem_mb,
            birth: Mutex::new(Birth::now()),
            world: Arc::clone(world),
            link: Arc::default(),
            late_ms: AtomicU64::new(0),
            disturbance_ms: AtomicU64::new(0),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let of_calls = Arc::clone(&minion);
        serve(listener, Arc::clone(&minion.link), move |request| {
            Self::receive(&of_calls, request)
        });
        let of_ticks = Arc::clone(&minion);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                of_ticks.tick();
            }
        });
        let (of_beats, store) = (Arc::clone(&minion), Arc::clone(store));
        std::thread::spawn(move || {
            for sequence in 1.. {
                while of_beats.is_down() {
                    std::thread::sleep(TICK);
                }
                store.write(
                    &format!("servers/{}", of_beats.id),
                    &of_beats.entry(&address, sequence),
                );
                std::thread::sleep(HEARTBEAT);
            }
        });
        minion
    }

    fn entry(&self, address: &str, sequence: u64) -> Json {
        let capacity = Json::object(&[
            ("cpu", Json::int(self.cpu)),
            ("memMb", Json::int(self.mem_mb)),
            ("gpu", Json::int(0)),
        ]);
        let labels = Json::List(vec![Json::text(&self.kind), Json::text(&self.rack)]);
        Json::object(&[
            ("service", Json::text(&self.service)),
            ("address", Json::text(address)),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::int(8)),
            ("state", Json::text("ready")),
            ("coldRemainingMs", Json::int(0)),
            ("capacity", capacity),
            ("labels", labels),
            ("clockMs", Json::int(self.clock_ms())),
            ("born", Json::int(self.birth().unix_ms)),
            ("sequence", Json::int(sequence)),
        ])
    }

    /// The machine that it runs on, as the platform lists it.
    pub fn machine(&self) -> Json {
        let capacity = Json::object(&[
            ("cpu", Json::int(self.cpu)),
            ("memMb", Json::int(self.mem_mb)),
            ("gpu", Json::int(0)),
        ]);
        Json::object(&[
            ("machine", Json::text(&format!("m-{}", self.id))),
            ("pool", Json::text(&self.service)),
            ("state", Json::text("up")),
            ("zone", Json::text(&self.zone)),
            (
                "labels",
                Json::List(vec![Json::text(&self.kind), Json::text(&self.rack)]),
            ),
            ("capacity", capacity),
            ("id", Json::text(&self.id)),
        ])
    }

    pub fn service(&self) -> &str {
        &self.service
    }

    fn birth(&self) -> Birth {
        *self.birth.lock().expect("no thread panics here")
    }

    fn is_down(&self) -> bool {
        self.lock().down_until.is_some()
    }

    /// How often it has crashed.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    fn clock_ms(&self) -> u64 {
        1_000 + u64::try_from(self.birth().at.elapsed().as_millis()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the state")
    }

    /// The number of orders on pace that have arrived.
    pub fn paces_seen(&self) -> u64 {
        self.lock().paces_seen
    }

    /// From now on, counts how long a serving task is over its target on end.
    pub fn count_over_target(&self) {
        let mut state = self.lock();
        state.over_counts_from_ms = self.world.ms();
        state.over_longest_ms = 0;
    }

    /// The longest span since then.
    pub fn over_target_longest_ms(&self) -> u64 {
        self.lock().over_longest_ms
    }

    /// The capacity in use, in thousandths of a core and in MB.
    pub fn used(&self) -> (u64, u64) {
        used(&self.lock())
    }

    fn tail_ms(&self, state: &State) -> u64 {
        let filling = state.runs.values().filter(|run| run.step.is_filling);
        let pace: u64 = filling.map(|run| run.pace).sum();
        CALM_TAIL_MS + self.disturbance_ms.load(Ordering::SeqCst) * pace / 100
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if let Some(until) = state.down_until {
            if now >= until {
                state.down_until = None;
                *self.birth.lock().expect("no thread panics here") = Birth::now();
                self.world.note(&format!("{} is back", self.id));
            }
            return;
        }
        let mut live = state.runs.values();
        let is_deadly = live.any(|run| {
            let age_ms = u64::try_from(now.duration_since(run.began).as_millis());
            word(&run.spec, "crash_ms").is_some_and(|ms| age_ms.is_ok_and(|age_ms| age_ms >= ms))
        });
        if is_deadly {
            self.crash(&mut state, now);
            drop(state);
            self.changed.notify_all();
            return;
        }
        let clock_ms = self.clock_ms();
        let has_lapsed = clock_ms > state.lease_until_ms;
        let mut over = Vec::new();
        for (key, run) in &mut state.runs {
            run.worked_ms += TICK.as_secs_f64() * 10.0 * run.pace as f64;
            let age_ms = now.duration_since(run.began).as_millis();
            let is_after = |limit: Option<u64>| limit.is_some_and(|ms| age_ms >= u128::from(ms));
            let is_done = word(&run.spec, "run_ms").is_some_and(|ms| run.worked_ms >= ms as f64);
            let how = if has_lapsed {
                "lapsed"
            } else if run.stopping.is_some_and(|at| now >= at) {
                "stopped"
            } else if run.stopping.is_none() && is_after(word(&run.spec, "fail_ms")) {
                "failed"
            } else if run.stopping.is_none() && is_done {
                "done"
            } else {
                continue;
            };
            over.push((key.clone(), how));
        }
        for (key, how) in &over {
            end(&mut state, key, how, &self.world);
        }
        self.watch_tail(&mut state);
        drop(state);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Crashes for good. Its entry is removed after three heartbeat intervals.
    pub fn crash_for_good(&self, store: &Arc<Store>) {
        let mut state = self.lock();
        let now = Instant::now();
        self.crash(&mut state, now);
        state.down_until = Some(now + GONE);
        drop(state);
        self.changed.notify_all();
        let (store, key) = (Arc::clone(store), format!("servers/{}", self.id));
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            store.erase(&key);
        });
    }

    /// Ends all runs without a report. The next life knows nothing of this one.
    fn crash(&self, state: &mut State, now: Instant) {
        let crashes = state.crashes + 1;
        for run in state.runs.values() {
            self.world.end_run(run.record, "lost with its minion");
        }
        *state = State {
            down_until: Some(now + DOWN_TIME),
            crashes,
            ..State::default()
        };
        self.world.note(&format!("{} crashes", self.id));
    }

    fn watch_tail(&self, state: &mut State) {
        let tail_ms = self.tail_ms(state);
        let mut serving = state.runs.values();
        let is_over = serving.any(|run| run.step.target_ms > 0 && tail_ms > run.step.target_ms);
        let now_ms = self.world.ms();
        if !is_over {
            if state.over_since_ms.take().is_some() {
                self.world.note(&format!(
                    "tail on {} is {tail_ms} ms: within its target",
                    self.id
                ));
            }
            return;
        }
        if state.over_since_ms.is_none() {
            self.world.note(&format!(
                "tail on {} is {tail_ms} ms: over its target",
                self.id
            ));
        }
        let since_ms = *state.over_since_ms.get_or_insert(now_ms);
        let since_ms = since_ms.max(state.over_counts_from_ms);
        state.over_longest_ms = state.over_longest_ms.max(now_ms.saturating_sub(since_ms));
    }

    /// Carries a request out, at once or later.
    fn receive(minion: &Arc<Self>, request: &Request) -> Answer {
        const NEXT_LATE_MS: u64 = 200;
        const UNANSWERED: Duration = Duration::from_secs(2);
        let is_start = request.path.ends_with("/run-start");
        if !is_start || minion.late_ms.load(Ordering::SeqCst) == 0 {
            return minion.handle(request);
        }
        let late_ms = minion.late_ms.fetch_add(NEXT_LATE_MS, Ordering::SeqCst);
        let text = String::from_utf8_lossy(&request.body).into_owned();
        minion.world.note(&format!(
            "a start on {} gets no answer, and is carried out {late_ms} ms later: {text}",
            minion.id
        ));
        let (minion, request) = (Arc::clone(minion), request.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(late_ms));
            let (status, answer) = minion.handle(&request);
            minion.world.note(&format!(
                "the late start is carried out on {}: {status} {answer}: {text}",
                minion.id
            ));
        });
        std::thread::sleep(UNANSWERED);
        (NO_ANSWER, String::new())
    }

    /// Crashes, and is back under its id after this time.
    pub fn crash_for(&self, down: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        self.crash(&mut state, now);
        state.down_until = Some(now + down);
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return (421, "{}".to_owned());
        }
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let token = body.u64("fencingToken").unwrap_or_default();
        let mut state = self.lock();
        if state.down_until.is_some() {
            return (NO_ANSWER, String::new());
        }
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match request.path.strip_prefix("/goldcreststile/") {
            Some("run-start") => self.start_run(&mut state, &body),
            Some("run-stop") => self.stop_run(&mut state, &body),
            Some("pace") => self.pace_run(&mut state, &body),
            Some("hold") => self.hold(state, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        let answer = Json::object(&[
            ("clockMs", Json::int(self.clock_ms())),
            ("reason", Json::text(reason)),
        ]);
        (409, answer.write())
    }

    fn accept(&self) -> Answer {
        (
            200,
            Json::object(&[("clockMs", Json::int(self.clock_ms()))]).write(),
        )
    }

    fn extend(&self, state: &mut State, deadline_ms: Option<u64>) {
        let most = self.clock_ms() + LEASE_MAX_MS;
        let wanted = deadline_ms.unwrap_or_default().min(most);
        state.lease_until_ms = state.lease_until_ms.max(wanted);
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.str("task"), body.u64("runId")) else {
            return (400, "{}".to_owned());
        };
        let deadline_ms = body.u64("deadlineMs").unwrap_or_default();
        if deadline_ms < self.clock_ms() {
            return self.refuse("late");
        }
        let key = (task.to_owned(), run);
        self.extend(state, Some(deadline_ms));
        if state.runs.contains_key(&key) {
            return self.accept();
        }
        if state.closed.get(task).is_some_and(|closed| run <= *closed) {
            return self.refuse("old");
        }
        let ticket = body.str("ticket").unwrap_or_default();
        let advice = self.world.advice.get();
        if advice.is_some_and(|advice| !advice.allows(task, &self.id, ticket)) {
            return self.refuse("ticket");
        }
        let Some((_, step)) = self.world.step_of(task) else {
            return (400, "{}".to_owned());
        };
        let (cpu, mem_mb) = used(state);
        let more = if step.is_filling { 0 } else { step.cpu };
        if cpu + more > self.cpu || mem_mb + step.mem_mb > self.mem_mb {
            return self.refuse("room");
        }
        let record = self.world.begin_run(task, run, &self.id);
        state.runs.insert(
            key,
            Run {
                record,
                spec: body.str("spec").unwrap_or_default().to_owned(),
                step,
                began: Instant::now(),
                worked_ms: 0.0,
                pace: 100,
                stopping: None,
            },
        );
        self.accept()
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.str("task"), body.u64("runId")) else {
            return (400, "{}".to_owned());
        };
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        if let Some(run) = state.runs.get_mut(&(task.to_owned(), run)) {
            run.stopping.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.accept()
    }

    fn pace_run(&self, state: &mut State, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.str("task"), body.u64("runId")) else {
            return (400, "{}".to_owned());
        };
        let percent = body.u64("percent").unwrap_or(100).min(100);
        state.paces_seen += 1;
        if let Some(run) = state.runs.get_mut(&(task.to_owned(), run)) {
            run.pace = percent;
            self.world.note(&format!(
                "pace order on {}: {task} at {percent} percent",
                self.id
            ));
        }
        self.accept()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        self.extend(&mut state, body.u64("deadlineMs"));
        let last_seen = body.u64("lastSeen").unwrap_or_default();
        for (number, .., record) in &state.ended {
            if *number <= last_seen {
                self.world.note_end(*record);
            }
        }
        state.ended.retain(|(number, ..)| *number > last_seen);
        let wait = Duration::from_millis(body.u64("waitMs").unwrap_or_default().min(2_000));
        let until = Instant::now() + wait;
        let birth = self.birth().at;
        while state.ended.is_empty() && state.down_until.is_none() {
            let now = Instant::now();
            if now >= until {
                break;
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.expect("no thread panics with the state").0;
        }
        if state.down_until.is_some() || self.birth().at != birth {
            return (NO_ANSWER, String::new());
        }
        let tail_ms = self.tail_ms(&state);
        let running = state.runs.iter().map(|((task, run), live)| {
            let percent = match word(&live.spec, "run_ms") {
                Some(ms) => (live.worked_ms * 100.0 / ms as f64).min(99.0),
                None if live.began.elapsed() >= STARTUP => 100.0,
                None => 0.0,
            };
            let load = if live.step.target_ms > 0 {
                tail_ms as f64
            } else {
                (live.step.cpu * live.pace / 100) as f64
            };
            Json::List(vec![
                Json::text(task),
                Json::int(*run),
                Json::text(""),
                Json::Number(percent.floor()),
                Json::Number(load),
            ])
        });
        let running = Json::List(running.collect());
        let ended = state.ended.iter().map(|(number, task, run, how, _)| {
            Json::List(vec![
                Json::int(*number),
                Json::text(task),
                Json::int(*run),
                Json::text(how),
                Json::text(""),
            ])
        });
        let ended = Json::List(ended.collect());
        let answer = Json::object(&[
            ("clockMs", Json::int(self.clock_ms())),
            ("born", Json::int(self.birth().unix_ms)),
            ("running", running),
            ("ended", ended),
        ]);
        (200, answer.write())
    }
}

fn used(state: &State) -> (u64, u64) {
    let runs = state.runs.values();
    runs.fold((0, 0), |(cpu, mem_mb), run| {
        let of_run = if run.step.is_filling { 0 } else { run.step.cpu };
        (cpu + of_run, mem_mb + run.step.mem_mb)
    })
}

fn end(state: &mut State, key: &(String, u64), how: &str, world: &World) {
    let Some(run) = state.runs.remove(key) else {
        return;
    };
    let (task, number) = key;
    state.ends_made += 1;
    let row = (
        state.ends_made,
        task.clone(),
        *number,
        how.to_owned(),
        run.record,
    );
    state.ended.push(row);
    let closed = state.closed.entry(task.clone()).or_default();
    *closed = (*number).max(*closed);
    world.end_run(run.record, how);
}
