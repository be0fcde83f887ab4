//! Pool sizing: joins the demand on each pool with the policy, and its moves with the fleet documents.
//!
//! The entry that holds the upkeep role runs maintenance and sizing in one loop: a separate role would need fencing
//! epochs of its own in the fleet documents, and two plans could take the same VM. [`Sizing`] is the holder's state;
//! `maintenance` calls it in each cycle and carries a move to its end once it has begun.
//!
//! - [`demand`]: the demand on each pool, summed over the entries.
//! - [`driver`]: the decisions, without I/O.
//! - [`reason`]: the reasons for holding moves, and the records of moves.
//! - [`settings`]: the settings of sizing.
//! - [`status`]: the status for operators.

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

/// The sizing state of one term of the upkeep role.
#[derive(Debug)]
pub struct Sizing {
    driver: Driver,
    reports: Reports,
    entries: Entries,
}

impl Sizing {
    /// Creates the state at the start of a term. The published status of this process is kept.
    #[must_use]
    pub fn new(world: &World) -> Self {
        let status = world.sizing.borrow().clone();
        Self {
            driver: Driver::new(status),
            reports: Reports::new(),
            entries: Entries::new(),
        }
    }

    /// Requests the demand from the listed entries if a sample is due.
    pub async fn refresh(&mut self, world: &World) {
        let settings = &world.settings.sizing;
        if settings.enabled && self.driver.is_due(settings, world.now()) {
            let listing = world.listing.borrow().clone();
            self.entries = listed_entries(&listing);
            self.reports.refresh(&world.peers, &self.entries).await;
        }
    }

    /// Returns the moves to begin now, planned on the fleet as it is after the `steps` of maintenance. Empty unless a
    /// sample is due.
    pub fn plan(
        &mut self,
        world: &World,
        cat: &Catalogue,
        fleets: &Fleets,
        view: &View,
        steps: &[Step],
    ) -> Vec<Move> {
        let now = world.now();
        self.driver.record_given_up(cat, &view.fleet, steps, now);
        if !self.driver.is_due(&world.settings.sizing, now) {
            return Vec::new();
        }
        let moves = self.decide(world, cat, fleets, view, steps, now);
        self.publish(world);
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

    /// Records that moves were stored.
    pub fn record_moves(&mut self, world: &World, cat: &Catalogue, view: &View, moves: &[&Move]) {
        let now = world.now();
        for step in moves {
            self.driver.record_move(cat, view, step, now);
        }
        self.publish(world);
    }

    /// Returns the status of sizing as lines for operators.
    #[must_use]
    pub fn lines(&self) -> Vec<Box<str>> {
        self.driver.status().lines()
    }

    fn publish(&self, world: &World) {
        let status = self.driver.status();
        let was = world.sizing.borrow().hold.clone();
        if let Some(hold) = status
            .hold
            .as_ref()
            .filter(|hold| was.as_ref() != Some(*hold))
        {
            log::info!(target: PART, why:% = hold; "Pool sizing moves no VM now.");
        }
        world.sizing.send_replace(status.clone());
    }
}

/// Publishes the status of an entry without the upkeep role. The hold is set if the key-value service can't be reached.
pub fn publish_idle(world: &World) {
    let is_down = lease_left(world, world.now()).is_zero();
    world.sizing.send_if_modified(|status| {
        let hold = is_down.then_some(Hold::StoreDown);
        let idle = Status {
            hold,
            moves: status.moves,
            move_records: std::mem::take(&mut status.move_records),
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
