//! Admission: resolves the queue and team of a request and waits for its slot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{AdmissionDecision, AdmissionRequest};
use goldcrest_serve::dispatch::WaitResult;
use goldcrest_serve::outcome::{NotRunCode, Refusal, Unsent};
use goldcrest_types::catalogue::{Access, QueueLimits};
use goldcrest_types::entity::{KeyId, QueueId, TeamId};
use goldcrest_types::names::QueueName;

use crate::explain::Step;
use crate::front::{Record, Shared, Ticket, View};
use crate::ingress::head::Head;

/// The `Retry-After` of a refusal by an entry that has no catalogue yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that holds its slot.
pub(super) struct Admitted {
    pub(super) ticket: Ticket,
    pub(super) team: Box<str>,
    pub(super) limits: QueueLimits,
}

/// The queue and team that a request counts towards, and the key that it is authorised by.
#[derive(Debug, Clone, Copy)]
struct Authority {
    queue: QueueId,
    team: TeamId,
    key: Option<KeyId>,
}

impl Authority {
    /// Returns whether a request that came with a key would be admitted without it.
    fn admits_keyless(&self, view: &View) -> bool {
        self.key.is_some() && view.cat.queues[self.queue].access == Access::Open
    }
}

/// The dispatcher's answer to a request for a slot.
enum Offer {
    Decided(AdmissionDecision),
    /// The catalogue has changed since the request was resolved.
    Outdated,
}

/// A request resolved by the catalogue in force, before it has a slot.
struct Resolved {
    view: Arc<View>,
    authority: Authority,
    deadline: Instant,
}

impl Resolved {
    fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            queue: self.authority.queue,
            team: self.authority.team,
            key: self.authority.key,
            deadline: self.deadline,
        }
    }

    fn limits(&self) -> &QueueLimits {
        &self.view.cat.queues[self.authority.queue].limits
    }
}

/// What a claim on an idempotency key is made for.
pub(super) struct ClaimTarget {
    pub(super) queue: QueueName,
    /// The team whose idempotency keys these are: the caller's, or the owner's on a queue that is open to all. There a
    /// team's key may count at one entry and not at another, whose keys are not fresh.
    pub(super) scope: Box<str>,
    pub(super) deadline: Instant,
}

/// The code of a refusal and its `Retry-After`, if any.
type NotRunReason = (NotRunCode, Option<Duration>);

fn resolve(shared: &Shared, head: &Head, record: &mut Record) -> Result<Resolved, NotRunReason> {
    let Some(view) = shared.view() else {
        return Err((NotRunCode::NotReady, Some(NOT_READY_RETRY_AFTER)));
    };
    let authority = authorise(shared, &view, head).map_err(|code| (code, None))?;
    record.assign(&view, authority.queue, authority.team);
    let limits = &view.cat.queues[authority.queue].limits;
    let limit_bytes = limits.request_bytes.get();
    if head.length_bytes.is_some_and(|length| length > limit_bytes) {
        return Err((NotRunCode::RequestTooLarge, None));
    }
    let requested = head.deadline.unwrap_or(limits.deadline());
    let deadline = record.arrived() + requested.min(limits.deadline_max());
    Ok(Resolved {
        view,
        authority,
        deadline,
    })
}

/// Resolves queue and team without taking a slot. A request that the dispatcher would refuse now is refused here,
/// before it claims its key.
pub(super) fn claim_target(
    shared: &Arc<Shared>,
    head: &Head,
    unsent: Unsent,
    record: &mut Record,
) -> Result<(ClaimTarget, Unsent), Refusal> {
    let resolved = match resolve(shared, head, record) {
        Ok(resolved) => resolved,
        Err((code, after)) => return Err(unsent.refuse(code, after)),
    };
    let (cat, authority) = (&resolved.view.cat, resolved.authority);
    let refused = shared.with_dispatch(|dispatch, now| {
        let in_force = dispatch.catalogue();
        let is_same = in_force.is_some_and(|known| known.revision() == cat.revision());
        // A request resolved by another catalogue is resolved again when it requests its slot.
        is_same
            .then(|| dispatch.refusal(&resolved.admission_request(), now))
            .flatten()
    });
    match refused {
        Some(AdmissionDecision::Refuse(NotRunCode::KeysNotFresh, _))
            if authority.admits_keyless(&resolved.view) => {}
        Some(AdmissionDecision::Refuse(code, wait)) => return Err(unsent.refuse(code, Some(wait))),
        Some(AdmissionDecision::Start(_) | AdmissionDecision::Wait(_)) | None => {}
    }
    let queue = &cat.queues[authority.queue];
    let scope = match queue.access {
        Access::Open => queue.owner,
        Access::Keyed => authority.team,
    };
    let target = ClaimTarget {
        queue: queue.name.clone(),
        scope: cat.teams[scope].name.as_str().into(),
        deadline: resolved.deadline,
    };
    Ok((target, unsent))
}

/// Resolves queue and team and waits for a slot. Resolves again if the catalogue changes meanwhile.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    head: &Head,
    unsent: Unsent,
    record: &mut Record,
) -> Result<(Admitted, Unsent), Refusal> {
    loop {
        let resolved = match resolve(shared, head, record) {
            Ok(resolved) => resolved,
            Err((code, after)) => return Err(unsent.refuse(code, after)),
        };
        let Some(ticket) = acquire_slot(shared, &resolved, record).await else {
            continue;
        };
        let (view, authority) = (&resolved.view, resolved.authority);
        let ticket = match ticket {
            Ok(ticket) => ticket,
            // The keys ceased to be fresh while the request waited: an open queue admits it without a key.
            Err((NotRunCode::KeysNotFresh, _)) if authority.admits_keyless(view) => continue,
            Err((code, after)) => return Err(unsent.refuse(code, Some(after))),
        };
        record.started();
        let admitted = Admitted {
            ticket,
            team: view.cat.teams[authority.team].name.as_str().into(),
            limits: resolved.limits().clone(),
        };
        return Ok((admitted, unsent));
    }
}

fn authorise(shared: &Shared, view: &View, head: &Head) -> Result<Authority, NotRunCode> {
    let cat = &view.cat;
    let queue = cat.queue(&head.queue).ok_or(NotRunCode::QueueUnknown)?;
    let record = &cat.queues[queue];
    let is_open = record.access == Access::Open;
    let for_owner = Authority {
        queue,
        team: record.owner,
        key: None,
    };
    let Some(secret) = &head.secret else {
        return if is_open {
            Ok(for_owner)
        } else {
            Err(NotRunCode::KeyMissing)
        };
    };
    // An open queue keeps admitting requests while no key can be trusted.
    if is_open && !shared.keys_fresh() {
        return Ok(for_owner);
    }
    let key = cat.key(secret).ok_or(NotRunCode::KeyUnknown)?;
    Ok(Authority {
        queue,
        team: cat.keys[key].team,
        key: Some(key),
    })
}

/// Returns a slot or the refusal; `None` if the catalogue has changed, so that the request must be resolved again.
async fn acquire_slot(
    shared: &Arc<Shared>,
    resolved: &Resolved,
    record: &mut Record,
) -> Option<Result<Ticket, (NotRunCode, Duration)>> {
    let (request, view, deadline) = (
        resolved.admission_request(),
        &resolved.view,
        resolved.deadline,
    );
    let (offer, wake) = shared.with_dispatch_waiter(|dispatch, now| {
        let in_force = dispatch.catalogue();
        if in_force.is_none_or(|cat| cat.revision() != view.cat.revision()) {
            return (Offer::Outdated, None);
        }
        let decision = dispatch.offer(&request, now);
        let waits = match decision {
            AdmissionDecision::Wait(work) => Some(work),
            AdmissionDecision::Start(_) | AdmissionDecision::Refuse(..) => None,
        };
        (Offer::Decided(decision), waits)
    });
    let ticket = |work| Ticket::new(Arc::clone(shared), work, deadline);
    match (offer, wake) {
        (Offer::Outdated, _) => {
            // The view is replaced right after the dispatcher's catalogue, so a retry soon finds it.
            tokio::task::yield_now().await;
            None
        }
        (Offer::Decided(AdmissionDecision::Start(work)), _) => Some(Ok(ticket(work))),
        (Offer::Decided(AdmissionDecision::Refuse(code, after)), _) => Some(Err((code, after))),
        (Offer::Decided(AdmissionDecision::Wait(work)), wake) => {
            record.step(Step::Waited);
            let ticket = ticket(work);
            let turn = async {
                match wake {
                    Some(wake) => wake.await.ok(),
                    None => None,
                }
            };
            let late = (NotRunCode::DeadlinePassed, Duration::from_secs(1));
            Some(match tokio::time::timeout(ticket.time_left(), turn).await {
                Ok(Some(WaitResult::Start)) => Ok(ticket),
                Ok(Some(WaitResult::Refuse(code, after))) => Err((code, after)),
                Ok(None) | Err(_) => Err(late),
            })
        }
    }
}
