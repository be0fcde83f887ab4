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

/// The `Retry-After` of a refusal because the store of claims did not answer.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A granted claim. If it is dropped before [`Granted::begin`] it is released: the caller disconnected while its
/// request waited, and nothing was sent.
pub(super) struct Granted {
    shared: Arc<Shared>,
    queue: QueueName,
    digest: KeyDigest,
    request: RequestId,
    until: Instant,
    has_begun: bool,
}

impl Granted {
    /// Returns the time, by this entry's clock, before which no other request can be granted the key.
    pub(super) const fn until(&self) -> Instant {
        self.until
    }

    /// Marks that the request may be sent from now on, so that a drop no longer releases the claim.
    pub(super) fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Releases the claim of a request that did not run.
    pub(super) async fn release(mut self) {
        self.has_begun = true;
        release_claim(&self.shared, &self.queue, self.digest, self.request).await;
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if self.has_begun {
            return;
        }
        let (shared, queue) = (Arc::clone(&self.shared), self.queue.clone());
        let (digest, request) = (self.digest, self.request);
        runtime.spawn(async move { release_claim(&shared, &queue, digest, request).await });
    }
}

async fn release_claim(shared: &Shared, queue: &QueueName, digest: KeyDigest, request: RequestId) {
    let claims = claims(shared);
    let release = claims.release(queue, digest, request);
    // If the release fails, the caller only needs a new key.
    timeout(shared.cfg.claim_timeout, release).await.ok();
}

/// Claims the idempotency key, if the request has one and is not idempotent. The request has no slot yet, so that an
/// unresponsive store of claims does not block other requests.
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
    let (target, unsent) = admit::claim_target(shared, head, unsent, record)?;
    let left = target
        .deadline
        .saturating_duration_since(shared.clock.now());
    let wait = shared.cfg.claim_timeout.min(left);
    // Names contain no line break, so two different scopes never give the same text.
    let scoped = format!("{}\n{}\n{key}", target.scope, target.queue);
    let claim_request = ClaimRequest {
        shared: Arc::clone(shared),
        queue: target.queue,
        digest: KeyDigest::of(&scoped),
        request: record.request(),
    };
    match claim_request.run(wait).await {
        ClaimOutcome::Granted(granted) => Ok((Some(granted), unsent)),
        // This request did not run, but the work behind its key may have.
        ClaimOutcome::Seen => Err(unsent.into_sent().refuse(UnknownCode::DuplicateRequest)),
        ClaimOutcome::Unknown => Err(unsent.into_sent().refuse(UnknownCode::PastUnknown)),
        ClaimOutcome::Unavailable => {
            Err(unsent.refuse(NotRunCode::ClaimsUnavailable, Some(UNAVAILABLE_RETRY_AFTER)))
        }
    }
}

/// The outcome of a request for a claim.
enum ClaimOutcome {
    Granted(Granted),
    Seen,
    Unknown,
    Unavailable,
}

/// A request for a claim.
struct ClaimRequest {
    shared: Arc<Shared>,
    queue: QueueName,
    digest: KeyDigest,
    request: RequestId,
}

impl ClaimRequest {
    /// Requests the claim and waits up to `wait` for the answer. A claim that is granted later, or after the caller has
    /// disconnected, is dropped and thereby released.
    async fn run(self, wait: Duration) -> ClaimOutcome {
        let Ok(permit) = Arc::clone(&self.shared.pending_claims).try_acquire_owned() else {
            return ClaimOutcome::Unavailable;
        };
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let outcome = self.send().await;
            drop(permit);
            drop(sender.send(outcome));
        });
        match timeout(wait, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unavailable,
        }
    }

    async fn send(self) -> ClaimOutcome {
        let claims = claims(&self.shared);
        // The key cannot have been granted before this time, so the claim is kept for at least `keep` from here on.
        let requested_at = self.shared.clock.now();
        match claims.claim(&self.queue, self.digest, self.request).await {
            Claim::Granted { keep } => ClaimOutcome::Granted(Granted {
                shared: self.shared,
                queue: self.queue,
                digest: self.digest,
                request: self.request,
                until: requested_at + keep,
                has_begun: false,
            }),
            Claim::Seen => ClaimOutcome::Seen,
            Claim::Unknown => ClaimOutcome::Unknown,
            Claim::Unavailable => ClaimOutcome::Unavailable,
        }
    }
}

fn claims(shared: &Shared) -> Arc<dyn AnyClaims> {
    let claims = shared.claims.read().unwrap_or_else(PoisonError::into_inner);
    Arc::clone(&claims)
}
