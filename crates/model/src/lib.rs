//! Model checking of the core protocols.
//!
//! The specifications are the TLA+ modules in the folder `spec` at the root. The tests of this crate check each of
//! them, and check that each rule on which a promise rests is needed: without it the checker has to find a breach.
//! `docs/design/model.md` says which module stands for which promise and what the models leave out.
