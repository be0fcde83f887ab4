//! Requests and replies between entries.
//!
//! Ages are relative to the time of the reply. The requester subtracts them from the time at which it sent the request,
//! so the time on the way makes received information appear older and never more recent.
//!
//! - [`usage`]: usage, as changes.

pub mod usage;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_ledger::freshness::Proof;
use goldcrest_types::names::{DcName, EntryId, QueueName, RequestId, VmName};
use goldcrest_types::units::{Revision, StoreVersion};
use serde::{Deserialize, Serialize};

use crate::delta::CatalogueDelta;
use crate::wire::{Packet, PacketError};

pub use usage::{Cell, Delta, PoolUsageRequest, PoolUsageTold};

/// A request to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Exchanges state: the sender's for the receiver's.
    Gossip(Box<Gossip>),
    /// Requests the catalogue, if its revision is above the one named.
    Catalogue(CatalogueRequest),
    /// Requests the catalogue as a delta from the revision named.
    CatalogueDelta(CatalogueRequest),
    /// Whether a non-idempotent request may run.
    Claim(ClaimAsk),
    /// Releases a claim whose request certainly did not run.
    Release(ClaimAsk),
    /// Queries the receiver, which was the home of a key before the sender joined, for the key's history.
    Past(ClaimAsk),
    /// Hands over claims of an entry that leaves.
    HandOver(HandOver),
    /// Queries what became of a request or task.
    Explain(ExplainAsk),
    /// The revision that each entry of the data centre works by.
    InForce,
    /// The versions of the fleet documents by which the receiver of the request sends work.
    FleetSeen,
    /// The usage of each pool from the receiver of the request.
    PoolUsage(PoolUsageRequest),
    /// Requests the usage of the receiver's data centre by team.
    DcUsage(UsageRequest),
    /// Notifies the receiver that the quota document of its data centre has changed in a way that concerns its entries.
    QuotaChanged,
}

/// A reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The replying entry's own state.
    Gossip(Box<Gossip>),
    /// The catalogue, or none if the replying entry has none above the revision.
    Catalogue(Option<CatalogueCopy>),
    /// The delta of the catalogue, or none if the replying entry can't build one from the revision that was named.
    CatalogueDelta(Option<CatalogueDelta>),
    /// Whether the request may run.
    Claim(ClaimAnswer),
    /// What the replying entry knows of the key's history.
    Past(ClaimPast),
    /// The request was carried out, and has no other result.
    Done,
    /// The explanation, or none if the replying entry does not know the request or task.
    Explain(Option<Box<str>>),
    /// The revision that each entry of the data centre works by.
    InForce(Vec<InForce>),
    /// The versions of the fleet documents by which the receiver of the request sends work.
    FleetSeen(Vec<FleetSeen>),
    /// The usage of each pool from the receiver of the request.
    PoolUsage(PoolUsageTold),
    /// Changes of the data centre's usage, or none from an entry that is not its relay.
    DcUsage(Option<Delta<DcName>>),
    /// The request was not understood. Nothing was done.
    Refused(Refused),
}

/// A request for the usage of a data centre by team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRequest {
    /// Sequence number up to which the requester has received the receiver's board of data centres.
    #[serde(rename = "n")]
    pub have: u64,
}

/// A refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Reason in plain text, for the requester's log.
    #[serde(rename = "w")]
    pub why: Box<str>,
}

/// An entry as its peers know it. It never changes during the lifetime of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The id of the process, new with each start.
    #[serde(rename = "e")]
    pub entry: EntryId,
    /// The data centre in which the entry runs.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// The VM on which the entry runs.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Address at which the entry listens for peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// A [`Proof`] whose time is given as an age, since entries share no clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAge {
    /// Age in milliseconds, rounded up.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The revision that the proof covers.
    #[serde(rename = "r")]
    pub revision: Revision,
}

impl ProofAge {
    /// Converts `proof` to its age at `now`.
    #[must_use]
    pub fn of(proof: Proof, now: Instant) -> Self {
        let age = now.saturating_duration_since(proof.at);
        let age_ms = age.as_nanos().div_ceil(1_000_000);
        Self {
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            revision: proof.revision,
        }
    }

    /// Converts to a proof on the clock of an entry whose request was sent at `requested_at`.
    #[must_use]
    pub fn to_proof(&self, requested_at: Instant) -> Option<Proof> {
        Proof::from_peer(
            requested_at,
            Duration::from_millis(self.age_ms),
            self.revision,
        )
    }
}

/// A report that no entry of a data centre has contact with the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageReport {
    /// The data centre concerned.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// Until when none had contact, and the highest revision known there.
    #[serde(rename = "p")]
    pub proof: ProofAge,
}

/// A report of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The entry concerned.
    #[serde(rename = "m")]
    pub member: Member,
    /// Milliseconds since the reporting entry last had contact with it, directly or by reports.
    #[serde(rename = "h")]
    pub heard_ms: u64,
}

/// State that entries exchange with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender. Its process id is its incarnation.
    #[serde(rename = "m")]
    pub from: Member,
    /// Number of heartbeats of the sender so far.
    #[serde(rename = "h")]
    pub heartbeat: u64,
    /// The highest revision of the catalogue that the sender has.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The revision that the sender works by.
    #[serde(rename = "f", default)]
    pub in_force: Revision,
    /// The most recent proof that the sender has, its own or a peer's.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<ProofAge>,
    /// Present if the sender has no contact with the key-value service: the age of its last failed attempt.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub no_contact: Option<ProofAge>,
    /// Data centres without contact; only sent by an entry that has none itself.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub outages: Vec<OutageReport>,
    /// Digest of the sender's list of members.
    #[serde(rename = "l", default)]
    pub members_digest: u64,
    /// All members if the receiver's list differs, else empty.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberReport>,
    /// Sequence number up to which the sender has received the receiver's usage by entry.
    #[serde(rename = "q", default)]
    pub have_entries: u64,
    /// Sequence number up to which the sender has received the receiver's usage by data centre.
    #[serde(rename = "z", default)]
    pub have_dcs: u64,
    /// Whether the sender requests the usage of all data centres.
    #[serde(rename = "y", default)]
    pub wants_dcs: bool,
    /// Changed usage by entry; only between entries of one data centre.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Delta<EntryId>>,
    /// Changed usage of the sender's data centre; only from its relay to members of it that request it.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub dcs: Option<Delta<DcName>>,
}

/// A request for the catalogue or a delta of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueRequest {
    /// The revision that the requester has.
    #[serde(rename = "r")]
    pub above: Revision,
}

/// The head of the catalogue as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueCopy {
    /// Revision of the head.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The version under which the key-value service has it, or zero if that is not known.
    #[serde(rename = "v", default)]
    pub version: StoreVersion,
    /// Bytes of the head as stored.
    #[serde(rename = "b")]
    pub head: Bytes,
}

/// The digest of a caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimDigest(u128);

impl ClaimDigest {
    /// Creates a digest from its bits.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    #[must_use]
    pub const fn bits(self) -> u128 {
        self.0
    }
}

/// A claim of the right to run a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The queue to which the request was sent; keys of different queues are distinct.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The digest of the idempotency key.
    #[serde(rename = "d")]
    pub digest: ClaimDigest,
    /// The request that claims.
    #[serde(rename = "i")]
    pub request: RequestId,
    /// How long the claim is kept, in milliseconds, since a repetition may arrive within that time.
    #[serde(rename = "t")]
    pub keep_ms: u64,
}

/// Whether a non-idempotent request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// Only this request may run.
    Granted,
    /// Another request has claimed the key.
    AlreadySeen {
        /// The request that holds the claim.
        by: RequestId,
    },
    /// It is not known whether another request has claimed the key, so it may not run.
    Unknown,
    /// The receiver is leaving and grants no more; it has not seen the key. The claim must be sent to the next home.
    Moved,
}

/// A key's history at a former home, which does not grant the key any more once it has replied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPast {
    /// No request has claimed the key within the time that the claim is kept.
    NotSeen,
    /// A request has claimed the key.
    Seen {
        /// The request that holds the claim.
        by: RequestId,
    },
    /// The former home's knowledge does not go back far enough.
    Unknown,
}

/// A claim that is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// The queue to which the request was sent; keys of different queues are distinct.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The digest of the idempotency key.
    #[serde(rename = "d")]
    pub digest: ClaimDigest,
    /// The request that claimed it.
    #[serde(rename = "i")]
    pub by: RequestId,
    /// Time until the claim expires, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
}

/// Some of the claims of an entry that leaves: those whose next home is the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The claims, possibly none.
    #[serde(rename = "c")]
    pub claims: Vec<HeldClaim>,
    /// Whether this is the last message. The sender no longer is a member from then on.
    #[serde(rename = "e")]
    pub is_last: bool,
}

/// A query for what became of a request or task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAsk {
    /// Id of the request or task, as text.
    #[serde(rename = "i")]
    pub id: Box<str>,
}

/// The revision that an entry works by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The entry concerned.
    #[serde(rename = "m")]
    pub member: Member,
    /// The revision as last reported to the replying entry, or zero if it has no report.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// The version of a data centre's fleet document by which an entry sends work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSeen {
    /// The data centre concerned.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// Version of the document in the key-value service.
    #[serde(rename = "v")]
    pub version: StoreVersion,
}

/// Numbers of the message kinds. They are part of the protocol, and a number is never reused for another kind.
mod kind {
    pub const GOSSIP: u16 = 1;
    pub const CATALOGUE: u16 = 2;
    pub const CLAIM: u16 = 3;
    pub const EXPLAIN: u16 = 4;
    pub const IN_FORCE: u16 = 5;
    pub const RELEASE: u16 = 6;
    pub const PAST: u16 = 7;
    pub const HAND_OVER: u16 = 8;
    pub const DONE: u16 = 9;
    pub const FLEET_SEEN: u16 = 10;
    pub const CATALOGUE_DELTA: u16 = 11;
    pub const POOL_USAGE: u16 = 12;
    pub const QUOTA_CHANGED: u16 = 13;
    pub const DC_USAGE: u16 = 14;
    pub const REFUSED: u16 = 0xffff;
}

impl Request {
    /// Encodes the message.
    #[must_use]
    pub fn to_packet(&self) -> Packet {
        match self {
            Self::Gossip(body) => Packet::new(kind::GOSSIP, body),
            Self::Catalogue(body) => Packet::new(kind::CATALOGUE, body),
            Self::CatalogueDelta(body) => Packet::new(kind::CATALOGUE_DELTA, body),
            Self::Claim(body) => Packet::new(kind::CLAIM, body),
            Self::Release(body) => Packet::new(kind::RELEASE, body),
            Self::Past(body) => Packet::new(kind::PAST, body),
            Self::HandOver(body) => Packet::new(kind::HAND_OVER, body),
            Self::Explain(body) => Packet::new(kind::EXPLAIN, body),
            Self::InForce => Packet::new(kind::IN_FORCE, &()),
            Self::FleetSeen => Packet::new(kind::FLEET_SEEN, &()),
            Self::PoolUsage(body) => Packet::new(kind::POOL_USAGE, body),
            Self::DcUsage(body) => Packet::new(kind::DC_USAGE, body),
            Self::QuotaChanged => Packet::new(kind::QUOTA_CHANGED, &()),
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the kind is not known or the body is not of its kind.
    pub fn from_packet(packet: &Packet) -> Result<Self, PacketError> {
        match packet.kind {
            kind::GOSSIP => packet.read().map(Self::Gossip),
            kind::CATALOGUE => packet.read().map(Self::Catalogue),
            kind::CATALOGUE_DELTA => packet.read().map(Self::CatalogueDelta),
            kind::CLAIM => packet.read().map(Self::Claim),
            kind::RELEASE => packet.read().map(Self::Release),
            kind::PAST => packet.read().map(Self::Past),
            kind::HAND_OVER => packet.read().map(Self::HandOver),
            kind::EXPLAIN => packet.read().map(Self::Explain),
            kind::IN_FORCE => Ok(Self::InForce),
            kind::FLEET_SEEN => Ok(Self::FleetSeen),
            kind::POOL_USAGE => packet.read().map(Self::PoolUsage),
            kind::DC_USAGE => packet.read().map(Self::DcUsage),
            kind::QUOTA_CHANGED => Ok(Self::QuotaChanged),
            unknown => Err(PacketError::UnknownKind(unknown)),
        }
    }
}

impl Reply {
    /// Encodes the message.
    #[must_use]
    pub fn to_packet(&self) -> Packet {
        match self {
            Self::Gossip(body) => Packet::new(kind::GOSSIP, body),
            Self::Catalogue(body) => Packet::new(kind::CATALOGUE, body),
            Self::CatalogueDelta(body) => Packet::new(kind::CATALOGUE_DELTA, body),
            Self::Claim(body) => Packet::new(kind::CLAIM, body),
            Self::Past(body) => Packet::new(kind::PAST, body),
            Self::Done => Packet::new(kind::DONE, &()),
            Self::Explain(body) => Packet::new(kind::EXPLAIN, body),
            Self::InForce(body) => Packet::new(kind::IN_FORCE, body),
            Self::FleetSeen(body) => Packet::new(kind::FLEET_SEEN, body),
            Self::PoolUsage(body) => Packet::new(kind::POOL_USAGE, body),
            Self::DcUsage(body) => Packet::new(kind::DC_USAGE, body),
            Self::Refused(body) => Packet::new(kind::REFUSED, body),
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the kind is not known or the body is not of its kind.
    pub fn from_packet(packet: &Packet) -> Result<Self, PacketError> {
        match packet.kind {
            kind::GOSSIP => packet.read().map(Self::Gossip),
            kind::CATALOGUE => packet.read().map(Self::Catalogue),
            kind::CATALOGUE_DELTA => packet.read().map(Self::CatalogueDelta),
            kind::CLAIM => packet.read().map(Self::Claim),
            kind::PAST => packet.read().map(Self::Past),
            kind::DONE => Ok(Self::Done),
            kind::EXPLAIN => packet.read().map(Self::Explain),
            kind::IN_FORCE => packet.read().map(Self::InForce),
            kind::FLEET_SEEN => packet.read().map(Self::FleetSeen),
            kind::POOL_USAGE => packet.read().map(Self::PoolUsage),
            kind::DC_USAGE => packet.read().map(Self::DcUsage),
            kind::REFUSED => packet.read().map(Self::Refused),
            unknown => Err(PacketError::UnknownKind(unknown)),
        }
    }
}
