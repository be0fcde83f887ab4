//! What the benchmarks share. Each benchmark is a program in `src/bin`.

pub mod entries;
