//! State behind [`Peers`](super::Peers): what this entry has received from its peers and sends to them, without I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::{Evidence, Proof};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::{DcName, EntryId, PoolName, TeamName};
use goldcrest_types::units::Revision;

use crate::claims::{ClaimResolver, Claims};
use crate::membership::{Homes, Membership};
use crate::message::{
    CatalogueCopy, Delta, FleetSeen, Gossip, InForce, Member, OutageReport, ProofAge,
};
use crate::peers::PeersConfig;
use crate::usage::{Board, CELLS_MAX, CELLS_MAX_DC, INEXACT_CELLS_MAX, Usage};

/// Minimum time between two messages with all members to one peer, in heartbeats.
const MEMBERS_PAUSE: u32 = 2;

/// Maximum time between two messages with the same members to one peer whose list differs, in heartbeats.
const MEMBERS_PAUSE_MAX: u32 = 64;

/// Address of an entry whose id is not known yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seed {
    /// The data centre.
    pub dc: DcName,
    /// Address at which one of its entries listens for peers.
    pub address: SocketAddr,
}

/// What this entry itself knows of the catalogue and of the key-value service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnView {
    /// The revision that this entry works by.
    pub revision: Revision,
    /// Its own last successful read of the catalogue's head.
    pub proof: Option<Proof>,
    /// Its last failed attempt to read, with its revision; absent while it has contact.
    pub no_contact: Option<Proof>,
}

/// A data centre without contact with the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// The data centre.
    pub dc: DcName,
    /// Until when no entry there had contact, and the highest revision known there.
    pub proof: Proof,
}

/// What peers have reported about the freshness of the catalogue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerEvidence {
    /// The most recent read of the head that a peer has reported.
    pub peer: Option<Proof>,
    /// The data centres that are reported to be without contact.
    pub outages: Vec<Outage>,
}

impl PeerEvidence {
    /// Returns the evidence in the form that the ledger evaluates, for an entry that works by `cat` and whose own last
    /// read is `own`.
    #[must_use]
    pub fn weighed_with(&self, cat: &Catalogue, own: Option<Proof>) -> Evidence {
        let mut evidence = Evidence {
            revision: cat.revision(),
            own,
            peer: self.peer,
            dc_count: cat.dcs.len(),
            ..Evidence::default()
        };
        for outage in &self.outages {
            if let Some(dc) = cat.dc(outage.dc.as_str()) {
                evidence.outages[dc] = Some(outage.proof);
            }
        }
        evidence
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Sequence numbers up to which this entry has received the peer's boards.
    received_entries: u64,
    received_dcs: u64,
    /// Sequence numbers up to which the peer has received this entry's boards.
    acked_entries: u64,
    acked_dcs: u64,
    wants_dcs: bool,
    /// When all members were last sent, and the minimum time until they are sent again.
    members_sent_at: Option<Instant>,
    members_pause: Duration,
    /// Digest of the members that were sent then, and the digest that the peer last sent of its own.
    sent_digest: u64,
    peer_digest: Option<u64>,
}

/// A revision of the catalogue at a peer that is higher than this entry's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerRevision {
    /// Address of the peer that has it.
    pub address: SocketAddr,
    /// The peer's revision.
    pub revision: Revision,
}

pub(super) struct State {
    pub(super) members: Membership,
    pub(super) homes: Homes,
    pub(super) claims: Claims,
    pub(super) is_leaving: bool,
    pub(super) fleet_seen: Vec<FleetSeen>,
    pub(super) own: OwnView,
    pub(super) copy: Option<CatalogueCopy>,
    /// The copies before the present one, oldest first.
    pub(super) earlier: VecDeque<CatalogueCopy>,
    pub(super) seeds: BTreeSet<Seed>,
    pub(super) wants_dcs: bool,
    pub(super) is_relay: bool,
    window: Duration,
    heartbeat_interval: Duration,
    heartbeat: u64,
    /// How many inexact cells may still be published in this heartbeat.
    publish_left: usize,
    peer_proof: Option<Proof>,
    no_contact: BTreeMap<EntryId, Proof>,
    in_force: BTreeMap<EntryId, Revision>,
    outages: BTreeMap<DcName, Proof>,
    entries: Board<EntryId>,
    dcs: Board<DcName>,
    /// Usage of each pool from this entry.
    pub(super) pools: Board<EntryId, PoolName>,
    peers: BTreeMap<EntryId, PeerState>,
}

impl State {
    pub(super) fn new(own: Member, cfg: &PeersConfig, now: Instant) -> Self {
        Self {
            members: Membership::new(own, cfg.membership, now),
            homes: Homes::new(),
            claims: Claims::new(cfg.claims),
            is_leaving: false,
            fleet_seen: Vec::new(),
            own: OwnView::default(),
            copy: None,
            earlier: VecDeque::new(),
            seeds: BTreeSet::new(),
            wants_dcs: true,
            window: cfg.claims.window,
            heartbeat_interval: cfg.membership.heartbeat,
            is_relay: false,
            heartbeat: 0,
            publish_left: INEXACT_CELLS_MAX,
            peer_proof: None,
            no_contact: BTreeMap::new(),
            in_force: BTreeMap::new(),
            outages: BTreeMap::new(),
            entries: Board::new(),
            dcs: Board::new(),
            pools: Board::new(),
            peers: BTreeMap::new(),
        }
    }

    fn own_dc(&self) -> DcName {
        self.members.own().dc.clone()
    }

    /// Runs once per heartbeat: drops the state of departed members, and sums up this data centre's usage.
    pub(super) fn tick(&mut self, now: Instant) {
        self.heartbeat += 1;
        for entry in self.members.tick(now) {
            self.homes.record_departure(entry, now);
            self.entries.forget(&entry);
            self.no_contact.remove(&entry);
            self.in_force.remove(&entry);
            self.peers.remove(&entry);
        }
        self.homes.expire(self.window, now);
        self.is_relay = self.members.is_relay(now);
        self.publish_left = INEXACT_CELLS_MAX;
        self.publish_inexact();
        self.pools.publish_inexact(INEXACT_CELLS_MAX);
        self.sum_up();
        let dcs = self.members.dcs();
        self.outages.retain(|dc, _| dcs.contains(dc));
    }

    /// Sums up this data centre's usage, if this entry is the relay.
    fn sum_up(&mut self) {
        if self.is_relay {
            let dc = self.own_dc();
            let sums = self.entries.sums();
            self.dcs.set_all(&dc, &sums);
        }
    }

    /// Publishes inexact cells, as many as are left for this heartbeat.
    fn publish_inexact(&mut self) {
        self.publish_left -= self.entries.publish_inexact(self.publish_left);
    }

    /// Returns the changes of this data centre's usage above `have`, or none if this entry is not its relay.
    pub(super) fn own_dc_usage(&mut self, have: u64) -> Option<Delta<DcName>> {
        self.sum_up();
        self.dcs.publish_inexact(INEXACT_CELLS_MAX);
        let dc = self.own_dc();
        self.is_relay
            .then(|| self.dcs.delta(have, Some(&dc), CELLS_MAX_DC))
    }

    /// Returns the sequence number up to which this entry has received a relay's board of data centres.
    pub(super) fn received_dcs(&self, relay: EntryId) -> u64 {
        self.peers.get(&relay).map_or(0, |peer| peer.received_dcs)
    }

    /// Ingests a relay's changes of its data centre's usage.
    pub(super) fn apply_dc_delta(&mut self, relay: EntryId, delta: &Delta<DcName>) {
        self.peers.entry(relay).or_default().received_dcs = delta.upto;
        let own = self.own_dc();
        let summed_here = self.is_relay.then_some(&own);
        self.dcs.apply(delta, summed_here);
    }

    /// Returns the highest revision that this entry has, in force or as a copy.
    pub(super) fn revision(&self) -> Revision {
        let copy = self.copy.as_ref();
        let copied = copy.map_or(Revision::ZERO, |copy| copy.revision);
        copied.max(self.own.revision)
    }

    /// Returns the revision that each entry of this data centre works by, zero for an entry that has not reported it.
    pub(super) fn in_force(&self) -> Vec<InForce> {
        let own = self.members.own();
        let members = self.members.members_of(&own.dc);
        let revision = |member: &Member| match self.in_force.get(&member.entry) {
            _ if member.entry == own.entry => self.own.revision,
            Some(revision) => *revision,
            None => Revision::ZERO,
        };
        let in_force = members.map(|member| InForce {
            member: member.clone(),
            revision: revision(member),
        });
        in_force.collect()
    }

    pub(super) fn set_usage(&mut self, usage: &BTreeMap<TeamName, Usage>) {
        let own = self.members.own().entry;
        self.entries.set_all(&own, usage);
        self.publish_inexact();
    }

    pub(super) fn entry_usage(&self) -> &Board<EntryId> {
        &self.entries
    }

    pub(super) fn dc_usage(&self) -> &Board<DcName> {
        &self.dcs
    }

    /// Builds the gossip for `to`, or for an address whose entry is not known. `to_digest` is the digest of members
    /// that it just sent, if this is a reply.
    pub(super) fn gossip(
        &mut self,
        to: Option<&Member>,
        to_digest: Option<u64>,
        now: Instant,
    ) -> Gossip {
        let own = self.members.own().clone();
        let is_local = to.is_some_and(|to| to.dc == own.dc);
        let peer = to.and_then(|to| self.peers.get(&to.entry)).copied();
        let peer = peer.unwrap_or_default();
        if is_local && peer.wants_dcs {
            self.sum_up();
            self.dcs.publish_inexact(INEXACT_CELLS_MAX);
        }
        let all = self.should_send_members(to, to_digest, now);
        let only = if self.is_relay {
            None
        } else {
            Some(&own.entry)
        };
        Gossip {
            heartbeat: self.heartbeat,
            revision: self.revision(),
            in_force: self.own.revision,
            proof: self.freshest_proof().map(|proof| ProofAge::of(proof, now)),
            no_contact: self.own.no_contact.map(|proof| ProofAge::of(proof, now)),
            outages: self.outage_reports(now),
            members_digest: self.members.digest(),
            members: if all {
                self.members.reports(now)
            } else {
                Vec::new()
            },
            have_entries: peer.received_entries,
            have_dcs: peer.received_dcs,
            wants_dcs: self.wants_dcs,
            entries: is_local.then(|| self.entries.delta(peer.acked_entries, only, CELLS_MAX)),
            dcs: self.dc_delta_for(&own, is_local, peer),
            from: own,
        }
    }

    /// Returns the changes of this data centre's usage for a local member that requested them, if this entry is the
    /// relay. Members of remote data centres send a request for them.
    fn dc_delta_for(&self, own: &Member, is_local: bool, peer: PeerState) -> Option<Delta<DcName>> {
        let is_recipient = self.is_relay && is_local && peer.wants_dcs;
        is_recipient.then(|| self.dcs.delta(peer.acked_dcs, Some(&own.dc), CELLS_MAX_DC))
    }

    /// Returns whether to send a peer all members: when its list differs, with exponential backoff while that lasts.
    fn should_send_members(
        &mut self,
        to: Option<&Member>,
        to_digest: Option<u64>,
        now: Instant,
    ) -> bool {
        let Some(to) = to else {
            return true;
        };
        let own_digest = self.members.digest();
        let shortest = self.heartbeat_interval * MEMBERS_PAUSE;
        let longest = self.heartbeat_interval * MEMBERS_PAUSE_MAX;
        let peer = self.peers.entry(to.entry).or_default();
        let peer_digest = to_digest.or(peer.peer_digest);
        if peer_digest.is_none_or(|digest| digest == own_digest) {
            return false;
        }
        if peer.sent_digest != own_digest {
            peer.members_pause = shortest;
        }
        let is_due = |at| now.saturating_duration_since(at) >= peer.members_pause;
        if !peer.members_sent_at.is_none_or(is_due) {
            return false;
        }
        peer.members_sent_at = Some(now);
        peer.sent_digest = own_digest;
        peer.members_pause = (peer.members_pause * 2).clamp(shortest, longest);
        true
    }

    /// Ingests a peer's gossip. `requested_at` is given for a reply only: its ages can be converted to this entry's
    /// clock. Returns the peer's revision if it is higher than this entry's.
    pub(super) fn ingest(
        &mut self,
        gossip: &Gossip,
        requested_at: Option<Instant>,
        now: Instant,
    ) -> Option<NewerRevision> {
        let from = &gossip.from;
        self.members
            .record_contact(from, requested_at.unwrap_or(now));
        for report in &gossip.members {
            self.members
                .ingest_report(report, requested_at.unwrap_or(now));
        }
        self.in_force.insert(from.entry, gossip.in_force);
        self.ingest_usage(gossip);
        if let Some(requested_at) = requested_at {
            self.ingest_evidence(gossip, requested_at);
        }
        (gossip.revision > self.revision()).then_some(NewerRevision {
            address: from.address,
            revision: gossip.revision,
        })
    }

    fn ingest_usage(&mut self, gossip: &Gossip) {
        let own = self.members.own().clone();
        let peer = self.peers.entry(gossip.from.entry).or_default();
        peer.acked_entries = gossip.have_entries;
        peer.acked_dcs = gossip.have_dcs;
        peer.wants_dcs = gossip.wants_dcs;
        peer.peer_digest = Some(gossip.members_digest);
        if let Some(delta) = &gossip.entries {
            peer.received_entries = delta.upto;
            self.entries.apply(delta, Some(&own.entry));
        }
        if let Some(delta) = &gossip.dcs {
            self.apply_dc_delta(gossip.from.entry, delta);
        }
    }

    fn ingest_evidence(&mut self, gossip: &Gossip, requested_at: Instant) {
        let to_proof = |age: &Option<ProofAge>| age.and_then(|age| age.to_proof(requested_at));
        if let Some(proof) = to_proof(&gossip.proof) {
            self.peer_proof = Some(fresher(self.peer_proof, proof));
        }
        let from = &gossip.from;
        if from.dc == self.own_dc() {
            match to_proof(&gossip.no_contact) {
                Some(proof) => drop(self.no_contact.insert(from.entry, proof)),
                None => drop(self.no_contact.remove(&from.entry)),
            }
        }
        for report in &gossip.outages {
            if let Some(proof) = report.proof.to_proof(requested_at) {
                let known = self.outages.get(&report.dc).copied();
                self.outages
                    .insert(report.dc.clone(), fresher(known, proof));
            }
        }
    }

    fn freshest_proof(&self) -> Option<Proof> {
        match (self.own.proof, self.peer_proof) {
            (Some(own), Some(peer)) => Some(fresher(Some(own), peer)),
            (own, peer) => own.or(peer),
        }
    }

    /// Returns the proof that no member of this data centre has contact, or none unless every one of them has reported
    /// so.
    fn own_outage(&self) -> Option<Proof> {
        let own = self.members.own();
        let mut sum = self.own.no_contact?;
        for member in self.members.members_of(&own.dc) {
            if member.entry != own.entry {
                let proof = self.no_contact.get(&member.entry)?;
                sum.at = sum.at.min(proof.at);
                sum.revision = sum.revision.max(proof.revision);
            }
        }
        Some(sum)
    }

    pub(super) fn evidence(&self) -> PeerEvidence {
        let mut outages = self.outages.clone();
        if let Some(proof) = self.own_outage() {
            let dc = self.own_dc();
            let known = outages.get(&dc).copied();
            outages.insert(dc, fresher(known, proof));
        }
        let outages = outages.into_iter();
        PeerEvidence {
            peer: self.peer_proof,
            outages: outages.map(|(dc, proof)| Outage { dc, proof }).collect(),
        }
    }

    fn outage_reports(&self, now: Instant) -> Vec<OutageReport> {
        if self.own.no_contact.is_none() {
            return Vec::new();
        }
        let outages = self.evidence().outages.into_iter();
        let report = |outage: Outage| OutageReport {
            dc: outage.dc,
            proof: ProofAge::of(outage.proof, now),
        };
        outages.map(report).collect()
    }

    /// Returns the tables that decide about claims.
    pub(super) fn claim_resolver(&mut self) -> ClaimResolver<'_> {
        ClaimResolver {
            members: &mut self.members,
            homes: &mut self.homes,
            claims: &mut self.claims,
        }
    }
}

fn fresher(known: Option<Proof>, proof: Proof) -> Proof {
    match known {
        Some(known) if known.at > proof.at => known,
        _ => proof,
    }
}
