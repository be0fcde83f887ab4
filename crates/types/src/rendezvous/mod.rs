//! Rendezvous hashing: the choice of one of several members as the home of a key.
//!
//! Each pair of key and member hashes to a score; the member with the highest score is the key's home. A member that
//! leaves therefore moves only its own keys, and one that joins moves only the keys whose home it becomes.

use std::hash::Hasher;

use crate::names::EntryId;
use siphasher::sip::SipHasher13;

/// The hash of the id or name that a home is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HashKey(u64);

impl HashKey {
    /// Hashes an id of 128 bits.
    #[must_use]
    pub fn of_bits(bits: u128) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write_u128(bits);
        Self(hasher.finish())
    }

    /// Hashes a name.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        Self(hasher.finish())
    }

    /// Returns the score of `member` for this key.
    #[must_use]
    pub fn score(self, member: EntryId) -> Score {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u128(member.bits());
        Score(hasher.finish(), member)
    }

    /// Returns the member with the highest score, or `None` if there are no members.
    #[must_use]
    pub fn home(self, members: impl Iterator<Item = EntryId>) -> Option<EntryId> {
        members.max_by_key(|member| self.score(*member))
    }
}

/// The rank of a member for a key. Two members never have equal scores: the member's id breaks ties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score(u64, EntryId);
