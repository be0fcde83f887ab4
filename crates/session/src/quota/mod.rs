//! Keeping quota: this entry's row, the rows of entries that are gone, and the moves between data centres.
//!
//! - [`keeper`]: keeps this entry's row towards demand and puts grants in force.
//! - [`observer`]: one entry of each data centre tends the rows of others.
//! - [`mover`]: the holder of one role moves portions between data centres.
//! - [`view`]: one data centre as the mover sees it.
//! - [`cached`]: a document that is read again only when it has changed.
//! - [`pace`]: how many writes may be made.

pub mod cached;
pub mod keeper;
pub mod mover;
pub mod observer;
pub mod pace;
mod view;

pub use keeper::{Gate, QuotaKeeper, RowOwner};
pub use mover::{DcDemand, Mover, Needs};
pub use observer::{Listed, Observer};
