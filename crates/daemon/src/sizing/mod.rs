//! Pool sizes.
//!
//! - [`demand`]: the demand on each pool, summed over the entries.

pub mod demand;
