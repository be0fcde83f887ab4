//! The basic types that all other crates share.
//!
//! Start with [`catalogue`]: the configuration that operators write, its checks, and the resolved
//! [`catalogue::Catalogue`], in which every record has a dense id. [`names`] and [`units`] hold the newtypes,
//! [`entity`] the id-indexed maps, [`key`] the digests of keys, [`breach`] the report type of all verifiers,
//! [`rendezvous`] the choice of a member for a key, [`clock`] the time source, and [`yaml`] YAML records with errors by
//! line.
//!
//! This crate does no I/O and contains no policy.

pub mod breach;
pub mod catalogue;
pub mod clock;
pub mod entity;
pub mod key;
pub mod names;
pub mod rendezvous;
pub mod units;
pub mod yaml;
