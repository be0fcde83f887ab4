//! Responses to task submitters: refusals as problem documents, and views of tasks.

use std::time::Duration;

use goldcrest_ledger::jobs::{Task, TaskOutcome, TaskState};
use goldcrest_types::names::{QueueName, TaskKey};
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, StatusCode};
use quick_error::quick_error;
use serde::Serialize;

use crate::http::{Answer, json};

/// The response header that tells whether refused work ran (`not-run` or `unknown`).
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// The `Retry-After` of refusals that may succeed later.
const COME_BACK: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a request about a task was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refusal {
        /// The path or method is not part of the interface.
        NoPath {
            display("there is no such path: use POST /v1/tasks, or GET or DELETE /v1/tasks/<key>")
        }
        /// The entry has no catalogue yet, or is stopping.
        NotReady {
            display("this entry takes no tasks now: send the task to another one")
        }
        /// The request carries no key.
        NoKey {
            display("no key: send the team's key as a bearer token")
        }
        /// The key is not granted.
        UnknownKey {
            display("the key is not granted, or was withdrawn: ask an operator for a key")
        }
        /// The entry has no fresh proof of the catalogue, so the key may have been withdrawn.
        KeysNotFresh {
            display("this entry can't tell whether the key is still granted: come back after Retry-After")
        }
        /// The catalogue has no such queue.
        NoQueue {
            display("there is no such queue: use the name of a queue in the catalogue")
        }
        /// The queue's pool runs no tasks.
        NoWorkers {
            display("the queue's pool has no workers: send requests to /q/<queue>/, and tasks to a queue of workers")
        }
        /// The request body can't be read or parsed.
        Message(detail: Box<str>) {
            display("{detail}")
        }
        /// The team has no such task, or its outcome is no longer stored.
        NoTask {
            display("the team has no such task: check its key, or ask sooner after its end")
        }
        /// Too many tasks wait to be stored.
        Busy {
            display("too many tasks wait to be stored: come back after Retry-After")
        }
        /// The tasks document refused the step.
        Document(detail: Box<str>) {
            display("{detail}")
        }
        /// The key-value service does not answer.
        Store(detail: Box<str>) {
            display("{detail}")
        }
        /// The outcome of the write is unknown: the task may or may not be stored.
        Unknown(key: TaskKey) {
            display("it is not known whether the task was stored: send it again with the key {key}")
        }
    }
}

impl Refusal {
    const fn status(&self) -> StatusCode {
        match self {
            Self::NoPath | Self::NoQueue | Self::NoTask => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoWorkers | Self::Message(_) => StatusCode::BAD_REQUEST,
            Self::Document(_) => StatusCode::CONFLICT,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::KeysNotFresh | Self::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    const fn code(&self) -> &'static str {
        match self {
            Self::NoPath => "no-path",
            Self::NotReady => "not-ready",
            Self::NoKey => "key-missing",
            Self::UnknownKey => "key-unknown",
            Self::KeysNotFresh => "keys-not-fresh",
            Self::NoQueue => "queue-unknown",
            Self::NoWorkers => "queue-without-workers",
            Self::Message(_) => "bad-request",
            Self::NoTask => "task-unknown",
            Self::Busy => "busy",
            Self::Document(_) => "task-refused",
            Self::Store(_) => "store-unreachable",
            Self::Unknown(_) => "outcome-unknown",
        }
    }

    const fn outcome(&self) -> &'static str {
        match self {
            Self::Unknown(_) => "unknown",
            _ => "not-run",
        }
    }
}

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    code: &'a str,
    detail: Box<str>,
}

/// Returns a refusal as a problem document.
pub fn refused(refusal: &Refusal) -> Answer {
    let status = refusal.status();
    let problem = Problem {
        title: refusal.code(),
        status: status.as_u16(),
        code: refusal.code(),
        detail: refusal.to_string().into(),
    };
    let mut answer = json(status, &problem);
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome()));
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(RETRY_AFTER, HeaderValue::from(COME_BACK.as_secs()));
    }
    answer
}

#[derive(Serialize)]
struct Accepted {
    key: Box<str>,
}

/// Returns the response to a request whose step is in the task's document.
pub fn accepted(key: TaskKey) -> Answer {
    let accepted = Accepted {
        key: key.to_string().into(),
    };
    json(StatusCode::ACCEPTED, &accepted)
}

/// The state of a task as its submitter sees it.
#[derive(Debug, Serialize)]
pub struct TaskView {
    key: Box<str>,
    state: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    queue: Option<QueueName>,
    attempts: u32,
    #[serde(skip)]
    is_ended: bool,
}

impl TaskView {
    /// Returns the view of a task that has not ended.
    pub fn of(key: TaskKey, task: &Task) -> Self {
        let state = match &task.state {
            TaskState::Waiting => "waiting".into(),
            TaskState::Running { worker, .. } => format!("running on {worker}"),
            TaskState::Parked { reason } => format!("parked: {reason}"),
        };
        Self {
            key: key.to_string().into(),
            state: state.into(),
            queue: Some(task.queue.clone()),
            attempts: task.attempts,
            is_ended: false,
        }
    }

    /// Returns the view of a task that has ended. Its queue and attempts are no longer stored.
    pub fn ended(key: TaskKey, outcome: TaskOutcome) -> Self {
        Self {
            key: key.to_string().into(),
            state: outcome.to_string().into(),
            queue: None,
            attempts: 0,
            is_ended: true,
        }
    }

    /// Whether the task has ended.
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }
}

/// Returns the response that shows a task.
pub fn found(view: &TaskView) -> Answer {
    json(StatusCode::OK, view)
}
