//! The HTTP client of an entry's operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_api::{
    CatalogueView, EditAnswer, EditRequest, Explanation, InForce, Problem, ProblemCode, Status,
    Subject, path,
};
use goldcrest_ports::http::call::Answer;
use goldcrest_ports::http::{CallError, HttpCaller};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::exit::Exit;

/// The longest wait for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

quick_error! {
    /// A call that gave no result.
    #[derive(Debug)]
    pub enum ClientError {
        /// No answer arrived, and the entry has changed nothing.
        Unreachable(entry: SocketAddr) {
            display("no answer from the entry at {entry}: name another one with --entry")
        }
        /// An edit was sent and no answer arrived: it may have been applied.
        OutcomeUnknown(entry: SocketAddr) {
            display("no answer from the entry at {entry}: whether the edit was applied is not known")
        }
        /// The entry answered with a problem document.
        Problem(problem: Problem) {
            display("{problem}")
        }
        /// The key holds characters that an HTTP header can't carry.
        Key {
            display("the operator's key holds characters that can't be sent: copy it anew")
        }
        /// The answer can't be parsed, or the request can't be built.
        Malformed(detail: Box<str>) {
            display("the entry's answer can't be read ({detail}): use a goldcrestctl of the entry's version")
        }
    }
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::OutcomeUnknown(_) | Self::Malformed(_) => Exit::OutcomeUnknown,
            Self::Key => Exit::Usage,
            Self::Problem(problem) => match problem.code {
                ProblemCode::OutcomeUnknown => Exit::OutcomeUnknown,
                ProblemCode::Unauthorized
                | ProblemCode::NotFound
                | ProblemCode::BadRequest
                | ProblemCode::EditRefused
                | ProblemCode::NotApplied => Exit::Refused,
            },
        }
    }
}

/// A client of one entry's operators' interface.
#[derive(Debug)]
pub struct Client {
    caller: HttpCaller,
    entry: SocketAddr,
    authorization: HeaderValue,
}

impl Client {
    /// Creates a client that calls the entry at `entry` and authenticates with `key`.
    ///
    /// # Errors
    ///
    /// [`ClientError::Key`] if the key holds characters that an HTTP header can't carry.
    pub fn new(entry: SocketAddr, key: &str) -> Result<Self, ClientError> {
        let mut authorization =
            HeaderValue::try_from(format!("Bearer {key}")).map_err(|_| ClientError::Key)?;
        authorization.set_sensitive(true);
        Ok(Self {
            caller: HttpCaller::new(CALL_TIMEOUT),
            entry,
            authorization,
        })
    }

    /// Fetches the catalogue in force at the entry, with its revision.
    ///
    /// # Errors
    ///
    /// [`ClientError::Unreachable`], [`ClientError::Problem`] or [`ClientError::Malformed`].
    pub async fn catalogue(&self) -> Result<CatalogueView, ClientError> {
        self.get(path::CATALOGUE).await
    }

    /// Fetches the revision that is in force on each entry.
    ///
    /// # Errors
    ///
    /// [`ClientError::Unreachable`], [`ClientError::Problem`] or [`ClientError::Malformed`].
    pub async fn in_force(&self) -> Result<InForce, ClientError> {
        self.get(path::IN_FORCE).await
    }

    /// Fetches the state of the entry, the store, pools, teams and waves.
    ///
    /// # Errors
    ///
    /// [`ClientError::Unreachable`], [`ClientError::Problem`] or [`ClientError::Malformed`].
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.get(path::STATUS).await
    }

    /// Fetches the last decisions about a subject, with their reasons.
    ///
    /// # Errors
    ///
    /// [`ClientError::Unreachable`], [`ClientError::Problem`] or [`ClientError::Malformed`].
    pub async fn explain(&self, subject: Subject, id: &str) -> Result<Explanation, ClientError> {
        self.get(&format!("{}/{subject}/{id}", path::EXPLAIN)).await
    }

    /// Sends an edit of the catalogue once. The answer holds the revision of the edit.
    ///
    /// # Errors
    ///
    /// An error whose [`ClientError::exit`] is [`Exit::OutcomeUnknown`] leaves open whether the edit was applied; after
    /// any other it was not.
    pub async fn edit(&self, request: &EditRequest) -> Result<EditAnswer, ClientError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| ClientError::Malformed(error.to_string().into()))?;
        let answer = self.call(Method::POST, path::EDITS, body.into()).await;
        let answer = answer.map_err(|error| match error {
            CallError::NotSent => ClientError::Unreachable(self.entry),
            CallError::NoAnswer => ClientError::OutcomeUnknown(self.entry),
            CallError::BadRequest(detail) => ClientError::Malformed(detail),
        })?;
        read(&answer)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        read(&answer.map_err(|error| match error {
            CallError::NotSent | CallError::NoAnswer => ClientError::Unreachable(self.entry),
            CallError::BadRequest(detail) => ClientError::Malformed(detail),
        })?)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CallError> {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, self.authorization.clone());
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.caller
            .call(method, self.entry, path, headers, body, Duration::ZERO)
            .await
    }
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, ClientError> {
    let malformed = |error: serde_json::Error| ClientError::Malformed(error.to_string().into());
    if answer.status == StatusCode::OK {
        return serde_json::from_slice(&answer.body).map_err(malformed);
    }
    let problem: Problem = serde_json::from_slice(&answer.body).map_err(malformed)?;
    Err(ClientError::Problem(problem))
}
