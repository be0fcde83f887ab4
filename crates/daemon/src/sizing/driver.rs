//! The decisions of the sizing driver, without I/O.
//!
//! A [`Driver`] feeds the policy at even intervals. While anything is missing that a decision needs, it makes no move and
//! says why; the policy then does not count the time that passed, since nobody knows what was asked meanwhile.
//!
//! Invariant: a move is planned on the fleet as it is after the steps of the maintenance plan of the same turn, so the
//! two never take the same VM or the same room of a budget.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::entity::{PoolId, SecondaryMap, VmId};
use goldcrest_types::names::PoolName;
use goldcrest_upkeep::fleet::{Fleet, VmState};
use goldcrest_upkeep::maintenance::{Action, Reason as StepReason, Step};
use goldcrest_upkeep::sizing::{Context, Demand, Move, Policy, Reason, counts_for};
use goldcrest_upkeep::verify;

use super::demand::Summed;
use super::reason::{Hold, MoveNote};
use super::settings::SizingSettings;
use super::status::{PoolRow, Status};
use crate::maintenance::view::View;
use crate::world::Fleets;

/// How long the demand was looked at without a gap before a pool is made smaller. It is as long as the policy's memory: by
/// less, a pool would give up VMs between two bursts and take them back.
pub const LEARN: Duration = Duration::from_mins(30);

/// Decides on moves while this entry holds the role.
#[derive(Debug)]
pub struct Driver {
    ctx: Context,
    /// The pools by their ids, which the context has learned by.
    pools: Vec<PoolName>,
    looked_at: Option<Instant>,
    /// Since when the demand was looked at without a gap.
    seen_since: Option<Instant>,
    /// Until when VMs stay whose move was given up.
    stays_until: SecondaryMap<VmId, Option<Instant>>,
    status: Status,
}

impl Driver {
    /// A driver that has seen no demand, and goes on with what this process has shown earlier.
    #[must_use]
    pub fn new(status: Status) -> Self {
        Self {
            ctx: Context::new(Policy::default()),
            pools: Vec::new(),
            looked_at: None,
            seen_since: None,
            stays_until: SecondaryMap::new(),
            status,
        }
    }

    /// What it has seen and done.
    #[must_use]
    pub const fn status(&self) -> &Status {
        &self.status
    }

    /// Whether the next look is due.
    #[must_use]
    pub fn is_due(&self, settings: &SizingSettings, now: Instant) -> bool {
        let is_over = |at| now.saturating_duration_since(at) >= settings.look();
        self.looked_at.is_none_or(is_over)
    }

    /// Makes no move at this look, and says why.
    pub fn hold(&mut self, hold: Hold, now: Instant) {
        self.looked_at = Some(now);
        self.seen_since = None;
        self.ctx.pause();
        self.status.hold = Some(hold);
    }

    /// The moves to begin now, of VMs that the maintenance plan has left alone.
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
        self.looked_at = Some(now);
        self.set_pools(cat);
        let mut fleet = fleet.clone();
        for step in steps {
            fleet.apply(step, now);
        }
        self.pin(&mut fleet, steps, now);
        let demand = demand(cat, summed);
        let mut moves = self.ctx.plan(&fleet, &demand, cat, now).to_vec();
        let seen_since = *self.seen_since.get_or_insert(now);
        if now.saturating_duration_since(seen_since) < LEARN {
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
        log::error!(target: super::PART, "No move, since the plan would break a promise: {found}");
        Vec::new()
    }

    /// Notes a step of maintenance that gives up a move, so that the VM is not chosen again at once.
    pub fn note_steps(&mut self, cat: &Catalogue, fleet: &Fleet, steps: &[Step], now: Instant) {
        for step in steps.iter().filter(|step| is_given_up(fleet, step)) {
            self.stays_until[step.vm] = Some(now + cat.maintenance.drain_max());
        }
    }

    /// What was learned of pools is of no use once their ids mean others.
    fn set_pools(&mut self, cat: &Catalogue) {
        let names: Vec<PoolName> = cat.pools.values().map(|pool| pool.name.clone()).collect();
        if names != self.pools {
            self.pools = names;
            self.seen_since = None;
            self.ctx = Context::new(Policy::default());
        }
    }

    /// Keeps the VMs in place that stay, and those that a step of this turn is about.
    fn pin(&self, fleet: &mut Fleet, steps: &[Step], now: Instant) {
        for (id, vm) in fleet.vms.iter_mut() {
            vm.is_pinned = self.stays_until[id].is_some_and(|until| now < until);
        }
        for step in steps {
            fleet.vms[step.vm].is_pinned = true;
        }
    }

    /// Notes that a move was stored.
    pub fn note_move(&mut self, cat: &Catalogue, view: &View, step: &Move, now: Instant) {
        let note = MoveNote {
            from: cat.pools[step.from].name.clone(),
            to: cat.pools[step.to].name.clone(),
            reason: step.reason,
            at: now,
        };
        self.status.note(view.place(step.vm).vm.clone(), note);
    }
}

/// Whether a move makes no pool smaller that does work, unless the catalogue's bounds ask for it.
fn is_growth(cat: &Catalogue, step: &Move) -> bool {
    cat.pools[step.from].kind == PoolKind::Spare || step.reason == Reason::Bounds
}

fn is_given_up(fleet: &Fleet, step: &Step) -> bool {
    let is_moving = matches!(fleet.vms[step.vm].state, VmState::Moving(_));
    let is_timeout = matches!(step.reason, StepReason::DrainTimedOut { .. });
    is_moving && is_timeout && step.action == Action::Return
}

/// What stands in the way of any move, whatever the demand.
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

/// The demand in VMs. A pool without a size of its VMs has none.
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
