//! The claim on the idempotency key of a request that may run only once.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_serve::outcome::{NotRunCode, Refusal, UnknownCode, Unsent};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::admit;
use crate::claims::{AnyClaims, Claim};
use crate::front::{Record, Shared};
use crate::ingress::head::Head;

/// When a caller should come back after its key's home did not answer.
const COME_BACK: Duration = Duration::from_secs(1);

/// A claim that was granted. One that is dropped before [`Granted::begin`] gives itself back: its caller has gone while it
/// waited, and nothing was sent.
pub(super) struct Granted {
    shared: Arc<Shared>,
    queue: QueueName,
    digest: KeyDigest,
    request: RequestId,
    until: Instant,
    is_begun: bool,
}

impl Granted {
    /// Until when no other request can be granted the key, by this entry's clock.
    pub(super) const fn until(&self) -> Instant {
        self.until
    }

    /// From here on the request may be sent, so the claim stays unless it is released.
    pub(super) fn begin(&mut self) {
        self.is_begun = true;
    }

    /// Gives the claim back, since the request did not run.
    pub(super) async fn release(mut self) {
        self.is_begun = true;
        give_back(&self.shared, &self.queue, self.digest, self.request).await;
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if self.is_begun {
            return;
        }
        let (shared, queue) = (Arc::clone(&self.shared), self.queue.clone());
        let (digest, request) = (self.digest, self.request);
        runtime.spawn(async move { give_back(&shared, &queue, digest, request).await });
    }
}

async fn give_back(shared: &Shared, queue: &QueueName, digest: KeyDigest, request: RequestId) {
    let claims = claims(shared);
    let release = claims.release(queue, digest, request);
    // A claim that stays only costs the caller a new key.
    timeout(shared.cfg.claim_timeout, release).await.ok();
}

/// Claims the key, if the request has one and may run only once. It has no slot yet: a home that does not answer must not
/// hold up the work of others.
pub(super) async fn claim(
    shared: &Arc<Shared>,
    head: &Head,
    unsent: Unsent,
    record: &mut Record,
) -> Result<(Option<Granted>, Unsent), Refusal> {
    let Some(key) = &head.idempotency_key else {
        return Ok((None, unsent));
    };
    if head.is_idempotent {
        return Ok((None, unsent));
    }
    let (place, unsent) = admit::place(shared, head, unsent, record)?;
    let left = place.deadline.saturating_duration_since(shared.clock.now());
    let wait = shared.cfg.claim_timeout.min(left);
    // Names hold no line break, so no two scopes run together.
    let scoped = format!("{}\n{}\n{key}", place.scope, place.queue);
    let asked = Asked {
        shared: Arc::clone(shared),
        queue: place.queue,
        digest: KeyDigest::of(&scoped),
        request: record.request(),
    };
    match asked.answer(wait).await {
        Answer::Granted(granted) => Ok((Some(granted), unsent)),
        // This request did not run, but the work behind its key may have.
        Answer::Seen => Err(unsent.sent().refuse(UnknownCode::DuplicateRequest)),
        Answer::Unknown => Err(unsent.sent().refuse(UnknownCode::PastUnknown)),
        Answer::Unavailable => Err(unsent.refuse(NotRunCode::ClaimsUnavailable, Some(COME_BACK))),
    }
}

/// What became of a question for a claim.
enum Answer {
    Granted(Granted),
    Seen,
    Unknown,
    Unavailable,
}

/// A question for a claim.
struct Asked {
    shared: Arc<Shared>,
    queue: QueueName,
    digest: KeyDigest,
    request: RequestId,
}

impl Asked {
    /// Asks, and waits this long for the answer. A claim that is granted later, or to a caller that has gone, is dropped where
    /// it is and so given back.
    async fn answer(self, wait: Duration) -> Answer {
        let Ok(permit) = Arc::clone(&self.shared.asking).try_acquire_owned() else {
            return Answer::Unavailable;
        };
        let (answer, answered) = oneshot::channel();
        tokio::spawn(async move {
            let found = self.ask().await;
            drop(permit);
            drop(answer.send(found));
        });
        match timeout(wait, answered).await {
            Ok(Ok(found)) => found,
            Ok(Err(_)) | Err(_) => Answer::Unavailable,
        }
    }

    async fn ask(self) -> Answer {
        let claims = claims(&self.shared);
        // The home can't have granted the key before this, so it keeps the claim for no less than from here on.
        let asked_at = self.shared.clock.now();
        match claims.claim(&self.queue, self.digest, self.request).await {
            Claim::Granted { keep } => Answer::Granted(Granted {
                shared: self.shared,
                queue: self.queue,
                digest: self.digest,
                request: self.request,
                until: asked_at + keep,
                is_begun: false,
            }),
            Claim::Seen => Answer::Seen,
            Claim::Unknown => Answer::Unknown,
            Claim::Unavailable => Answer::Unavailable,
        }
    }
}

fn claims(shared: &Shared) -> Arc<dyn AnyClaims> {
    let claims = shared.claims.read().unwrap_or_else(PoisonError::into_inner);
    Arc::clone(&claims)
}
