//! Rendezvous hashing: who of the members is the home of a key.
//!
//! Every member draws a score for the key, and the highest is its home. So a member that leaves moves only its own
//! keys, and a member that joins takes only keys that become its own.

use std::hash::Hasher;

use crate::names::EntryId;
use siphasher::sip::SipHasher13;

/// What a member is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HashKey(u64);

impl HashKey {
    /// The key for 128 bits.
    #[must_use]
    pub fn of_bits(bits: u128) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write_u128(bits);
        Self(hasher.finish())
    }

    /// The key for a name.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        Self(hasher.finish())
    }

    /// The score of `member` for this key.
    #[must_use]
    pub fn score(self, member: EntryId) -> Score {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u128(member.bits());
        Score(hasher.finish(), member)
    }

    /// The member with the highest score.
    #[must_use]
    pub fn home(self, members: impl Iterator<Item = EntryId>) -> Option<EntryId> {
        members.max_by_key(|member| self.score(*member))
    }
}

/// How a member ranks for a key. No two members have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score(u64, EntryId);
