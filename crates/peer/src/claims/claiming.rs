//! How an entry answers claims by what it knows of the members and of keys' pasts.
//!
//! [`ClaimResolver`] borrows the three tables that decide together: the members, since when this entry has been a home, and
//! the claims. All of it is pure; the messages between entries are sent by [`peers`](crate::peers).

use std::collections::BTreeMap;
use std::time::Instant;

use goldcrest_types::names::EntryId;
use goldcrest_types::rendezvous::HashKey;

use super::Claims;
use crate::membership::{Homes, Membership};
use crate::message::{ClaimAnswer, ClaimAsk, ClaimPast, HandOver, HeldClaim, Member};

/// What decides about claims.
#[derive(Debug)]
pub struct ClaimResolver<'a> {
    /// The members.
    pub members: &'a mut Membership,
    /// Since when this entry has been a home.
    pub homes: &'a mut Homes,
    /// The claims that it keeps.
    pub claims: &'a mut Claims,
}

impl ClaimResolver<'_> {
    /// Answers a claim by what this entry knows itself.
    pub fn claim(&mut self, claim: &ClaimAsk, now: Instant) -> ClaimAnswer {
        let key = HashKey::of_bits(claim.digest.bits());
        let since = self.homes.home_since(self.members, key, now);
        self.claims.claim(claim, since, now)
    }

    /// Who was the home of the key of `claim` before this entry joined, if this entry is the home now.
    #[must_use]
    pub fn former_home(&self, claim: &ClaimAsk, now: Instant) -> Option<Member> {
        let key = HashKey::of_bits(claim.digest.bits());
        let own = self.members.own().entry;
        if !self.homes.is_valid(now) || self.members.home(key) != own {
            return None;
        }
        let former = self.members.home_before(key, own)?;
        self.members.member(former).cloned()
    }

    /// What this entry knows of the key of `claim`, whose home `joined` is by now.
    pub fn past(&mut self, claim: &ClaimAsk, joined: &Member, now: Instant) -> ClaimPast {
        // From here on this entry counts the asker as a member, and so does not grant the key any more.
        self.members.record_contact(joined, now);
        let key = HashKey::of_bits(claim.digest.bits());
        if self.members.home(key) != joined.entry {
            return ClaimPast::Unknown;
        }
        let homes = &self.homes;
        let since = homes.home_since_before(self.members, key, joined.entry, now);
        self.claims.past(claim, since, now)
    }

    /// Answers a claim by what the former home told of the key.
    pub fn claim_with_past(
        &mut self,
        claim: &ClaimAsk,
        past: ClaimPast,
        now: Instant,
    ) -> ClaimAnswer {
        if self.former_home(claim, now).is_none() {
            return ClaimAnswer::Unknown;
        }
        match past {
            ClaimPast::NotSeen => self.claims.claim_unseen(claim, now),
            ClaimPast::Seen { by } => self.claims.record_seen(claim, by, now),
            ClaimPast::Unknown => ClaimAnswer::Unknown,
        }
    }

    /// Stops granting, and returns the claims by the member that is the next home of each; none if this entry can't be
    /// sure that the others counted it as a member up to now.
    pub fn start_hand_over(&mut self, now: Instant) -> Option<BTreeMap<EntryId, Vec<HeldClaim>>> {
        let stood = self.homes.is_valid(now);
        self.homes.invalidate();
        if !stood {
            return None;
        }
        let own = self.members.own().entry;
        let others = self.members.members().map(|member| member.entry);
        let mut by_home: BTreeMap<EntryId, Vec<HeldClaim>> = others
            .filter(|entry| *entry != own)
            .map(|entry| (entry, Vec::new()))
            .collect();
        for held in self.claims.held(now) {
            let key = HashKey::of_bits(held.digest.bits());
            let home = self.members.home_before(key, own)?;
            by_home.entry(home).or_default().push(held);
        }
        Some(by_home)
    }

    /// Takes over claims of an entry that leaves.
    pub fn take_over(&mut self, from: &Member, part: &HandOver, now: Instant) {
        for held in &part.claims {
            self.claims.take_over(held, now);
        }
        if part.is_last {
            self.members.retire(from.entry, now);
        }
    }
}
