//! Submitters of tasks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ports::http::HttpCaller;
use goldcrest_types::names::TaskKey;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

/// The longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize)]
struct Need {
    cpu_millis: u32,
    memory_bytes: u64,
}

#[derive(Debug, Serialize)]
struct Submission<'a> {
    key: Box<str>,
    queue: &'a str,
    need: Need,
    run_ms: u64,
    payload: Box<str>,
    idempotent: bool,
}

#[derive(Debug, Deserialize)]
struct View {
    state: Box<str>,
}

/// A submitter with its team's key.
#[derive(Debug)]
pub struct Submitter {
    http: HttpCaller,
    address: SocketAddr,
    authorization: Option<HeaderValue>,
}

impl Submitter {
    /// A submitter at the entry whose tasks' interface is at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            http: HttpCaller::new(CALL_TIMEOUT),
            address,
            authorization: HeaderValue::try_from(format!("Bearer {key}")).ok(),
        }
    }

    /// Submits a task that runs for `run` and, if it is idempotent, may run again. Returns whether it was accepted.
    pub async fn submit(&self, key: TaskKey, queue: &str, run: Duration, idempotent: bool) -> bool {
        let run_ms = u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
        let submission = Submission {
            key: key.to_string().into(),
            queue,
            need: Need {
                cpu_millis: 500,
                memory_bytes: 1 << 20,
            },
            run_ms,
            payload: format!("run_ms={run_ms}").into(),
            idempotent,
        };
        let Ok(body) = serde_json::to_vec(&submission) else {
            return false;
        };
        let answer = self.call(Method::POST, "/v1/tasks", body.into()).await;
        answer.is_some_and(|(status, _)| status == StatusCode::ACCEPTED)
    }

    /// The state of a task, as the entry tells it.
    pub async fn state(&self, key: TaskKey) -> Option<Box<str>> {
        let path = format!("/v1/tasks/{key}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        if status != StatusCode::OK {
            return None;
        }
        let view: View = serde_json::from_slice(&body).ok()?;
        Some(view.state)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Option<(StatusCode, Bytes)> {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, self.authorization.clone()?);
        let answer = self
            .http
            .call(method, self.address, path, headers, body, Duration::ZERO)
            .await
            .ok()?;
        Some((answer.status, answer.body))
    }
}
