//! Pool sizes: when a VM moves between a pool and the spare pool, and why.
//!
//! [`Context::plan`] runs three passes: `supply` counts what each pool has and what is on its way, the chosen
//! [`Policy`] says how many VMs each pool should have, and `assign` picks the VMs that move. A policy sees one pool
//! at a time, and nothing of the future.
//!
//! Invariants, checked by [`crate::verify::moves`] after each plan: a VM moves once and from its own pool; no pool
//! leaves its least and greatest size; a move takes no VM out of service beyond its group's budget.

mod assign;
mod forecast;
mod history;
mod lazy;
mod multi;
mod policy;
mod quantile;
mod reason;
mod supply;
mod thresholds;

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::entity::{EntityRef, PoolId, SecondaryMap, VmId};

use crate::fleet::{Census, Fleet, Vm, VmState};

pub use policy::Policy;
pub use reason::Reason;
pub use supply::counts_for;

/// How long a move is expected to take: drain and boot.
pub const MOVE_TIME: Duration = Duration::from_mins(2);

/// The work asked of each pool, in thousandths of what one of its VMs can do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Running and waiting work of each pool.
    pub vm_millis: SecondaryMap<PoolId, u64>,
}

/// One VM that goes to another pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The VM.
    pub vm: VmId,
    /// The pool it leaves.
    pub from: PoolId,
    /// The pool it goes to.
    pub to: PoolId,
    /// Why.
    pub reason: Reason,
}

impl std::fmt::Display for Move {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            vm,
            from,
            to,
            reason,
        } = self;
        write!(f, "move {vm} from {from} to {to}: {reason}")
    }
}

/// How many VMs a pool should have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Want {
    vms: u32,
    reason: Reason,
}

/// One pool as a policy sees it.
#[derive(Debug, Clone, Copy)]
struct View<'a> {
    /// VMs that it has or that are on their way to it.
    supply: u32,
    /// The work asked of it now.
    demand_millis: u64,
    /// The time since the last plan.
    step: Duration,
    move_time: Duration,
    max_vms: u32,
    cat: &'a Catalogue,
}

/// What the context remembers of one pool.
#[derive(Debug, Clone, Default)]
struct PoolState {
    history: history::History,
    band: Option<u32>,
    lazy: lazy::Work,
    forecast: forecast::Model,
}

/// Plans moves and keeps what it has learned from one plan to the next.
#[derive(Debug)]
pub struct Context {
    policy: Policy,
    move_time: Duration,
    last: Option<Instant>,
    pools: SecondaryMap<PoolId, PoolState>,
    supply: supply::Supply,
    wants: Vec<Option<Want>>,
    census: Census,
    scratch: assign::Scratch,
    moves: Vec<Move>,
}

impl Context {
    /// A context that has seen nothing and uses `policy`.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            move_time: MOVE_TIME,
            last: None,
            pools: SecondaryMap::new(),
            supply: supply::Supply::default(),
            wants: Vec::new(),
            census: Census::new(),
            scratch: assign::Scratch::default(),
            moves: Vec::new(),
        }
    }

    /// The same with another expectation of how long a move takes.
    #[must_use]
    pub fn with_move_time(mut self, move_time: Duration) -> Self {
        self.move_time = move_time;
        self
    }

    /// Leaves out the time up to the next plan, of which nobody knows the demand.
    pub fn pause(&mut self) {
        self.last = None;
    }

    /// The moves to begin now. The caller stores each before it does anything else.
    ///
    /// Call it at even intervals, a few for each move time.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        demand: &Demand,
        cat: &Catalogue,
        now: Instant,
    ) -> &[Move] {
        let last = self.last.replace(now);
        let step = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.moves.clear();
        self.census.take(fleet, cat.dcs.len(), cat.pools.len());
        self.supply.count(fleet, cat);
        self.want(demand, cat, step, now);
        assign::run(self, fleet, cat);
        #[cfg(debug_assertions)]
        {
            let found = crate::verify::moves(fleet, cat, &self.moves);
            debug_assert!(found.is_empty(), "{found}");
        }
        &self.moves
    }

    fn want(&mut self, demand: &Demand, cat: &Catalogue, step: Duration, now: Instant) {
        self.wants.clear();
        for (id, pool) in cat.pools.iter() {
            if pool.kind == PoolKind::Spare || pool.vm_slots.is_zero() {
                self.wants.push(None);
                continue;
            }
            let supply = self.supply.of(id);
            let view = View {
                supply,
                demand_millis: demand.vm_millis[id],
                step,
                move_time: self.move_time,
                max_vms: pool.max_vms.get(),
                cat,
            };
            let state = &mut self.pools[id];
            state.history.push(now, view.demand_millis);
            let want = self.policy.want(state, &view);
            self.wants.push(want.map(|want| bounded(want, pool)));
        }
    }
}

/// Keeps a wish within the least and greatest size of its pool.
fn bounded(want: Want, pool: &goldcrest_types::catalogue::Pool) -> Want {
    let (min, max) = (pool.min_vms.get(), pool.max_vms.get());
    let vms = want.vms.clamp(min.min(max), max);
    Want { vms, ..want }
}

impl Fleet {
    /// Changes the stored part of the fleet as `step` says, at `now`.
    pub fn apply_move(&mut self, step: &Move, now: Instant) {
        let vm: &mut Vm = &mut self.vms[step.vm];
        if vm.state == VmState::Serving && vm.pool == step.from {
            vm.enter(VmState::Moving(step.to), now);
        }
    }
}

/// The pools that VMs stand by in.
fn spares(cat: &Catalogue) -> impl Iterator<Item = PoolId> {
    let pools = cat.pools.iter();
    pools
        .filter(|(_, pool)| pool.kind == PoolKind::Spare)
        .map(|(id, _)| PoolId::new(id.index()))
}
