//! Explanations of recent requests.
//!
//! A [`Ring`] keeps the traces of the last requests. A trace holds up to 8 typed steps and the catalogue that the
//! request was decided by.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use goldcrest_serve::outcome::Refusal;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{QueueId, TeamId};
use goldcrest_types::names::{QueueName, RequestId, TeamName};
use goldcrest_types::units::Revision;

/// The most steps kept for one request. The last of them is reserved for the end of the request.
const STEPS_MAX: usize = 8;

/// One event in the handling of a request. Operators read its `Display` text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The request waited for a slot.
    Waited,
    /// The request got its slot.
    Started,
    /// A send to the upstream at this address began.
    SentTo(SocketAddr),
    /// The send to this address ended without the request having run there, for example because no connection was made
    /// or the upstream refused the request.
    NotTaken(SocketAddr),
    /// The retry budget allows another send.
    Retried,
    /// The upstream's answer, with this HTTP status, is forwarded.
    Answered(u16),
    /// The request was refused.
    Refused(Refusal),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Waited => f.write_str("waited for a slot"),
            Self::Started => f.write_str("started"),
            Self::SentTo(address) => write!(f, "sent to {address}"),
            Self::NotTaken(address) => write!(f, "not taken by {address}"),
            Self::Retried => f.write_str("sent again within the retry budget"),
            Self::Answered(status) => write!(f, "answered with status {status}"),
            Self::Refused(refusal) => {
                write!(f, "refused as {}: {}", refusal.outcome(), refusal.code())
            }
        }
    }
}

/// The explanation of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The id that the entry gave the request, as in `x-request-id`.
    pub request: RequestId,
    /// The queue of the request; `None` if it was refused before its queue and team were known.
    pub queue: Option<QueueName>,
    /// The team that the request counted towards; `None` as for [`Explanation::queue`].
    pub team: Option<TeamName>,
    /// The catalogue revision that the request was decided by.
    pub revision: Option<Revision>,
    /// The steps in the order in which they happened. Steps beyond the eighth are dropped, except the end.
    pub steps: Vec<Step>,
}

/// The trace of a request. Ids are resolved to names only when an explanation is requested.
#[derive(Debug, Clone, Default)]
pub(crate) struct Trace {
    pub(crate) cat: Option<Arc<Catalogue>>,
    pub(crate) queue: Option<QueueId>,
    pub(crate) team: Option<TeamId>,
    steps: [Option<Step>; STEPS_MAX],
}

impl Trace {
    /// Appends a step. Drops it if no place is free; the last place is reserved for an answer or a refusal.
    pub(crate) fn push(&mut self, step: Step) {
        let is_end = matches!(step, Step::Answered(_) | Step::Refused(_));
        let open = if is_end { STEPS_MAX } else { STEPS_MAX - 1 };
        let free = self.steps[..open].iter_mut().find(|step| step.is_none());
        if let Some(free) = free {
            *free = Some(step);
        }
    }

    fn explain(&self, request: RequestId) -> Explanation {
        let cat = self.cat.as_deref();
        Explanation {
            request,
            queue: cat
                .zip(self.queue)
                .map(|(cat, id)| cat.queues[id].name.clone()),
            team: cat
                .zip(self.team)
                .map(|(cat, id)| cat.teams[id].name.clone()),
            revision: cat.map(Catalogue::revision),
            steps: self.steps.iter().copied().flatten().collect(),
        }
    }
}

/// The traces of the last `max` requests.
#[derive(Debug)]
pub(crate) struct Ring {
    max: usize,
    traces: VecDeque<(RequestId, Trace)>,
}

impl Ring {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
            traces: VecDeque::with_capacity(max),
        }
    }

    pub(crate) fn push(&mut self, request: RequestId, trace: Trace) {
        if self.traces.len() >= self.max {
            self.traces.pop_front();
        }
        self.traces.push_back((request, trace));
    }

    pub(crate) fn find(&self, request: RequestId) -> Option<Explanation> {
        let found = self.traces.iter().rev().find(|(id, _)| *id == request);
        found.map(|(id, trace)| trace.explain(*id))
    }
}
