//! Sizes, rates and counters as newtypes.
//!
//! Arithmetic saturates: a size never wraps, so a wrong declaration can make a bound too tight but never absent.

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
            /// Nothing.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(<$int>::MAX);

            /// This many.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// Whether this is nothing.
            #[must_use]
            pub const fn is_zero(self) -> bool {
                self.0 == 0
            }

            /// The next value up.
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
    /// Units of work that run at one time: one request or one task takes one slot of its team.
    Slots,
    u32
);
quantity!(
    /// A number of VMs.
    VmCount,
    u32
);
quantity!(
    /// Bytes.
    Bytes,
    u64
);
quantity!(
    /// Thousandths of a processor core.
    CpuMillis,
    u32
);
quantity!(
    /// Whole accelerators.
    Accelerators,
    u32
);
quantity!(
    /// A team's weight when the fleet is full.
    Share,
    u32
);
quantity!(
    /// Events a second.
    PerSecond,
    u32
);
quantity!(
    /// The order of accepted catalogue edits.
    Revision,
    u64
);
quantity!(
    /// A fencing epoch: the receiver refuses a command that carries an older one.
    Epoch,
    u64
);
quantity!(
    /// The version that the key-value service gives a value at each change.
    StoreVersion,
    u64
);

/// What a task needs or a worker has, in each dimension.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: CpuMillis,
    /// Memory, in bytes.
    pub memory_bytes: Bytes,
    /// Accelerators, as a count.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Nothing in any dimension.
    pub const ZERO: Self = Self::new(CpuMillis::ZERO, Bytes::ZERO, Accelerators::ZERO);

    /// This much in each dimension.
    #[must_use]
    pub const fn new(cpu: CpuMillis, memory: Bytes, accelerators: Accelerators) -> Self {
        Self {
            cpu_millis: cpu,
            memory_bytes: memory,
            accelerators,
        }
    }

    /// Whether `need` fits in every dimension.
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
