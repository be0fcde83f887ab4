//! The serving path's claims of idempotency keys, sent to the entry that is the home of the key.

use std::time::Duration;

use goldcrest_front::{Claim, Claims};
use goldcrest_peer::message::{ClaimAnswer, ClaimAsk, ClaimDigest};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};
use tokio::sync::watch;

use super::DaemonPeers;
use crate::world::InForce;

/// Claims that are stored by the entries, each at its key's home.
pub struct PeerClaims {
    peers: DaemonPeers,
    catalogue: watch::Receiver<Option<InForce>>,
}

impl PeerClaims {
    /// Creates claims over `peers`. A claim is kept for the repeat window of its queue in `catalogue`.
    #[must_use]
    pub fn new(peers: DaemonPeers, catalogue: watch::Receiver<Option<InForce>>) -> Self {
        Self { peers, catalogue }
    }

    fn claim_request(
        &self,
        queue: &QueueName,
        digest: KeyDigest,
        request: RequestId,
    ) -> Option<ClaimAsk> {
        let in_force = self.catalogue.borrow();
        let cat = &in_force.as_ref()?.cat;
        let id = cat.queue(queue.as_str())?;
        let keep = cat.queues[id].limits.repeat_window();
        Some(ClaimAsk {
            queue: queue.clone(),
            digest: claim_digest(queue, digest),
            request,
            keep_ms: u64::try_from(keep.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// Returns the first half of the digest of the queue and the caller's key. 128 bits make a chance collision negligible.
fn claim_digest(queue: &QueueName, digest: KeyDigest) -> ClaimDigest {
    let joined = KeyDigest::of(&format!("{queue}/{digest}")).to_string();
    ClaimDigest::new(u128::from_str_radix(&joined[..32], 16).unwrap_or(0))
}

impl Claims for PeerClaims {
    async fn claim(&self, queue: &QueueName, digest: KeyDigest, request: RequestId) -> Claim {
        let Some(message) = self.claim_request(queue, digest, request) else {
            return Claim::Unavailable;
        };
        let keep = Duration::from_millis(message.keep_ms);
        match self.peers.claim(message).await {
            ClaimAnswer::Granted => Claim::Granted { keep },
            ClaimAnswer::AlreadySeen { by } if by == request => Claim::Granted { keep },
            ClaimAnswer::AlreadySeen { .. } => Claim::Seen,
            ClaimAnswer::Unknown | ClaimAnswer::Moved => Claim::Unknown,
        }
    }

    async fn release(&self, queue: &QueueName, digest: KeyDigest, request: RequestId) {
        if let Some(message) = self.claim_request(queue, digest, request) {
            // Released in the background: the caller need not wait for the home's answer.
            let peers = self.peers.clone();
            tokio::spawn(async move { peers.release_until_done(message).await });
        }
    }
}
