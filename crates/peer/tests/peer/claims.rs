//! The same non-idempotent request comes twice, also across changes of the home.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use goldcrest_peer::claims::{Claims, ClaimsConfig};
use goldcrest_peer::membership::{Homes, Membership, MembershipConfig};
use goldcrest_peer::message::{ClaimAnswer, ClaimAsk, ClaimDigest};
use goldcrest_types::names::{EntryId, RequestId};
use goldcrest_types::rendezvous::HashKey;
use quickcheck::quickcheck;

use crate::common::unreached;

const WINDOW: Duration = Duration::from_mins(5);

fn cfg(claims_max: usize) -> ClaimsConfig {
    ClaimsConfig {
        window: WINDOW,
        claims_max,
    }
}

fn ask(digest: u128, request: u128) -> ClaimAsk {
    ClaimAsk {
        queue: "apply".parse().expect("a name"),
        digest: ClaimDigest::new(digest),
        request: RequestId::new(request),
        keep_ms: 30_000,
    }
}

#[test]
fn claim_twice() {
    let start = Instant::now();
    let now = start + WINDOW;
    let mut claims = Claims::new(cfg(10));
    assert_eq!(
        claims.claim(&ask(1, 1), Some(start), now),
        ClaimAnswer::Granted
    );
    let seen = ClaimAnswer::AlreadySeen {
        by: RequestId::new(1),
    };
    assert_eq!(claims.claim(&ask(1, 2), Some(start), now), seen);
    // The first request asks again, since it did not get the answer.
    assert_eq!(
        claims.claim(&ask(1, 1), Some(start), now),
        ClaimAnswer::Granted
    );
    let later = now + Duration::from_secs(30);
    assert_eq!(
        claims.claim(&ask(1, 2), Some(start), later),
        ClaimAnswer::Granted
    );
}

#[test]
fn claim_home_without_past() {
    let start = Instant::now();
    let mut claims = Claims::new(cfg(10));
    let mut ask = ask(1, 1);
    ask.keep_ms = 300_000;
    let just_before = start + Duration::from_millis(299_999);
    assert_eq!(
        claims.claim(&ask, Some(start), just_before),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        claims.claim(&ask, None, start + WINDOW),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        claims.claim(&ask, Some(start), start + WINDOW),
        ClaimAnswer::Granted
    );
}

#[test]
fn claim_home_without_past_short_window() {
    let start = Instant::now();
    let mut claims = Claims::new(cfg(10));
    let just_before = start + Duration::from_millis(29_999);
    assert_eq!(
        claims.claim(&ask(1, 1), Some(start), just_before),
        ClaimAnswer::Unknown
    );
    let known = start + Duration::from_secs(30);
    assert_eq!(
        claims.claim(&ask(1, 1), Some(start), known),
        ClaimAnswer::Granted
    );
}

#[test]
fn claim_full_table_forgets_nothing() {
    let start = Instant::now();
    let now = start + WINDOW;
    let mut claims = Claims::new(cfg(2));
    for key in 1..=2 {
        assert_eq!(
            claims.claim(&ask(key, key), Some(start), now),
            ClaimAnswer::Granted
        );
    }
    assert_eq!(
        claims.claim(&ask(3, 3), Some(start), now),
        ClaimAnswer::Unknown
    );
    assert_ne!(
        claims.claim(&ask(1, 9), Some(start), now),
        ClaimAnswer::Granted
    );
    let later = now + Duration::from_secs(30);
    assert_eq!(
        claims.claim(&ask(3, 3), Some(start), later),
        ClaimAnswer::Granted
    );
    assert_eq!(claims.len(), 1);
}

/// One entry of the model below, with its own view of the others.
struct Home {
    members: Membership,
    homes: Homes,
    claims: Claims,
}

impl Home {
    fn new(bits: u128, now: Instant) -> Self {
        let own = unreached(bits, "lis-1");
        Self {
            members: Membership::new(own, MembershipConfig::default(), now),
            homes: Homes::new(),
            claims: Claims::new(cfg(1_000)),
        }
    }

    /// What one heartbeat tells an entry that has contact with the key-value service.
    fn beat(&mut self, live: &BTreeSet<EntryId>, now: Instant) {
        self.members.set_sessions(live);
        for left in self.members.tick(now) {
            self.homes.note_left(left, now);
        }
        self.homes.expire(WINDOW, now);
        self.homes.extend(now, now + Duration::from_secs(9));
    }

    fn claim(&mut self, ask: &ClaimAsk, now: Instant) -> ClaimAnswer {
        let key = HashKey::of_bits(ask.digest.bits());
        let since = self.homes.home_since(&self.members, key, now);
        self.claims.claim(ask, since, now)
    }
}

quickcheck! {
    /// Entries come, are cut off or paused, and come back, and every entry that thinks it is the home is asked. No key is
    /// granted to two requests in the time in which a repetition may come.
    fn claim_at_most_one_grant(steps: Vec<(u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut homes: Vec<Home> = (1..=4).map(|bits| Home::new(bits, now)).collect();
        let mut cut_until = [now; 4];
        let mut granted: Vec<(u128, Instant)> = Vec::new();
        let mut request = 0;
        for (step, (action, key)) in steps.iter().enumerate() {
            let at = usize::from(action % 4);
            if action / 4 % 8 == 0 {
                cut_until[at] = now + Duration::from_secs(u64::from(*key) * 4);
            }
            now += Duration::from_secs(5);
            // A lease of ten seconds lapses after that; a cut entry hears nothing and can renew nothing.
            let is_live = |index: &usize| now < cut_until[*index] || step == 0;
            let cut: Vec<usize> = (0..4).filter(|index| step > 0 && is_live(index)).collect();
            let lapsed = |index: &usize| cut.contains(index);
            let live = (0..4).filter(|index| !lapsed(index));
            let live: BTreeSet<EntryId> = live.map(|i| EntryId::new(i as u128 + 1)).collect();
            for (index, home) in homes.iter_mut().enumerate() {
                if !cut.contains(&index) {
                    home.beat(&live, now);
                }
            }
            let digest = u128::from(key % 8);
            for home in &mut homes {
                request += 1;
                if home.claim(&ask(digest, request), now) == ClaimAnswer::Granted {
                    let keep = Duration::from_secs(30);
                    if granted.iter().any(|(key, at)| *key == digest && now < *at + keep) {
                        return false;
                    }
                    granted.push((digest, now));
                }
            }
        }
        true
    }
}
