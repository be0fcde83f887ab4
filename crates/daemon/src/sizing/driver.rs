//! The decisions of the sizing driver, without I/O.
//!
//! A [`Driver`] samples the demand for the policy at even intervals. While an input of a decision is missing, it plans
//! no move and records the reason; the policy does not count that time, since the demand during it is unknown.
//!
//! Invariant: moves are planned on the fleet as it is after the steps of the maintenance plan of the same cycle, so the
//! two plans never take the same VM or the same share of an availability budget.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::entity::{PoolId, SecondaryMap, VmId};
use goldcrest_types::names::PoolName;
use goldcrest_upkeep::fleet::{Fleet, VmState};
use goldcrest_upkeep::maintenance::{Action, Reason as StepReason, Step};
use goldcrest_upkeep::sizing::{Context, Demand, Move, Policy, Reason, counts_for};
use goldcrest_upkeep::verify;

use super::demand::Summed;
use super::reason::{Hold, MoveRecord};
use super::settings::SizingSettings;
use super::status::{PoolRow, Status};
use crate::maintenance::view::View;
use crate::world::Fleets;

/// How long the demand must have been sampled without a gap before a pool is made smaller. It is as long as the
/// policy's memory: with a shorter time, a pool would give up VMs between two bursts and take them back.
pub const LEARN_TIME: Duration = Duration::from_mins(30);

/// Decides on moves of VMs between pools during one term of the upkeep role.
#[derive(Debug)]
pub struct Driver {
    ctx: Context,
    /// The names of the pools by the ids under which `ctx` holds what it has learned.
    pools: Vec<PoolName>,
    sampled_at: Option<Instant>,
    /// Since when the demand was sampled without a gap.
    sampled_since: Option<Instant>,
    /// Until when a VM stays in its pool after a move of it was given up.
    pinned_until: SecondaryMap<VmId, Option<Instant>>,
    status: Status,
}

impl Driver {
    /// Creates a driver without demand samples that continues `status`, the status of earlier terms of this process.
    #[must_use]
    pub fn new(status: Status) -> Self {
        Self {
            ctx: Context::new(Policy::default()),
            pools: Vec::new(),
            sampled_at: None,
            sampled_since: None,
            pinned_until: SecondaryMap::new(),
            status,
        }
    }

    /// The status for operators, as of the last sample.
    #[must_use]
    pub const fn status(&self) -> &Status {
        &self.status
    }

    /// Whether the next sample is due.
    #[must_use]
    pub fn is_due(&self, settings: &SizingSettings, now: Instant) -> bool {
        let is_over = |at| now.saturating_duration_since(at) >= settings.look();
        self.sampled_at.is_none_or(is_over)
    }

    /// Skips this sample and records the reason.
    pub fn hold(&mut self, hold: Hold, now: Instant) {
        self.sampled_at = Some(now);
        self.sampled_since = None;
        self.ctx.pause();
        self.status.hold = Some(hold);
    }

    /// Samples the demand and returns the moves to begin now, of VMs for which the maintenance plan has no step.
    /// Returns none while reports are missing, or if the planned moves fail verification.
    pub fn look(
        &mut self,
        cat: &Catalogue,
        fleet: &Fleet,
        steps: &[Step],
        summed: &Summed,
        now: Instant,
    ) -> Vec<Move> {
        if let Some((dc, entries)) = summed.missing.iter().next() {
            let (dc, entries) = (dc.clone(), *entries);
            self.hold(Hold::DemandMissing { dc, entries }, now);
            return Vec::new();
        }
        self.sampled_at = Some(now);
        self.set_pools(cat);
        let mut fleet = fleet.clone();
        for step in steps {
            fleet.apply(step, now);
        }
        self.pin(&mut fleet, steps, now);
        let demand = demand(cat, summed);
        let mut moves = self.ctx.plan(&fleet, &demand, cat, now).to_vec();
        let sampled_since = *self.sampled_since.get_or_insert(now);
        if now.saturating_duration_since(sampled_since) < LEARN_TIME {
            moves.retain(|step| is_growth(cat, step));
        }
        self.status.hold = None;
        self.status.age = summed.age;
        self.status.entries = summed.entries;
        self.status.pools = rows(cat, &fleet, &demand);
        let found = verify::moves(&fleet, cat, &moves);
        if found.is_empty() {
            return moves;
        }
        log::error!(target: super::PART, "Planned moves dropped, since they break an invariant: {found}");
        Vec::new()
    }

    /// Records the maintenance steps that give up a move, so that the same VM is not chosen again at once.
    pub fn record_given_up(
        &mut self,
        cat: &Catalogue,
        fleet: &Fleet,
        steps: &[Step],
        now: Instant,
    ) {
        for step in steps.iter().filter(|step| is_given_up(fleet, step)) {
            self.pinned_until[step.vm] = Some(now + cat.maintenance.drain_max());
        }
    }

    /// Resets the policy if the ids of the pools have changed, since it has learned by id.
    fn set_pools(&mut self, cat: &Catalogue) {
        let names: Vec<PoolName> = cat.pools.values().map(|pool| pool.name.clone()).collect();
        if names != self.pools {
            self.pools = names;
            self.sampled_since = None;
            self.ctx = Context::new(Policy::default());
        }
    }

    /// Pins the VMs whose last move was given up, and those with a maintenance step in this cycle.
    fn pin(&self, fleet: &mut Fleet, steps: &[Step], now: Instant) {
        for (id, vm) in fleet.vms.iter_mut() {
            vm.is_pinned = self.pinned_until[id].is_some_and(|until| now < until);
        }
        for step in steps {
            fleet.vms[step.vm].is_pinned = true;
        }
    }

    /// Records that a move was stored.
    pub fn record_move(&mut self, cat: &Catalogue, view: &View, step: &Move, now: Instant) {
        let record = MoveRecord {
            from: cat.pools[step.from].name.clone(),
            to: cat.pools[step.to].name.clone(),
            reason: step.reason,
            at: now,
        };
        self.status
            .record_move(view.place(step.vm).vm.clone(), record);
    }
}

/// Whether a move takes its VM from a spare pool, or is required by the catalogue's bounds.
fn is_growth(cat: &Catalogue, step: &Move) -> bool {
    cat.pools[step.from].kind == PoolKind::Spare || step.reason == Reason::Bounds
}

fn is_given_up(fleet: &Fleet, step: &Step) -> bool {
    let is_moving = matches!(fleet.vms[step.vm].state, VmState::Moving(_));
    let is_timeout = matches!(step.reason, StepReason::DrainTimedOut { .. });
    is_moving && is_timeout && step.action == Action::Return
}

/// Returns what prevents any move, whatever the demand: sizing is switched off, the session has expired, or a fleet
/// document was not read yet.
#[must_use]
pub fn obstacle(
    cat: &Catalogue,
    settings: &SizingSettings,
    fleets: &Fleets,
    lease_left: Duration,
) -> Option<Hold> {
    if !settings.enabled {
        return Some(Hold::Disabled);
    }
    if lease_left.is_zero() {
        return Some(Hold::StoreDown);
    }
    let mut dcs = cat.dcs.values();
    let unread = dcs.find(|dc| fleets.get(&dc.name).is_none())?;
    let dc = unread.name.clone();
    Some(Hold::DocumentMissing { dc })
}

/// Returns the demand on each pool in thousandths of a VM. A pool without `vm_slots` has none.
fn demand(cat: &Catalogue, summed: &Summed) -> Demand {
    let mut demand = Demand::default();
    for (id, pool) in cat.pools.iter() {
        let usage = summed.usage.get(&pool.name).copied().unwrap_or_default();
        let slots = u64::from(usage.demand().get()) * 1_000;
        demand.vm_millis[id] = slots.checked_div(pool.vm_slots.get().into()).unwrap_or(0);
    }
    demand
}

fn rows(cat: &Catalogue, fleet: &Fleet, demand: &Demand) -> Vec<PoolRow> {
    let mut supply: SecondaryMap<PoolId, u32> = SecondaryMap::new();
    for pool in fleet.vms.values().filter_map(counts_for) {
        supply[pool] += 1;
    }
    let sized = cat
        .pools
        .iter()
        .filter(|(_, pool)| !pool.vm_slots.is_zero());
    let row = |(id, pool): (PoolId, &goldcrest_types::catalogue::Pool)| PoolRow {
        pool: pool.name.clone(),
        supply_vms: supply[id],
        demand_millis: demand.vm_millis[id],
    };
    sized.map(row).collect()
}
