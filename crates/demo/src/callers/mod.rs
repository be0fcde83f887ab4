//! Callers that send requests without a pause and note how each ended.
//!
//! Each request has a body of its own, so an answer to another request, or one that is cut short, is seen. A request
//! that is not idempotent carries an `Idempotency-Key`, by which the upstreams count how often it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::http::call::Answer;
use goldcrest_ports::http::{CallError, HttpCaller};
use goldcrest_standin::upstream::CallBook;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// The longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(5);

/// The header that tells whether a refused request ran.
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// How requests ended.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
    /// Answered with another request's answer, or cut short.
    pub wrong: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused as not run although it had run.
    pub not_run_but_ran: u64,
    /// Ended with an unknown outcome, by a refusal that says so or without a whole answer.
    pub unknown: u64,
    /// Those of them without a whole answer: they were cut.
    pub cut: u64,
    /// Refused with neither word.
    pub unclear: u64,
    /// The codes of the refusals, with how often each came.
    codes: BTreeMap<Box<str>, u64>,
}

impl Tally {
    /// The codes of the refusals, for people.
    #[must_use]
    pub fn codes_text(&self) -> String {
        if self.codes.is_empty() {
            return String::new();
        }
        let counted = self
            .codes
            .iter()
            .map(|(code, count)| format!("{count} {code}"));
        format!(" ({})", counted.collect::<Vec<_>>().join(", "))
    }
}

/// The part of a problem document that is counted.
#[derive(Debug, Deserialize)]
struct ProblemCode {
    code: Box<str>,
}

/// What one caller sends.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The queue.
    pub queue: &'static str,
    /// The key, if it has one.
    pub key: Option<Box<str>>,
    /// Whether its requests are idempotent.
    pub is_idempotent: bool,
    /// How long the upstream takes, in milliseconds.
    pub delay_ms: u32,
}

/// The entries that callers know, as the balancer shows them.
pub type Targets = Arc<Mutex<Vec<SocketAddr>>>;

/// Callers that run in the background.
pub struct Callers {
    tally: Arc<Mutex<Tally>>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    /// Starts `count` callers of one plan. `label` keeps their requests apart from others'.
    #[must_use]
    pub fn start(
        label: &str,
        count: u32,
        plan: &Plan,
        targets: &Targets,
        book: &Arc<CallBook>,
    ) -> Self {
        let mut callers = Self {
            tally: Arc::default(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
        };
        for number in 0..count {
            let caller = Caller {
                http: HttpCaller::new(CALL_TIMEOUT),
                label: format!("{label}-{number}").into(),
                plan: plan.clone(),
                targets: Arc::clone(targets),
                book: Arc::clone(book),
                tally: Arc::clone(&callers.tally),
            };
            let stop = callers.stop.clone();
            callers.tasks.spawn(caller.run(stop));
        }
        callers
    }

    /// The counts so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Lets every request that is on its way end, and returns the counts.
    pub async fn finish(mut self) -> Tally {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.tally()
    }
}

struct Caller {
    http: HttpCaller,
    label: Box<str>,
    plan: Plan,
    targets: Targets,
    book: Arc<CallBook>,
    tally: Arc<Mutex<Tally>>,
}

impl Caller {
    async fn run(self, stop: CancellationToken) {
        let mut number: usize = 0;
        while !stop.is_cancelled() {
            number += 1;
            let target = {
                let targets = lock(&self.targets);
                let index = number % targets.len().max(1);
                targets.get(index).copied()
            };
            if let Some(target) = target {
                self.call(target, number).await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn call(&self, target: SocketAddr, number: usize) {
        let id = format!("{}-{number}", self.label);
        let (method, path) = self.request_line();
        let body = Bytes::from(format!("body of {id}"));
        let headers = self.headers(&id);
        let result = self
            .http
            .call(method, target, &path, headers, body.clone(), Duration::ZERO)
            .await;
        self.note(&id, &body, result);
    }

    fn request_line(&self) -> (Method, String) {
        let plan = &self.plan;
        let method = if plan.is_idempotent {
            Method::PUT
        } else {
            Method::POST
        };
        let path = format!("/q/{}/work?delay_ms={}", plan.queue, plan.delay_ms);
        (method, path)
    }

    fn headers(&self, id: &str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, text: &str| {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("idempotency-key", id);
        if let Some(key) = &self.plan.key {
            set("authorization", &format!("Bearer {key}"));
        }
        headers
    }

    fn note(&self, id: &str, body: &Bytes, result: Result<Answer, CallError>) {
        let runs = self.book.runs(id);
        let mut tally = lock(&self.tally);
        tally.sent += 1;
        let answer = match result {
            Ok(answer) => answer,
            // The balancer sends a caller on whose connection was refused; here it counts as refused.
            Err(CallError::NotSent) => {
                tally.not_run += 1;
                return;
            }
            Err(CallError::NoAnswer | CallError::BadRequest(_)) => {
                tally.unknown += 1;
                tally.cut += 1;
                return;
            }
        };
        if answer.status == StatusCode::OK {
            if answer.body == *body {
                tally.answered += 1;
            } else {
                tally.wrong += 1;
            }
            return;
        }
        if let Ok(problem) = serde_json::from_slice::<ProblemCode>(&answer.body) {
            *tally.codes.entry(problem.code).or_default() += 1;
        }
        match answer
            .headers
            .get(OUTCOME)
            .and_then(|value| value.to_str().ok())
        {
            Some("not-run") => {
                tally.not_run += 1;
                tally.not_run_but_ran += u64::from(runs > 0);
            }
            Some("unknown") => tally.unknown += 1,
            _ => tally.unclear += 1,
        }
    }
}
