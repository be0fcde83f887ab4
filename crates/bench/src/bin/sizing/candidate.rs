//! What decides in a run: nothing, a policy alone at each tick or each look, or the daemon's driver with the default policy.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

use goldcrest_daemon::sizing::demand::Summed;
use goldcrest_daemon::sizing::driver::Driver;
use goldcrest_daemon::sizing::settings::SizingSettings;
use goldcrest_daemon::sizing::status::Status;
use goldcrest_peer::usage::Usage;
use goldcrest_types::units::Slots;
use goldcrest_upkeep::sizing::{Context, Move, Policy};

use crate::fake::Fake;

/// What decides in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidate {
    /// Nothing: pools keep their sizes.
    Static,
    /// A policy at each tick of the trace.
    Policy(Policy),
    /// The default policy as often as the driver looks.
    Looks,
    /// The daemon's driver.
    Driver,
}

impl Candidate {
    pub fn all() -> Vec<Self> {
        let policies = Policy::ALL.map(Self::Policy);
        let mut all = vec![Self::Static];
        all.extend(policies);
        all.extend([Self::Looks, Self::Driver]);
        all
    }
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Static => f.write_str("static"),
            Self::Policy(policy) => policy.fmt(f),
            Self::Looks => write!(f, "{} each look", Policy::default()),
            Self::Driver => write!(f, "driver with {}", Policy::default()),
        }
    }
}

/// A candidate with what it remembers.
pub enum Decider {
    Static,
    Policy(Box<Context>),
    Looks(Box<Context>, Option<Instant>),
    Driver(Box<Driver>),
}

impl Decider {
    pub fn new(candidate: Candidate) -> Self {
        let default = || Box::new(Context::new(Policy::default()));
        match candidate {
            Candidate::Static => Self::Static,
            Candidate::Policy(policy) => Self::Policy(Box::new(Context::new(policy))),
            Candidate::Looks => Self::Looks(default(), None),
            Candidate::Driver => Self::Driver(Box::new(Driver::new(Status::default()))),
        }
    }

    /// The moves to begin at this tick; none if nothing is decided at it.
    pub fn decide(&mut self, fake: &Fake) -> Option<Vec<Move>> {
        let Fake {
            fleet,
            demand,
            cat,
            now,
            ..
        } = fake;
        let settings = SizingSettings::default();
        match self {
            Self::Static => None,
            Self::Policy(ctx) => Some(ctx.plan(fleet, demand, cat, *now).to_vec()),
            Self::Looks(ctx, last) => {
                if last.is_some_and(|last| *now - last < settings.look()) {
                    return None;
                }
                *last = Some(*now);
                Some(ctx.plan(fleet, demand, cat, *now).to_vec())
            }
            Self::Driver(driver) => {
                let is_due = driver.is_due(&settings, *now);
                is_due.then(|| driver.look(cat, fleet, &[], &summed(fake), *now))
            }
        }
    }
}

/// The demand as the entries would tell it.
fn summed(fake: &Fake) -> Summed {
    let pools = fake.cat.pools.iter();
    let usage = pools.map(|(id, pool)| {
        let millis = u32::try_from(fake.demand.vm_millis[id]).unwrap_or(u32::MAX);
        let running = Slots::new(millis);
        let waiting = Slots::ZERO;
        (pool.name.clone(), Usage { running, waiting })
    });
    Summed {
        usage: usage.collect::<BTreeMap<_, _>>(),
        entries: 1,
        ..Summed::default()
    }
}
