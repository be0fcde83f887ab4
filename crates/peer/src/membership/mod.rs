//! Membership, derived from sessions, heartbeats and the platform's lagging list of VMs.
//!
//! Silence alone never removes a member, since it may be paused. A member has departed when it has been silent for
//! longer than the longest tolerated pause and, besides, its session has expired or its VM has been removed from the
//! list. A silent member is suspect: it is avoided where another can do the work, and stays a home of keys.
//!
//! Time is passed in. A gap between two ticks is a pause of this process, and does not count as silence of its peers.

pub mod homes;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::{Duration, Instant};

use goldcrest_types::names::{DcName, EntryId, VmName};
use siphasher::sip::SipHasher13;

use crate::message::{Member, MemberReport};
use goldcrest_types::rendezvous::HashKey;

pub use homes::Homes;

/// Interval of heartbeats, and limits on a member's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a member is suspect.
    pub suspect_after: Duration,
    /// Silence after which a member is removed, if its session has expired or its VM is off the list.
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

/// Minimum time for which a member that has left in order is remembered; it is kept for as long as its session is
/// listed as live.
const RETIRED_RETENTION: Duration = Duration::from_mins(10);

/// Status of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// A message or report of it is recent.
    Live,
    /// It is silent for at least [`MembershipConfig::suspect_after`], and may be paused.
    Suspect,
    /// It is silent for at least [`MembershipConfig::remove_after`], and its session or VM is gone too.
    Departed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionView {
    Unknown,
    Live,
    Expired,
}

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

/// The entries known to this one, itself included.
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
    /// Creates a membership with this entry alone.
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

    /// Returns this entry.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Advances the time, and returns the entries that no longer count as members.
    ///
    /// It is called once per heartbeat. A gap of more than two heartbeats is a pause of this process, in which it could
    /// receive nothing.
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

    /// Returns all entries that count as members: this one, those with a live session, and those known by address that
    /// have not departed.
    fn ids(&self) -> BTreeSet<EntryId> {
        let own = std::iter::once(&self.own.entry);
        let known = self.records.keys().chain(&self.sessions).chain(own);
        let members = known.filter(|entry| !self.retired.contains_key(entry));
        members.copied().collect()
    }

    /// Records that `entry` has left in order. It no longer is a member, even if peers still report it.
    pub fn retire(&mut self, entry: EntryId, now: Instant) {
        self.records.remove(&entry);
        self.counted.remove(&entry);
        self.retired.insert(entry, now);
    }

    /// Records that a message from `member` was received, or that it was otherwise known to be alive, at `at`.
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

    /// Records that a request to `entry` failed at `at`. Another relay of its data centre is preferred for
    /// [`MembershipConfig::remove_after`].
    pub fn mark_unreachable(&mut self, entry: EntryId, at: Instant) {
        self.unreachable_since.insert(entry, at);
    }

    /// Ingests a peer's report of a member, which answers a request sent at `requested_at`. A report of an unknown
    /// entry is ignored if it is too old.
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

    /// Sets which sessions are live.
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

    /// Sets which VMs the platform lists. A VM that was never listed may be too recent for the list, and does not count
    /// as removed.
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

    /// Returns a member's status, or none if it is not known by address.
    #[must_use]
    pub fn status(&self, entry: EntryId, now: Instant) -> Option<MemberStatus> {
        if entry == self.own.entry {
            return Some(MemberStatus::Live);
        }
        let record = self.records.get(&entry)?;
        Some(record.status(&self.cfg, now))
    }

    /// Returns all members that are known by address and have not departed, this entry included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.records.values().map(|record| &record.member);
        others.chain(std::iter::once(&self.own))
    }

    /// Returns the members of a data centre that have not departed.
    pub fn members_of<'a>(&'a self, dc: &'a DcName) -> impl Iterator<Item = &'a Member> {
        self.members().filter(move |member| member.dc == *dc)
    }

    /// Returns a report of each member with the time since its last contact.
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

    /// Returns the relay of a data centre: its home among the live members there, or among the suspect ones if none is
    /// live. Members of remote data centres rarely send messages to this entry, so they count as live unless a request
    /// to them failed recently.
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

    /// Returns whether this entry is the relay of its data centre.
    #[must_use]
    pub fn is_relay(&self, now: Instant) -> bool {
        let relay = self.relay(&self.own.dc, now);
        relay.is_some_and(|relay| relay.entry == self.own.entry)
    }

    /// Returns the home of a key among all members but `joined`; none if there is no other.
    #[must_use]
    pub fn home_before(&self, key: HashKey, joined: EntryId) -> Option<EntryId> {
        let others = self.ids().into_iter().filter(|entry| *entry != joined);
        key.home(others)
    }

    /// Returns the home of a key among all entries that count as members. It may be one that this entry can't reach.
    #[must_use]
    pub fn home(&self, key: HashKey) -> EntryId {
        key.home(self.ids().into_iter()).unwrap_or(self.own.entry)
    }

    /// Returns the member with this id, or none if its address is not known.
    #[must_use]
    pub fn member(&self, entry: EntryId) -> Option<&Member> {
        if entry == self.own.entry {
            return Some(&self.own);
        }
        self.records.get(&entry).map(|record| &record.member)
    }

    /// Returns the data centres with at least one member.
    #[must_use]
    pub fn dcs(&self) -> BTreeSet<DcName> {
        self.members().map(|member| member.dc.clone()).collect()
    }

    /// Returns a digest of the members' ids, equal on all entries that know the same members.
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
