//! The reports of verifiers.
//!
//! Each crate that makes decisions has a `verify` module with one function for each promise. Such a function checks the
//! whole state and adds a [`Breach`] for every broken invariant that it finds, not only for the first.

use std::fmt;

/// The guarantees that the software gives its users. The order of the variants is that of the brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Availability budgets are kept in every maintenance wave.
    AvailabilityBudget,
    /// Each VM belongs to exactly one pool.
    OnePool,
    /// Keyed work runs only for the key's team, and a withdrawn key stops working within seconds.
    KeyAuthority,
    /// No team has more slots running than its upper limit.
    UpperLimit,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A request that was refused as "not run" has not run.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after a few seconds.
    LeavingUpstream,
    /// A planned stop is graceful.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationInForce,
    /// The state of a component is consistent. The brief does not list this promise, but the others depend on it.
    SoundState,
}

impl Promise {
    /// The promises of the brief, in its order; without [`Promise::SoundState`].
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

/// One broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise that the invariant belongs to.
    pub promise: Promise,
    /// The entity concerned and the figures, such as `team t7: 13 running, upper limit 12`.
    pub detail: Box<str>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

/// All broken invariants that one verification found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Breaches {
    found: Vec<Breach>,
}

impl Breaches {
    /// Returns an empty report.
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

    /// Returns whether no breach was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns the breaches in the order in which they were found.
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
