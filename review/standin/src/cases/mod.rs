//! The cases.

mod cancelled_unknown;
mod idle_lease;

mod missed_configuration;
mod restored_queue;
mod wave_unread;

use crate::deployment::{Deployment, Failure};

pub enum Verdict {
    Held(String),
    Broken(String),
}

pub struct Case {
    name: &'static str,
    pub entries: usize,
    pub run: fn(&mut Deployment, bool) -> Result<Verdict, Failure>,
}

pub fn find(name: &str) -> Option<Case> {
    let case = |name, entries, run| Case { name, entries, run };
    let all = [
        case("cancelled-unknown", 3, cancelled_unknown::run as _),
        case("idle-lease", 3, idle_lease::run as _),
        case("missed-configuration", 3, missed_configuration::run as _),
        case("restored-queue", 2, restored_queue::run as _),
        case("wave-unread", 3, wave_unread::run as _),
    ];
    all.into_iter().find(|case| case.name == name)
}
