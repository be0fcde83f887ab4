//! The vocabulary that every other crate shares.
//!
//! Start with [`catalogue`]: it holds what operators write, the checks on it, and the resolved
//! [`catalogue::Catalogue`] in which every record has a dense id. [`names`] and [`units`] hold the newtypes,
//! [`entity`] the id-indexed maps, [`key`] the keys that callers present, [`breach`] the report form of all
//! verifiers, [`rendezvous`] the choice of a member for a key, and [`clock`] the time source that processes pass in.
//!
//! This crate does no I/O and knows no policy.

pub mod breach;
pub mod catalogue;
pub mod clock;
pub mod entity;
pub mod key;
pub mod names;
pub mod rendezvous;
pub mod units;
pub mod yaml;
