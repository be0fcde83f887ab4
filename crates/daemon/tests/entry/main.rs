//! One entry on stand-ins: who may ask what, and what becomes of it.

mod access;
mod common;
mod drains;
mod moves;
