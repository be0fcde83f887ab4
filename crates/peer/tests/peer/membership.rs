//! Members that are paused, cut off, replaced or departed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use goldcrest_peer::membership::homes::STANDING_TERM;
use goldcrest_peer::membership::{Homes, MemberStatus, Membership, MembershipConfig};
use goldcrest_peer::message::{Member, MemberReport};
use goldcrest_types::names::EntryId;
use goldcrest_types::rendezvous::HashKey;
use quickcheck::{Gen, QuickCheck};

use crate::common::unreached;

const HEARTBEAT: Duration = Duration::from_secs(1);

/// Entry 1, which knows entry 2 of its data centre.
struct Pair {
    members: Membership,
    other: Member,
    now: Instant,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let mut members = Membership::new(unreached(1, "lis-1"), MembershipConfig::default(), now);
        let other = unreached(2, "lis-1");
        members.record_contact(&other, now);
        Self {
            members,
            other,
            now,
        }
    }

    fn silence(&mut self, heartbeats: u32) -> Vec<EntryId> {
        let mut left = Vec::new();
        for _ in 0..heartbeats {
            self.now += HEARTBEAT;
            left.extend(self.members.tick(self.now));
        }
        left
    }

    fn status(&self) -> Option<MemberStatus> {
        self.members.status(self.other.entry, self.now)
    }
}

fn ids(bits: &[u128]) -> BTreeSet<EntryId> {
    bits.iter().map(|bits| EntryId::new(*bits)).collect()
}

#[test]
fn status_paused_for_ten_seconds() {
    let mut pair = Pair::new();
    pair.members.set_sessions(&ids(&[1]));
    assert_eq!(pair.silence(10), []);
    assert_eq!(pair.status(), Some(MemberStatus::Suspect));
    let (other, now) = (pair.other.clone(), pair.now);
    pair.members.record_contact(&other, now);
    assert_eq!(pair.status(), Some(MemberStatus::Live));
}

#[test]
fn status_silent_with_session() {
    let mut pair = Pair::new();
    pair.members.set_sessions(&ids(&[1, 2]));
    assert_eq!(pair.silence(600), []);
    assert_eq!(pair.status(), Some(MemberStatus::Suspect));
}

#[test]
fn tick_silent_and_session_expired() {
    let mut pair = Pair::new();
    pair.members.set_sessions(&ids(&[1, 2]));
    pair.silence(5);
    pair.members.set_sessions(&ids(&[1]));
    assert_eq!(pair.silence(9), []);
    assert_eq!(pair.silence(1), [EntryId::new(2)]);
    assert_eq!(pair.status(), None);
}

#[test]
fn tick_in_contact_but_session_expired() {
    let mut pair = Pair::new();
    pair.members.set_sessions(&ids(&[1, 2]));
    pair.members.set_sessions(&ids(&[1]));
    for _ in 0..60 {
        let (other, now) = (pair.other.clone(), pair.now);
        pair.members.record_contact(&other, now);
        assert_eq!(pair.silence(1), []);
    }
    assert_eq!(pair.status(), Some(MemberStatus::Live));
}

#[test]
fn tick_vm_off_the_list() {
    let mut pair = Pair::new();
    let listed = BTreeSet::from([pair.other.vm.clone()]);
    // A VM that was never listed may be missing since the list lags, so its member is not removed.
    pair.members.set_listing(&BTreeSet::new());
    assert_eq!(pair.silence(60), []);
    pair.members.set_listing(&listed);
    pair.members.set_listing(&BTreeSet::new());
    assert_eq!(pair.silence(1), [EntryId::new(2)]);
}

#[test]
fn tick_own_pause_is_nobody_elses_silence() {
    let mut pair = Pair::new();
    pair.silence(1);
    pair.members.set_sessions(&ids(&[1]));
    pair.now += Duration::from_mins(1);
    assert_eq!(pair.members.tick(pair.now), []);
    assert_eq!(pair.status(), Some(MemberStatus::Live));
}

#[test]
fn ingest_report_old_of_unknown_entry() {
    let mut pair = Pair::new();
    let report = MemberReport {
        member: unreached(3, "lis-1"),
        heard_ms: 20_000,
    };
    pair.members.ingest_report(&report, pair.now);
    assert_eq!(pair.members.members().count(), 2);
}

#[test]
fn relay_passes_over_suspect() {
    let mut pair = Pair::new();
    let third = unreached(3, "lis-1");
    for _ in 0..5 {
        pair.silence(1);
        pair.members.record_contact(&third, pair.now);
    }
    let dc = pair.other.dc.clone();
    let relay = pair.members.relay(&dc, pair.now).expect("a relay");
    assert_ne!(relay.entry, pair.other.entry);
}

#[test]
fn home_counts_sessions_never_heard() {
    let mut pair = Pair::new();
    let all = [1, 2, 3, 4, 5];
    pair.members.set_sessions(&ids(&all));
    let homes = (0..1_000).map(|bits| pair.members.home(HashKey::of_bits(bits)));
    let homes: BTreeSet<EntryId> = homes.collect();
    assert_eq!(homes, ids(&all));
}

#[test]
fn extend_after_expiry_starts_anew() {
    let pair = Pair::new();
    let mut homes = Homes::new();
    let (mut now, term) = (pair.now, Duration::from_secs(9));
    let key = (0..).map(HashKey::of_bits);
    let own = EntryId::new(1);
    let mut keys = key.filter(|key| pair.members.home(*key) == own);
    let key = keys.next().expect("a key whose home is entry 1");
    homes.extend(now, now + term);
    let known_since = Some(pair.now + STANDING_TERM);
    assert_eq!(homes.home_since(&pair.members, key, now), known_since);
    now += Duration::from_secs(8);
    homes.extend(now, now + term);
    assert_eq!(homes.home_since(&pair.members, key, now), known_since);
    now += Duration::from_secs(10);
    assert_eq!(homes.home_since(&pair.members, key, now), None);
    homes.extend(now, now + term);
    let known_since = Some(now + STANDING_TERM);
    assert_eq!(homes.home_since(&pair.members, key, now), known_since);
}

fn is_moved_only_from_departed(members: BTreeSet<u64>, keys: Vec<u64>) -> bool {
    let ids = members.into_iter().map(|m| EntryId::new(u128::from(m)));
    let all: Vec<EntryId> = ids.collect();
    let Some((left, rest)) = all.split_first() else {
        return true;
    };
    keys.into_iter().all(|key| {
        let key = HashKey::of_bits(u128::from(key));
        let before = key.home(all.iter().copied());
        before == Some(*left) || before == key.home(rest.iter().copied())
    })
}

#[test]
fn home_moves_only_keys_of_departed() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(is_moved_only_from_departed as fn(BTreeSet<u64>, Vec<u64>) -> bool);
}
