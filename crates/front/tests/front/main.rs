//! Tests of the serving path against fakes on loopback, one file for each topic.

mod answers;
mod callers;
mod common;
mod drain;
mod forward;
mod h2;
mod once;
mod refusal;
mod retries;
mod streams;
