//! Callers that send on a seeded schedule and note what they are told.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::AnyError;
use crate::site::Balancer;

/// The key of the one team.
pub const SECRET: &str = "fault-secret";

/// The queue that needs no key.
pub const OPEN_QUEUE: &str = "public";

const QUEUES: [&str; 4] = ["urgent", "interactive", "batch", OPEN_QUEUE];

/// A request that has not ended this long after its caller gave up is never waited for again.
const ENDED_WITHIN: Duration = Duration::from_secs(45);

/// What a caller was told of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// The whole answer to it.
    Answered,
    /// It did not run, for the reason with this code.
    NotRun(Box<str>),
    /// Its outcome is not known, for the reason with this code.
    Unknown(Box<str>),
    /// The connection broke or stayed silent, so the caller knows nothing.
    Broken,
    /// An answer to another request.
    Foreign,
}

/// How callers wait and come again.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// The longest wait for an answer before a request that may run only once is sent again.
    pub wait: Duration,
    /// How often it is sent again while nothing certain is known.
    pub resends: usize,
    /// The wait before each of these.
    pub pause: Duration,
    /// The deadline that callers name, in milliseconds; none leaves it to the queue.
    pub deadline_ms: Option<u64>,
}

/// When requests are sent, from the start of the run.
#[derive(Debug, Clone)]
pub struct Load {
    times: Vec<Duration>,
}

impl Load {
    /// `requests` in a Poisson process of `rate` a second; with a burst, the middle third comes five times as fast.
    pub fn new(seed: u64, requests: usize, rate: f64, has_burst: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut time = 0.0;
        let mut times = Vec::with_capacity(requests);
        for number in 0..requests {
            let is_middle = number > requests / 3 && number < requests * 2 / 3;
            let rate = if has_burst && is_middle {
                rate * 5.0
            } else {
                rate
            };
            time -= (1.0 - rng.random::<f64>()).ln() / rate;
            times.push(Duration::from_secs_f64(time));
        }
        Self { times }
    }

    /// When the middle third begins and ends.
    pub fn middle(&self) -> (Duration, Duration) {
        let count = self.times.len();
        (self.times[count / 3], self.times[count * 2 / 3])
    }
}

/// Whether the request of this number may run twice.
pub const fn is_idempotent(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// The queue of the request of this number.
pub const fn queue_of(number: usize) -> &'static str {
    QUEUES[number / 2 % QUEUES.len()]
}

/// The callers of one run.
#[derive(Debug, Clone)]
pub struct Callers {
    client: Client<HttpConnector, Empty<Bytes>>,
    balancer: Balancer,
    patience: Patience,
}

/// What is read of a refusal.
#[derive(Debug, Deserialize)]
struct Problem {
    code: Box<str>,
}

impl Callers {
    /// Callers that send to whatever `balancer` names.
    pub fn new(balancer: Balancer, patience: Patience) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            balancer,
            patience,
        }
    }

    /// Sends the whole load and answers what was told of each request, once all of them have ended.
    pub async fn send(self, load: Load) -> Result<Vec<Told>, AnyError> {
        let this = Arc::new(self);
        let began = tokio::time::Instant::now();
        let mut tasks = Vec::with_capacity(load.times.len());
        for (number, time) in load.times.into_iter().enumerate() {
            sleep_until(began + time).await;
            let this = Arc::clone(&this);
            tasks.push(tokio::spawn(async move { this.send_one(number).await }));
        }
        let mut told = Vec::with_capacity(tasks.len());
        for task in tasks {
            told.push(task.await?);
        }
        Ok(told)
    }

    /// Sends a request, and again through other entries while nothing certain is known of one that may run only once.
    /// No send is given up: what was not answered in time stays open, as at a caller that asks from two places.
    async fn send_one(&self, number: usize) -> Told {
        let mut open = Vec::new();
        let mut told = self.ask_within(number, 0, &mut open).await;
        if !is_idempotent(number) && matches!(told, Told::Unknown(_) | Told::Broken) {
            for turn in 1..=self.patience.resends {
                sleep(self.patience.pause).await;
                match self.ask_within(number, turn, &mut open).await {
                    // A "not run" to a later send says nothing about the first.
                    Told::NotRun(_) => {}
                    later => told = later,
                }
                if matches!(told, Told::Answered | Told::Foreign) {
                    break;
                }
            }
        }
        for ask in open {
            let ended = timeout(ENDED_WITHIN, ask).await;
            match ended {
                Ok(Ok(Told::Foreign)) => told = Told::Foreign,
                Ok(Ok(Told::Answered)) if told != Told::Foreign => told = Told::Answered,
                Ok(_) | Err(_) => {}
            }
        }
        told
    }

    /// Sends a request once. What is not answered in time goes to `open`.
    async fn ask_within(
        &self,
        number: usize,
        turn: usize,
        open: &mut Vec<JoinHandle<Told>>,
    ) -> Told {
        let address = {
            let known = self.balancer.lock().unwrap_or_else(PoisonError::into_inner);
            known[(number / 2 + turn) % known.len()]
        };
        let (client, deadline_ms) = (self.client.clone(), self.patience.deadline_ms);
        let mut ask = tokio::spawn(ask(client, address, number.to_string(), deadline_ms));
        if let Ok(ended) = timeout(self.patience.wait, &mut ask).await {
            return ended.unwrap_or(Told::Broken);
        }
        open.push(ask);
        Told::Broken
    }

    /// Sends a request that counts nowhere, to see whether an entry answers it by now.
    pub async fn probe(&self, address: SocketAddr, number: usize) -> bool {
        let queue_number = number * 2 + 1;
        let name = format!("probe-{queue_number}");
        ask(self.client.clone(), address, name, None).await == Told::Answered
    }

    /// Whether an entry takes work.
    pub async fn is_ready(&self, address: SocketAddr) -> bool {
        let uri = format!("http://{address}/ready").parse();
        match uri {
            Ok(uri) => {
                let answer = self.client.get(uri).await;
                answer.is_ok_and(|answer| answer.status().is_success())
            }
            Err(_) => false,
        }
    }
}

/// The number in the name of a request or probe.
fn number_of(name: &str) -> usize {
    let digits = name.trim_start_matches("probe-");
    digits.parse().unwrap_or(0)
}

async fn ask(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    name: String,
    deadline_ms: Option<u64>,
) -> Told {
    let number = number_of(&name);
    let method = if is_idempotent(number) { "GET" } else { "POST" };
    let queue = queue_of(number);
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/q/{queue}/item"))
        .header("authorization", format!("Bearer {SECRET}"))
        .header("idempotency-key", &name)
        .header("x-number", &name);
    if let Some(deadline_ms) = deadline_ms {
        request = request.header("x-deadline-ms", deadline_ms);
    }
    let Ok(request) = request.body(Empty::new()) else {
        return Told::Broken;
    };
    let Ok(answer) = client.request(request).await else {
        return Told::Broken;
    };
    let outcome = answer.headers().get("x-outcome").cloned();
    let status = answer.status();
    let Ok(body) = answer.into_body().collect().await else {
        return if status.is_success() {
            Told::Unknown("cut-off".into())
        } else {
            Told::Broken
        };
    };
    let body = body.to_bytes();
    match outcome.as_ref().map(hyper::header::HeaderValue::as_bytes) {
        Some(b"not-run") => Told::NotRun(code(&body)),
        Some(_) => Told::Unknown(code(&body)),
        None if body == format!("done {name}") => Told::Answered,
        None => Told::Foreign,
    }
}

fn code(body: &[u8]) -> Box<str> {
    let problem: Result<Problem, _> = serde_json::from_slice(body);
    problem.map_or_else(|_| "no code".into(), |problem| problem.code)
}
