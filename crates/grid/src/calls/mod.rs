//! Calls of submitters: to submit a job, to ask for its state, to cancel it, and to ask how many wait.
//!
//! Any entry answers any call. A job is accepted by one transaction that creates its status and hands it to its pool's
//! scheduler; the transaction also proves that the catalogue by which the call was judged is still the newest, so a
//! withdrawn key or a dropped queue is refused however late this entry hears of it. A refusal that says "not accepted"
//! is only given when the transaction certainly was not and will not be carried out.

mod cancel;
mod query;
mod submit;

use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::JobId;
use goldcrest_jobs::spec::{JobSpec, JobState};
use goldcrest_types::names::{PoolName, QueueName, TeamName};

use crate::entry::Entry;
use crate::keys::JobStatus;
use crate::ports::{CallError, Item, Platform, Revision, StoredCatalogue};

/// When callers may come back if the cause passes by itself within a second or so.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// The longest time that callers are asked to stay away while the store is out.
const RETRY_MAX: Duration = Duration::from_secs(4);

/// The time that a call may take if its caller sets no limit.
const CALL_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);

/// Kept from a caller's time for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// What a caller wants.
#[derive(Debug)]
pub enum Request {
    /// To submit a job; the text is why its body can't be read.
    Submit(Result<JobSpec, Box<str>>),
    /// To ask for a job's state, or for a queue's count of waiting jobs.
    Ask,
    /// To cancel a job.
    Cancel,
}

impl Request {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Ask => "ask",
            Self::Cancel => "cancel",
        }
    }
}

/// A call.
#[derive(Debug)]
pub struct Call {
    /// The host that it names.
    pub host: Box<str>,
    /// Its path.
    pub path: Box<str>,
    /// The key that came with it.
    pub key: Option<Box<str>>,
    /// How long the caller waits.
    pub time: Option<Duration>,
    /// What it wants.
    pub request: Request,
}

/// Why a call was not carried out, and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No catalogue has been read yet.
    NoCatalogue,
    /// The catalogue may be out of date, and the store can't be asked.
    StaleCatalogue,
    /// The store gives no answers.
    StoreUnresponsive,
    /// The store refused the call.
    StoreRefused,
}

impl Refusal {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalogue => "no catalogue yet",
            Self::StaleCatalogue => "catalogue may be out of date",
            Self::StoreUnresponsive => "store silent",
            Self::StoreRefused => "store refused",
        }
    }
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// The job's state.
    State(JobState),
    /// How many jobs of the queue wait.
    Waiting(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// There is no such queue.
    NoSuchQueue,
    /// The key is missing or unknown.
    UnknownKey,
    /// The call can't be understood; the text names the remedy.
    Malformed(Box<str>),
    /// Not carried out; the caller may come back after this time.
    Refused(Refusal, Duration),
    /// It may or may not have been carried out.
    Unknown,
}

impl Reply {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "state",
            Self::Waiting(_) => "waiting",
            Self::Cancelled => "cancelled",
            Self::NoSuchJob => "no such job",
            Self::NoSuchQueue => "no such queue",
            Self::UnknownKey => "unknown key",
            Self::Malformed(_) => "malformed",
            Self::Refused(refusal, _) => refusal.name(),
            Self::Unknown => "outcome unknown",
        }
    }
}

/// A call whose queue and team were found.
struct Admitted {
    queue: QueueName,
    pool: PoolName,
    team: Option<TeamName>,
    /// The part of the path after the queue's prefix.
    rest: Box<str>,
    catalogue: Revision,
    version: u64,
    /// When the call must be answered.
    deadline: Instant,
}

impl<P: Platform> Entry<P> {
    /// Answers a call.
    pub async fn call(&self, call: Call) -> Reply {
        let began_at = self.now();
        let name = call.request.name();
        let reply = self.answer(&call, began_at).await;
        let took = self.now().saturating_duration_since(began_at);
        self.metrics.call(name, reply.name());
        log::info!(
            target: "calls",
            call = name,
            path = &*call.path,
            took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
            catalogue_ms = self.catalogue_age_ms(),
            outcome = reply.name();
            "Call answered."
        );
        reply
    }

    /// For how long the catalogue in force has not been proved current.
    fn catalogue_age_ms(&self) -> u64 {
        let now = self.now();
        self.catalogue_current_at.get().map_or(u64::MAX, |at| {
            goldcrest_jobs::worker::millis(now.saturating_duration_since(at))
        })
    }

    async fn answer(&self, call: &Call, began_at: Instant) -> Reply {
        let stored = self.catalogue.borrow().clone();
        let Some(stored) = stored else {
            return Reply::Refused(Refusal::NoCatalogue, RETRY_SOON);
        };
        let admitted = match admit(&stored, call, began_at) {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        match &call.request {
            Request::Submit(Err(why)) => Reply::Malformed(why.clone()),
            Request::Submit(Ok(spec)) => self.submit(call, admitted, spec).await,
            Request::Ask if admitted.rest.is_empty() => self.count_waiting(&admitted).await,
            Request::Ask => self.query_state(&admitted).await,
            Request::Cancel => self.cancel(&admitted).await,
        }
    }

    /// The refusal while the store can't be used; `None` if it can.
    fn store_refusal(&self) -> Option<Reply> {
        if self.is_store_unresponsive() {
            Some(Reply::Refused(
                Refusal::StoreUnresponsive,
                self.store_retry_after(),
            ))
        } else if self.has_fresh_keys() {
            None
        } else {
            Some(Reply::Refused(Refusal::StaleCatalogue, RETRY_SOON))
        }
    }

    /// When callers may come back that were refused because of the store. An outage that has lasted for some time is
    /// likely to last as long again, and a caller tries a few times only.
    fn store_retry_after(&self) -> Duration {
        self.store_outage().clamp(RETRY_SOON, RETRY_MAX)
    }

    /// The time that is left for calls to the store.
    fn remaining(&self, admitted: &Admitted) -> Duration {
        admitted
            .deadline
            .saturating_duration_since(self.now())
            .min(crate::entry::STORE_TIMEOUT)
    }

    async fn read_status(
        &self,
        admitted: &Admitted,
        id: JobId,
    ) -> Result<Option<(JobStatus, Item)>, CallError> {
        let key = crate::keys::job(&admitted.queue, id);
        let Some(item) = self.read(&key).await? else {
            return Ok(None);
        };
        match crate::keys::decode(&key, &item.value) {
            Ok(status) => Ok(Some((status, item))),
            Err(error) => {
                log::error!(target: "calls", job:% = id, error:%; "A job's status can't be read.");
                Err(CallError::Malformed(error.to_string().into()))
            }
        }
    }
}

/// Finds the queue and the team of a call.
fn admit(stored: &StoredCatalogue, call: &Call, began_at: Instant) -> Result<Admitted, Reply> {
    let catalogue: &Catalogue = &stored.catalogue;
    let (queue, rest) = catalogue
        .find(&call.host, &call.path)
        .ok_or(Reply::NoSuchQueue)?;
    let team = call
        .key
        .as_deref()
        .and_then(|key| catalogue.team_of_key(key));
    if team.is_none() && !queue.is_open {
        return Err(Reply::UnknownKey);
    }
    let time = call.time.unwrap_or(CALL_TIMEOUT_DEFAULT).min(queue.timeout);
    Ok(Admitted {
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        team: team.map(|team| team.name.clone()),
        rest: rest.into(),
        catalogue: stored.revision,
        version: catalogue.version,
        deadline: began_at + time.saturating_sub(ANSWER_MARGIN),
    })
}

/// The job that the rest of a path names.
fn job_id(admitted: &Admitted) -> Result<JobId, Reply> {
    admitted
        .rest
        .parse()
        .map_err(|error: goldcrest_jobs::id::IdError| Reply::Malformed(error.to_string().into()))
}
