//! The catalogue: what operators write, and what the processes work on.
//!
//! [`CatalogueSpec`] is the written form: lists of records that refer to each other by name. It is what operators
//! edit in YAML and what the key-value service stores. [`Catalogue`] is the resolved form of one accepted
//! revision: each record has a dense id, every reference is an id, and every look-up by name is a hash access.
//! A [`Catalogue`] only comes out of [`Catalogue::resolve`], so its references are always whole.
//!
//! - [`spec`]: the records as written.
//! - [`parse`]: YAML to records, with every error at its line.
//! - [`check`]: the rules that span records.
//! - [`resolve`]: records to dense ids.

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
