//! Quota maintenance: this entry's row, the rows of departed entries, and the moves between data centres.
//!
//! - [`keeper`]: adjusts this entry's row to demand and installs the grants that follow from it.
//! - [`observer`]: one entry of each data centre marks and reclaims the rows of departed entries.
//! - [`mover`]: the holder of the quota role moves slots between the allocations of data centres.
//! - `view`: the state of one data centre that the mover plans on.
//! - [`cached`]: a copy of a stored document that is read again only when it has changed.
//! - [`pace`]: a rate limit on writes.

pub mod cached;
pub mod keeper;
pub mod mover;
pub mod observer;
pub mod pace;
mod view;

pub use keeper::{Gate, QuotaKeeper, RowOwner};
pub use mover::{DcDemand, Mover, MoverHost};
pub use observer::{Observer, PlatformListing};
