//! What entries ask each other, and what they answer.
//!
//! Ages count from the moment of answering back. The asker lays them on the moment of its asking, so the time on the
//! way makes what it heard older and never younger.
//!
//! - [`usage`]: usage as what changed.

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

/// A message from an entry that asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// What the asker knows, for what the answerer knows.
    Gossip(Box<Gossip>),
    /// The catalogue, if it is above a revision.
    Catalogue(CatalogueRequest),
    /// The same, as what has changed since that revision.
    CatalogueDelta(CatalogueRequest),
    /// Whether a non-idempotent request may run.
    Claim(ClaimAsk),
    /// Takes a claim back, since its request certainly did not run.
    Release(ClaimAsk),
    /// What the answerer, who was the home before the asker joined, knows of a key.
    Past(ClaimAsk),
    /// The claims of an entry that leaves.
    HandOver(HandOver),
    /// What became of a request or task.
    Explain(ExplainAsk),
    /// By which revision each entry of the data centre works.
    InForce,
    /// By which versions of the fleet documents the answerer sends work.
    FleetSeen,
    /// What each pool has from the answerer.
    PoolUsage(PoolUsageRequest),
    /// What the answerer's data centre has of each team.
    DcUsage(UsageRequest),
    /// The quota document of the answerer's data centre has changed in a way that concerns its entries.
    QuotaChanged,
}

/// A message from an entry that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// What the answerer knows.
    Gossip(Box<Gossip>),
    /// The catalogue, or none if there is none above the revision.
    Catalogue(Option<CatalogueCopy>),
    /// What has changed in the catalogue, or none if the answerer does not have the revision that was named.
    CatalogueDelta(Option<CatalogueDelta>),
    /// Whether the request may run.
    Claim(ClaimAnswer),
    /// What the answerer knows of the key.
    Past(ClaimPast),
    /// It was done.
    Done,
    /// What became of it, if the answerer knows.
    Explain(Option<Box<str>>),
    /// By which revision each entry of the data centre works.
    InForce(Vec<InForce>),
    /// By which versions of the fleet documents the answerer sends work.
    FleetSeen(Vec<FleetSeen>),
    /// What each pool has from the answerer.
    PoolUsage(PoolUsageTold),
    /// What changed of what the data centre has; none from an entry that is not its relay.
    DcUsage(Option<Delta<DcName>>),
    /// The message was not understood. Nothing was done.
    Refused(Refused),
}

/// A question for what a data centre has of each team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRequest {
    /// Up to where the asker has heard the answerer's board of data centres.
    #[serde(rename = "n")]
    pub have: u64,
}

/// A refusal of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Why.
    #[serde(rename = "w")]
    pub why: Box<str>,
}

/// An entry as others know it. It never changes during the life of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    #[serde(rename = "e")]
    pub entry: EntryId,
    /// Its data centre.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// Its VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Where it listens for other entries.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// A [`Proof`] as an age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAge {
    /// How long ago, in milliseconds, rounded up.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The revision.
    #[serde(rename = "r")]
    pub revision: Revision,
}

impl ProofAge {
    /// The age of `proof` at `now`.
    #[must_use]
    pub fn of(proof: Proof, now: Instant) -> Self {
        let age = now.saturating_duration_since(proof.at);
        let age_ms = age.as_nanos().div_ceil(1_000_000);
        Self {
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            revision: proof.revision,
        }
    }

    /// The proof on the clock of an entry that asked at `requested_at`.
    #[must_use]
    pub fn to_proof(&self, requested_at: Instant) -> Option<Proof> {
        Proof::told(
            requested_at,
            Duration::from_millis(self.age_ms),
            self.revision,
        )
    }
}

/// That no entry of a data centre has contact with the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageReport {
    /// The data centre.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// Until when, and the highest revision known there.
    #[serde(rename = "p")]
    pub proof: ProofAge,
}

/// An entry that somebody has heard of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The entry.
    #[serde(rename = "m")]
    pub member: Member,
    /// How long ago its heartbeat was last heard, in milliseconds.
    #[serde(rename = "h")]
    pub heard_ms: u64,
}

/// What one entry tells another each second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Who tells. Its process id is its incarnation.
    #[serde(rename = "m")]
    pub from: Member,
    /// Counts the teller's heartbeats.
    #[serde(rename = "h")]
    pub heartbeat: u64,
    /// The revision that the teller has.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The revision that the teller works by.
    #[serde(rename = "f", default)]
    pub in_force: Revision,
    /// The youngest proof that the teller knows of.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<ProofAge>,
    /// That the teller itself has no contact with the key-value service.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub no_contact: Option<ProofAge>,
    /// Data centres without contact.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub outages: Vec<OutageReport>,
    /// A digest of the teller's list of members.
    #[serde(rename = "l", default)]
    pub members_digest: u64,
    /// Members, when the other side's list differs.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberReport>,
    /// Up to where the teller has heard the other side's usage by entry.
    #[serde(rename = "q", default)]
    pub have_entries: u64,
    /// Up to where the teller has heard the other side's usage by data centre.
    #[serde(rename = "z", default)]
    pub have_dcs: u64,
    /// Whether the teller wants the usage of all data centres.
    #[serde(rename = "y", default)]
    pub wants_dcs: bool,
    /// Usage by entry, inside a data centre.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Delta<EntryId>>,
    /// Usage by data centre.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub dcs: Option<Delta<DcName>>,
}

/// A question for the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueRequest {
    /// The revision that the asker has.
    #[serde(rename = "r")]
    pub above: Revision,
}

/// The head of the catalogue as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueCopy {
    /// Its revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The version under which the key-value service has it, or zero if that is not known.
    #[serde(rename = "v", default)]
    pub version: StoreVersion,
    /// Its bytes.
    #[serde(rename = "b")]
    pub head: Bytes,
}

/// The digest of a caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimDigest(u128);

impl ClaimDigest {
    /// The digest with these bits.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// The bits.
    #[must_use]
    pub const fn bits(self) -> u128 {
        self.0
    }
}

/// A claim of the right to run a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The digest of the idempotency key.
    #[serde(rename = "d")]
    pub digest: ClaimDigest,
    /// The request that claims.
    #[serde(rename = "i")]
    pub request: RequestId,
    /// How long a repetition may come after this, in milliseconds.
    #[serde(rename = "t")]
    pub keep_ms: u64,
}

/// Whether a non-idempotent request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// It may run, by this request only.
    Granted,
    /// Another request has claimed the key.
    AlreadySeen {
        /// That request.
        by: RequestId,
    },
    /// It is not known whether another request has claimed the key, so it may not run.
    Unknown,
    /// The answerer leaves and grants no more; it has not seen the key. The next home is to be asked.
    Moved,
}

/// What a former home knows of a key. It does not grant the key any more once it has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPast {
    /// No request has claimed it.
    NotSeen,
    /// This request has claimed it.
    Seen {
        /// That request.
        by: RequestId,
    },
    /// The answerer can't know.
    Unknown,
}

/// A claim that is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueName,
    /// The digest of the idempotency key.
    #[serde(rename = "d")]
    pub digest: ClaimDigest,
    /// The request that claimed it.
    #[serde(rename = "i")]
    pub by: RequestId,
    /// How long it is still kept, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
}

/// Some of the claims of an entry that leaves: those of which the receiver is the next home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The claims.
    #[serde(rename = "c")]
    pub claims: Vec<HeldClaim>,
    /// Whether these are the last ones. The sender is no member from then on.
    #[serde(rename = "e")]
    pub is_last: bool,
}

/// A question what became of a request or task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAsk {
    /// Its id as text.
    #[serde(rename = "i")]
    pub id: Box<str>,
}

/// By which revision an entry works.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The entry.
    #[serde(rename = "m")]
    pub member: Member,
    /// The revision, as far as the answerer has heard.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// The version of a data centre's fleet document by which an entry sends work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSeen {
    /// The data centre.
    #[serde(rename = "d")]
    pub dc: DcName,
    /// The version.
    #[serde(rename = "v")]
    pub version: StoreVersion,
}

/// The numbers of the kinds. They are never used again for another kind.
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
    /// The message in its form on the wire.
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

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// The kind is not known or the body is not of its kind.
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
    /// The message in its form on the wire.
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

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// The kind is not known or the body is not of its kind.
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
