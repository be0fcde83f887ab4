//! Serving decisions over small fleets. The fixture checks every invariant after each step.

mod admission;
mod fixture;
mod random;
mod retry;
mod routing;
mod verify;
