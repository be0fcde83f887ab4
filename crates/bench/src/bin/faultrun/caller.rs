//! Callers that send on a seeded schedule and note what they are told.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::AnyError;
use crate::entry::Balancer;

/// The key of the one team.
pub const SECRET: &str = "fault-secret";

const QUEUES: [&str; 3] = ["urgent", "interactive", "batch"];

/// What a caller was told of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The whole answer to it.
    Answered,
    /// It did not run.
    NotRun,
    /// Its outcome is not known.
    Unknown,
    /// The connection broke, so the caller knows nothing.
    Broken,
    /// An answer to another request.
    Foreign,
}

/// When requests are sent, from the start of the run.
#[derive(Debug)]
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

    /// When a fault comes and when it goes.
    pub fn fault_window(&self) -> (Duration, Duration) {
        let count = self.times.len();
        (self.times[count / 3], self.times[count * 2 / 3])
    }
}

/// Whether the request of this number may run twice.
pub const fn is_idempotent(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// Sends the whole load and answers what was told of each request.
pub async fn send(load: Load, balancer: Balancer) -> Result<Vec<Told>, AnyError> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let began = tokio::time::Instant::now();
    let mut tasks = Vec::with_capacity(load.times.len());
    for (number, time) in load.times.into_iter().enumerate() {
        tokio::time::sleep_until(began + time).await;
        let (client, balancer) = (client.clone(), balancer.clone());
        tasks.push(tokio::spawn(ask_again(client, balancer, number)));
    }
    let mut told = Vec::with_capacity(tasks.len());
    for task in tasks {
        told.push(task.await?);
    }
    Ok(told)
}

/// Sends a request, and a second time through another entry if it was told nothing certain of a POST.
async fn ask_again(
    client: Client<HttpConnector, Empty<Bytes>>,
    balancer: Balancer,
    number: usize,
) -> Told {
    let address = |turn: usize| {
        let known = balancer.lock().unwrap_or_else(PoisonError::into_inner);
        known[(number / 2 + turn) % known.len()]
    };
    let first = ask(client.clone(), address(0), number).await;
    if is_idempotent(number) || !matches!(first, Told::Unknown | Told::Broken) {
        return first;
    }
    match ask(client, address(1), number).await {
        // A "not run" to the second send says nothing about the first.
        Told::NotRun => first,
        second => second,
    }
}

async fn ask(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    number: usize,
) -> Told {
    let method = if is_idempotent(number) { "GET" } else { "POST" };
    let queue = QUEUES[number / 2 % QUEUES.len()];
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/q/{queue}/item"))
        .header("authorization", format!("Bearer {SECRET}"))
        .header("idempotency-key", number.to_string())
        .header("x-number", number.to_string())
        .body(Empty::new());
    let Ok(request) = request else {
        return Told::Broken;
    };
    let Ok(answer) = client.request(request).await else {
        return Told::Broken;
    };
    let outcome = answer.headers().get("x-outcome").cloned();
    let status = answer.status();
    let Ok(body) = answer.into_body().collect().await else {
        return if status.is_success() {
            Told::Unknown
        } else {
            Told::Broken
        };
    };
    match outcome.as_ref().map(hyper::header::HeaderValue::as_bytes) {
        Some(b"not-run") => Told::NotRun,
        Some(_) => Told::Unknown,
        None if body.to_bytes() == format!("done {number}") => Told::Answered,
        None => Told::Foreign,
    }
}
