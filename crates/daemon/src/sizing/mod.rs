//! Pool sizes: joins the demand on each pool with the policy, and its moves with the fleet documents.
//!
//! The entry that holds the upkeep role does both, maintenance and sizing, in one loop: a role of its own would need
//! fencing epochs of its own in the fleet documents, and two plans could take the same VM. [`Sizing`] is what the holder
//! keeps; `maintenance` calls it at each turn and carries a move further once it has begun.
//!
//! - [`demand`]: the demand on each pool, summed over the entries.
//! - [`driver`]: the decisions, without I/O.
//! - [`reason`]: why no VM is moved, and why one was.
//! - [`settings`]: its settings.
//! - [`status`]: what operators see.

pub mod demand;
pub mod driver;
pub mod reason;
pub mod settings;
pub mod status;

use std::time::{Duration, Instant};

use goldcrest_obs::logs::Part;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_upkeep::maintenance::Step;
use goldcrest_upkeep::sizing::Move;

use crate::maintenance::view::View;
use crate::world::{Fleets, World};

use demand::{Entries, Reports, listed_entries};
use driver::{Driver, obstacle};
use reason::Hold;
use status::Status;

pub(crate) const PART: &str = Part::Maintenance.as_str();

/// What the holder of the role keeps for sizing.
#[derive(Debug)]
pub struct Sizing {
    driver: Driver,
    reports: Reports,
    entries: Entries,
}

impl Sizing {
    /// Sizing at the begin of a term.
    #[must_use]
    pub fn new(world: &World) -> Self {
        let status = world.sizing.borrow().clone();
        Self {
            driver: Driver::new(status),
            reports: Reports::new(),
            entries: Entries::new(),
        }
    }

    /// Asks the entries for the demand if a look is due.
    pub async fn ask(&mut self, world: &World) {
        let settings = &world.settings.sizing;
        if settings.enabled && self.driver.is_due(settings, world.now()) {
            let listing = world.listing.borrow().clone();
            self.entries = listed_entries(&listing);
            self.reports.refresh(&world.peers, &self.entries).await;
        }
    }

    /// The moves to begin now, on the fleet as it is after the `steps` of maintenance.
    pub fn look(
        &mut self,
        world: &World,
        cat: &Catalogue,
        fleets: &Fleets,
        view: &View,
        steps: &[Step],
    ) -> Vec<Move> {
        let now = world.now();
        self.driver.note_steps(cat, &view.fleet, steps, now);
        if !self.driver.is_due(&world.settings.sizing, now) {
            return Vec::new();
        }
        let moves = self.decide(world, cat, fleets, view, steps, now);
        self.show(world);
        moves
    }

    fn decide(
        &mut self,
        world: &World,
        cat: &Catalogue,
        fleets: &Fleets,
        view: &View,
        steps: &[Step],
        now: Instant,
    ) -> Vec<Move> {
        let settings = &world.settings.sizing;
        let hold = obstacle(cat, settings, fleets, lease_left(world, now));
        let hold = hold.or_else(|| self.entries.is_empty().then_some(Hold::NoEntryListed));
        if let Some(hold) = hold {
            self.driver.hold(hold, now);
            return Vec::new();
        }
        let age_max = settings.demand_age_max();
        let summed = self.reports.sum(&self.entries, now, age_max);
        self.driver.look(cat, &view.fleet, steps, &summed, now)
    }

    /// Notes that moves were stored.
    pub fn note_moves(&mut self, world: &World, cat: &Catalogue, view: &View, moves: &[&Move]) {
        let now = world.now();
        for step in moves {
            self.driver.note_move(cat, view, step, now);
        }
        self.show(world);
    }

    /// How the sizes stand, for operators.
    #[must_use]
    pub fn lines(&self) -> Vec<Box<str>> {
        self.driver.status().lines()
    }

    fn show(&self, world: &World) {
        let status = self.driver.status();
        let was = world.sizing.borrow().hold.clone();
        if let Some(hold) = status
            .hold
            .as_ref()
            .filter(|hold| was.as_ref() != Some(*hold))
        {
            log::info!(target: PART, why:% = hold; "No move now.");
        }
        world.sizing.send_replace(status.clone());
    }
}

/// Shows that this entry does not size the pools, and why not if it can't.
pub fn show_idle(world: &World) {
    let is_down = lease_left(world, world.now()).is_zero();
    world.sizing.send_if_modified(|status| {
        let hold = is_down.then_some(Hold::StoreDown);
        let idle = Status {
            hold,
            moves: status.moves,
            notes: std::mem::take(&mut status.notes),
            ..Status::default()
        };
        let is_other = status.hold != idle.hold;
        *status = idle;
        is_other
    });
}

fn lease_left(world: &World, now: Instant) -> Duration {
    let until = world.session.valid_until(now);
    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
}
