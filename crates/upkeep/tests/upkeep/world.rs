//! A simulated platform: machines that reboot, fail and leave, and a list that lags behind their actual state.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, CatalogueSpec, DcSpec, PoolKind, PoolSpec};
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_types::units::{Revision, Slots, VmCount};
use goldcrest_upkeep::fleet::{Fleet, Seen, Vm, VmState, Work};
use goldcrest_upkeep::maintenance::{self, Action, Step};
use goldcrest_upkeep::sizing::{self, Demand, Move, Policy};
use goldcrest_upkeep::verify;

/// The actual state of a machine, which the list shows only after a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actual {
    Live,
    Rebooting(Instant),
    Down,
    Leaving,
    Gone,
}

#[derive(Debug)]
pub struct Machine {
    pub state: Actual,
    pub boots: u64,
    pub fails_to_boot: bool,
}

#[derive(Debug)]
struct ListUpdate {
    at: Instant,
    vm: VmId,
    seen: Seen,
    boots: u64,
}

pub struct World {
    pub cat: Catalogue,
    pub fleet: Fleet,
    pub machines: Vec<Machine>,
    pub now: Instant,
    pub lag: Duration,
    pub boot_time: Duration,
    pub waves: maintenance::Context,
    pub sizes: sizing::Context,
    pub demand: Demand,
    pub interrupted_work: u32,
    list_updates: VecDeque<ListUpdate>,
}

pub struct WorldBuilder {
    pub spec: CatalogueSpec,
}

impl WorldBuilder {
    pub fn new() -> Self {
        let mut spec = CatalogueSpec::default();
        spec.maintenance.drain_max_ms = 600_000;
        Self { spec }
    }

    pub fn dc(&mut self, name: &str) {
        self.spec.data_centres.push(DcSpec {
            name: name.parse().expect("a name"),
            region: "r0".parse().expect("a name"),
        });
    }

    pub fn pool(&mut self, name: &str, kind: PoolKind, sizes: (u32, u32), budget: u32) {
        self.spec.pools.push(PoolSpec {
            name: name.parse().expect("a name"),
            kind,
            min_vms: VmCount::new(sizes.0),
            max_vms: VmCount::new(sizes.1),
            max_unavailable_vms: VmCount::new(budget),
            vm_slots: if kind == PoolKind::Spare {
                Slots::ZERO
            } else {
                Slots::new(1)
            },
        });
    }

    pub fn build(&self) -> World {
        let cat = Catalogue::resolve(&self.spec, Revision::new(1)).expect("a valid catalogue");
        let now = Instant::now();
        World {
            cat,
            fleet: Fleet::new(now),
            machines: Vec::new(),
            now,
            lag: Duration::from_secs(5),
            boot_time: Duration::from_secs(100),
            waves: maintenance::Context::new(),
            sizes: sizing::Context::new(Policy::default()),
            demand: Demand::default(),
            interrupted_work: 0,
            list_updates: VecDeque::new(),
        }
    }
}

impl World {
    pub fn add(&mut self, pool: PoolId, dc: DcId, rack: RackId) -> VmId {
        self.machines.push(Machine {
            state: Actual::Live,
            boots: 0,
            fails_to_boot: false,
        });
        self.fleet.vms.push(Vm::new(pool, dc, rack, self.now))
    }

    pub fn machine(&mut self, vm: VmId) -> &mut Machine {
        &mut self.machines[vm.index()]
    }

    pub fn set_work(&mut self, vm: VmId, work: Work) {
        self.fleet.vms[vm].work = work;
    }

    pub fn set_state(&mut self, vm: VmId, state: Actual) {
        self.machine(vm).state = state;
        if matches!(state, Actual::Down | Actual::Gone) {
            self.set_work(vm, Work::default());
        }
        self.queue_list_update(vm);
    }

    /// Advances the time in steps of at most one second.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + Duration::from_secs(1));
            self.finish_boots();
            self.apply_list_updates();
        }
    }

    /// Plans and verifies the steps of the wave without carrying them out.
    pub fn plan(&mut self) -> Vec<Step> {
        let steps = self.waves.plan(&self.fleet, &self.cat, self.now).to_vec();
        let found = verify::plan(&self.fleet, &self.cat, &steps);
        assert!(found.is_empty(), "{found}");
        steps
    }

    pub fn plan_moves(&mut self) -> Vec<Move> {
        let moves = self
            .sizes
            .plan(&self.fleet, &self.demand, &self.cat, self.now)
            .to_vec();
        let found = verify::moves(&self.fleet, &self.cat, &moves);
        assert!(found.is_empty(), "{found}");
        moves
    }

    /// Stores the effect of a step and issues its command, unless the command is lost.
    pub fn carry_out(&mut self, step: &Step, is_lost: bool) {
        self.fleet.apply(step, self.now);
        if is_lost {
            return;
        }
        match step.action {
            Action::Reboot | Action::Join(_) => self.reboot(step.vm),
            Action::CheckpointTasks => self.set_work(step.vm, Work::default()),
            _ => {}
        }
    }

    /// Plans once and carries out all steps.
    pub fn plan_and_carry_out(&mut self) -> Vec<Step> {
        let steps = self.plan();
        for step in &steps {
            self.carry_out(step, false);
        }
        steps
    }

    fn reboot(&mut self, vm: VmId) {
        if self.fleet.vms[vm].work.running > 0 {
            self.interrupted_work += 1;
        }
        let until = self.now + self.boot_time;
        if self.machine(vm).state == Actual::Live {
            self.set_state(vm, Actual::Rebooting(until));
        }
    }

    fn finish_boots(&mut self) {
        for vm in self.fleet.vms.keys() {
            let now = self.now;
            let machine = self.machine(vm);
            let Actual::Rebooting(until) = machine.state else {
                continue;
            };
            if now < until {
                continue;
            }
            if machine.fails_to_boot {
                machine.state = Actual::Down;
            } else {
                machine.state = Actual::Live;
                machine.boots += 1;
            }
            self.queue_list_update(vm);
        }
    }

    fn queue_list_update(&mut self, vm: VmId) {
        let machine = &self.machines[vm.index()];
        let seen = match machine.state {
            Actual::Live => Seen::Live,
            Actual::Rebooting(_) => Seen::Rebooting,
            Actual::Leaving => Seen::Leaving,
            Actual::Down | Actual::Gone => Seen::Absent,
        };
        self.list_updates.push_back(ListUpdate {
            at: self.now + self.lag,
            vm,
            seen,
            boots: machine.boots,
        });
    }

    fn apply_list_updates(&mut self) {
        while self
            .list_updates
            .front()
            .is_some_and(|update| update.at <= self.now)
        {
            let Some(update) = self.list_updates.pop_front() else {
                return;
            };
            let vm = &mut self.fleet.vms[update.vm];
            if vm.seen != update.seen {
                vm.seen = update.seen;
                vm.seen_since = self.now;
            }
            vm.boots = update.boots;
        }
    }

    pub fn count(&self, state: VmState) -> usize {
        let vms = self.fleet.vms.values();
        vms.filter(|vm| vm.state == state).count()
    }

    pub fn done(&self) -> usize {
        let number = self.fleet.cycle.number;
        let vms = self.fleet.vms.values();
        vms.filter(|vm| vm.maintained_cycle >= number).count()
    }
}
