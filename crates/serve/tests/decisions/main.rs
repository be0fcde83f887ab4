//! The decisions over small fleets, with the verifier after each step.

mod admission;
mod fixture;
mod random;
mod retry;
mod routing;
mod verify;
