//! Maintenance waves over VMs: which VM is evacuated, and which is taken down.
//!
//! A [`Wave`] names VMs that must each be maintained once, with at most `at_once` down at a time. [`Upkeep`] holds the
//! waves in progress. It can be derived from the stored waves and the platform's list at any time, so a new holder
//! continues where the last one stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_types::names::{DcName, PoolName};
use serde::{Deserialize, Serialize};

use crate::id::{VmId, WorkerId};

/// A wave, as the operators requested it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The VMs to maintain.
    pub vms: Vec<VmId>,
    /// The time that it may take.
    pub duration: Duration,
    /// The most VMs that may be down for it at once.
    pub at_once: u32,
}

/// The state of a VM, as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// Running in its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Down for maintenance.
    InMaintenance,
    /// Failed.
    Down,
}

/// A VM, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The VM's id.
    pub id: VmId,
    /// The pool that it is in.
    pub pool: PoolName,
    /// Its state.
    pub state: VmState,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
    /// Its data centre, if known.
    pub dc: Option<DcName>,
}

/// The stored progress of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance has been requested and confirmed.
    pub begun: BTreeSet<VmId>,
    /// Whether the maintenance of all VMs is done.
    pub is_completed: bool,
    /// When the wave was started, in milliseconds since 1970.
    pub taken_up_ms: u64,
}

/// A wave in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningWave {
    /// The wave, as the operators requested it.
    pub wave: Wave,
    /// Its stored progress.
    pub progress: WaveProgress,
    /// VMs that are being evacuated for it. They stay chosen until they are taken down.
    pub chosen: BTreeSet<VmId>,
}

/// The waves in progress.
#[derive(Debug, Clone, Default)]
pub struct Upkeep {
    /// The waves, by number.
    pub waves: BTreeMap<u64, RunningWave>,
}

/// The steps that a plan decided on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpkeepPlan {
    /// VMs to evacuate.
    pub evacuate: BTreeSet<VmId>,
    /// VMs that are empty and to be taken down now, each with the number of its wave.
    pub take_down: Vec<(VmId, u64)>,
    /// The numbers of the waves that are done.
    pub completed: Vec<u64>,
}

/// The inputs of a plan.
#[derive(Debug)]
pub struct WaveInputs<'a> {
    /// The VMs in the platform's list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs on which nothing runs and nothing will be started.
    pub empty: &'a BTreeSet<VmId>,
    /// VMs in cordoned data centres, which accept no work.
    pub cordoned: &'a BTreeSet<VmId>,
    /// The load of each pool, in use or waited for, in thousandths of its capacity. Pools that are not listed have no
    /// load.
    pub load_milli: &'a BTreeMap<PoolName, u64>,
    /// The time of day in milliseconds since 1970.
    pub wall_ms: u64,
}

/// The time that a VM takes from being chosen until it is back in its pool.
const VM_CYCLE: Duration = Duration::from_secs(6);

/// A wave aims to be done this long before its time is over.
const DEADLINE_RESERVE: Duration = Duration::from_millis(3_500);

/// A pool with at least this load is busy, in thousandths of its capacity.
const BUSY_MILLI: u64 = 750;

/// At most this share of a pool's VMs is chosen at once while other VMs are available, in percent.
const POOL_PERCENT_MAX: usize = 20;

impl Upkeep {
    /// Decides which VMs to evacuate and to take down next, and which waves are done.
    #[must_use]
    pub fn plan(&mut self, inputs: &WaveInputs<'_>) -> UpkeepPlan {
        let mut plan = UpkeepPlan::default();
        for (number, running) in &mut self.waves {
            if !running.progress.is_completed {
                running.plan(*number, inputs, &mut plan);
            }
        }
        plan
    }
}

impl RunningWave {
    /// Creates a wave in progress for which no VM is chosen yet.
    #[must_use]
    pub fn new(wave: Wave, progress: WaveProgress) -> Self {
        Self {
            wave,
            progress,
            chosen: BTreeSet::new(),
        }
    }

    fn plan(&mut self, number: u64, inputs: &WaveInputs<'_>, plan: &mut UpkeepPlan) {
        let remaining: Vec<&Vm> = self
            .wave
            .vms
            .iter()
            .filter(|vm| !self.progress.begun.contains(vm))
            .filter_map(|vm| inputs.vms.get(vm))
            .collect();
        // A command without a reply may have taken a VM down, so each VM that is down counts until it is seen up again.
        let of_wave = self.wave.vms.iter().filter_map(|vm| inputs.vms.get(vm));
        let down = of_wave
            .filter(|vm| vm.state == VmState::InMaintenance)
            .count();
        if remaining.is_empty() {
            if down == 0 {
                plan.completed.push(number);
            }
            return;
        }
        let target = self.at_once(remaining.len() + down, inputs.wall_ms);
        let up: Vec<&Vm> = remaining
            .into_iter()
            .filter(|vm| vm.state == VmState::Up)
            .collect();
        self.chosen
            .retain(|vm| up.iter().any(|listed| listed.id == *vm));
        self.choose(&up, target.saturating_sub(down), inputs);
        let allowed = (self.wave.at_once as usize).saturating_sub(down);
        let ready = self.chosen.iter().filter(|vm| inputs.empty.contains(vm));
        plan.take_down
            .extend(ready.take(allowed).map(|vm| (vm.clone(), number)));
        plan.evacuate.extend(self.chosen.iter().cloned());
    }

    /// Returns how many VMs should be evacuating or down at once for the wave to be done in its time, but no sooner
    /// than needed. `unfinished` counts those that are down as well as those that are still to be taken down.
    fn at_once(&self, unfinished: usize, wall_ms: u64) -> usize {
        let passed = Duration::from_millis(wall_ms.saturating_sub(self.progress.taken_up_ms));
        let left = self.wave.duration.saturating_sub(passed + DEADLINE_RESERVE);
        let cycles = (left.as_millis() / VM_CYCLE.as_millis()).max(1);
        let cycles = usize::try_from(cycles).unwrap_or(usize::MAX);
        unfinished.div_ceil(cycles).min(self.wave.at_once as usize)
    }

    /// Chooses the next VMs. Those of busy pools come last, unless they accept no work anyway; among the others those
    /// that are empty already come first, then those of the pools with the least load.
    fn choose(&mut self, up: &[&Vm], target: usize, inputs: &WaveInputs<'_>) {
        let mut of_pool: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for vm in inputs.vms.values() {
            *of_pool.entry(&vm.pool).or_default() += 1;
        }
        let mut unavailable: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for vm in inputs.vms.values() {
            if vm.state != VmState::Up || self.chosen.contains(&vm.id) {
                *unavailable.entry(&vm.pool).or_default() += 1;
            }
        }
        let mut candidates: Vec<&&Vm> = up
            .iter()
            .filter(|vm| !self.chosen.contains(&vm.id))
            .collect();
        candidates.sort_by_key(|vm| {
            let load = inputs.load_milli.get(&vm.pool).copied().unwrap_or_default();
            let is_busy = load >= BUSY_MILLI && !inputs.cordoned.contains(&vm.id);
            (is_busy, !inputs.empty.contains(&vm.id), load, vm.id.clone())
        });
        for is_second_pass in [false, true] {
            for vm in &candidates {
                if self.chosen.len() >= target {
                    return;
                }
                let pool_max = (of_pool[&vm.pool] * POOL_PERCENT_MAX).div_ceil(100).max(1);
                let unavailable_here = unavailable.entry(&vm.pool).or_default();
                if (*unavailable_here < pool_max || is_second_pass)
                    && self.chosen.insert(vm.id.clone())
                {
                    *unavailable_here += 1;
                }
            }
        }
    }
}
