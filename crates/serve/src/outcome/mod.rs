//! Refusals, and the tokens that are required to create one.
//!
//! A refusal is either [`Refusal::NotRun`] or [`Refusal::Unknown`], with a closed set of codes each. A
//! token decides which of the two a request can still get: [`Unsent`] until its first byte may have left for an
//! upstream, [`Sent`] from then on. Code that holds a token creates "not run" only through [`Unsent::refuse`] and
//! "unknown" only through [`Sent::refuse`]; [`Unsent::into_sent`] consumes the first token, so the two cannot be confused.

mod codes;

use std::time::Duration;

pub use codes::{NotRunCode, UnknownCode};

/// Why a request got no answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request did not run.
    NotRun {
        /// Reason.
        code: NotRunCode,
        /// Value of `Retry-After`. None if a later retry does not help.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// Reason.
        code: UnknownCode,
    },
}

impl Refusal {
    /// Returns the stable text of the code, such as `queue-full`.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::NotRun { code, .. } => code.as_str(),
            Self::Unknown { code } => code.as_str(),
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::NotRun { code, .. } => code.status(),
            Self::Unknown { code } => code.status(),
        }
    }

    /// Returns what the caller can do.
    #[must_use]
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::NotRun { code, .. } => code.remedy(),
            Self::Unknown { code } => code.remedy(),
        }
    }

    /// Returns whether the request ran: `not-run` or `unknown`.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// Proof that no byte of a request has left for an upstream.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Creates the token of a request that has just arrived.
    #[must_use]
    pub const fn new() -> Self {
        Self(())
    }

    /// Refuses the request as not run.
    #[must_use]
    pub const fn refuse(self, code: NotRunCode, retry_after: Option<Duration>) -> Refusal {
        Refusal::NotRun { code, retry_after }
    }

    /// Exchanges the token before the first byte may leave.
    #[must_use]
    pub const fn into_sent(self) -> Sent {
        Sent(())
    }
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

/// Token of a request that an upstream may have received.
#[derive(Debug)]
pub struct Sent(());

impl Sent {
    /// Refuses the request with an unknown outcome.
    #[must_use]
    pub const fn refuse(self, code: UnknownCode) -> Refusal {
        Refusal::Unknown { code }
    }

    /// Returns to [`Unsent`] because the upstream reported that it refused the request before running it.
    #[must_use]
    pub const fn refused_by_upstream(self) -> Unsent {
        Unsent(())
    }
}
