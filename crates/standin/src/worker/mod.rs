//! A worker whose tasks run as their payload says.
//!
//! A payload is a list of words: `run_ms=200` sets the run time in milliseconds, `fail` makes the task fail at its end.
//! A task whose lease is not renewed is stopped. A task that was checkpointed continues from there when a later attempt
//! resumes it. The [`RunBook`] that workers share counts concurrent attempts of each task, so that a test can verify
//! that no task ran twice at once.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcrest_ports::worker::{
    CommandTask, StartTask, TaskCommand, TaskPhase, TaskReport, WorkerReport,
};
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::Epoch;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::{self, Answer, HangUp};

/// The run time of a task whose payload has no `run_ms`.
const RUN_DEFAULT: Duration = Duration::from_millis(100);

/// Counts of the attempts that ran on all workers that share it, and the checkpoints of tasks.
#[derive(Debug, Default)]
pub struct RunBook {
    inner: Mutex<RunBookInner>,
}

#[derive(Debug, Default)]
struct RunBookInner {
    running: HashMap<TaskKey, u32>,
    running_by_team: HashMap<TeamName, u32>,
    peak_by_team: HashMap<TeamName, u32>,
    started: HashMap<TaskKey, u32>,
    succeeded: HashMap<TaskKey, u32>,
    resumed: HashMap<TaskKey, u32>,
    checkpoints: HashMap<TaskKey, Duration>,
    overlaps: u32,
}

impl RunBook {
    fn lock(&self) -> MutexGuard<'_, RunBookInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many attempts started while another attempt of the same task was running.
    #[must_use]
    pub fn overlaps(&self) -> u32 {
        self.lock().overlaps
    }

    /// Returns how many attempts of `task` have started.
    #[must_use]
    pub fn started(&self, task: TaskKey) -> u32 {
        self.lock().started.get(&task).copied().unwrap_or(0)
    }

    /// Returns how many attempts of `task` have succeeded.
    #[must_use]
    pub fn succeeded(&self, task: TaskKey) -> u32 {
        self.lock().succeeded.get(&task).copied().unwrap_or(0)
    }

    /// Returns how many attempts of `task` have resumed from a checkpoint.
    #[must_use]
    pub fn resumed(&self, task: TaskKey) -> u32 {
        self.lock().resumed.get(&task).copied().unwrap_or(0)
    }

    /// Returns the run time that the checkpoint of `task` covers, and counts a resumption if there is one.
    fn resume(&self, task: TaskKey) -> Duration {
        let mut book = self.lock();
        let saved = book.checkpoints.get(&task).copied().unwrap_or_default();
        *book.resumed.entry(task).or_default() += u32::from(!saved.is_zero());
        saved
    }

    /// Returns the peak number of concurrent attempts of `team`.
    #[must_use]
    pub fn most_running(&self, team: &TeamName) -> u32 {
        self.lock().peak_by_team.get(team).copied().unwrap_or(0)
    }

    fn begin(&self, task: TaskKey, team: &TeamName) {
        let mut book = self.lock();
        *book.started.entry(task).or_default() += 1;
        let running = book.running.entry(task).or_default();
        *running += 1;
        let is_overlap = *running > 1;
        book.overlaps += u32::from(is_overlap);
        let team_running = book.running_by_team.entry(team.clone()).or_default();
        *team_running += 1;
        let team_running = *team_running;
        let peak = book.peak_by_team.entry(team.clone()).or_default();
        *peak = team_running.max(*peak);
    }

    fn end(&self, task: TaskKey, team: &TeamName, phase: TaskPhase) {
        let mut book = self.lock();
        if let Some(running) = book.running.get_mut(&task) {
            *running -= 1;
        }
        if let Some(team_running) = book.running_by_team.get_mut(team) {
            *team_running -= 1;
        }
        if phase == TaskPhase::Succeeded {
            *book.succeeded.entry(task).or_default() += 1;
        }
    }
}

#[derive(Debug)]
struct Run {
    start: StartTask,
    phase: TaskPhase,
    lease_until: Instant,
    signal: Arc<Notify>,
    /// The phase in which a received command ends the run.
    commanded_end: Option<TaskPhase>,
    started_at: Instant,
    /// The run time that the checkpoint covers from which the run resumed.
    resumed_from: Duration,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<(TaskKey, u32), Run>,
    epochs: HashMap<TaskKey, Epoch>,
    fails_everything: bool,
}

/// One worker. Clones share the state.
#[derive(Debug, Clone)]
pub struct WorkerFake {
    state: Arc<Mutex<State>>,
    book: Arc<RunBook>,
}

impl WorkerFake {
    /// Creates a worker that counts its runs in `book`.
    #[must_use]
    pub fn new(book: Arc<RunBook>) -> Self {
        Self {
            state: Arc::default(),
            book,
        }
    }

    /// Serves until `stop`, and returns the address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no listener can be bound.
    pub async fn listen(&self, stop: CancellationToken) -> io::Result<SocketAddr> {
        let fake = self.clone();
        let handle = move |request| {
            let fake = fake.clone();
            async move { fake.handle(request).await }
        };
        server::listen(stop, handle).await
    }

    /// Sets whether every task fails: new ones as soon as they start, running ones at their end.
    pub fn set_fails_everything(&self, fails: bool) {
        self.state().fails_everything = fails;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, HangUp> {
        let path: Box<str> = request.uri().path().into();
        Ok(match (request.method(), &*path) {
            (&Method::GET, "/v1/report") => server::json(&self.report()),
            (&Method::POST, "/v1/tasks") => {
                match server::read_json::<StartTask>(request.into_body()).await {
                    Some(start) => self.start(start),
                    None => server::text(StatusCode::BAD_REQUEST, "no start"),
                }
            }
            (&Method::POST, "/v1/commands") => {
                match server::read_json::<CommandTask>(request.into_body()).await {
                    Some(command) => self.command(&command),
                    None => server::text(StatusCode::BAD_REQUEST, "no command"),
                }
            }
            _ => server::text(StatusCode::NOT_FOUND, "no such path"),
        })
    }

    fn report(&self) -> WorkerReport {
        let state = self.state();
        let tasks = state.runs.values().map(|run| TaskReport {
            task: run.start.task,
            attempt: run.start.attempt,
            phase: run.phase,
            used: run.start.resources,
        });
        WorkerReport {
            tasks: tasks.collect(),
        }
    }

    fn start(&self, start: StartTask) -> Answer {
        let mut state = self.state();
        let last_epoch = state.epochs.get(&start.task).copied();
        if last_epoch.is_some_and(|last| start.epoch < last) {
            return server::text(StatusCode::CONFLICT, "an older epoch");
        }
        state.epochs.insert(start.task, start.epoch);
        let id = (start.task, start.attempt);
        if state.runs.contains_key(&id) {
            return server::text(StatusCode::ACCEPTED, "");
        }
        let signal = Arc::new(Notify::new());
        let resumed_from = if start.resume {
            self.book.resume(start.task)
        } else {
            Duration::ZERO
        };
        let run_time = run_time(&start, state.fails_everything).saturating_sub(resumed_from);
        let run = Run {
            started_at: Instant::now(),
            resumed_from,
            lease_until: Instant::now() + start.lease(),
            phase: TaskPhase::Running,
            signal: Arc::clone(&signal),
            commanded_end: None,
            start,
        };
        self.book.begin(run.start.task, &run.start.team);
        state.runs.insert(id, run);
        tokio::spawn(self.clone().run(id, Instant::now() + run_time, signal));
        server::text(StatusCode::ACCEPTED, "")
    }

    fn command(&self, command: &CommandTask) -> Answer {
        let mut state = self.state();
        let last_epoch = state.epochs.get(&command.task).copied();
        if last_epoch.is_some_and(|last| command.epoch < last) {
            return server::text(StatusCode::CONFLICT, "an older epoch");
        }
        state.epochs.insert(command.task, command.epoch);
        let Some(run) = state.runs.get_mut(&(command.task, command.attempt)) else {
            return server::text(StatusCode::CONFLICT, "no such task");
        };
        match command.command {
            TaskCommand::Renew => run.lease_until = Instant::now() + run.start.lease(),
            TaskCommand::Throttle => {}
            TaskCommand::Checkpoint => run.commanded_end = Some(TaskPhase::Checkpointed),
            TaskCommand::Stop => run.commanded_end = Some(TaskPhase::Stopped),
        }
        run.signal.notify_one();
        server::text(StatusCode::ACCEPTED, "")
    }

    async fn run(self, id: (TaskKey, u32), ends: Instant, signal: Arc<Notify>) {
        loop {
            let Some(lease_ends) = self.lease_end(id) else {
                return;
            };
            let wake = ends.min(lease_ends);
            let _ = tokio::time::timeout_at(wake, signal.notified()).await;
            if let Some(phase) = self.ended(id, ends) {
                self.finish(id, phase);
                return;
            }
        }
    }

    fn lease_end(&self, id: (TaskKey, u32)) -> Option<Instant> {
        self.state().runs.get(&id).map(|run| run.lease_until)
    }

    fn ended(&self, id: (TaskKey, u32), ends: Instant) -> Option<TaskPhase> {
        let state = self.state();
        let run = state.runs.get(&id)?;
        let now = Instant::now();
        if run.commanded_end.is_some() {
            return run.commanded_end;
        }
        if now >= ends {
            let fails = state.fails_everything || is_failing(&run.start);
            return Some(if fails {
                TaskPhase::Failed
            } else {
                TaskPhase::Succeeded
            });
        }
        (now >= run.lease_until).then_some(TaskPhase::Stopped)
    }

    fn finish(&self, id: (TaskKey, u32), phase: TaskPhase) {
        if let Some(run) = self.state().runs.get_mut(&id) {
            run.phase = phase;
            if phase == TaskPhase::Checkpointed {
                let saved = run.resumed_from + run.started_at.elapsed();
                self.book.lock().checkpoints.insert(run.start.task, saved);
            }
            self.book.end(run.start.task, &run.start.team, phase);
        }
    }
}

fn run_time(start: &StartTask, fails_everything: bool) -> Duration {
    if fails_everything {
        return Duration::ZERO;
    }
    start
        .payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix("run_ms=")?.parse().ok())
        .map_or(RUN_DEFAULT, Duration::from_millis)
}

fn is_failing(start: &StartTask) -> bool {
    start.payload.split_whitespace().any(|word| word == "fail")
}
