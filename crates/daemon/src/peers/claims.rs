//! The serving path's claims, put to the entry that is the home of a key.

use std::time::Duration;

use goldcrest_front::{Claim, Claims};
use goldcrest_peer::message::{ClaimAnswer, ClaimAsk, ClaimDigest};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};
use tokio::sync::watch;

use super::DaemonPeers;
use crate::world::InForce;

/// Claims that are kept by the entries, each at its key's home.
pub struct PeerClaims {
    peers: DaemonPeers,
    catalogue: watch::Receiver<Option<InForce>>,
}

impl PeerClaims {
    /// Claims over `peers`, kept as long as the queue says.
    #[must_use]
    pub fn new(peers: DaemonPeers, catalogue: watch::Receiver<Option<InForce>>) -> Self {
        Self { peers, catalogue }
    }

    fn ask(&self, queue: &QueueName, digest: KeyDigest, request: RequestId) -> Option<ClaimAsk> {
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

/// Half of the digest of the queue and the caller's key: 128 bits leave no room for chance collisions.
fn claim_digest(queue: &QueueName, digest: KeyDigest) -> ClaimDigest {
    let joined = KeyDigest::of(&format!("{queue}/{digest}")).to_string();
    ClaimDigest::new(u128::from_str_radix(&joined[..32], 16).unwrap_or(0))
}

impl Claims for PeerClaims {
    async fn claim(&self, queue: &QueueName, digest: KeyDigest, request: RequestId) -> Claim {
        let Some(ask) = self.ask(queue, digest, request) else {
            return Claim::Unavailable;
        };
        let keep = Duration::from_millis(ask.keep_ms);
        match self.peers.claim(ask).await {
            ClaimAnswer::Granted => Claim::Granted { keep },
            ClaimAnswer::AlreadySeen { by } if by == request => Claim::Granted { keep },
            ClaimAnswer::AlreadySeen { .. } => Claim::Seen,
            ClaimAnswer::Unknown | ClaimAnswer::Moved => Claim::Unknown,
        }
    }

    async fn release(&self, queue: &QueueName, digest: KeyDigest, request: RequestId) {
        if let Some(ask) = self.ask(queue, digest, request) {
            // The caller need not wait until the home has heard of it.
            let peers = self.peers.clone();
            tokio::spawn(async move { peers.release_until_done(ask).await });
        }
    }
}
