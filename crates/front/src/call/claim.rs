//! The claim on the idempotency key of a request that may run only once.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use goldcrest_serve::outcome::{NotRunCode, Refusal, UnknownCode, Unsent};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};

use super::admit::Admitted;
use crate::claims::{AnyClaims, Claim};
use crate::front::Shared;
use crate::ingress::head::Head;

/// A claim that was granted.
pub(super) struct Granted {
    queue: QueueName,
    digest: KeyDigest,
    request: RequestId,
    until: Instant,
}

impl Granted {
    /// Until when no other request can be granted the key, by this entry's clock.
    pub(super) const fn until(&self) -> Instant {
        self.until
    }

    /// Gives the claim back, since the request did not run.
    pub(super) async fn release(self, shared: &Shared) {
        let claims = claims(shared);
        let release = claims.release(&self.queue, self.digest, self.request);
        // A claim that stays only costs the caller a new key.
        tokio::time::timeout(shared.cfg.claim_timeout, release)
            .await
            .ok();
    }
}

/// Claims the key, if the request has one and may run only once.
pub(super) async fn claim(
    shared: &Arc<Shared>,
    head: &Head,
    admitted: &Admitted,
    unsent: Unsent,
    request: RequestId,
) -> Result<(Option<Granted>, Unsent), Refusal> {
    let Some(key) = &head.idempotency_key else {
        return Ok((None, unsent));
    };
    if head.is_idempotent {
        return Ok((None, unsent));
    }
    // Names hold no line break, so no two scopes run together.
    let scoped = format!("{}\n{}\n{key}", admitted.team, admitted.queue);
    let digest = KeyDigest::of(&scoped);
    let claims = claims(shared);
    // The home can't have granted the key before this, so it keeps the claim for no less than from here on.
    let asked_at = shared.clock.now();
    let asked = claims.claim(&admitted.queue, digest, request);
    let wait = shared.cfg.claim_timeout.min(admitted.ticket.left());
    let answer = tokio::time::timeout(wait, asked).await;
    let after = Some(std::time::Duration::from_secs(1));
    match answer.unwrap_or(Claim::Unavailable) {
        Claim::Granted { keep } => {
            let granted = Granted {
                queue: admitted.queue.clone(),
                digest,
                request,
                until: asked_at + keep,
            };
            Ok((Some(granted), unsent))
        }
        // This request did not run, but the work behind its key may have.
        Claim::Seen => Err(unsent.sent().refuse(UnknownCode::DuplicateRequest)),
        Claim::Unknown => Err(unsent.sent().refuse(UnknownCode::PastUnknown)),
        Claim::Unavailable => Err(unsent.refuse(NotRunCode::ClaimsUnavailable, after)),
    }
}

fn claims(shared: &Shared) -> Arc<dyn AnyClaims> {
    let claims = shared.claims.read().unwrap_or_else(PoisonError::into_inner);
    Arc::clone(&claims)
}
