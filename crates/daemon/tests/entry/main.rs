//! One running entry with stand-ins for the platform: access control, drains and moves.

mod access;
mod common;
mod drains;
mod moves;
