//! The period for which this entry has been the home of a key, and so can know the key's history.
//!
//! An entry is the home of a key as long as no member with a higher score is there. It can therefore know the history
//! of a key back to when the last member that ranks above it departed, but no further than the start of its own
//! unbroken validity: the period in which it was certain that its peers count it as a member. After a pause or a
//! network partition the period starts anew. Peers may act on an older list of members for [`STANDING_TERM`] after its
//! start, so the known history begins only then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::spec::REPEAT_WINDOW_MIN_MS;
use goldcrest_types::names::EntryId;

use super::Membership;
use goldcrest_types::rendezvous::HashKey;

/// Maximum age of the list of live sessions at which an entry may act as a home of keys. It is 2 s below the shortest
/// window for repetitions, so an entry that acts on an older list stops before that window ends.
pub const STANDING_TERM: Duration = Duration::from_millis(REPEAT_WINDOW_MIN_MS - 2_000);

/// This entry's own validity as a member, and the members that departed recently with the instant at which each was
/// found to be gone.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    valid_since: Option<Instant>,
    valid_until: Option<Instant>,
    departed: BTreeMap<EntryId, Instant>,
}

impl Homes {
    /// Creates a state that is not valid yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that peers count this entry as a member until `until`. If the previous validity had expired before
    /// `now`, the unbroken period starts anew.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        if !self.is_valid(now) {
            self.valid_since = Some(now);
        }
        self.valid_until = self.valid_until.max(Some(until));
    }

    /// Ends the validity, since peers may no longer count this entry as a member.
    pub fn invalidate(&mut self) {
        self.valid_since = None;
        self.valid_until = None;
    }

    /// Returns whether this entry is certain at `now` that its peers count it as a member.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Records that a member has departed.
    pub fn record_departure(&mut self, entry: EntryId, now: Instant) {
        self.departed.insert(entry, now);
    }

    /// Removes members that departed at least `window` ago.
    pub fn expire(&mut self, window: Duration, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < window;
        self.departed.retain(|_, at| is_recent(at));
    }

    /// Returns since when this entry has known the history of `key` as its home, or none if it is not the home or is
    /// not certain of being a member.
    #[must_use]
    pub fn home_since(&self, members: &Membership, key: HashKey, now: Instant) -> Option<Instant> {
        let own = members.own().entry;
        if members.home(key) != own {
            return None;
        }
        self.known_since(members, key, now)
    }

    /// Returns since when this entry knew the history of `key` as its home before `joined` came, or none if it was not
    /// the home or is not certain of being a member.
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
