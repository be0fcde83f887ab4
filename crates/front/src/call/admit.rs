//! Queue, team and slot of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{Ask, Decision};
use goldcrest_serve::dispatch::Wake;
use goldcrest_serve::outcome::{NotRunCode, Refusal, Unsent};
use goldcrest_types::catalogue::{Access, QueueLimits};
use goldcrest_types::entity::{KeyId, QueueId, TeamId};
use goldcrest_types::names::QueueName;

use crate::explain::Step;
use crate::front::{Record, Shared, Ticket, View};
use crate::ingress::head::Head;

/// When a caller should come back to an entry that has no catalogue yet.
const NOT_READY_AFTER: Duration = Duration::from_secs(1);

/// A request that has its slot.
pub(super) struct Admitted {
    pub(super) ticket: Ticket,
    pub(super) team: Box<str>,
    pub(super) limits: QueueLimits,
}

/// Who a request counts for.
#[derive(Debug, Clone, Copy)]
struct Authority {
    queue: QueueId,
    team: TeamId,
    key: Option<KeyId>,
}

impl Authority {
    /// Whether a request that came with a key would be taken without it.
    fn may_go_on_keyless(&self, view: &View) -> bool {
        self.key.is_some() && view.cat.queues[self.queue].access == Access::Open
    }
}

/// What the lock's holder said.
enum Offer {
    Decided(Decision),
    /// The catalogue has changed since the key was looked up.
    Outdated,
}

/// What a request is by the catalogue in force, before it has a slot.
struct Looked {
    view: Arc<View>,
    authority: Authority,
    deadline: Instant,
}

impl Looked {
    fn ask(&self) -> Ask {
        Ask {
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

/// What a claim needs to know of a request.
pub(super) struct Place {
    pub(super) queue: QueueName,
    /// Whose keys of repetition these are: the team's, or on a queue that is open to all the owner's, since there a team's key
    /// counts at one entry and not at another.
    pub(super) scope: Box<str>,
    pub(super) deadline: Instant,
}

/// Why a request is refused, and after how long it may come back.
type Why = (NotRunCode, Option<Duration>);

fn look(shared: &Shared, head: &Head, record: &mut Record) -> Result<Looked, Why> {
    let Some(view) = shared.view() else {
        return Err((NotRunCode::NotReady, Some(NOT_READY_AFTER)));
    };
    let authority = authorise(shared, &view, head).map_err(|code| (code, None))?;
    record.place(&view, authority.queue, authority.team);
    let limits = &view.cat.queues[authority.queue].limits;
    let limit_bytes = limits.request_bytes.get();
    if head.length_bytes.is_some_and(|length| length > limit_bytes) {
        return Err((NotRunCode::RequestTooLarge, None));
    }
    let wanted = head.deadline.unwrap_or(limits.deadline());
    let deadline = record.arrived() + wanted.min(limits.deadline_max());
    Ok(Looked {
        view,
        authority,
        deadline,
    })
}

/// Finds queue and team without taking a slot. A request that would be refused now is refused, so that it claims nothing.
pub(super) fn place(
    shared: &Arc<Shared>,
    head: &Head,
    unsent: Unsent,
    record: &mut Record,
) -> Result<(Place, Unsent), Refusal> {
    let looked = match look(shared, head, record) {
        Ok(looked) => looked,
        Err((code, after)) => return Err(unsent.refuse(code, after)),
    };
    let (cat, authority) = (&looked.view.cat, looked.authority);
    let refused = shared.desk(|dispatch, now| {
        let in_force = dispatch.catalogue();
        let is_same = in_force.is_some_and(|known| known.revision() == cat.revision());
        // A request that came by another catalogue is looked at again when it asks for its slot.
        is_same
            .then(|| dispatch.refusal(&looked.ask(), now))
            .flatten()
    });
    match refused {
        Some(Decision::Refuse(NotRunCode::KeysNotFresh, _))
            if authority.may_go_on_keyless(&looked.view) => {}
        Some(Decision::Refuse(code, after)) => return Err(unsent.refuse(code, Some(after))),
        Some(Decision::Start(_) | Decision::Wait(_)) | None => {}
    }
    let queue = &cat.queues[authority.queue];
    let scope = match queue.access {
        Access::Open => queue.owner,
        Access::Keyed => authority.team,
    };
    let place = Place {
        queue: queue.name.clone(),
        scope: cat.teams[scope].name.as_str().into(),
        deadline: looked.deadline,
    };
    Ok((place, unsent))
}

/// Finds queue and team, and waits for a slot.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    head: &Head,
    unsent: Unsent,
    record: &mut Record,
) -> Result<(Admitted, Unsent), Refusal> {
    loop {
        let looked = match look(shared, head, record) {
            Ok(looked) => looked,
            Err((code, after)) => return Err(unsent.refuse(code, after)),
        };
        let Some(ticket) = slot(shared, &looked, record).await else {
            continue;
        };
        let (view, authority) = (&looked.view, looked.authority);
        let ticket = match ticket {
            Ok(ticket) => ticket,
            // Keys ceased to be fresh while it waited: an open queue takes it without one.
            Err((NotRunCode::KeysNotFresh, _)) if authority.may_go_on_keyless(view) => continue,
            Err((code, after)) => return Err(unsent.refuse(code, Some(after))),
        };
        record.started();
        let admitted = Admitted {
            ticket,
            team: view.cat.teams[authority.team].name.as_str().into(),
            limits: looked.limits().clone(),
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
    // An open queue goes on while no key can be trusted.
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

/// A slot, or why there is none. None: the catalogue has changed, so the request is to be looked at again.
async fn slot(
    shared: &Arc<Shared>,
    looked: &Looked,
    record: &mut Record,
) -> Option<Result<Ticket, (NotRunCode, Duration)>> {
    let (ask, view, deadline) = (looked.ask(), &looked.view, looked.deadline);
    let (offer, wake) = shared.desk_waiting(|dispatch, now| {
        let in_force = dispatch.catalogue();
        if in_force.is_none_or(|cat| cat.revision() != view.cat.revision()) {
            return (Offer::Outdated, None);
        }
        let decision = dispatch.offer(&ask, now);
        let waits = match decision {
            Decision::Wait(work) => Some(work),
            Decision::Start(_) | Decision::Refuse(..) => None,
        };
        (Offer::Decided(decision), waits)
    });
    let ticket = |work| Ticket::new(Arc::clone(shared), work, deadline);
    match (offer, wake) {
        (Offer::Outdated, _) => {
            // The view follows the decisions at once.
            tokio::task::yield_now().await;
            None
        }
        (Offer::Decided(Decision::Start(work)), _) => Some(Ok(ticket(work))),
        (Offer::Decided(Decision::Refuse(code, after)), _) => Some(Err((code, after))),
        (Offer::Decided(Decision::Wait(work)), wake) => {
            record.step(Step::Waited);
            let ticket = ticket(work);
            let turn = async {
                match wake {
                    Some(wake) => wake.await.ok(),
                    None => None,
                }
            };
            let late = (NotRunCode::DeadlinePassed, Duration::from_secs(1));
            Some(match tokio::time::timeout(ticket.left(), turn).await {
                Ok(Some(Wake::Start)) => Ok(ticket),
                Ok(Some(Wake::Refuse(code, after))) => Err((code, after)),
                Ok(None) | Err(_) => Err(late),
            })
        }
    }
}
