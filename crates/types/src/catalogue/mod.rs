//! The catalogue: the configuration of the fleet, as operators write it and as the processes use it.
//!
//! [`CatalogueSpec`] is the written form: lists of records that refer to each other by name. Operators edit it in YAML,
//! and the key-value service stores it. [`Catalogue`] is the resolved form of one accepted revision: each record has a
//! dense id, every reference is an id, and every lookup by name is a hash access. A [`Catalogue`] is made only by
//! [`Catalogue::resolve`], so its references are always valid.
//!
//! - [`spec`]: the records as written.
//! - [`mod@parse`]: the conversion from YAML to records, with the line of each error.
//! - [`check`]: the rules that concern several records or fields.
//! - [`resolve`]: the conversion from records to the resolved form.

pub mod check;
pub mod parse;
pub mod resolve;
pub mod spec;

pub use check::{Finding, Findings, Section};
pub use parse::parse;
pub use resolve::{Catalogue, Dc, Key, Pool, Queue, Team};
pub use spec::{
    Access, CatalogueSpec, Class, DcSpec, KeySpec, MaintenanceSpec, OperatorSpec, PoolKind,
    PoolSpec, QueueLimits, QueueSpec, TeamSpec, Weights,
};
