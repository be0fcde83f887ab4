//! Placeholder until this crate has its first module.
