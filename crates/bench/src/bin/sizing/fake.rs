//! A fake of what the policies see: VMs that take their time to move, and fail.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, CatalogueSpec, DcSpec, PoolKind, PoolSpec, Weights};
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_types::units::{Revision, Slots, VmCount};
use goldcrest_upkeep::fleet::{Fleet, Seen, Vm, VmState};
use goldcrest_upkeep::sizing::{Demand, Move};
use goldcrest_upkeep::verify;

use crate::trace::{Trace, vms_f64};

/// How many requests a VM is meant to run, so that one is a thousandth of a VM.
pub const VM_SLOTS: u32 = 1_000;

/// How long a VM drains before it leaves its pool.
const DRAIN: Duration = Duration::from_secs(20);

/// How long a VM boots into its new pool.
pub const BOOT: Duration = Duration::from_secs(100);

/// What a run cost.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub buffer_vm_hours: f64,
    pub unmet_vm_hours: f64,
    pub moves: f64,
    pub plans: u32,
    pub plan_time: Duration,
}

impl Tally {
    /// All measures by the weights of the catalogue.
    pub fn cost(&self, weights: &Weights) -> f64 {
        self.buffer_vm_hours * f64::from(weights.buffer_vm_hour)
            + self.unmet_vm_hours * f64::from(weights.unmet_vm_hour)
            + self.moves * f64::from(weights.one_move)
    }

    pub fn plan_us(&self) -> f64 {
        self.plan_time.as_secs_f64() * 1e6 / f64::from(self.plans.max(1))
    }
}

pub struct Fake<'a> {
    pub cat: Catalogue,
    pub fleet: Fleet,
    pub demand: Demand,
    pub now: Instant,
    pub tally: Tally,
    trace: &'a Trace,
}

impl<'a> Fake<'a> {
    pub fn new(trace: &'a Trace) -> Self {
        let cat = Catalogue::resolve(&spec(trace), Revision::new(1)).expect("a valid catalogue");
        let now = Instant::now();
        let mut fake = Self {
            cat,
            fleet: Fleet::new(now),
            demand: Demand::default(),
            now,
            tally: Tally::default(),
            trace,
        };
        let sizes = trace.pools.iter().map(|pool| pool.vms);
        for (pool, vms) in sizes.chain([trace.spares]).enumerate() {
            for place in 0..vms {
                let dc = DcId::new(place % trace.dcs);
                let vm = Vm::new(PoolId::new(pool), dc, RackId::new(0), now);
                fake.fleet.vms.push(vm);
            }
        }
        fake
    }

    /// Takes VMs on in their new pools, and lets failures happen.
    pub fn begin(&mut self, tick: usize) {
        for (_, vm) in self.fleet.vms.iter_mut() {
            let passed = self.now - vm.since;
            match vm.state {
                VmState::Moving(pool) if passed >= DRAIN => {
                    vm.enter(VmState::Joining, self.now);
                    vm.pool = pool;
                }
                VmState::Joining if passed >= BOOT => vm.enter(VmState::Serving, self.now),
                _ => {}
            }
        }
        for failure in &self.trace.failures {
            let pool = PoolId::new(failure.pool);
            if failure.tick == tick {
                let serving = pick(&self.fleet, pool, VmState::Serving, failure.vms);
                self.change(&serving, VmState::Failed, Seen::Absent);
            }
            if failure.back_tick == tick {
                let failed = pick(&self.fleet, pool, VmState::Failed, failure.vms);
                self.change(&failed, VmState::Serving, Seen::Live);
            }
        }
        for (pool, trace) in self.trace.pools.iter().enumerate() {
            self.demand.vm_millis[PoolId::new(pool)] = trace.demand_millis[tick];
        }
    }

    fn change(&mut self, vms: &[VmId], state: VmState, seen: Seen) {
        for &vm in vms {
            self.fleet.vms[vm].enter(state, self.now);
            self.fleet.vms[vm].seen = seen;
        }
    }

    pub fn carry_out(&mut self, moves: &[Move], took: Duration) {
        let found = verify::moves(&self.fleet, &self.cat, moves);
        assert!(found.is_empty(), "{found}");
        for step in moves {
            self.fleet.apply_move(step, self.now);
        }
        self.tally.moves += vms_f64(moves.len());
        self.tally.plans += 1;
        self.tally.plan_time += took;
    }

    /// Counts the tick and lets it pass.
    pub fn end(&mut self) {
        let hours = self.trace.step.as_secs_f64() / 3_600.0;
        let pools = self.trace.pools.len();
        let (mut serving, mut held) = (vec![0.0; pools], vec![0.0; pools]);
        for vm in self.fleet.vms.values() {
            let pool = match vm.state {
                VmState::Moving(to) => to.index(),
                VmState::Failed => continue,
                _ => vm.pool.index(),
            };
            if pool < pools {
                held[pool] += 1.0;
                serving[pool] += f64::from(u8::from(vm.state == VmState::Serving));
            }
        }
        for pool in 0..pools {
            let millis = self.demand.vm_millis[PoolId::new(pool)];
            let demand = f64::from(u32::try_from(millis).unwrap_or(u32::MAX)) / 1_000.0;
            let unmet = f64::max(demand - serving[pool], 0.0);
            self.tally.unmet_vm_hours += unmet * hours;
            self.tally.buffer_vm_hours += (held[pool] - (demand - unmet)) * hours;
        }
        self.now += self.trace.step;
    }
}

fn pick(fleet: &Fleet, pool: PoolId, state: VmState, count: usize) -> Vec<VmId> {
    let vms = fleet.vms.iter();
    let found = vms.filter(|(_, vm)| vm.pool == pool && vm.state == state);
    found.map(|(id, _)| id).take(count).collect()
}

fn spec(trace: &Trace) -> CatalogueSpec {
    let mut spec = CatalogueSpec::default();
    for dc in 0..trace.dcs {
        spec.data_centres.push(DcSpec {
            name: format!("dc{dc}").parse().expect("a name"),
            region: "r0".parse().expect("a name"),
        });
    }
    for pool in 0..=trace.pools.len() {
        let is_spare = pool == trace.pools.len();
        let (kind, min, budget) = if is_spare {
            (PoolKind::Spare, 0, 8)
        } else {
            (PoolKind::Workers, 1, 2)
        };
        spec.pools.push(PoolSpec {
            name: format!("pool{pool}").parse().expect("a name"),
            kind,
            min_vms: VmCount::new(min),
            max_vms: VmCount::MAX,
            max_unavailable_vms: VmCount::new(budget),
            vm_slots: if kind == PoolKind::Spare {
                Slots::ZERO
            } else {
                Slots::new(VM_SLOTS)
            },
        });
    }
    spec
}
