//! The key-value service: versioned values, compare-and-swap, leases and watches.
//!
//! Every change of a value gives it a higher version, and a swap names the version that it read. A value that was put
//! under a lease is removed when the lease expires.

use std::fmt;
use std::future::Future;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_types::units::StoreVersion;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 256;

/// The largest value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// A key: parts of `a-z`, `0-9`, `-` and `_`, joined by `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct StoreKey(Box<str>);

quick_error! {
    /// Why a text is not a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreKeyError {
        /// Empty, too long, or with a character that is not allowed.
        Form(text: Box<str>) {
            display("'{text}' is no store key: use parts of a-z, 0-9, '-' and '_' joined by '/', {KEY_BYTES_MAX} bytes at most")
        }
    }
}

impl StoreKey {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for StoreKey {
    type Err = StoreKeyError;

    fn from_str(text: &str) -> Result<Self, StoreKeyError> {
        let is_plain =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
        let is_part = |part: &str| !part.is_empty() && part.bytes().all(is_plain);
        if text.len() > KEY_BYTES_MAX || !text.split('/').all(is_part) {
            return Err(StoreKeyError::Form(text.into()));
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<Box<str>> for StoreKey {
    type Error = StoreKeyError;

    fn try_from(text: Box<str>) -> Result<Self, StoreKeyError> {
        text.parse()
    }
}

impl From<StoreKey> for Box<str> {
    fn from(key: StoreKey) -> Self {
        key.0
    }
}

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The version that a later swap names.
    pub version: StoreVersion,
    /// The value, which is not interpreted.
    pub value: Bytes,
}

/// The condition of a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key has no value.
    Absent,
    /// The key's value has this version.
    Version(StoreVersion),
}

/// The id of a lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(u64);

impl LeaseId {
    /// The lease with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the lease.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

quick_error! {
    /// Why a call to the key-value service has failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The swap found another version. Nothing was changed.
        Conflict {
            display("the value has changed meanwhile: read it and try again")
        }
        /// The call never reached the service. Nothing was changed.
        Unreachable {
            display("the key-value service can't be reached: wait, or check its address in the settings")
        }
        /// The call may or may not have taken effect.
        OutcomeUnknown {
            display("no answer from the key-value service: read the value back before trying again")
        }
        /// The service refuses calls for now. Nothing was changed.
        Throttled {
            display("the key-value service refuses calls for now: wait and call less often")
        }
        /// The lease has expired. Nothing was changed.
        LeaseGone {
            display("the lease has lapsed: ask for a new one")
        }
        /// The service's answer can't be read, or it refuses the call for good.
        Malformed(detail: Box<str>) {
            display("the key-value service answered '{detail}': check that the settings name the right service")
        }
    }
}

impl StoreError {
    /// Whether it is certain that the call changed nothing.
    #[must_use]
    pub fn is_no_change(&self) -> bool {
        match self {
            Self::Conflict | Self::Unreachable | Self::Throttled | Self::LeaseGone => true,
            Self::OutcomeUnknown | Self::Malformed(_) => false,
        }
    }
}

/// The key-value service.
pub trait Store: Send + Sync + 'static {
    /// Reads a value; none if the key has no value.
    fn get(
        &self,
        key: &StoreKey,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Replaces a value if `expect` holds, and returns its new version. With a lease, the value is removed when the
    /// lease expires.
    fn swap(
        &self,
        key: &StoreKey,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<StoreVersion, StoreError>> + Send;

    /// Removes a value if it has this version.
    fn remove(
        &self,
        key: &StoreKey,
        version: StoreVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits until the value has a version above `after` and returns it, or returns none after `wait`.
    fn watch(
        &self,
        key: &StoreKey,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// The keys that start with `prefix` and a `/`.
    fn list(
        &self,
        prefix: &StoreKey,
    ) -> impl Future<Output = Result<Vec<StoreKey>, StoreError>> + Send;

    /// Requests a lease that expires `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease for another full term.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}
