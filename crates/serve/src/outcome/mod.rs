//! Refusals, and the proofs without which none can be made.
//!
//! A refusal is either [`Refusal::NotRun`] or [`Refusal::Unknown`], with a closed set of codes each. Which of them
//! a request may still get is held by a token: [`Unsent`] until its first byte may have left for an upstream,
//! [`Sent`] from then on. Only [`Unsent::refuse`] makes a "not run", and only [`Sent::refuse`] makes an "unknown";
//! [`Unsent::sent`] uses the first token up, so the two cannot be confused.

mod codes;

use std::time::Duration;

pub use codes::{NotRunCode, UnknownCode};

/// Why a request got no answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request did not run.
    NotRun {
        /// Why.
        code: NotRunCode,
        /// When a new try makes sense.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        code: UnknownCode,
    },
}

impl Refusal {
    /// The stable code, such as `queue-full`.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::NotRun { code, .. } => code.as_str(),
            Self::Unknown { code } => code.as_str(),
        }
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::NotRun { code, .. } => code.status(),
            Self::Unknown { code } => code.status(),
        }
    }

    /// What the caller can do.
    #[must_use]
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::NotRun { code, .. } => code.remedy(),
            Self::Unknown { code } => code.remedy(),
        }
    }

    /// What the refusal says about the work: `not-run` or `unknown`.
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
    /// The token of a request that has just arrived.
    #[must_use]
    pub const fn new() -> Self {
        Self(())
    }

    /// Refuses the request as not run.
    #[must_use]
    pub const fn refuse(self, code: NotRunCode, retry_after: Option<Duration>) -> Refusal {
        Refusal::NotRun { code, retry_after }
    }

    /// Records that a byte may leave from now on.
    #[must_use]
    pub const fn sent(self) -> Sent {
        Sent(())
    }
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

/// The token of a request that an upstream may have seen.
#[derive(Debug)]
pub struct Sent(());

impl Sent {
    /// Refuses the request with an unknown outcome.
    #[must_use]
    pub const fn refuse(self, code: UnknownCode) -> Refusal {
        Refusal::Unknown { code }
    }

    /// Goes back to [`Unsent`] on the upstream's own word that it refused the request before running it.
    #[must_use]
    pub const fn refused_by_upstream(self) -> Unsent {
        Unsent(())
    }
}
