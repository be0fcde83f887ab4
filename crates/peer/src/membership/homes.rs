//! Since when this entry has been the home of a key, and can know the key's past.
//!
//! An entry is the home of a key for as long as no member with a higher score is there. So it can know the past of a key
//! back to when the last member that ranks above it left, but no further than its own unbroken standing: the time in
//! which it could be sure that the others count it as a member. An entry that was paused or cut off starts anew. Others
//! may act by an older list of members for [`STANDING_TERM`] after it began to stand, so its knowledge begins only then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::spec::REPEAT_WINDOW_MIN_MS;
use goldcrest_types::names::EntryId;

use super::Membership;
use goldcrest_types::rendezvous::HashKey;

/// How old the list of live sessions may be for an entry to act as a home of keys. It is below the shortest window of
/// repetition.
pub const STANDING_TERM: Duration = Duration::from_millis(REPEAT_WINDOW_MIN_MS - 2_000);

/// The members that left of late, and this entry's own standing.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    valid_since: Option<Instant>,
    valid_until: Option<Instant>,
    departed: BTreeMap<EntryId, Instant>,
}

impl Homes {
    /// No standing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the others count this entry as a member until `until`. If the last such time had run out before
    /// `now`, its standing starts anew.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        if !self.is_valid(now) {
            self.valid_since = Some(now);
        }
        self.valid_until = self.valid_until.max(Some(until));
    }

    /// Notes that the others may no longer count this entry as a member.
    pub fn invalidate(&mut self) {
        self.valid_since = None;
        self.valid_until = None;
    }

    /// Whether this entry can be sure at `now` that it is a member.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Notes that a member has left.
    pub fn record_departure(&mut self, entry: EntryId, now: Instant) {
        self.departed.insert(entry, now);
    }

    /// Forgets the members that left longer than `window` ago.
    pub fn expire(&mut self, window: Duration, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < window;
        self.departed.retain(|_, at| is_recent(at));
    }

    /// Since when this entry has been the home of `key`; none if it is not, or can't be sure.
    #[must_use]
    pub fn home_since(&self, members: &Membership, key: HashKey, now: Instant) -> Option<Instant> {
        let own = members.own().entry;
        if members.home(key) != own {
            return None;
        }
        self.known_since(members, key, now)
    }

    /// Since when this entry was the home of `key` without a break before `joined` came; none if it was not.
    #[must_use]
    pub fn home_since_before(
        &self,
        members: &Membership,
        key: HashKey,
        joined: EntryId,
        now: Instant,
    ) -> Option<Instant> {
        if members.home_before(key, joined) != Some(members.own().entry) {
            return None;
        }
        self.known_since(members, key, now)
    }

    fn known_since(&self, members: &Membership, key: HashKey, now: Instant) -> Option<Instant> {
        if !self.is_valid(now) {
            return None;
        }
        let own = members.own().entry;
        let own_score = key.score(own);
        let ranked_above = |entry: &EntryId| key.score(*entry) > own_score;
        let above = self
            .departed
            .iter()
            .filter(|(entry, _)| ranked_above(entry));
        let last_left = above.map(|(_, at)| *at).max();
        let known_to_all = self.valid_since.map(|since| since + STANDING_TERM);
        known_to_all.max(last_left)
    }
}
