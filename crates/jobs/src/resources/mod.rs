//! Amounts of processor, memory and accelerators.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// What a task needs, a worker has, or a team may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Whether all of this lies within `limit`.
    #[must_use]
    pub fn fits(&self, limit: &Self) -> bool {
        self.cpu_millis <= limit.cpu_millis
            && self.memory_mb <= limit.memory_mb
            && self.accelerators <= limit.accelerators
    }

    /// Applies `of` to each kind of resource of two amounts.
    #[must_use]
    pub fn zip(self, other: Self, of: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_millis: of(self.cpu_millis, other.cpu_millis),
            memory_mb: of(self.memory_mb, other.memory_mb),
            accelerators: of(self.accelerators, other.accelerators),
        }
    }

    /// The larger of both, each kind by itself.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// `count` times this.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        self.zip(Self::ZERO, |amount, _| amount.saturating_mul(count))
    }

    /// How many times `each` fits into this. `u64::MAX` if it is nothing.
    #[must_use]
    pub fn multiples_of(self, each: Self) -> u64 {
        let of_kind = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
        of_kind(self.cpu_millis, each.cpu_millis)
            .min(of_kind(self.memory_mb, each.memory_mb))
            .min(of_kind(self.accelerators, each.accelerators))
    }

    /// `share` hundredths of this.
    #[must_use]
    pub fn percent(self, share: u64) -> Self {
        self.zip(Self::ZERO, |amount, _| amount.saturating_mul(share) / 100)
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}MB/{}a",
            self.cpu_millis, self.memory_mb, self.accelerators
        )
    }
}
