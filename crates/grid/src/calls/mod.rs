//! Calls of submitters: submitting a job, querying its state, cancelling it, and querying the number of waiting jobs.
//!
//! Any entry answers any call. One transaction accepts a job: it creates the job's status, hands the job to its pool's
//! scheduler, and expects the catalogue by which the call was admitted to be the newest one. So a withdrawn key or a
//! removed queue is refused however late this entry receives the change. A refusal that means "not accepted" is only
//! given when the transaction certainly was not and will not be carried out. An id is one job on its queue, whatever name the
//! operators give the queue ([`names`]).

mod cancel;
pub(crate) mod names;
mod query;
mod submit;

use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{JobId, RouteId};
use goldcrest_jobs::policy::AcceptedPolicy;
use goldcrest_jobs::spec::{JobSpec, JobState};
use goldcrest_types::names::{PoolName, QueueName, TeamName};

use crate::entry::Entry;
use crate::keys::JobStatus;
use crate::ports::{CallError, Item, Platform, Revision, StoredCatalogue};

/// The retry delay for causes that pass by themselves within about a second.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// The longest retry delay during an outage of the store.
const RETRY_MAX: Duration = Duration::from_secs(4);

/// The timeout of a call whose caller sets none.
const CALL_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);

/// Subtracted from a caller's timeout, for the transmission of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// The request of a call.
#[derive(Debug)]
pub enum Request {
    /// Submits a job. `Err` holds the reason why the body can't be parsed.
    Submit(Result<JobSpec, Box<str>>),
    /// Queries a job's state or, if the path names no job, the queue's number of waiting jobs.
    Query,
    /// Cancels a job.
    Cancel,
}

impl Request {
    /// The name in log fields and metric labels.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Query => "ask",
            Self::Cancel => "cancel",
        }
    }
}

/// A call of a submitter.
#[derive(Debug)]
pub struct Call {
    /// The host name of the request, which selects the queue together with `path`.
    pub host: Box<str>,
    /// The path: the prefix of a queue, followed by a job id or nothing.
    pub path: Box<str>,
    /// The key of the caller's team, if the caller sent one.
    pub key: Option<Box<str>>,
    /// The caller's timeout, if it sets one. The queue's timeout limits it.
    pub timeout: Option<Duration>,
    /// The operation and its body.
    pub request: Request,
}

/// Why a call was refused. It was not carried out and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This entry has received no catalogue yet.
    NoCatalogue,
    /// The catalogue may be out of date and could not be confirmed in time.
    StaleCatalogue,
    /// The store is unresponsive; see [`Entry::is_store_unresponsive`].
    StoreUnresponsive,
    /// The store did not carry out the call.
    StoreRefused,
}

impl Refusal {
    /// The name in log fields and metric labels.
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

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The job is stored. Also the reply to a repeated submission.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The number of jobs of the queue that wait.
    Waiting(u64),
    /// The job is cancelled, now or by an earlier call.
    Cancelled,
    /// The job does not exist, its status has been removed or, for a cancellation, it has ended.
    NoSuchJob,
    /// No queue matches the host and the path.
    NoSuchQueue,
    /// The queue requires a key, and the given one is missing or unknown.
    UnknownKey,
    /// The body or the job id is invalid. The text names the remedy.
    Malformed(Box<str>),
    /// The call was not carried out. The caller may retry after this time.
    Refused(Refusal, Duration),
    /// The call may have been carried out, or still be.
    Unknown,
}

impl Reply {
    /// The name in log fields and metric labels.
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

/// A call that the catalogue admits, with its queue and team.
struct Admitted {
    queue: QueueName,
    route: RouteId,
    pool: PoolName,
    team: Option<TeamName>,
    policy: AcceptedPolicy,
    /// The part of the path after the queue's prefix: a job id or nothing.
    rest: Box<str>,
    catalogue: Revision,
    version: u64,
    /// When the call must be answered, [`ANSWER_MARGIN`] before the caller's timeout.
    deadline: Instant,
}

impl<P: Platform> Entry<P> {
    /// Carries out a call of a submitter; records and logs its outcome.
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

    /// The time since the catalogue in force was last confirmed to be the newest, in milliseconds.
    fn catalogue_age_ms(&self) -> u64 {
        let now = self.now();
        self.catalogue_current_at.get().map_or(u64::MAX, |at| {
            goldcrest_jobs::worker::millis(now.saturating_duration_since(at))
        })
    }

    async fn answer(&self, call: &Call, began_at: Instant) -> Reply {
        let stored = self.catalogue.get();
        let Some(stored) = stored else {
            return Reply::Refused(Refusal::NoCatalogue, RETRY_SOON);
        };
        let admitted = match admit(&stored, call, began_at) {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        match &call.request {
            Request::Submit(Err(why)) => Reply::Malformed(why.clone()),
            Request::Submit(Ok(spec)) => Box::pin(self.submit(call, admitted, spec)).await,
            Request::Query if admitted.rest.is_empty() => self.count_waiting(&admitted).await,
            Request::Query => self.query_state(&admitted).await,
            Request::Cancel => self.cancel(&admitted).await,
        }
    }

    /// Returns the refusal while the store is unresponsive or the catalogue may be out of date, else `None`.
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

    /// The retry delay for calls that were refused because of the store. It grows with the length of the outage: one
    /// that has lasted for some time is likely to last as long again, and callers retry only a few times.
    fn store_retry_after(&self) -> Duration {
        self.store_outage().clamp(RETRY_SOON, RETRY_MAX)
    }

    /// The time that remains for a call to the store.
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
        let mut found = self.read(&key).await?;
        if found.is_none() {
            let names = self.present_names(admitted).await?;
            for earlier in names.status_keys(id).filter(|earlier| *earlier != key) {
                if found.is_none() {
                    found = self.read(&earlier).await?;
                }
            }
        }
        let Some(item) = found else {
            return Ok(None);
        };
        match crate::keys::decode(&item.key, &item.value) {
            Ok(status) => Ok(Some((status, item))),
            Err(error) => {
                log::error!(target: "calls", job:% = id, error:%; "A job's stored status can't be decoded.");
                Err(CallError::Malformed(error.to_string().into()))
            }
        }
    }
}

/// Admits a call by the catalogue. Returns the reply if its queue does not exist or its key is not accepted.
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
    let time = call
        .timeout
        .unwrap_or(CALL_TIMEOUT_DEFAULT)
        .min(queue.timeout);
    Ok(Admitted {
        queue: queue.name.clone(),
        route: queue.route(),
        pool: queue.pool.clone(),
        team: team.map(|team| team.name.clone()),
        policy: AcceptedPolicy::new(queue, team),
        rest: rest.into(),
        catalogue: stored.revision,
        version: catalogue.version,
        deadline: began_at + time.saturating_sub(ANSWER_MARGIN),
    })
}

/// Parses the job id in the path after the queue's prefix.
fn job_id(admitted: &Admitted) -> Result<JobId, Reply> {
    admitted
        .rest
        .parse()
        .map_err(|error: goldcrest_jobs::id::IdError| Reply::Malformed(error.to_string().into()))
}
