//! Claims by repetitions of a non-idempotent request, also across changes of the home.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use goldcrest_peer::claims::{ClaimResolver, Claims, ClaimsConfig};
use goldcrest_peer::membership::{Homes, Membership, MembershipConfig};
use goldcrest_peer::message::{
    ClaimAnswer, ClaimAsk, ClaimDigest, ClaimPast, HandOver, HeldClaim, Member,
};
use goldcrest_types::names::{EntryId, RequestId};
use goldcrest_types::rendezvous::HashKey;
use quickcheck::{Gen, QuickCheck};

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
    // The first request retries, since its answer was lost.
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

/// One entry of [`Model`], with its own view of its peers.
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

    /// Applies one heartbeat of an entry that has contact with the key-value service.
    fn heartbeat(&mut self, live: &BTreeSet<EntryId>, now: Instant) {
        self.members.set_sessions(live);
        for left in self.members.tick(now) {
            self.homes.record_departure(left, now);
        }
        self.homes.expire(WINDOW, now);
        self.homes.extend(now, now + Duration::from_secs(9));
    }

    fn claim_resolver(&mut self) -> ClaimResolver<'_> {
        ClaimResolver {
            members: &mut self.members,
            homes: &mut self.homes,
            claims: &mut self.claims,
        }
    }
}

/// Four places for entries. An entry that has left is replaced by one with a new id.
struct Model {
    now: Instant,
    homes: Vec<Home>,
    cut_until: [Instant; 4],
    next_bits: u128,
    next_request: u128,
    granted: Vec<(u128, Instant)>,
    granted_by_former: usize,
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            homes: (1..=4).map(|bits| Home::new(bits, now)).collect(),
            cut_until: [now; 4],
            next_bits: 5,
            next_request: 1,
            granted: Vec::new(),
            granted_by_former: 0,
        }
    }

    fn is_cut(&self, place: usize) -> bool {
        self.now < self.cut_until[place]
    }

    fn entry(&self, place: usize) -> EntryId {
        self.homes[place].members.own().entry
    }

    fn place_of(&self, entry: EntryId) -> Option<usize> {
        (0..self.homes.len()).find(|place| self.entry(*place) == entry)
    }

    /// Advances the time by 5 s. The session of an entry that is cut off expires, and its validity is not extended.
    fn pass(&mut self) {
        self.now += Duration::from_secs(5);
        let reached: Vec<usize> = (0..4).filter(|place| !self.is_cut(*place)).collect();
        let own = |place: &usize| self.homes[*place].members.own().clone();
        let heard: Vec<Member> = reached.iter().map(own).collect();
        let live: BTreeSet<EntryId> = heard.iter().map(|member| member.entry).collect();
        for place in reached {
            for member in &heard {
                self.homes[place].members.record_contact(member, self.now);
            }
            self.homes[place].heartbeat(&live, self.now);
        }
    }

    /// Lets an entry leave in order, and puts another in its place.
    fn leave(&mut self, place: usize) {
        let now = self.now;
        let from = self.homes[place].members.own().clone();
        let parts = self.homes[place].claim_resolver().start_hand_over(now);
        let is_cut = self.is_cut(place);
        let mut is_whole = true;
        let mut reached = Vec::new();
        for (home, claims) in parts.into_iter().flatten() {
            let to = self
                .place_of(home)
                .filter(|to| !is_cut && !self.is_cut(*to));
            is_whole &= to.is_some() || claims.is_empty();
            if let Some(to) = to {
                reached.push(to);
                self.take_over(to, &from, claims, false);
            }
        }
        for to in reached.into_iter().filter(|_| is_whole) {
            self.take_over(to, &from, Vec::new(), true);
        }
        self.homes[place] = Home::new(self.next_bits, now);
        self.next_bits += 1;
    }

    fn take_over(&mut self, to: usize, from: &Member, claims: Vec<HeldClaim>, is_last: bool) {
        let part = HandOver { claims, is_last };
        let now = self.now;
        self.homes[to].claim_resolver().take_over(from, &part, now);
    }

    /// Sends a claim to one entry as if it were the key's home. Returns whether the key was granted twice.
    fn claim(&mut self, place: usize, digest: u128) -> bool {
        let (now, request) = (self.now, self.next_request);
        self.next_request += 1;
        let ask = ask(digest, request);
        let mut answer = self.homes[place].claim_resolver().claim(&ask, now);
        if answer == ClaimAnswer::Unknown {
            answer = self.claim_with_past(place, &ask);
            self.granted_by_former += usize::from(answer == ClaimAnswer::Granted);
        }
        if answer != ClaimAnswer::Granted {
            return false;
        }
        let keep = Duration::from_secs(30);
        let is_second = |(key, at): &(u128, Instant)| *key == digest && now < *at + keep;
        let is_twice = self.granted.iter().any(is_second);
        self.granted.push((digest, now));
        is_twice
    }

    fn claim_with_past(&mut self, place: usize, ask: &ClaimAsk) -> ClaimAnswer {
        let now = self.now;
        let own = self.homes[place].members.own().clone();
        let former = self.homes[place].claim_resolver().former_home(ask, now);
        let former = former.and_then(|member| self.place_of(member.entry));
        let reached = former.filter(|from| !self.is_cut(*from) && !self.is_cut(place));
        let past = match reached {
            Some(from) => self.homes[from].claim_resolver().past(ask, &own, now),
            None => ClaimPast::Unknown,
        };
        self.homes[place]
            .claim_resolver()
            .claim_with_past(ask, past, now)
    }
}

/// Returns whether no key is granted twice while entries are cut off or paused, come back, or leave in order and are
/// replaced. Each claim is sent to every entry, so also to one that wrongly takes itself for the home.
fn is_granted_once(steps: Vec<(u8, u8)>) -> bool {
    let mut model = Model::new();
    model.pass();
    for (action, key) in steps {
        let place = usize::from(action % 4);
        match action / 4 % 8 {
            0 => model.cut_until[place] = model.now + Duration::from_secs(u64::from(key) * 4),
            1 => model.leave(place),
            _ => {}
        }
        model.pass();
        let digest = u128::from(key % 8);
        if (0..4).any(|place| model.claim(place, digest)) {
            return false;
        }
    }
    true
}

#[test]
fn claim_at_most_one_grant() {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(120, 11))
        .quickcheck(is_granted_once as fn(Vec<(u8, u8)>) -> bool);
}

/// Returns a model whose entries all know their keys' history.
fn settled() -> Model {
    let mut model = Model::new();
    for _ in 0..9 {
        model.pass();
    }
    model
}

fn claim_anywhere(model: &mut Model, digest: u128) -> usize {
    let before = model.granted.len();
    let is_twice = (0..4).any(|place| model.claim(place, digest));
    assert!(!is_twice, "key {digest} was granted twice");
    model.granted.len() - before
}

#[test]
fn leave_in_order_loses_no_key() {
    let mut model = settled();
    let first: usize = (0..32).map(|key| claim_anywhere(&mut model, key)).sum();
    assert_eq!(first, 32, "every key has a home that knows its history");
    model.leave(1);
    model.pass();
    let again: usize = (0..32).map(|key| claim_anywhere(&mut model, key)).sum();
    assert_eq!(again, 0, "no key that was claimed is granted again");
    let fresh: usize = (32..64).map(|key| claim_anywhere(&mut model, key)).sum();
    assert_eq!(
        fresh, 32,
        "every new key is granted, also by the entry that has just joined"
    );
    assert!(
        model.granted_by_former > 0,
        "former homes have confirmed that keys were not claimed"
    );
}

#[test]
fn leave_cut_off_grants_no_key() {
    let mut model = settled();
    for key in 0..32 {
        claim_anywhere(&mut model, key);
    }
    model.cut_until[1] = model.now + Duration::from_hours(1);
    model.leave(1);
    model.pass();
    for key in 0..32 {
        assert_eq!(claim_anywhere(&mut model, key), 0);
    }
}

#[test]
fn release_only_by_owner() {
    let start = Instant::now();
    let now = start + WINDOW;
    let mut claims = Claims::new(cfg(10));
    claims.claim(&ask(1, 1), Some(start), now);
    claims.release(&ask(1, 2));
    let by = RequestId::new(1);
    let seen = ClaimAnswer::AlreadySeen { by };
    assert_eq!(claims.claim(&ask(1, 3), Some(start), now), seen);
    claims.release(&ask(1, 1));
    assert_eq!(
        claims.claim(&ask(1, 3), Some(start), now),
        ClaimAnswer::Granted
    );
    assert_eq!(claims.len(), 1);
}

/// A key is granted twice if a leaving entry's claim is lost on the way to a next home that is cut off, while the other
/// members have been notified that the entry left in order.
#[test]
fn leave_next_home_cut_off() {
    let steps = [
        (33, 8),
        (230, 0),
        (0, 0),
        (0, 0),
        (0, 0),
        (5, 165),
        (132, 0),
        (4, 21),
    ];
    assert!(is_granted_once(steps.to_vec()));
}

/// A key is granted twice if an entry that has just joined acts as its home at once, while another that read the list
/// of sessions right before the join still grants keys by that list.
#[test]
fn claim_granted_by_older_list_after_a_join() {
    let start = Instant::now();
    let (mut old, mut new) = (Home::new(1, start), Home::new(2, start));
    let (old_id, new_id) = (EntryId::new(1), EntryId::new(2));
    for second in 0..100 {
        old.heartbeat(
            &BTreeSet::from([old_id]),
            start + Duration::from_secs(second),
        );
    }
    let joined = start + Duration::from_secs(99);
    let both = BTreeSet::from([old_id, new_id]);
    new.heartbeat(&both, joined);
    let is_new_home = |digest: &u128| {
        HashKey::of_bits(*digest).home([old_id, new_id].into_iter()) == Some(new_id)
    };
    let digest = (0..64).find(is_new_home).expect("a key of the new home");
    let granted_at = joined + Duration::from_millis(7_500);
    let answer = old.claim_resolver().claim(&ask(digest, 1), granted_at);
    assert_eq!(answer, ClaimAnswer::Granted);
    let forgotten_at = granted_at + Duration::from_millis(ask(digest, 1).keep_ms);
    let mut now = joined;
    while now < forgotten_at {
        new.heartbeat(&both, now);
        let again = new.claim_resolver().claim(&ask(digest, 2), now);
        assert_ne!(again, ClaimAnswer::Granted, "{:?} after", now - granted_at);
        now += Duration::from_millis(500);
    }
}
