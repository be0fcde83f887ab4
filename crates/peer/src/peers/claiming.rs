//! Claims on idempotency keys, sent to their homes.
//!
//! A home that joined recently does not know a key's history, and queries the former home. A claim whose answer was
//! lost is released in the background, since its request is not run: otherwise the caller's next attempt would find the
//! key claimed by a request that never ran.

use std::time::Duration;

use futures_util::future::join_all;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::EntryId;
use goldcrest_types::rendezvous::HashKey;
use log::{debug, info};

use super::Peers;
use crate::dial::Dial;
use crate::link::LinkError;
use crate::membership::MemberStatus;
use crate::message::{ClaimAnswer, ClaimAsk, ClaimPast, HandOver, HeldClaim, Reply, Request};
use crate::part;

/// Maximum number of attempts to release a claim whose answer was lost.
const RELEASE_ATTEMPTS: u32 = 5;

/// Pause between attempts to release a claim.
const RELEASE_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of attempts to claim a key while its home is leaving.
const MOVED_ATTEMPTS: u32 = 8;

/// Pause between attempts to claim a key whose home is leaving.
const MOVED_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of claims in one message of a hand-over.
const HAND_OVER_CLAIMS: usize = 2_000;

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Claims the right to run a non-idempotent request at its key's home. If the home does not answer, the result is
    /// [`ClaimAnswer::Unknown`].
    pub async fn claim(&self, claim: ClaimAsk) -> ClaimAnswer {
        for _ in 0..MOVED_ATTEMPTS {
            match self.claim_once(claim.clone()).await {
                ClaimAnswer::Moved => tokio::time::sleep(MOVED_PAUSE).await,
                answer => return answer,
            }
        }
        ClaimAnswer::Unknown
    }

    async fn claim_once(&self, claim: ClaimAsk) -> ClaimAnswer {
        match self.call_home(&claim, Request::Claim(claim.clone())).await {
            HomeReply::Local => self.claim_here(&claim).await,
            HomeReply::Remote(Ok(Reply::Claim(answer))) => answer,
            HomeReply::Remote(_) => {
                let peers = self.clone();
                tokio::spawn(async move { peers.release_until_done(claim).await });
                ClaimAnswer::Unknown
            }
            HomeReply::Unreachable => {
                debug!(
                    target: part::CLAIMS,
                    "No answer to a claim: the key's home is not live or has no known address."
                );
                ClaimAnswer::Unknown
            }
        }
    }

    /// Releases a claim whose request certainly did not run. Returns whether the key's home has confirmed it.
    pub async fn release(&self, claim: ClaimAsk) -> bool {
        match self
            .call_home(&claim, Request::Release(claim.clone()))
            .await
        {
            HomeReply::Local => {
                self.state().claims.release(&claim);
                true
            }
            HomeReply::Remote(answer) => matches!(answer, Ok(Reply::Done)),
            HomeReply::Unreachable => false,
        }
    }

    /// Releases a claim, with at most [`RELEASE_ATTEMPTS`] attempts. After the last one it stays until it expires.
    pub async fn release_until_done(&self, claim: ClaimAsk) {
        for _ in 0..RELEASE_ATTEMPTS {
            if self.release(claim.clone()).await {
                return;
            }
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
        debug!(
            target: part::CLAIMS, "A claim of request {} could not be released: it stays until it expires.",
            claim.request
        );
    }

    /// Hands this entry's claims to their next homes, before it leaves. It grants nothing from here on. Returns how
    /// many members have confirmed that this entry is no longer one.
    ///
    /// Members are notified of its departure only once every claim has arrived: otherwise they would treat a key whose
    /// claim was lost on the way as one that was never claimed.
    pub async fn hand_over_claims(&self) -> usize {
        let now = self.now();
        let by_home = {
            let mut state = self.state();
            state.is_leaving = state.homes.is_valid(now);
            state.claim_resolver().start_hand_over(now)
        };
        let Some(by_home) = by_home else {
            info!(
                target: part::CLAIMS,
                "No claims handed over: this entry was not certain that its peers count it as a member."
            );
            return 0;
        };
        let homes: Vec<EntryId> = by_home.keys().copied().collect();
        let parts = by_home.into_iter();
        let sent = join_all(parts.map(|(home, held)| self.hand_over(home, held))).await;
        if !sent.into_iter().all(|is_taken| is_taken) {
            info!(
                target: part::CLAIMS,
                "Not all claims handed over: a next home was not reached. Members are not notified of the departure."
            );
            return 0;
        }
        let last = HandOver {
            claims: Vec::new(),
            is_last: true,
        };
        let acks = homes
            .iter()
            .map(|home| self.send_hand_over(*home, last.clone()));
        let acks = join_all(acks).await;
        acks.into_iter().filter(|is_taken| *is_taken).count()
    }

    /// Sends a next home its claims. Returns whether it has confirmed all of them.
    async fn hand_over(&self, home: EntryId, held: Vec<HeldClaim>) -> bool {
        for claims in held.chunks(HAND_OVER_CLAIMS) {
            let part = HandOver {
                claims: claims.to_vec(),
                is_last: false,
            };
            if !self.send_hand_over(home, part).await {
                return false;
            }
        }
        true
    }

    async fn send_hand_over(&self, home: EntryId, part: HandOver) -> bool {
        let address = {
            let state = self.state();
            state.members.member(home).map(|member| member.address)
        };
        let Some(address) = address else {
            return false;
        };
        let request = Request::HandOver(part);
        let answer = self.inner.links.call(address, &request).await;
        matches!(answer, Ok(Reply::Done))
    }

    /// Answers a claim from this entry's tables, and queries the former home if they do not cover the key's history.
    pub(super) async fn claim_here(&self, claim: &ClaimAsk) -> ClaimAnswer {
        let former = {
            let now = self.now();
            let mut state = self.state();
            let answer = state.claim_resolver().claim(claim, now);
            if answer != ClaimAnswer::Unknown {
                return answer;
            }
            if state.is_leaving {
                return ClaimAnswer::Moved;
            }
            state.claim_resolver().former_home(claim, now)
        };
        let Some(former) = former else {
            debug!(
                target: part::CLAIMS,
                "Claim answered with unknown: this entry is not certain to be the key's home, or has no former home."
            );
            return ClaimAnswer::Unknown;
        };
        let request = Request::Past(claim.clone());
        let reply = self.inner.links.call(former.address, &request).await;
        let past = match reply {
            Ok(Reply::Past(past)) => past,
            Ok(_) | Err(_) => ClaimPast::Unknown,
        };
        let now = self.now();
        if past == ClaimPast::Unknown {
            debug!(target: part::CLAIMS, "The former home {} does not know the history of a key.", former.entry);
        }
        self.state()
            .claim_resolver()
            .claim_with_past(claim, past, now)
    }

    /// Sends a request to the home of a key, unless that is this entry or is not live.
    async fn call_home(&self, claim: &ClaimAsk, request: Request) -> HomeReply {
        let address = {
            let (state, now) = (self.state(), self.now());
            let home = state.members.home(HashKey::of_bits(claim.digest.bits()));
            if home == state.members.own().entry {
                return HomeReply::Local;
            }
            // A suspect home would only delay the caller until the timeout.
            let is_live = state.members.status(home, now) == Some(MemberStatus::Live);
            let member = state.members.member(home).filter(|_| is_live);
            member.map(|member| member.address)
        };
        match address {
            Some(address) => HomeReply::Remote(self.inner.links.call(address, &request).await),
            None => HomeReply::Unreachable,
        }
    }
}

/// Where the home of a key is, with its reply.
enum HomeReply {
    /// This entry is the home.
    Local,
    /// The home is another entry, which replied or failed to.
    Remote(Result<Reply, LinkError>),
    /// The home is not live, or its address is not known yet. Nothing was sent.
    Unreachable,
}
