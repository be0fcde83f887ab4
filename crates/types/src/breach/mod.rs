//! What a verifier reports.
//!
//! Each crate that decides something has a `verify` module with one function for each promise. Such a function
//! goes over the whole state and adds a [`Breach`] for every broken invariant it finds, not only the first.

use std::fmt;

/// The promises of the brief, as the field names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Availability budgets hold through every maintenance wave.
    AvailabilityBudget,
    /// Each VM belongs to exactly one pool.
    OnePool,
    /// Keyed work runs only for the key's team, and a withdrawn key stops working within seconds.
    KeyAuthority,
    /// No team has more running than its upper limit.
    UpperLimit,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after a few seconds.
    LeavingUpstream,
    /// A planned stop is graceful.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationInForce,
    /// A part's state agrees with itself. Not one of the brief, but the others rest on it.
    SoundState,
}

impl Promise {
    /// Every promise, in the order of the brief.
    pub const ALL: [Self; 10] = [
        Self::AvailabilityBudget,
        Self::OnePool,
        Self::KeyAuthority,
        Self::UpperLimit,
        Self::WholeAnswer,
        Self::TrueRefusal,
        Self::AtMostOnce,
        Self::LeavingUpstream,
        Self::GracefulShutdown,
        Self::ConfigurationInForce,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::AvailabilityBudget => "availability-budget",
            Self::OnePool => "one-pool",
            Self::KeyAuthority => "key-authority",
            Self::UpperLimit => "upper-limit",
            Self::WholeAnswer => "whole-answer",
            Self::TrueRefusal => "true-refusal",
            Self::AtMostOnce => "at-most-once",
            Self::LeavingUpstream => "leaving-upstream",
            Self::GracefulShutdown => "graceful-shutdown",
            Self::ConfigurationInForce => "configuration-in-force",
            Self::SoundState => "sound-state",
        })
    }
}

/// One broken invariant, with the entity it concerns in the detail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise that is broken.
    pub promise: Promise,
    /// The entity and the figures, such as `team t7: 13 running, upper limit 12`.
    pub detail: Box<str>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

/// Every broken invariant that one verification found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Breaches {
    found: Vec<Breach>,
}

impl Breaches {
    /// An empty report.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a breach of `promise`.
    pub fn push(&mut self, promise: Promise, detail: impl Into<Box<str>>) {
        self.found.push(Breach {
            promise,
            detail: detail.into(),
        });
    }

    /// Whether nothing is broken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The breaches, in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Breach> {
        self.found.iter()
    }

    /// Adds all breaches of another report.
    pub fn extend(&mut self, other: Self) {
        self.found.extend(other.found);
    }
}

impl fmt::Display for Breaches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for breach in &self.found {
            writeln!(f, "{breach}")?;
        }
        Ok(())
    }
}
