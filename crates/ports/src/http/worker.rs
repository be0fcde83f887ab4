//! Workers over HTTP.
//!
//! A start is a `POST` to `/v1/tasks`, a command a `POST` to `/v1/commands`, the report a `GET` of `/v1/report`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;

use super::call::{Answer, CallError, HttpCaller};
use crate::worker::{CommandTask, StartTask, WorkerError, WorkerReport, Workers};

/// A client of all workers.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    caller: HttpCaller,
    /// For starts; it reuses no connections, so that fewer outcomes are unknown. A task that is not idempotent is given
    /// up when it is unknown whether it has started.
    starter: HttpCaller,
}

impl HttpWorkers {
    /// Returns a client whose calls each wait at most `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(timeout),
            starter: HttpCaller::without_idle(timeout),
        }
    }

    async fn post<T: Serialize>(
        caller: &HttpCaller,
        worker: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<(), WorkerError> {
        let body = serde_json::to_vec(message)
            .map_err(|error| WorkerError::Malformed(error.to_string().into()))?;
        let answer = call(caller, Method::POST, worker, path, body.into());
        let answer = answer.await.map_err(worker_error)?;
        match answer.status {
            StatusCode::ACCEPTED => Ok(()),
            StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => {
                Err(WorkerError::Refused(answer.detail()))
            }
            _ => Err(WorkerError::Malformed(answer.detail())),
        }
    }
}

impl Workers for HttpWorkers {
    async fn start(&self, worker: SocketAddr, start: &StartTask) -> Result<(), WorkerError> {
        Self::post(&self.starter, worker, "/v1/tasks", start).await
    }

    async fn command(&self, worker: SocketAddr, command: &CommandTask) -> Result<(), WorkerError> {
        Self::post(&self.caller, worker, "/v1/commands", command).await
    }

    async fn report(&self, worker: SocketAddr) -> Result<WorkerReport, WorkerError> {
        let report = call(
            &self.caller,
            Method::GET,
            worker,
            "/v1/report",
            Bytes::new(),
        );
        let answer = report
            .await
            // A read changes nothing, so its outcome is never unknown.
            .map_err(|_| WorkerError::Unreachable)?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map_err(|error| WorkerError::Malformed(error.to_string().into())),
            _ => Err(WorkerError::Malformed(answer.detail())),
        }
    }
}

async fn call(
    caller: &HttpCaller,
    method: Method,
    worker: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Answer, CallError> {
    caller
        .call(method, worker, path, HeaderMap::new(), body, Duration::ZERO)
        .await
}

fn worker_error(error: CallError) -> WorkerError {
    match error {
        CallError::NotSent => WorkerError::Unreachable,
        CallError::NoAnswer => WorkerError::OutcomeUnknown,
        CallError::BadRequest(detail) => WorkerError::Malformed(detail),
    }
}
