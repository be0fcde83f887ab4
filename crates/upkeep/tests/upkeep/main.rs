//! Tests of the maintenance and sizing decisions.

mod cases;
mod moves;
mod waves;
mod world;
