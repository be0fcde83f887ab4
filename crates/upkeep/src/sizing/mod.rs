//! Pool sizes: decides when a VM moves between a pool and the spare pool, and why.
//!
//! [`Context::plan`] runs three passes: `supply` counts the VMs that each pool has or is about to receive, the chosen
//! [`Policy`] sets a target size for each pool, and `assign` picks the VMs that move. A policy sees one pool at a time,
//! and only its past demand.
//!
//! Invariants, checked by [`crate::verify::moves`] after each plan: a VM moves once and from its own pool; no move
//! takes a pool out of its size bounds; a move takes no VM out of service beyond its group's budget.

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

/// Default for the expected time of a move: drain and boot.
pub const MOVE_TIME: Duration = Duration::from_mins(2);

/// The demand on each pool, in thousandths of the capacity of one of its VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Running and waiting work of each pool.
    pub vm_millis: SecondaryMap<PoolId, u64>,
}

/// A move of one VM to another pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The VM that moves; a plan has at most one move for each.
    pub vm: VmId,
    /// The pool that the VM leaves.
    pub from: PoolId,
    /// The pool that the VM joins.
    pub to: PoolId,
    /// The reason, shown to operators.
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

/// The target size of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    vms: u32,
    reason: Reason,
}

/// The input of a policy for one pool.
#[derive(Debug, Clone, Copy)]
struct View<'a> {
    /// VMs that the pool has or that are moving to it.
    supply: u32,
    /// The current demand, in thousandths of a VM.
    demand_millis: u64,
    /// The time since the last plan; zero for the first plan and after a pause.
    elapsed: Duration,
    move_time: Duration,
    max_vms: u32,
    cat: &'a Catalogue,
}

/// The state of all policies for one pool.
#[derive(Debug, Clone, Default)]
struct PoolState {
    history: history::History,
    /// The band of the multi-threshold policy at the last plan.
    band: Option<u32>,
    lazy: lazy::WorkFunction,
    forecast: forecast::Model,
}

/// Plans moves and keeps the demand history and the state of its policy from one plan to the next.
#[derive(Debug)]
pub struct Context {
    policy: Policy,
    move_time: Duration,
    last: Option<Instant>,
    pools: SecondaryMap<PoolId, PoolState>,
    supply: supply::Supply,
    targets: Vec<Option<Target>>,
    census: Census,
    scratch: assign::Scratch,
    moves: Vec<Move>,
}

impl Context {
    /// Creates a context without history that uses `policy`.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            move_time: MOVE_TIME,
            last: None,
            pools: SecondaryMap::new(),
            supply: supply::Supply::default(),
            targets: Vec::new(),
            census: Census::new(),
            scratch: assign::Scratch::default(),
            moves: Vec::new(),
        }
    }

    /// Sets the expected time of a move, [`MOVE_TIME`] by default.
    #[must_use]
    pub fn with_move_time(mut self, move_time: Duration) -> Self {
        self.move_time = move_time;
        self
    }

    /// Excludes the time up to the next plan from all costs, since its demand is unknown.
    pub fn pause(&mut self) {
        self.last = None;
    }

    /// Returns the moves to begin now. The caller stores each move before it acts on it.
    ///
    /// Expects to be called at even intervals, several times per move time.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        demand: &Demand,
        cat: &Catalogue,
        now: Instant,
    ) -> &[Move] {
        let last = self.last.replace(now);
        let elapsed = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.moves.clear();
        self.census.take(fleet, cat.dcs.len(), cat.pools.len());
        self.supply.count(fleet, cat);
        self.update_targets(demand, cat, elapsed, now);
        assign::run(self, fleet, cat);
        #[cfg(debug_assertions)]
        {
            let found = crate::verify::moves(fleet, cat, &self.moves);
            debug_assert!(found.is_empty(), "{found}");
        }
        &self.moves
    }

    fn update_targets(
        &mut self,
        demand: &Demand,
        cat: &Catalogue,
        elapsed: Duration,
        now: Instant,
    ) {
        self.targets.clear();
        for (id, pool) in cat.pools.iter() {
            if pool.kind == PoolKind::Spare || pool.vm_slots.is_zero() {
                self.targets.push(None);
                continue;
            }
            let supply = self.supply.of(id);
            let view = View {
                supply,
                demand_millis: demand.vm_millis[id],
                elapsed,
                move_time: self.move_time,
                max_vms: pool.max_vms.get(),
                cat,
            };
            let state = &mut self.pools[id];
            state.history.push(now, view.demand_millis);
            let target = self.policy.target(state, &view);
            self.targets
                .push(target.map(|target| bounded(target, pool)));
        }
    }
}

/// Clamps a target to the size bounds of its pool.
fn bounded(target: Target, pool: &goldcrest_types::catalogue::Pool) -> Target {
    let (min, max) = (pool.min_vms.get(), pool.max_vms.get());
    let vms = target.vms.clamp(min.min(max), max);
    Target { vms, ..target }
}

impl Fleet {
    /// Applies a move to the stored part of the fleet. No effect unless the VM serves in the pool that it is to leave.
    pub fn apply_move(&mut self, step: &Move, now: Instant) {
        let vm: &mut Vm = &mut self.vms[step.vm];
        if vm.state == VmState::Serving && vm.pool == step.from {
            vm.enter(VmState::Moving(step.to), now);
        }
    }
}

/// Iterates over the spare pools.
fn spares(cat: &Catalogue) -> impl Iterator<Item = PoolId> {
    let pools = cat.pools.iter();
    pools
        .filter(|(_, pool)| pool.kind == PoolKind::Spare)
        .map(|(id, _)| PoolId::new(id.index()))
}
