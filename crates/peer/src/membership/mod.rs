//! Which entries there are, from sessions, heartbeats and the platform's lagging list.
//!
//! Silence alone never removes a member: it may be paused. A member is gone when it has been silent for longer than any
//! pause that is put up with, and besides its session has lapsed or its VM has left the list. A silent member is
//! suspect: it is passed over where another can do the work, and stays a home of keys.
//!
//! Time is passed in. A gap between two ticks is this process's own pause, and nobody else's silence.

pub mod homes;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::{Duration, Instant};

use goldcrest_types::names::{DcName, EntryId, VmName};
use siphasher::sip::SipHasher13;

use crate::message::{Member, MemberReport};
use goldcrest_types::rendezvous::HashKey;

pub use homes::Homes;

/// How long silence may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The time between heartbeats.
    pub heartbeat: Duration,
    /// The silence after which a member is suspect.
    pub suspect_after: Duration,
    /// The silence after which a member may be gone, if something else shows it.
    pub remove_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            suspect_after: Duration::from_millis(3_500),
            remove_after: Duration::from_secs(15),
        }
    }
}

/// How long it is remembered that a member has left in order, beyond its session.
const RETIRED_RETENTION: Duration = Duration::from_mins(10);

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// It was heard lately.
    Live,
    /// It is silent, and may be paused.
    Suspect,
    /// It is gone.
    Departed,
}

/// What was seen of a member's session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionView {
    Unknown,
    Live,
    Expired,
}

/// What the platform's list says of a member's VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListView {
    Unknown,
    Listed,
    Removed,
}

#[derive(Debug, Clone)]
struct Record {
    member: Member,
    last_contact: Instant,
    session: SessionView,
    list: ListView,
}

impl Record {
    fn status(&self, cfg: &MembershipConfig, now: Instant) -> MemberStatus {
        let silence = now.saturating_duration_since(self.last_contact);
        let is_confirmed_gone =
            self.session == SessionView::Expired || self.list == ListView::Removed;
        if silence >= cfg.remove_after && is_confirmed_gone {
            MemberStatus::Departed
        } else if silence >= cfg.suspect_after {
            MemberStatus::Suspect
        } else {
            MemberStatus::Live
        }
    }
}

/// The entries that this one knows, itself included.
#[derive(Debug, Clone)]
pub struct Membership {
    cfg: MembershipConfig,
    own: Member,
    ticked: Instant,
    records: BTreeMap<EntryId, Record>,
    sessions: BTreeSet<EntryId>,
    retired: BTreeMap<EntryId, Instant>,
    counted: BTreeSet<EntryId>,
    unreachable_since: BTreeMap<EntryId, Instant>,
}

impl Membership {
    /// A membership of this entry alone.
    #[must_use]
    pub fn new(own: Member, cfg: MembershipConfig, now: Instant) -> Self {
        Self {
            cfg,
            own,
            ticked: now,
            records: BTreeMap::new(),
            sessions: BTreeSet::new(),
            retired: BTreeMap::new(),
            counted: BTreeSet::new(),
            unreachable_since: BTreeMap::new(),
        }
    }

    /// This entry.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Notes that time has passed, and returns the entries that are no longer counted as members.
    ///
    /// It is called once a heartbeat. A longer gap is a pause of this process, in which it could hear nobody.
    pub fn tick(&mut self, now: Instant) -> Vec<EntryId> {
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        let pause = gap.saturating_sub(self.cfg.heartbeat * 2);
        for record in self.records.values_mut() {
            record.last_contact = (record.last_contact + pause).min(now);
        }
        let cfg = self.cfg;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < cfg.remove_after;
        self.unreachable_since.retain(|_, at| is_recent(at));
        self.records
            .retain(|_, record| record.status(&cfg, now) != MemberStatus::Departed);
        let sessions = &self.sessions;
        self.retired.retain(|entry, at| {
            sessions.contains(entry) || now.saturating_duration_since(*at) < RETIRED_RETENTION
        });
        let counted = self.ids();
        let left = self.counted.difference(&counted).copied().collect();
        self.counted = counted;
        left
    }

    /// All entries that count as members: those with a live session, those heard of that are not gone, and this one.
    fn ids(&self) -> BTreeSet<EntryId> {
        let own = std::iter::once(&self.own.entry);
        let known = self.records.keys().chain(&self.sessions).chain(own);
        let members = known.filter(|entry| !self.retired.contains_key(entry));
        members.copied().collect()
    }

    /// Notes that `entry` has left in order. It is no member any more, whoever still tells of it.
    pub fn retire(&mut self, entry: EntryId, now: Instant) {
        self.records.remove(&entry);
        self.counted.remove(&entry);
        self.retired.insert(entry, now);
    }

    /// Notes a sign of life of `member` at `at`.
    pub fn record_contact(&mut self, member: &Member, at: Instant) {
        if member.entry == self.own.entry || self.retired.contains_key(&member.entry) {
            return;
        }
        let record = self.records.entry(member.entry).or_insert_with(|| Record {
            member: member.clone(),
            last_contact: at,
            session: SessionView::Unknown,
            list: ListView::Unknown,
        });
        record.last_contact = record.last_contact.max(at);
    }

    /// Notes that `entry` did not answer at `at`. A remote data centre's relay is sought elsewhere for a while.
    pub fn mark_unreachable(&mut self, entry: EntryId, at: Instant) {
        self.unreachable_since.insert(entry, at);
    }

    /// Notes what another entry, asked at `requested_at`, said of a member. Old news of strangers is passed over.
    pub fn ingest_report(&mut self, report: &MemberReport, requested_at: Instant) {
        let age = Duration::from_millis(report.heard_ms);
        let is_known = self.records.contains_key(&report.member.entry);
        if !is_known && age >= self.cfg.remove_after {
            return;
        }
        if let Some(at) = requested_at.checked_sub(age) {
            self.record_contact(&report.member, at);
        }
    }

    /// Notes which sessions live.
    pub fn set_sessions(&mut self, live: &BTreeSet<EntryId>) {
        self.sessions.clone_from(live);
        for (entry, record) in &mut self.records {
            record.session = if live.contains(entry) {
                SessionView::Live
            } else {
                SessionView::Expired
            };
        }
    }

    /// Notes which VMs the platform lists. A VM that was never listed may be too new for the list.
    pub fn set_listing(&mut self, vms: &BTreeSet<VmName>) {
        for record in self.records.values_mut() {
            let is_listed = vms.contains(&record.member.vm);
            record.list = match (is_listed, record.list) {
                (true, _) => ListView::Listed,
                (false, ListView::Unknown) => ListView::Unknown,
                (false, ListView::Listed | ListView::Removed) => ListView::Removed,
            };
        }
    }

    /// How a member stands, or none if it is not known.
    #[must_use]
    pub fn status(&self, entry: EntryId, now: Instant) -> Option<MemberStatus> {
        if entry == self.own.entry {
            return Some(MemberStatus::Live);
        }
        let record = self.records.get(&entry)?;
        Some(record.status(&self.cfg, now))
    }

    /// All members that are not gone, this entry included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.records.values().map(|record| &record.member);
        others.chain(std::iter::once(&self.own))
    }

    /// The members of a data centre that are not gone.
    pub fn members_of<'a>(&'a self, dc: &'a DcName) -> impl Iterator<Item = &'a Member> {
        self.members().filter(move |member| member.dc == *dc)
    }

    /// What this entry can tell of the members.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<MemberReport> {
        let own = MemberReport {
            member: self.own.clone(),
            heard_ms: 0,
        };
        let others = self.records.values().map(|record| {
            let silence = now.saturating_duration_since(record.last_contact);
            MemberReport {
                member: record.member.clone(),
                heard_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            }
        });
        others.chain(std::iter::once(own)).collect()
    }

    /// The relay of a data centre: its home among the live members there, or among the suspect ones if none lives.
    /// Members of other data centres are mostly not heard, and count as live unless they did not answer of late.
    #[must_use]
    pub fn relay<'a>(&'a self, dc: &'a DcName, now: Instant) -> Option<&'a Member> {
        let key = HashKey::of_name(dc.as_str());
        let rank = |member: &&Member| {
            let is_live = if member.dc == self.own.dc {
                self.status(member.entry, now) == Some(MemberStatus::Live)
            } else {
                !self.unreachable_since.contains_key(&member.entry)
            };
            (is_live, key.score(member.entry))
        };
        self.members_of(dc).max_by_key(rank)
    }

    /// Whether this entry is the relay of its data centre.
    #[must_use]
    pub fn is_relay(&self, now: Instant) -> bool {
        let relay = self.relay(&self.own.dc, now);
        relay.is_some_and(|relay| relay.entry == self.own.entry)
    }

    /// The home that a key had before `joined` came.
    #[must_use]
    pub fn home_before(&self, key: HashKey, joined: EntryId) -> Option<EntryId> {
        let others = self.ids().into_iter().filter(|entry| *entry != joined);
        key.home(others)
    }

    /// The home of a key among all entries that count as members. It may be one that this entry can't reach.
    #[must_use]
    pub fn home(&self, key: HashKey) -> EntryId {
        key.home(self.ids().into_iter()).unwrap_or(self.own.entry)
    }

    /// The member with this id, if its address is known.
    #[must_use]
    pub fn member(&self, entry: EntryId) -> Option<&Member> {
        if entry == self.own.entry {
            return Some(&self.own);
        }
        self.records.get(&entry).map(|record| &record.member)
    }

    /// The data centres with a member.
    #[must_use]
    pub fn dcs(&self) -> BTreeSet<DcName> {
        self.members().map(|member| member.dc.clone()).collect()
    }

    /// A digest of who is a member, alike on all entries that know the same members.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let ids: BTreeSet<EntryId> = self.members().map(|member| member.entry).collect();
        let mut hasher = SipHasher13::new();
        for id in ids {
            hasher.write_u128(id.bits());
        }
        hasher.finish()
    }
}
