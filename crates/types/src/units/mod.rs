//! Sizes, rates and counters as newtypes.
//!
//! Arithmetic saturates: a value never wraps, so a wrong declaration can make a bound too tight but never absent.

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($(#[$attr:meta])* $name:ident, $int:ty) => {
        $(#[$attr])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// The value 0.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(<$int>::MAX);

            /// Wraps a plain number.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// Returns whether the value is 0.
            #[must_use]
            pub const fn is_zero(self) -> bool {
                self.0 == 0
            }

            /// Returns the value plus 1, or [`Self::MAX`] if that is reached.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

quantity!(
    /// Units of concurrent work: a running request or task takes one slot of its team.
    Slots,
    u32
);
quantity!(
    /// A number of VMs.
    VmCount,
    u32
);
quantity!(
    /// A size in bytes.
    Bytes,
    u64
);
quantity!(
    /// Processor capacity in thousandths of a core.
    CpuMillis,
    u32
);
quantity!(
    /// A number of whole accelerators.
    Accelerators,
    u32
);
quantity!(
    /// A team's weight in the division of a fleet without free capacity.
    Share,
    u32
);
quantity!(
    /// A rate in events per second.
    PerSecond,
    u32
);
quantity!(
    /// A revision of the catalogue. Each accepted edit increments it.
    Revision,
    u64
);
quantity!(
    /// A fencing epoch: the receiver refuses a command that carries an older one.
    Epoch,
    u64
);
quantity!(
    /// The version of a stored value. The key-value service assigns a new one at each change.
    StoreVersion,
    u64
);

/// The resources that a task requires or a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: CpuMillis,
    /// Memory, in bytes.
    pub memory_bytes: Bytes,
    /// The number of accelerators; 0 if absent.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// 0 of each resource.
    pub const ZERO: Self = Self::new(CpuMillis::ZERO, Bytes::ZERO, Accelerators::ZERO);

    /// Combines the amounts of each resource.
    #[must_use]
    pub const fn new(cpu: CpuMillis, memory: Bytes, accelerators: Accelerators) -> Self {
        Self {
            cpu_millis: cpu,
            memory_bytes: memory,
            accelerators,
        }
    }

    /// Returns whether these resources cover `need` in every dimension.
    #[must_use]
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_bytes <= self.memory_bytes
            && need.accelerators <= self.accelerators
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_bytes: self.memory_bytes + other.memory_bytes,
            accelerators: self.accelerators + other.accelerators,
        }
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
        Self {
            cpu_millis: self.cpu_millis - other.cpu_millis,
            memory_bytes: self.memory_bytes - other.memory_bytes,
            accelerators: self.accelerators - other.accelerators,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
