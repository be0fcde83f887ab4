//! Decisions about claims, from the members and from what is known of a key's history.
//!
//! [`ClaimResolver`] borrows the three tables that a decision needs: the members, the period for which this entry has
//! been a home, and the claims. It does no I/O; [`peers`](crate::peers) sends the messages between entries.

use std::collections::BTreeMap;
use std::time::Instant;

use goldcrest_types::names::EntryId;
use goldcrest_types::rendezvous::HashKey;

use super::Claims;
use crate::membership::{Homes, Membership};
use crate::message::{ClaimAnswer, ClaimAsk, ClaimPast, HandOver, HeldClaim, Member};

/// Resolves claims, hand-overs and queries for a key's history from this entry's tables.
#[derive(Debug)]
pub struct ClaimResolver<'a> {
    /// The entries that count as members. A query from an entry that has joined adds it here.
    pub members: &'a mut Membership,
    /// How long this entry has been certain of being a member, and which members departed recently.
    pub homes: &'a mut Homes,
    /// The claims on the keys whose home is this entry.
    pub claims: &'a mut Claims,
}

impl ClaimResolver<'_> {
    /// Answers a claim from this entry's own tables only.
    pub fn claim(&mut self, claim: &ClaimAsk, now: Instant) -> ClaimAnswer {
        let key = HashKey::of_bits(claim.digest.bits());
        let since = self.homes.home_since(self.members, key, now);
        self.claims.claim(claim, since, now)
    }

    /// Returns the home of the claim's key before this entry joined, or none if this entry is not the home now or is
    /// not certain of being a member.
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

    /// Returns what this entry knows of the claim's key, whose home is `joined` by now.
    pub fn past(&mut self, claim: &ClaimAsk, joined: &Member, now: Instant) -> ClaimPast {
        // From here on this entry counts `joined` as a member, and so no longer grants the key.
        self.members.record_contact(joined, now);
        let key = HashKey::of_bits(claim.digest.bits());
        if self.members.home(key) != joined.entry {
            return ClaimPast::Unknown;
        }
        let homes = &self.homes;
        let since = homes.home_since_before(self.members, key, joined.entry, now);
        self.claims.past(claim, since, now)
    }

    /// Answers a claim with `past`, the former home's reply about the key.
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

    /// Stops granting, and returns the claims grouped by the member that is the next home of each. Returns none if this
    /// entry is not certain that its peers have counted it as a member up to now.
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

    /// Ingests claims from an entry that leaves, and removes it from the members after its last message.
    pub fn take_over(&mut self, from: &Member, part: &HandOver, now: Instant) {
        for held in &part.claims {
            self.claims.take_over(held, now);
        }
        if part.is_last {
            self.members.retire(from.entry, now);
        }
    }
}
